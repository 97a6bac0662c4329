#include "mulberryvalve/core/jobs/worker_table.h"

#include "mulberryvalve/core/base/scale.h"
#include "mulberryvalve/core/jobs/unrecorded_starts.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace mulberryvalve {
namespace {

// A start carries the current lease while at least this much of it remains, so
// that starts rarely extend a lease. No start carries less.
constexpr Milliseconds kMinLeaseForStart{ 2500 };

// Starts end this long before the leases may end, on a worker's clock: not long
// after the log took its last append.
constexpr Milliseconds kNoStartsBeforeEnd{ 6300 };

// From the check of a start until it arrives.
constexpr Milliseconds kMaxStartDelay{ 300 };

// An owner reads the clock of a worker that it renews every few seconds.
constexpr Milliseconds kClockEstimateError{ 200 };

// Readings and differences of times are whole milliseconds.
constexpr Milliseconds kClockRounding{ 3 };

// A tail latency below this percentage of its target rises above the target
// over several reports.
constexpr int kCalmTailPercent = 60;

int64_t MillisecondsBetween(MonotonicTime aFrom, MonotonicTime aTo)
{
  return std::chrono::duration_cast<Milliseconds>(aTo - aFrom).count();
}

bool IsServing(const StepSpec& aStep)
{
  return aStep.mLongRunning && aStep.mTailLatencyTarget.count() > 0;
}

bool IsSameForPlacement(const WorkerInfo& aLeft, const WorkerInfo& aRight)
{
  return aLeft.mService == aRight.mService && aLeft.mDomain == aRight.mDomain &&
         aLeft.mRack == aRight.mRack && aLeft.mLabels == aRight.mLabels &&
         aLeft.mCapacity == aRight.mCapacity && aLeft.mState == aRight.mState &&
         aLeft.mWorkerIncarnation == aRight.mWorkerIncarnation;
}

} // namespace

std::vector<BestEffortShare> WorkerEntry::BestEffortShares() const
{
  const auto capacity = static_cast<double>(CpuCapacity());
  std::vector<BestEffortShare> shares;
  shares.reserve(mBestEffortCpuByImage.size());
  for (const auto& [image, cpu] : mBestEffortCpuByImage) {
    shares.push_back(
      BestEffortShare{ image, static_cast<double>(cpu) / capacity });
  }
  return shares;
}

bool WorkerEntry::IsCalm() const
{
  return mPace.mPercent == kFullPace && mPace.mTailPercentOfTarget > 0 &&
         mPace.mTailPercentOfTarget < kCalmTailPercent;
}

std::set<TaskRef> WorkerEntry::PossibleTasks() const
{
  std::set<TaskRef> tasks = mTasks;
  tasks.insert(mForeignRuns.begin(), mForeignRuns.end());
  for (const auto& [number, task] : mNonDurableEnds) {
    tasks.insert(task);
  }
  return tasks;
}

WorkerEntry* WorkerTable::Find(const WorkerId& aId)
{
  const auto found = mWorkers.find(aId);
  return found == mWorkers.end() ? nullptr : &found->second;
}

const WorkerEntry* WorkerTable::Find(const WorkerId& aId) const
{
  const auto found = mWorkers.find(aId);
  return found == mWorkers.end() ? nullptr : &found->second;
}

WorkerEntry& WorkerTable::Add(const WorkerId& aId)
{
  const auto [found, isNew] = mWorkers.try_emplace(aId);
  if (isNew) {
    found->second.mBucket = BucketOf(aId);
    MarkChanged(found->second);
  }
  return found->second;
}

void WorkerTable::Remove(const WorkerId& aId)
{
  const auto found = mWorkers.find(aId);
  if (found == mWorkers.end()) {
    return;
  }
  const auto changed =
    std::find(mChanged.begin(), mChanged.end(), &found->second);
  if (changed != mChanged.end()) {
    mChanged.erase(changed);
  }
  mSilent.erase(aId);
  mLeaving.erase(aId);
  mWorkers.erase(found);
  mRemovals++;
}

void WorkerTable::SetInfo(WorkerEntry& aWorker, const WorkerInfo& aFacts)
{
  if (!IsSameForPlacement(aWorker.mInfo, aFacts)) {
    MarkChanged(aWorker);
  }
  aWorker.mInfo = aFacts;
  if (aFacts.mState == WorkerState::kLeaving) {
    mLeaving.insert(aFacts.mId);
  } else {
    mLeaving.erase(aFacts.mId);
  }
}

void WorkerTable::SetSilent(WorkerEntry& aWorker, bool aSilent)
{
  aWorker.mSilent = aSilent;
  MarkChanged(aWorker);
  if (aSilent) {
    mSilent.insert(aWorker.mInfo.mId);
  } else {
    mSilent.erase(aWorker.mInfo.mId);
  }
}

void WorkerTable::MarkChanged(WorkerEntry& aWorker)
{
  if (!aWorker.mIsInChangedList) {
    aWorker.mIsInChangedList = true;
    mChanged.push_back(&aWorker);
  }
}

std::vector<WorkerEntry*> WorkerTable::TakeChanged()
{
  for (WorkerEntry* worker : mChanged) {
    worker->mIsInChangedList = false;
  }
  return std::exchange(mChanged, {});
}

void WorkerTable::Charge(WorkerEntry& aWorker,
                         const TaskRef& aTask,
                         const StepSpec& aStep)
{
  if (!aWorker.mTasks.insert(aTask).second) {
    return;
  }
  MarkChanged(aWorker);
  if (aStep.mBestEffort) {
    aWorker.mBestEffortTasks++;
    aWorker.mBestEffortDemand += aStep.mDemand;
    aWorker.mBestEffortCpuByImage[aStep.mImageNumber] +=
      aStep.mDemand.mCpuMillis;
  }
  aWorker.mLongRunning += aStep.mLongRunning ? 1 : 0;
  if (IsServing(aStep)) {
    aWorker.mServingTasks++;
    aWorker.mServingCpu += aStep.Committed().mCpuMillis;
    aWorker.mServingImages[aStep.mImageNumber]++;
  }
  aWorker.mCharged += aStep.Committed();
}

void WorkerTable::Release(WorkerEntry& aWorker,
                          const TaskRef& aTask,
                          const StepSpec& aStep)
{
  if (aWorker.mTasks.erase(aTask) == 0) {
    return;
  }
  MarkChanged(aWorker);
  if (aStep.mBestEffort) {
    aWorker.mBestEffortTasks--;
    aWorker.mBestEffortDemand -= aStep.mDemand;
    int64_t& imageCpu = aWorker.mBestEffortCpuByImage[aStep.mImageNumber];
    imageCpu -= aStep.mDemand.mCpuMillis;
    if (imageCpu <= 0) {
      aWorker.mBestEffortCpuByImage.erase(aStep.mImageNumber);
    }
  }
  aWorker.mLongRunning -= aStep.mLongRunning ? 1 : 0;
  if (IsServing(aStep)) {
    aWorker.mServingTasks--;
    aWorker.mServingCpu -= aStep.Committed().mCpuMillis;
    if (--aWorker.mServingImages[aStep.mImageNumber] == 0) {
      aWorker.mServingImages.erase(aStep.mImageNumber);
    }
  }
  aWorker.mCharged -= aStep.Committed();
}

WorkerTime WorkerTable::EstimatedClock(const WorkerEntry& aWorker,
                                       MonotonicTime aNow) const
{
  return WorkerTime{ aWorker.mClock->mMilliseconds +
                     MillisecondsBetween(aWorker.mClockReceivedAt, aNow) };
}

void WorkerTable::OnOwnershipRecorded(MonotonicTime aRecordedAt)
{
  mLeasesEndBy =
    std::max(mLeasesEndBy,
             aRecordedAt + MaxRealDuration(mTerms.mMaxRunsAfterProof.count()));
}

bool WorkerTable::MayStart(MonotonicTime aNow) const
{
  return aNow <= mLeasesEndBy - MaxRealDuration(kNoStartsBeforeEnd.count());
}

// Returns the end of a lease of the usual length, or the last time on the
// worker's clock that even the slowest clock reaches by mLeasesEndBy.
WorkerTime WorkerTable::NextLeaseEnd(const WorkerEntry& aWorker,
                                     MonotonicTime aNow) const
{
  const int64_t usualEnd =
    EstimatedClock(aWorker, aNow).mMilliseconds + mTerms.mLength.count();
  const int64_t realLeft =
    MillisecondsBetween(aWorker.mClockReceivedAt, mLeasesEndBy);
  const int64_t slowestLeft =
    realLeft * (kPerMille - mTerms.mClockDriftPerMille) / kPerMille;
  return WorkerTime{ std::min(usualEnd,
                              aWorker.mClock->mMilliseconds + slowestLeft) };
}

void WorkerTable::ExtendLease(WorkerEntry& aWorker,
                              WorkerTime aUntil,
                              MonotonicTime aNow)
{
  if (aUntil.mMilliseconds <= aWorker.mLeaseUntil.mMilliseconds) {
    return;
  }
  aWorker.mLeaseUntil = aUntil;
  // The clock was read before the reading arrived at mClockReceivedAt, so the
  // lease expires no later than computed from that time.
  const int64_t remaining =
    aUntil.mMilliseconds - aWorker.mClock->mMilliseconds;
  const MonotonicTime expiredAt =
    std::max(aWorker.mClockReceivedAt + MaxRealDuration(remaining), aNow) +
    mTerms.mMargin;
  aWorker.mLeasesExpiredAt = std::max(aWorker.mLeasesExpiredAt, expiredAt);
}

// Returns the longest real time that aMilliseconds on a worker's clock can
// take.
Milliseconds WorkerTable::MaxRealDuration(int64_t aMilliseconds) const
{
  return Milliseconds(aMilliseconds * kPerMille /
                      (kPerMille - mTerms.mClockDriftPerMille));
}

void WorkerTable::InheritLease(WorkerEntry& aWorker, MonotonicTime aNow) const
{
  AssumeLease(aWorker, mTerms.mLength, aNow);
}

// A request names the end of the lease by an estimate of the worker's clock,
// which may be ahead of it by as much as the clock is slow between readings.
MonotonicTime WorkerTable::EndOfLeaseRequestedBy(
  MonotonicTime aRequestedBy) const
{
  return aRequestedBy + MaxRealDuration(mTerms.mLength.count()) +
         kClockEstimateError + mTerms.mMargin;
}

// Covers a deviation of the owner's clock too, as long as the estimate's.
MonotonicTime WorkerTable::EndOfRunsProvedAt(MonotonicTime aRecordedAt) const
{
  return aRecordedAt + MaxRealDuration(mTerms.mMaxRunsAfterProof.count()) +
         kClockEstimateError + mTerms.mMargin;
}

MonotonicTime WorkerTable::EndOfRunsOrderedBy(MonotonicTime aOrderedBy) const
{
  const MonotonicTime startEndsBy =
    aOrderedBy + kMaxStartDelay + MaxRealDuration(mTerms.mMaxGranted.count()) +
    mTerms.mMargin;
  return std::max(startEndsBy, EndOfLeaseRequestedBy(aOrderedBy));
}

MonotonicTime WorkerTable::EndOfRunsLeft(MonotonicTime aSince,
                                         Milliseconds aLeft) const
{
  return aSince + MaxRealDuration(aLeft.count()) + mTerms.mMargin;
}

void WorkerTable::OnStartOfFormerIncarnation(WorkerEntry& aWorker,
                                             MonotonicTime aNow) const
{
  AssumeLease(aWorker, mTerms.mMaxGranted, aNow);
}

// Accounts for a lease of aLength on the worker's clock that may have been
// granted at aNow.
void WorkerTable::AssumeLease(WorkerEntry& aWorker,
                              Milliseconds aLength,
                              MonotonicTime aNow) const
{
  const MonotonicTime expiredAt =
    aNow + MaxRealDuration(aLength.count()) + mTerms.mMargin;
  aWorker.mLeasesExpiredAt = std::max(aWorker.mLeasesExpiredAt, expiredAt);
}

RenewalRequest WorkerTable::NextRenewal(WorkerEntry& aWorker,
                                        Epoch aEpoch,
                                        bool aMayRenew,
                                        MonotonicTime aNow)
{
  RenewalRequest order;
  order.mWorker = aWorker.mInfo.mId;
  order.mEndpoint = aWorker.mInfo.mEndpoint;
  order.mWorkerIncarnation = aWorker.mWorkerIncarnation;
  order.mEpoch = aEpoch;
  order.mSeen = aWorker.mLastDurableEnd;
  const bool mayRenew = aMayRenew && !aWorker.mSilent && aWorker.MayBeRenewed();
  if (!aWorker.mClock || !mayRenew) {
    return order;
  }
  const WorkerTime until = NextLeaseEnd(aWorker, aNow);
  if (EstimatedClock(aWorker, aNow).mMilliseconds < until.mMilliseconds) {
    ExtendLease(aWorker, until, aNow);
    order.mUntil = until;
  }
  // A worker answers at once while it has ends that were not acknowledged.
  const bool allAcknowledged =
    aWorker.mLastDurableEnd == aWorker.mLastProcessedEnd;
  const Milliseconds pacingWait =
    aWorker.IsCalm() ? mTerms.mCalmPacingWait : mTerms.mPacingWait;
  const Milliseconds wait = aWorker.NeedsPacing() ? pacingWait : mTerms.mWait;
  order.mWait = allAcknowledged ? wait : Milliseconds(0);
  return order;
}

std::optional<WorkerTime> WorkerTable::LeaseForStart(WorkerEntry& aWorker,
                                                     MonotonicTime aNow)
{
  if (!aWorker.mClock) {
    return std::nullopt;
  }
  const WorkerTime clock = EstimatedClock(aWorker, aNow);
  const int64_t remaining =
    aWorker.mLeaseUntil.mMilliseconds - clock.mMilliseconds;
  if (remaining < kMinLeaseForStart.count()) {
    const WorkerTime until = NextLeaseEnd(aWorker, aNow);
    if (until.mMilliseconds - clock.mMilliseconds < kMinLeaseForStart.count()) {
      return std::nullopt;
    }
    ExtendLease(aWorker, until, aNow);
  }
  return aWorker.mLeaseUntil;
}

// The known clock was read before it arrived, and advances by at least the
// slowest rate from there.
bool WorkerTable::IsClockOfLaterIncarnation(const WorkerEntry& aWorker,
                                            const ClockReading& aReading,
                                            MonotonicTime aSentAt) const
{
  if (!aWorker.mClock || !aReading.mClock) {
    return false;
  }
  const int64_t elapsed =
    MillisecondsBetween(aWorker.mClockReceivedAt, aSentAt);
  const int64_t drift =
    std::abs(elapsed) * mTerms.mClockDriftPerMille / kPerMille;
  const int64_t earliest =
    aWorker.mClock->mMilliseconds + elapsed - drift - kClockRounding.count();
  return aReading.mClock->mMilliseconds < earliest;
}

void WorkerTable::OnClockReading(WorkerEntry& aWorker,
                                 const ClockReading& aReading,
                                 MonotonicTime aNow)
{
  if (!aReading.mClock) {
    return;
  }
  aWorker.mClock = aReading.mClock;
  aWorker.mClockReceivedAt = aNow;
}

} // namespace mulberryvalve
