// Handover: what ShardScheduler records of its workers for a successor, and
// which tasks it blocks because of the former owner's workers.
#include "mulberryvalve/core/jobs/remaining_time.h"
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// How often the handover notes are refreshed as waits get shorter and tasks
// end, and how often if there are so many notes that writing them is costly.
constexpr Milliseconds kNoteRefreshInterval{ 500 };
constexpr Milliseconds kManyNotesRefreshInterval{ 1000 };
constexpr size_t kManyNotes = 64;
// Workers that are able to answer a new owner do so within this after the
// claim.
constexpr Milliseconds kFirstNoteAfterClaim{ 2000 };

std::optional<std::vector<TaskRef>> TasksForNote(const WorkerEntry& aWorker)
{
  const std::set<TaskRef> tasks = aWorker.PossibleTasks();
  if (tasks.size() > kMaxNotedTasks) {
    return std::nullopt;
  }
  return std::vector<TaskRef>(tasks.begin(), tasks.end());
}

} // namespace

// Returns the newest owner that may have used the worker.
std::optional<Epoch> ShardScheduler::LastUserOf(
  const WorkerEntry& aWorker,
  const InheritedWorker* aInherited) const
{
  if (aWorker.mIsUseDeclared) {
    return mOptions.mEpoch;
  }
  const bool isNamed = aInherited != nullptr && aInherited->mLastUser;
  return isNamed ? aInherited->mLastUser : mFormerOwners.Newest();
}

// An unresponsive or leaving worker gets no start until its note is durably
// revoked, so only its present tasks can run there. An unresponsive worker gets
// no lease renewals either, so those tasks end with its present leases.
UsedWorkerRecord ShardScheduler::BuildWorkerRecord(const WorkerEntry& aWorker,
                                                   MonotonicTime aNow) const
{
  const WorkerInfo& facts = aWorker.mInfo;
  UsedWorkerRecord record;
  record.mId = facts.mId;
  record.mEndpoint = facts.mEndpoint;
  record.mService = facts.mService;
  record.mWorkerIncarnation = aWorker.mWorkerIncarnation;
  const InheritedWorker* inherited = mInheritedWorkers.Find(facts.mId);
  record.mLastUser = LastUserOf(aWorker, inherited);
  if (inherited != nullptr) {
    // Leases are renewed on a worker that has answered, though its report omits
    // ends, so nothing limits the wait for it.
    if (!aWorker.mIsUseDeclared) {
      record.mRemainingLease = RemainingUntil(inherited->mWaitUntil, aNow);
    }
    record.mPossibleTasks = inherited->mPossibleTasks;
    return record;
  }
  if (!aWorker.mIsUseDeclared) {
    // Nobody has used it, or all that former owners started there has ended.
    record.mRemainingLease = Milliseconds(0);
    record.mPossibleTasks.emplace();
    return record;
  }
  const bool isLeaving = facts.mState == WorkerState::kLeaving;
  if (!aWorker.mHasReportedRuns || !(aWorker.mSilent || isLeaving)) {
    return record;
  }
  record.mPossibleTasks = TasksForNote(aWorker);
  if (aWorker.HasNoRuns()) {
    record.mRemainingLease = Milliseconds(0);
  } else if (aWorker.mSilent) {
    record.mRemainingLease = RemainingUntil(aWorker.mLeasesExpiredAt, aNow);
  }
  return record;
}

UsedWorkerRecord ShardScheduler::TakeWorkerRecord(WorkerEntry& aWorker,
                                                  MonotonicTime aNow)
{
  UsedWorkerRecord record = BuildWorkerRecord(aWorker, aNow);
  if (!record.mRemainingLease && !record.mPossibleTasks) {
    return record;
  }
  aWorker.mHasHandoverNote = true;
  aWorker.mNoteLimitsWait =
    aWorker.mNoteLimitsWait || record.mRemainingLease.has_value();
  aWorker.mNoteSaysNoWait = record.mRemainingLease == Milliseconds(0);
  aWorker.mNotedTaskCount =
    record.mPossibleTasks ? record.mPossibleTasks->size() : 0;
  mWorkers.MarkChanged(aWorker);
  return record;
}

// Has the worker's record name this owner, which has heard from the worker and
// may use it from then on. A note that limits the wait there is withdrawn.
void ShardScheduler::DeclareUse(WorkerEntry& aWorker)
{
  if (std::exchange(aWorker.mIsUseDeclared, true)) {
    return;
  }
  mDirtyWorkers.insert(aWorker.mInfo.mId);
  if (aWorker.mNoteLimitsWait) {
    RevokeHandoverNote(aWorker);
  }
}

// Until the log takes an append, so that an outage right after the claim ends
// no runs, leases are renewed on workers whose records don't name this owner.
// Its claim tells no successor that it records use until these records are
// durable.
void ShardScheduler::UseUnrecordedIfAllowed(WorkerEntry& aWorker)
{
  if (mHasAppended || !aWorker.mIsUseDeclared || aWorker.mIsUseRecorded) {
    return;
  }
  aWorker.mIsUsedUnrecorded = true;
  mUsedUnrecorded.insert(aWorker.mInfo.mId);
}

void ShardScheduler::RevokeHandoverNote(WorkerEntry& aWorker)
{
  if (!aWorker.mHasHandoverNote) {
    return;
  }
  aWorker.mHasHandoverNote = false;
  aWorker.mNoteLimitsWait = false;
  aWorker.mNoteSaysNoWait = false;
  aWorker.mRecorded = false;
  mWorkers.MarkChanged(aWorker);
  mDirtyWorkers.insert(aWorker.mInfo.mId);
}

// Keeps the notes current, so that a successor need not start over the waits
// for inherited workers and for workers whose leases are not renewed.
void ShardScheduler::RefreshHandoverNotes(MonotonicTime aNow)
{
  const bool refreshDue = aNow >= mRefreshNotesAt;
  if (refreshDue) {
    const size_t noteCount = mInheritedWorkers.PendingCount() +
                             mWorkers.Silent().size() +
                             mWorkers.Leaving().size();
    mRefreshNotesAt = aNow + (noteCount > kManyNotes ? kManyNotesRefreshInterval
                                                     : kNoteRefreshInterval);
    RefreshInheritedNotes(aNow);
  }
  for (const WorkerId& id : mWorkers.Silent()) {
    RefreshNoteOf(*mWorkers.Find(id), refreshDue);
  }
  for (const WorkerId& id : mWorkers.Leaving()) {
    RefreshNoteOf(*mWorkers.Find(id), refreshDue);
  }
}

void ShardScheduler::RefreshInheritedNotes(MonotonicTime aNow)
{
  const bool isFirstDue = aNow >= mClaimedAt + kFirstNoteAfterClaim;
  for (const auto& [id, inherited] : mInheritedWorkers.All()) {
    const WorkerEntry* worker = mWorkers.Find(id);
    const bool due =
      isFirstDue || (worker != nullptr && worker->mNoteLimitsWait);
    if (due && worker != nullptr && !worker->mNoteSaysNoWait &&
        !worker->mIsUseDeclared) {
      mDirtyWorkers.insert(id);
    }
  }
}

// The first note of a worker, and the note that it is empty, are written at
// once.
void ShardScheduler::RefreshNoteOf(const WorkerEntry& aWorker, bool aRefreshDue)
{
  if (!aWorker.mHasReportedRuns || aWorker.mNoteSaysNoWait) {
    return;
  }
  bool due = aWorker.HasNoRuns();
  if (aWorker.mSilent) {
    due = due || aRefreshDue || !aWorker.mNoteLimitsWait;
  } else {
    due = due || !aWorker.mHasHandoverNote ||
          (aRefreshDue &&
           aWorker.PossibleTasks().size() != aWorker.mNotedTaskCount);
  }
  if (due) {
    mDirtyWorkers.insert(aWorker.mInfo.mId);
  }
}

void ShardScheduler::RemoveGoneWorkers(MonotonicTime aNow)
{
  std::vector<WorkerId> goneWorkers;
  for (const WorkerId& id : mWorkers.Silent()) {
    if (IsGone(*mWorkers.Find(id), aNow)) {
      goneWorkers.push_back(id);
    }
  }
  for (const WorkerId& id : goneWorkers) {
    mDecisions.AddWorker(DecisionKind::kWorkerLapsed, id, "no longer listed");
    RemoveWorker(id);
  }
}

// Forgets a worker on which nothing of this shard can run any more.
void ShardScheduler::RemoveWorker(const WorkerId& aWorker)
{
  mDirtyWorkers.erase(aWorker);
  mRemovedWorkers.insert(aWorker);
  mInheritedWorkers.Remove(aWorker);
  mUnreadJobs.ForgetWorker(aWorker);
  mUsedUnrecorded.erase(aWorker);
  mWorkers.Remove(aWorker);
}

bool ShardScheduler::IsGone(const WorkerEntry& aWorker,
                            MonotonicTime aNow) const
{
  const bool unlisted = mHasWorkerList && !aWorker.mListed;
  if (!unlisted || mInheritedWorkers.MayRunTasks(aWorker.mInfo.mId)) {
    return false;
  }
  const bool expired =
    aWorker.mTasks.empty() && aNow >= aWorker.mLeasesExpiredAt;
  return expired || (aWorker.mHasReportedRuns && aWorker.HasNoRuns());
}

bool ShardScheduler::IsJobBlocked(const JobEntry& aJob,
                                  MonotonicTime aNow) const
{
  return !IsOwnershipProvedFor(aJob, aNow);
}

// Returns whether a run that a former owner started may be left of a task: on a
// worker that its record or a note names, or on one to which the start may have
// been sent without a record.
bool ShardScheduler::IsTaskBlocked(const JobEntry& aJob,
                                   const TaskRef& aTask) const
{
  return mInheritedWorkers.MayRun(
    aTask, aJob.mGraph.mSteps[aTask.mStep.mStep], aJob.mMayHaveFormerRuns);
}

bool ShardScheduler::IsStepBlocked(const JobEntry& aJob,
                                   const StepRef& aStep,
                                   MonotonicTime aNow) const
{
  const StepState& step = mJobTable.StepOf(aStep);
  for (uint32_t index = 0; index < step.mTasks.size(); index++) {
    if (step.mTasks[index].mPhase == TaskPhase::kWaiting &&
        IsTaskBlocked(aJob, TaskRef{ aStep, index })) {
      return true;
    }
  }
  return IsJobBlocked(aJob, aNow);
}

void ShardScheduler::ReportHeldTasks(MonotonicTime aNow)
{
  for (JobDecision& decision : mHeldTasks.Update(aNow)) {
    mDecisions.Add(std::move(decision));
  }
}

} // namespace mulberryvalve
