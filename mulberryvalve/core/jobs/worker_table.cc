#include "mulberryvalve/core/jobs/worker_table.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr int64_t kPerMille = 1000;
// A start carries the current lease while at least this much of it remains, so
// that starts rarely extend a lease.
constexpr Milliseconds kMinLeaseForStart{ 2500 };

int64_t MillisecondsBetween(MonotonicTime aFrom, MonotonicTime aTo)
{
  return std::chrono::duration_cast<Milliseconds>(aTo - aFrom).count();
}

bool IsServing(const StepSpec& aStep)
{
  return aStep.mLasting && aStep.mTailTarget.count() > 0;
}

bool IsSameForPlacement(const WorkerFacts& aLeft, const WorkerFacts& aRight)
{
  return aLeft.mService == aRight.mService && aLeft.mDomain == aRight.mDomain &&
         aLeft.mRack == aRight.mRack && aLeft.mLabels == aRight.mLabels &&
         aLeft.mCapacity == aRight.mCapacity && aLeft.mState == aRight.mState;
}

} // namespace

std::vector<FillingShare> WorkerRoom::Filling(int aPercent,
                                              ImageNumber aImage,
                                              int64_t aAddedCpu) const
{
  const auto capacity = static_cast<double>(CpuCapacity());
  const double pace = static_cast<double>(aPercent) / kFullPace;
  std::vector<FillingShare> shares;
  bool added = aAddedCpu == 0;
  for (const auto& [image, cpu] : mBestEffortCpuByImage) {
    double requested = static_cast<double>(cpu);
    if (!added && image == aImage) {
      requested += static_cast<double>(aAddedCpu);
      added = true;
    }
    shares.push_back(FillingShare{ image, requested * pace / capacity });
  }
  if (!added) {
    shares.push_back(
      FillingShare{ aImage, static_cast<double>(aAddedCpu) * pace / capacity });
  }
  return shares;
}

std::set<TaskRef> WorkerRoom::MayRun() const
{
  std::set<TaskRef> tasks = mTasks;
  tasks.insert(mForeignRuns.begin(), mForeignRuns.end());
  for (const auto& [number, task] : mEndsNotDurable) {
    tasks.insert(task);
  }
  return tasks;
}

WorkerRoom* WorkerTable::Find(const WorkerId& aId)
{
  const auto found = mWorkers.find(aId);
  return found == mWorkers.end() ? nullptr : &found->second;
}

const WorkerRoom* WorkerTable::Find(const WorkerId& aId) const
{
  const auto found = mWorkers.find(aId);
  return found == mWorkers.end() ? nullptr : &found->second;
}

WorkerRoom& WorkerTable::Add(const WorkerId& aId)
{
  const auto [found, isNew] = mWorkers.try_emplace(aId);
  if (isNew) {
    NoteChange(found->second);
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

void WorkerTable::SetFacts(WorkerRoom& aWorker, const WorkerFacts& aFacts)
{
  if (!IsSameForPlacement(aWorker.mFacts, aFacts)) {
    NoteChange(aWorker);
  }
  aWorker.mFacts = aFacts;
  if (aFacts.mState == WorkerState::kLeaving) {
    mLeaving.insert(aFacts.mId);
  } else {
    mLeaving.erase(aFacts.mId);
  }
}

void WorkerTable::SetSilent(WorkerRoom& aWorker, bool aSilent)
{
  aWorker.mSilent = aSilent;
  NoteChange(aWorker);
  if (aSilent) {
    mSilent.insert(aWorker.mFacts.mId);
  } else {
    mSilent.erase(aWorker.mFacts.mId);
  }
}

void WorkerTable::NoteChange(WorkerRoom& aWorker)
{
  if (!aWorker.mIsInChangedList) {
    aWorker.mIsInChangedList = true;
    mChanged.push_back(&aWorker);
  }
}

std::vector<WorkerRoom*> WorkerTable::TakeChanged()
{
  for (WorkerRoom* worker : mChanged) {
    worker->mIsInChangedList = false;
  }
  return std::exchange(mChanged, {});
}

void WorkerTable::Charge(WorkerRoom& aWorker,
                         const TaskRef& aTask,
                         const StepSpec& aStep)
{
  if (!aWorker.mTasks.insert(aTask).second) {
    return;
  }
  NoteChange(aWorker);
  if (aStep.mFills) {
    aWorker.mFilling++;
    aWorker.mBestEffortDemand += aStep.mDemand;
    aWorker.mBestEffortCpuByImage[aStep.mImageNumber] +=
      aStep.mDemand.mCpuMillis;
  }
  aWorker.mLasting += aStep.mLasting ? 1 : 0;
  if (IsServing(aStep)) {
    aWorker.mServing++;
    aWorker.mServingCpu += aStep.Committed().mCpuMillis;
    aWorker.mServingImages[aStep.mImageNumber]++;
  }
  aWorker.mCharged += aStep.Committed();
}

void WorkerTable::Release(WorkerRoom& aWorker,
                          const TaskRef& aTask,
                          const StepSpec& aStep)
{
  if (aWorker.mTasks.erase(aTask) == 0) {
    return;
  }
  NoteChange(aWorker);
  if (aStep.mFills) {
    aWorker.mFilling--;
    aWorker.mBestEffortDemand -= aStep.mDemand;
    int64_t& imageCpu = aWorker.mBestEffortCpuByImage[aStep.mImageNumber];
    imageCpu -= aStep.mDemand.mCpuMillis;
    if (imageCpu <= 0) {
      aWorker.mBestEffortCpuByImage.erase(aStep.mImageNumber);
    }
  }
  aWorker.mLasting -= aStep.mLasting ? 1 : 0;
  if (IsServing(aStep)) {
    aWorker.mServing--;
    aWorker.mServingCpu -= aStep.Committed().mCpuMillis;
    if (--aWorker.mServingImages[aStep.mImageNumber] == 0) {
      aWorker.mServingImages.erase(aStep.mImageNumber);
    }
  }
  aWorker.mCharged -= aStep.Committed();
}

WorkerTime WorkerTable::EstimatedClock(const WorkerRoom& aWorker,
                                       MonotonicTime aNow) const
{
  return WorkerTime{ aWorker.mClock->mMilliseconds +
                     MillisecondsBetween(aWorker.mClockReceivedAt, aNow) };
}

void WorkerTable::ExtendLease(WorkerRoom& aWorker,
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
  aWorker.mLapsesAt = std::max(aWorker.mLapsesAt, expiredAt);
}

// Returns the longest real time that aMilliseconds on a worker's clock can
// take.
Milliseconds WorkerTable::MaxRealDuration(int64_t aMilliseconds) const
{
  return Milliseconds(aMilliseconds * kPerMille /
                      (kPerMille - mTerms.mClockDriftPerMille));
}

void WorkerTable::InheritLease(WorkerRoom& aWorker, MonotonicTime aNow) const
{
  const MonotonicTime expiredAt =
    aNow + MaxRealDuration(mTerms.mLength.count()) + mTerms.mMargin;
  aWorker.mLapsesAt = std::max(aWorker.mLapsesAt, expiredAt);
}

HoldOrder WorkerTable::NextHold(WorkerRoom& aWorker,
                                Epoch aEpoch,
                                bool aMayRenew,
                                MonotonicTime aNow)
{
  HoldOrder order;
  order.mWorker = aWorker.mFacts.mId;
  order.mEndpoint = aWorker.mFacts.mEndpoint;
  order.mEpoch = aEpoch;
  order.mSeen = aWorker.mDurable;
  const bool mayRenew = aMayRenew && !aWorker.mSilent && aWorker.mRecorded;
  if (!aWorker.mClock || !mayRenew) {
    return order;
  }
  const WorkerTime until{ EstimatedClock(aWorker, aNow).mMilliseconds +
                          mTerms.mLength.count() };
  ExtendLease(aWorker, until, aNow);
  order.mUntil = until;
  // A worker answers at once while it has ends that were not acknowledged.
  const bool allAcknowledged = aWorker.mDurable == aWorker.mTaken;
  const Milliseconds wait =
    aWorker.NeedsPacing() ? mTerms.mPacingWait : mTerms.mWait;
  order.mWait = allAcknowledged ? wait : Milliseconds(0);
  return order;
}

std::optional<WorkerTime> WorkerTable::LeaseForStart(WorkerRoom& aWorker,
                                                     MonotonicTime aNow)
{
  if (!aWorker.mClock) {
    return std::nullopt;
  }
  const WorkerTime clock = EstimatedClock(aWorker, aNow);
  const int64_t remaining =
    aWorker.mLeaseUntil.mMilliseconds - clock.mMilliseconds;
  if (remaining < kMinLeaseForStart.count()) {
    ExtendLease(aWorker,
                WorkerTime{ clock.mMilliseconds + mTerms.mLength.count() },
                aNow);
  }
  return aWorker.mLeaseUntil;
}

void WorkerTable::OnReading(WorkerRoom& aWorker,
                            const WorkerReading& aReading,
                            MonotonicTime aNow)
{
  if (!aReading.mClock) {
    return;
  }
  aWorker.mClock = aReading.mClock;
  aWorker.mClockReceivedAt = aNow;
}

} // namespace mulberryvalve
