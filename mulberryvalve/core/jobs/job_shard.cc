#include "mulberryvalve/core/jobs/job_shard.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr size_t kMaxJobsPerBatch = 400;
// Jobs are kept for minutes; a little longer costs nothing.
constexpr Milliseconds kRetireInterval{ 1000 };
// How often what was learned is made durable. A successor learns anew what this
// much time brought.
constexpr Milliseconds kSaveLearnedInterval{ 2000 };
// When the rest of the waits that the former owner noted is first noted anew.
constexpr Milliseconds kFirstNoteRefresh{ 200 };
// Decisions that nobody collects are dropped beyond this.
constexpr size_t kMaxDecisions = 4096;

} // namespace

JobShard::JobShard(JobShardOptions aOptions,
                   JobPolicies aPolicies,
                   MonotonicTime aClaimedAt)
  : mOptions(aOptions)
  , mPolicies(aPolicies)
  , mClaimedAt(aClaimedAt)
  , mWorkers(aOptions.mLease)
  , mSearch(aPolicies.mPlacement, mWorkers)
  , mRefreshNotesAt(aClaimedAt + kFirstNoteRefresh)
  , mSaveLearnedAt(aClaimedAt + kSaveLearnedInterval)
{
}

void JobShard::Inherit(JobGraph aGraph, const JobRecord* aRecord)
{
  JobEntry* job = mBook.Add(std::move(aGraph));
  if (job == nullptr) {
    return;
  }
  job->mInherited = true;
  if (aRecord != nullptr) {
    mBook.Restore(*job, *aRecord);
  }
  if (IsOver(job->mPhase)) {
    job->mOverSince = mClaimedAt;
  }
}

void JobShard::InheritWorker(const KnownWorker& aWorker)
{
  WorkerRoom& room = mWorkers.Add(aWorker.mId);
  room.mFacts.mId = aWorker.mId;
  room.mFacts.mEndpoint = aWorker.mEndpoint;
  room.mFacts.mService = aWorker.mService;
  room.mListed = false;
  room.mRecorded = true;
  room.mBirth = aWorker.mBirth;
  room.mWaitNoted = aWorker.mWaitLeft.has_value();
  room.mNoted = room.mWaitNoted || aWorker.mMayRun.has_value();
  room.mNoWaitNoted = aWorker.mWaitLeft == Milliseconds(0);
  const Milliseconds lease =
    mOptions.mLease.mLength + 10 * mOptions.mLease.mMargin;
  const Milliseconds wait =
    aWorker.mWaitLeft.value_or(mOptions.mProofLimit + lease);
  const MonotonicTime until = mClaimedAt + wait + mOptions.mLease.mMargin;
  mInheritedWorkers.Add(aWorker.mId, InheritedWorker{ until, aWorker.mMayRun });
}

void JobShard::InheritLearned(const LearnedRecord& aLearned)
{
  mInterference.Restore(aLearned, mBook.Images());
  mRunTimes.Restore(aLearned);
}

LearnedRecord JobShard::Learned() const
{
  LearnedRecord learned;
  mInterference.Save(mBook.Images(), learned);
  mRunTimes.Save(learned);
  return learned;
}

void JobShard::OnJob(JobGraph aGraph,
                     MonotonicTime aNotBefore,
                     MonotonicTime aNow)
{
  const JobId id = aGraph.mId;
  JobEntry* job = mBook.Add(std::move(aGraph));
  if (job == nullptr) {
    return;
  }
  job->mKnownAt = aNow;
  // The former owner may have started it within its last fresh proof.
  job->mInherited = aNotBefore < mClaimedAt + mOptions.mNewJobProofLimit +
                                   mOptions.mLease.mMargin;
  mNeedsPlacement = true;
  LogJobDecision(DecisionKind::kJobKnown, id, job->mGraph.mQueue.Text());
  if (mCancelledUnknownJobs.erase(id) != 0) {
    EndJob(*job, JobPhase::kCancelled, mClaimedAt);
  }
}

void JobShard::OnCancel(const JobId& aJob, MonotonicTime aNow)
{
  JobEntry* job = mBook.Find(aJob);
  if (job == nullptr) {
    mCancelledUnknownJobs.insert(aJob);
    return;
  }
  if (IsOver(job->mPhase)) {
    return;
  }
  LogJobDecision(DecisionKind::kJobCancelled, aJob, "asked by its caller");
  EndJob(*job, JobPhase::kCancelled, aNow);
}

void JobShard::OnConfig(const ClusterConfig& aConfig)
{
  mConfig = aConfig;
  mConfigVersion++;
  mSearch.ForgetRefusals();
  mNeedsPlacement = true;
}

void JobShard::OnWorkers(const std::vector<WorkerFacts>& aWorkers,
                         MonotonicTime aNow)
{
  std::set<WorkerId> listed;
  for (const WorkerFacts& facts : aWorkers) {
    listed.insert(facts.mId);
    WorkerRoom& room = mWorkers.Add(facts.mId);
    if (room.mFacts.mEndpoint != facts.mEndpoint) {
      // A successor would ask at the former address.
      room.mRecorded = false;
      mWorkers.NoteChange(room);
    }
    mWorkers.SetFacts(room, facts);
    if (!room.mListed) {
      room.mListed = true;
      mWorkers.NoteChange(room);
    }
    if (room.mBirth == Birth()) {
      room.mBirth = facts.mBirth;
    }
    if (room.mBirth < facts.mBirth && room.mBirth != Birth()) {
      ResetIncarnation(room, facts.mBirth, aNow);
    }
    const bool mayStart = room.mInventoried && !room.mSilent &&
                          facts.mState != WorkerState::kLeaving;
    if (mayStart) {
      RevokeHandoverNote(room);
    }
    if (!room.mRecorded) {
      mDirtyWorkers.insert(facts.mId);
    }
    room.mLeavesAt.reset();
    if (facts.mRemaining) {
      room.mLeavesAt = aNow + *facts.mRemaining;
    }
  }
  for (auto& [id, room] : mWorkers.All()) {
    if (room.mListed && listed.count(id) == 0) {
      room.mListed = false;
      mWorkers.NoteChange(room);
    }
  }
  mHasWorkerList = true;
}

std::vector<JobId> JobShard::FindRetirableJobs(MonotonicTime aNow) const
{
  std::vector<JobId> jobs;
  for (const auto& [id, job] : mBook.All()) {
    const bool settled = IsOver(job.mPhase) && job.mShown == job.mPhase;
    if (settled && aNow - job.mOverSince >= mOptions.mKeepOver &&
        jobs.size() < kMaxJobsPerBatch) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

ProgressBatch JobShard::TakeProgress(MonotonicTime aNow)
{
  ProgressBatch batch;
  while (!mDirtyJobs.empty() && batch.mJobs.size() < kMaxJobsPerBatch) {
    const JobEntry* job = mBook.Find(*mDirtyJobs.begin());
    mDirtyJobs.erase(mDirtyJobs.begin());
    if (job != nullptr) {
      batch.mJobs.push_back(mBook.ToRecord(*job));
    }
  }
  if (aNow >= mRetireJobsAt) {
    mRetireJobsAt = aNow + kRetireInterval;
    batch.mRetired = FindRetirableJobs(aNow);
  }
  for (const WorkerId& id : mDirtyWorkers) {
    WorkerRoom* room = mWorkers.Find(id);
    if (room == nullptr) {
      continue;
    }
    mForgotten.erase(id);
    batch.mWorkers.push_back(TakeWorkerRecord(*room, aNow));
  }
  mDirtyWorkers.clear();
  batch.mForgotten.assign(mForgotten.begin(), mForgotten.end());
  mForgotten.clear();
  if (!batch.Empty() && aNow >= mSaveLearnedAt) {
    mSaveLearnedAt = aNow + kSaveLearnedInterval;
    batch.mLearned = Learned();
  }
  if (!mDirtyJobs.empty()) {
    return batch;
  }
  for (const auto& [id, room] : mWorkers.All()) {
    if (room.mDurable < room.mTaken) {
      batch.mEnds.push_back({ id, room.mBirth, room.mTaken });
    }
  }
  return batch;
}

void JobShard::OnDurable(const ProgressBatch& aBatch)
{
  for (const JobRecord& record : aBatch.mJobs) {
    JobEntry* job = mBook.Find(record.mId);
    if (job != nullptr) {
      job->mShown = record.mPhase;
    }
  }
  for (const JobId& id : aBatch.mRetired) {
    mBook.Retire(id);
  }
  for (const KnownWorker& worker : aBatch.mWorkers) {
    OnWorkerRecordDurable(worker);
  }
  for (const ProgressBatch::EndsTaken& ends : aBatch.mEnds) {
    WorkerRoom* room = mWorkers.Find(ends.mWorker);
    if (room != nullptr && room->mBirth == ends.mBirth) {
      room->mDurable = std::max(room->mDurable, ends.mNumber);
      auto& waiting = room->mEndsNotDurable;
      waiting.erase(waiting.begin(), waiting.upper_bound(room->mDurable));
    }
  }
}

void JobShard::OnWorkerRecordDurable(const KnownWorker& aWorker)
{
  WorkerRoom* room = mWorkers.Find(aWorker.mId);
  const bool isPresent = room != nullptr && room->mBirth == aWorker.mBirth &&
                         room->mFacts.mEndpoint == aWorker.mEndpoint;
  if (!isPresent) {
    return;
  }
  // A note that was taken back meanwhile is no record of a worker in use.
  const bool isNote = aWorker.mWaitLeft || aWorker.mMayRun;
  const bool isCurrent = !isNote || room->mNoted;
  if (isCurrent && (!room->mInventoried || !aWorker.mWaitLeft)) {
    room->mRecorded = true;
    mWorkers.NoteChange(*room);
  }
}

std::optional<JobPhase> JobShard::Phase(const JobId& aJob) const
{
  const JobEntry* job = mBook.Find(aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  if (IsOver(job->mShown)) {
    return job->mShown;
  }
  return job->mBegun ? JobPhase::kRunning : JobPhase::kQueued;
}

std::optional<MonotonicTime> JobShard::CancelledAt(const JobId& aJob) const
{
  const JobEntry* job = mBook.Find(aJob);
  if (job == nullptr || job->mPhase != JobPhase::kCancelled) {
    return std::nullopt;
  }
  return job->mOverSince;
}

std::vector<JobDecision> JobShard::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

void JobShard::ReleaseTask(const TaskRef& aTask)
{
  StepTask* task = mBook.FindTask(aTask);
  if (task == nullptr || !IsPlaced(task->mPhase)) {
    return;
  }
  WorkerRoom* room = mWorkers.Find(task->mWorker);
  if (room != nullptr) {
    mWorkers.Release(*room, aTask, mBook.SpecOf(aTask.mStep));
  }
  mResendStopAt.erase(aTask);
  mBook.Settle(aTask);
  mNeedsPlacement = true;
}

void JobShard::AvoidWorker(WorkerRoom& aWorker,
                           MonotonicTime aUntil,
                           const char* aWhy)
{
  if (aUntil <= aWorker.mAvoidUntil) {
    return;
  }
  aWorker.mAvoidUntil = aUntil;
  mWorkers.NoteChange(aWorker);
  LogWorkerDecision(DecisionKind::kWorkerAvoided, aWorker.mFacts.mId, aWhy);
}

const QueueRules& JobShard::RulesOf(const JobEntry& aJob) const
{
  const auto found = mConfig.mRules.find(aJob.mGraph.mQueue);
  return found == mConfig.mRules.end() ? aJob.mGraph.mRules : found->second;
}

void JobShard::LogDecision(JobDecision aDecision)
{
  if (mDecisions.size() < kMaxDecisions) {
    mDecisions.push_back(std::move(aDecision));
  }
}

JobDecision JobShard::MakeTaskDecision(DecisionKind aKind,
                                       const TaskRef& aTask,
                                       const WorkerId& aWorker,
                                       RunNumber aRun,
                                       std::string aWhy)
{
  JobDecision decision;
  decision.mKind = aKind;
  decision.mJob = aTask.mStep.mJob;
  decision.mTask = aTask;
  decision.mWorker = aWorker;
  decision.mRun = aRun.Value();
  decision.mWhy = std::move(aWhy);
  return decision;
}

void JobShard::LogDecision(DecisionKind aKind,
                           const TaskRef& aTask,
                           const WorkerId& aWorker,
                           RunNumber aRun,
                           std::string aWhy)
{
  LogDecision(MakeTaskDecision(aKind, aTask, aWorker, aRun, std::move(aWhy)));
}

void JobShard::LogJobDecision(DecisionKind aKind,
                              const JobId& aJob,
                              std::string aWhy)
{
  JobDecision decision;
  decision.mKind = aKind;
  decision.mJob = aJob;
  decision.mWhy = std::move(aWhy);
  LogDecision(std::move(decision));
}

void JobShard::LogWorkerDecision(DecisionKind aKind,
                                 const WorkerId& aWorker,
                                 std::string aWhy)
{
  JobDecision decision;
  decision.mKind = aKind;
  decision.mWorker = aWorker;
  decision.mWhy = std::move(aWhy);
  LogDecision(std::move(decision));
}

} // namespace mulberryvalve
