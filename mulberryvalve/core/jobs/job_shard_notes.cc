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

} // namespace mulberryvalve
