// What JobShard leaves on the log of its workers, and what it holds back for
// those of the former owner.
#include "mulberryvalve/core/jobs/job_shard.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// How often the rest of a wait, or fewer tasks, are made durable; and how often
// when there are so many workers of that kind that the records are a burden.
constexpr Milliseconds kNoteAgain{ 500 };
constexpr Milliseconds kNoteManyAgain{ 1000 };
constexpr size_t kManyNotes = 64;
// Workers that answer at all do so before this after a claim.
constexpr Milliseconds kFirstNote{ 2000 };
// What is held back is said this often at most, with so many workers named.
constexpr Milliseconds kReportHeld{ 1000 };
constexpr size_t kMaxNamedWorkers = 8;

std::optional<std::vector<TaskRef>> TasksToNote(const WorkerRoom& aWorker)
{
  const std::set<TaskRef> tasks = aWorker.MayRun();
  if (tasks.size() > kMaxNotedTasks) {
    return std::nullopt;
  }
  return std::vector<TaskRef>(tasks.begin(), tasks.end());
}

Milliseconds LeftUntil(MonotonicTime aUntil, MonotonicTime aNow)
{
  return std::max(Milliseconds(0),
                  std::chrono::ceil<Milliseconds>(aUntil - aNow));
}

// The last of aWorkers, which are waited for the longest.
std::string NamesOf(const std::vector<WorkerId>& aWorkers)
{
  std::string names;
  const size_t named = std::min(aWorkers.size(), kMaxNamedWorkers);
  for (size_t number = 0; number < named; number++) {
    names += " " + aWorkers[aWorkers.size() - 1 - number].Text();
  }
  return names;
}

} // namespace

// A worker that is silent or leaves gets no start until its record says so
// again, so only what is there now can run there. A silent one is not renewed
// either, so that ends with the leases that it has.
KnownWorker JobShard::RecordOf(const WorkerRoom& aWorker,
                               MonotonicTime aNow) const
{
  const WorkerFacts& facts = aWorker.mFacts;
  KnownWorker record;
  record.mId = facts.mId;
  record.mEndpoint = facts.mEndpoint;
  record.mService = facts.mService;
  record.mBirth = aWorker.mBirth;
  const FormerWorker* former = mFormer.Find(facts.mId);
  if (former != nullptr) {
    record.mWaitLeft = LeftUntil(former->mUntil, aNow);
    record.mMayRun = former->mMayRun;
    return record;
  }
  const bool leaves = facts.mState == WorkerState::kLeaving;
  if (!aWorker.mInventoried || !(aWorker.mSilent || leaves)) {
    return record;
  }
  record.mMayRun = TasksToNote(aWorker);
  if (aWorker.RunsNothing()) {
    record.mWaitLeft = Milliseconds(0);
  } else if (aWorker.mSilent) {
    record.mWaitLeft = LeftUntil(aWorker.mLapsesAt, aNow);
  }
  return record;
}

KnownWorker JobShard::TakeRecord(WorkerRoom& aWorker, MonotonicTime aNow)
{
  KnownWorker record = RecordOf(aWorker, aNow);
  if (!record.mWaitLeft && !record.mMayRun) {
    return record;
  }
  aWorker.mNoted = true;
  aWorker.mWaitNoted = aWorker.mWaitNoted || record.mWaitLeft.has_value();
  aWorker.mNoWaitNoted = record.mWaitLeft == Milliseconds(0);
  aWorker.mNotedTasks = record.mMayRun ? record.mMayRun->size() : 0;
  mWorkers.NoteChange(aWorker);
  return record;
}

void JobShard::TakeBackNote(WorkerRoom& aWorker)
{
  if (!aWorker.mNoted) {
    return;
  }
  aWorker.mNoted = false;
  aWorker.mWaitNoted = false;
  aWorker.mNoWaitNoted = false;
  aWorker.mRecorded = false;
  mWorkers.NoteChange(aWorker);
  mDirtyWorkers.insert(aWorker.mFacts.mId);
}

// A successor need not wait anew for workers that this owner waited for, nor
// for those that it does not renew.
void JobShard::FollowNotes(MonotonicTime aNow)
{
  const bool again = aNow >= mNoteWaitsAt;
  if (again) {
    const size_t noted = mFormer.WaitedCount() + mWorkers.Silent().size() +
                         mWorkers.Leaving().size();
    mNoteWaitsAt = aNow + (noted > kManyNotes ? kNoteManyAgain : kNoteAgain);
    NoteFormer(aNow);
  }
  for (const WorkerId& id : mWorkers.Silent()) {
    FollowNote(*mWorkers.Find(id), again);
  }
  for (const WorkerId& id : mWorkers.Leaving()) {
    FollowNote(*mWorkers.Find(id), again);
  }
}

void JobShard::NoteFormer(MonotonicTime aNow)
{
  const bool isFirstDue = aNow >= mClaimedAt + kFirstNote;
  for (const auto& [id, former] : mFormer.All()) {
    const WorkerRoom* worker = mWorkers.Find(id);
    const bool due = isFirstDue || (worker != nullptr && worker->mWaitNoted);
    if (due && worker != nullptr && !worker->mNoWaitNoted) {
      mDirtyWorkers.insert(id);
    }
  }
}

// The first note and that of an empty worker are due at once.
void JobShard::FollowNote(const WorkerRoom& aWorker, bool aAgain)
{
  if (!aWorker.mInventoried || aWorker.mNoWaitNoted) {
    return;
  }
  bool due = aWorker.RunsNothing();
  if (aWorker.mSilent) {
    due = due || aAgain || !aWorker.mWaitNoted;
  } else {
    due = due || !aWorker.mNoted ||
          (aAgain && aWorker.MayRun().size() != aWorker.mNotedTasks);
  }
  if (due) {
    mDirtyWorkers.insert(aWorker.mFacts.mId);
  }
}

void JobShard::ForgetGone(MonotonicTime aNow)
{
  std::vector<WorkerId> gone;
  for (const WorkerId& id : mWorkers.Silent()) {
    if (IsGone(*mWorkers.Find(id), aNow)) {
      gone.push_back(id);
    }
  }
  for (const WorkerId& id : gone) {
    NoteWorker(DecisionKind::kWorkerLapsed, id, "left the list");
    mDirtyWorkers.erase(id);
    mForgotten.insert(id);
    mFormer.Remove(id);
    mWorkers.Remove(id);
  }
}

bool JobShard::IsGone(const WorkerRoom& aWorker, MonotonicTime aNow) const
{
  const bool unlisted = mHasList && !aWorker.mListed;
  if (!unlisted || mFormer.IsWaitedFor(aWorker.mFacts.mId)) {
    return false;
  }
  const bool lapsed = aWorker.mTasks.empty() && aNow >= aWorker.mLapsesAt;
  return lapsed || (aWorker.mInventoried && aWorker.RunsNothing());
}

bool JobShard::IsBlocked(const JobEntry& aJob, MonotonicTime aNow) const
{
  return !IsProvedFor(aJob, aNow) || (aJob.mInherited && mFormer.HoldsAll());
}

bool JobShard::IsHeld(const JobEntry& aJob,
                      const StepRef& aStep,
                      MonotonicTime aNow) const
{
  return IsBlocked(aJob, aNow) || mFormer.HoldsAnyOf(aStep);
}

JobShard::HeldTasks JobShard::CountHeld() const
{
  HeldTasks held;
  std::set<const JobEntry*> jobs;
  for (const auto& [open, job] : mBook.Open()) {
    const StepRef name = RefOf(*job, open);
    const StepState& step = job->mOccurrences[open.mOccurrence][open.mStep];
    size_t tasks = 0;
    if (job->mInherited && mFormer.HoldsAll()) {
      tasks = step.mWaiting;
    } else if (mFormer.HoldsAnyOf(name)) {
      for (uint32_t index = 0; index < step.mTasks.size(); index++) {
        const bool waits = step.mTasks[index].mPhase == TaskPhase::kWaiting;
        tasks += waits && mFormer.Holds(TaskRef{ name, index }) ? 1 : 0;
      }
    }
    if (tasks > 0) {
      jobs.insert(job);
      held.mTasks += tasks;
    }
  }
  held.mJobs = jobs.size();
  held.mWorkers = held.mTasks > 0 ? mFormer.WaitedCount() : 0;
  return held;
}

// Says how many tasks are held back for workers of the former owner: first,
// when that changes, at once when only named tasks are left, and when it is
// over.
void JobShard::ReportHeld(MonotonicTime aNow)
{
  const bool over = mFormer.WaitedCount() == 0;
  const bool due = aNow >= mReportHeldAt || mHeldAll != mFormer.HoldsAll();
  if (over ? mHeldSaid == HeldTasks() : !due) {
    return;
  }
  mHeldAll = mFormer.HoldsAll();
  mReportHeldAt = aNow + kReportHeld;
  const HeldTasks held = over ? HeldTasks() : CountHeld();
  if (held == mHeldSaid) {
    return;
  }
  mHeldSaid = held;
  JobDecision decision;
  decision.mKind = DecisionKind::kTasksHeld;
  decision.mHeldTasks = held.mTasks;
  if (held.mTasks == 0) {
    decision.mHeldFor =
      std::chrono::duration_cast<Milliseconds>(aNow - mClaimedAt);
    decision.mWhy = "none any more, " +
                    std::to_string(decision.mHeldFor->count()) +
                    " ms after the claim";
  } else {
    const Milliseconds left = LeftUntil(mFormer.LongestWait(), aNow);
    decision.mWhy =
      std::to_string(held.mTasks) + " tasks of " + std::to_string(held.mJobs) +
      " jobs for " + std::to_string(held.mWorkers) +
      " workers of the former owner, for " + std::to_string(left.count()) +
      " ms at most:" + NamesOf(mFormer.Waited());
  }
  Note(std::move(decision));
}

} // namespace mulberryvalve
