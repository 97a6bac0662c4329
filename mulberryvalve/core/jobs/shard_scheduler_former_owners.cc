// Former owners: what ShardScheduler knows of them, and what it tells those
// that follow it.
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

void ShardScheduler::RestoreFormerOwner(FormerOwner aOwner)
{
  const Epoch epoch = aOwner.mEpoch;
  if (!aOwner.mActiveFor) {
    mInheritedWorkers.OnStartsWithoutRecords();
  }
  mFormerOwners.Add(std::move(aOwner));
  OnFormerOwnerProof(epoch, mClaimedAt, RunsEndEvidence::kClaimed);
}

void ShardScheduler::OnFormerOwnerProof(Epoch aEpoch,
                                        MonotonicTime aProvedBy,
                                        RunsEndEvidence aEvidence)
{
  mFormerOwners.OnLastProof(aEpoch, aProvedBy, aEvidence);
  mFormerOwnersChanged = true;
}

std::vector<FormerOwnerQuestion> ShardScheduler::FormerOwnersToAsk() const
{
  if (!mInheritedWorkers.HasShortenableWaits() &&
      !mInheritedWorkers.HasUnnotedWorkers()) {
    return {};
  }
  std::vector<WorkerId> longestFirst = mInheritedWorkers.PendingWorkers();
  std::reverse(longestFirst.begin(), longestFirst.end());
  return mFormerOwners.Questions(longestFirst);
}

void ShardScheduler::OnFormerOwnerEnded(const FormerOwnerEnd& aEnd)
{
  mFormerOwners.OnTold(aEnd);
  mFormerOwnersChanged = true;
}

// Applies what became known of the former owners, once all of them are
// restored.
void ShardScheduler::ShortenInheritedWaits()
{
  if (!std::exchange(mFormerOwnersChanged, false)) {
    return;
  }
  for (const auto& [worker, inherited] : mInheritedWorkers.All()) {
    const std::optional<Epoch> lastUser = inherited.mLastUser;
    const auto end = mFormerOwners.RunsEndBy(worker, lastUser, mWorkers);
    if (end && mInheritedWorkers.ShortenWait(worker, *end)) {
      mHeldTasks.OnWaitShortened(worker);
    }
    const auto starts = mFormerOwners.UnrecordedStartsOn(worker, lastUser);
    if (starts && mInheritedWorkers.OnStartsKnown(worker, *starts)) {
      mNeedsPlacement = true;
    }
  }
}

// Returns how long runs of the former owners may go on after the claim, if no
// proof of theirs bounds their leases.
Milliseconds ShardScheduler::MaxFormerRuns() const
{
  return mOptions.mProofLimit + mOptions.mLease.mLength +
         10 * mOptions.mLease.mMargin;
}

std::map<Epoch, Milliseconds> ShardScheduler::FormerRunsLeft(
  MonotonicTime aNow) const
{
  std::map<Epoch, Milliseconds> left;
  for (const RunsEnd& end : EndsOfFormerRuns()) {
    if (end.mBy) {
      const MonotonicTime by = std::max(*end.mBy, aNow);
      left[end.mEpoch] = std::chrono::ceil<Milliseconds>(by - aNow);
    }
  }
  return left;
}

void ShardScheduler::RemoveEndedClaims(MonotonicTime aNow)
{
  if (aNow < mClaimedAt + MaxFormerRuns() + mOptions.mLease.mMargin) {
    return;
  }
  const std::vector<Epoch> ended = mFormerOwners.TakeAll();
  mEndedClaims.insert(mEndedClaims.end(), ended.begin(), ended.end());
}

// Returns whether the outcome of a start on the worker is open: unanswered, it
// may be carried out by a new incarnation, with a lease of its own.
bool ShardScheduler::HasOpenStart(const WorkerEntry& aWorker) const
{
  const auto isOpen = [this](const TaskRef& aTask) {
    return mHeldStarts.Find(aTask) == nullptr &&
           mJobTable.FindTask(aTask)->mRunsIn == WorkerIncarnation();
  };
  return aWorker.mStartsInFlight > 0 ||
         std::any_of(aWorker.mTasks.begin(), aWorker.mTasks.end(), isOpen);
}

// All that an open start can lead to ends by the last proof's bound.
OwnershipSummary ShardScheduler::Summary() const
{
  const MonotonicTime allEndedBy = mWorkers.EndOfRunsProvedAt(mProvedAt);
  OwnershipSummary::LeaseEnds ends;
  for (const auto& [id, worker] : mWorkers.All()) {
    if (!worker.mIsUseRecorded && !worker.mIsUsedUnrecorded) {
      ends[id] = std::nullopt;
    } else if (HasOpenStart(worker)) {
      ends[id] = std::max(worker.mLeasesExpiredAt, allEndedBy);
    } else {
      ends[id] = worker.mLeasesExpiredAt;
    }
  }
  return OwnershipSummary(std::move(ends), mUnrecordedStarts);
}

} // namespace mulberryvalve
