#include "mulberryvalve/core/jobs/job_placement_policy.h"

#include "mulberryvalve/core/base/scale.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// Costs are in percent of a worker's CPU usage; the lowest wins. With its data
// on another rack a task takes several times as long, which outweighs any
// difference in usage.
constexpr int64_t kRemoteDataCost = 1000;
// A pressure that raises the load of a service by a tenth costs as much as 30
// percent of a worker's CPU usage.
constexpr double kPressureCost = 300;
// The first serving task on a worker.
constexpr int64_t kFirstServingTaskCost = 100;
// The worker on which a task failed may be at fault; this outweighs any
// difference in usage.
constexpr int64_t kFailedHereCost = 500;
// A single task with this much pressure is better placed elsewhere.
constexpr double kMaxTaskPressure = 0.25;
// No best-effort task is added once a tail latency reaches this percentage of
// its target, or while the pace is below this percentage.
constexpr int kMaxTailPercentToAdd = 105;
constexpr int kMinPaceToAdd = 40;

bool HasLabel(const WorkerInfo& aFacts, const WorkerLabel& aLabel)
{
  return aLabel.Empty() ||
         std::find(aFacts.mLabels.begin(), aFacts.mLabels.end(), aLabel) !=
           aFacts.mLabels.end();
}

// What serving tasks leave of their share, in hundredths; a worker's tasks that
// fill get it.
constexpr int64_t kServingUsagePercent = 42;

// Returns the pressure that the best-effort tasks of a worker put on a serving
// image, with aAddedCpu thousandths of a core more of aImage.
double PressureOn(ImageNumber aServing,
                  const InterferenceEstimator& aInterference,
                  const WorkerEntry& aWorker,
                  ImageNumber aImage,
                  int64_t aAddedCpu)
{
  const auto capacity = static_cast<double>(aWorker.CpuCapacity());
  double pressure = 0;
  int64_t added = aAddedCpu;
  for (const auto& [image, cpu] : aWorker.mBestEffortCpuByImage) {
    const int64_t requested =
      cpu + (image == aImage ? std::exchange(added, 0) : 0);
    pressure += static_cast<double>(requested) / capacity *
                aInterference.Weight(aServing, image);
  }
  return pressure + static_cast<double>(added) / capacity *
                      aInterference.Weight(aServing, aImage);
}

// Returns the highest pressure that the best-effort tasks of a worker put on
// any of its serving images, with aAddedCpu thousandths of a core more of
// aImage.
double WorstPressure(const InterferenceEstimator& aInterference,
                     const WorkerEntry& aWorker,
                     ImageNumber aImage,
                     int64_t aAddedCpu)
{
  double worst = 0;
  for (const auto& [serving, count] : aWorker.mServingImages) {
    worst = std::max(
      worst, PressureOn(serving, aInterference, aWorker, aImage, aAddedCpu));
  }
  return worst;
}

// Returns the pressure that a best-effort task of the step would cause on a
// worker, or that a serving task of it would suffer there.
double PressureIfPlaced(const PlacementQuery& aQuery,
                        const WorkerEntry& aWorker)
{
  const StepSpec& step = aQuery.mStep;
  if (step.mBestEffort) {
    return aWorker.mServingTasks == 0 ? 0
                                      : WorstPressure(aQuery.mInterference,
                                                      aWorker,
                                                      step.mImageNumber,
                                                      step.mDemand.mCpuMillis);
  }
  if (step.mTailLatencyTarget.count() > 0 && aWorker.mBestEffortTasks > 0) {
    return PressureOn(
      step.mImageNumber, aQuery.mInterference, aWorker, step.mImageNumber, 0);
  }
  return 0;
}

// Prefers few serving images per worker: then more best-effort images disturb
// none of them.
int64_t ImageMixCost(const StepSpec& aStep,
                     const WorkerEntry& aWorker,
                     const PressureLimit& aLimit)
{
  if (aWorker.mServingImages.count(aStep.mImageNumber) != 0) {
    return 0;
  }
  return aWorker.mServingImages.empty() ? kFirstServingTaskCost
                                        : aLimit.MixedImagesCost();
}

int64_t TotalCost(const PlacementQuery& aQuery,
                  const WorkerEntry& aWorker,
                  const PressureLimit& aLimit)
{
  const StepSpec& step = aQuery.mStep;
  const int64_t used = step.mLongRunning
                         ? aWorker.CpuCapacity() - aWorker.mCharged.mCpuMillis
                         : EstimatedCpuUsage(aWorker);
  const bool isRemote =
    !step.mDataRack.Empty() && step.mDataRack != aWorker.mInfo.mRack;
  const double pressure = PressureIfPlaced(aQuery, aWorker);
  const int64_t mixCost =
    step.mLongRunning ? ImageMixCost(step, aWorker, aLimit) : 0;
  return mixCost + used * kPercent / aWorker.CpuCapacity() +
         (isRemote ? kRemoteDataCost : 0) +
         (aWorker.mInfo.mId == aQuery.mLastFailedWorker ? kFailedHereCost : 0) +
         static_cast<int64_t>(pressure * kPressureCost);
}

// Returns whether a best-effort task would put too much pressure on a serving
// task, alone or together with those present, or whether a tail latency is
// close to its target already.
bool ExceedsPressureLimit(const PlacementQuery& aQuery,
                          const WorkerEntry& aWorker,
                          const PressureLimit& aLimit)
{
  if (aWorker.mPace.mTailPercentOfTarget >= kMaxTailPercentToAdd ||
      aWorker.mPace.mPercent < kMinPaceToAdd) {
    return true;
  }
  if (aQuery.mHasWaitedLong) {
    return false;
  }
  const StepSpec& step = aQuery.mStep;
  const double share = static_cast<double>(step.mDemand.mCpuMillis) /
                       static_cast<double>(aWorker.CpuCapacity());
  for (const auto& [serving, count] : aWorker.mServingImages) {
    const double weight =
      aQuery.mInterference.Weight(serving, step.mImageNumber);
    if (weight * share >= kMaxTaskPressure) {
      return true;
    }
  }
  return PressureIfPlaced(aQuery, aWorker) > aLimit.Admitted(aWorker);
}

// Returns whether the task is best effort and would get no CPU on the worker or
// make serving tasks miss their target.
bool RejectsBestEffort(const PlacementQuery& aQuery,
                       const WorkerEntry& aWorker,
                       const PressureLimit& aLimit)
{
  const StepSpec& step = aQuery.mStep;
  if (!step.mBestEffort) {
    return false;
  }
  if (aWorker.mServingTasks > 0 &&
      ExceedsPressureLimit(aQuery, aWorker, aLimit)) {
    return true;
  }
  return EstimatedCpuUsage(aWorker) + step.mDemand.mCpuMillis >
         aWorker.CpuCapacity();
}

} // namespace

int64_t EstimatedCpuUsage(const WorkerEntry& aWorker)
{
  const int64_t unusedByServing =
    aWorker.mServingCpu * (kPercent - kServingUsagePercent) / kPercent;
  return aWorker.mCharged.mCpuMillis + aWorker.mForeignDemand.mCpuMillis -
         unusedByServing + aWorker.mBestEffortDemand.mCpuMillis;
}

PlacementRefusal EligibilityRefusal(const PlacementQuery& aQuery,
                                    const WorkerEntry& aWorker)
{
  const WorkerInfo& facts = aWorker.mInfo;
  if (!aWorker.mListed || aWorker.mIsGiven ||
      facts.mState != WorkerState::kLive) {
    return PlacementRefusal::kLeaving;
  }
  if (!aWorker.mHasReportedRuns || aWorker.mSilent || !aWorker.MayBeUsed() ||
      aWorker.mHasHandoverNote || aWorker.mForeignDemandUnknown ||
      !aWorker.IsInfoCurrent()) {
    return PlacementRefusal::kUnsure;
  }
  const MonotonicTime avoidedUntil =
    aQuery.mMayRetryAvoided ? aWorker.mRetryAt : aWorker.mAvoidUntil;
  if (aQuery.mNow < avoidedUntil) {
    return PlacementRefusal::kAvoided;
  }
  if (aQuery.mExcludedDomains.count(facts.mDomain) != 0) {
    return PlacementRefusal::kDomainOut;
  }
  if (facts.mService != aQuery.mService ||
      !HasLabel(facts, aQuery.mStep.mRequiredLabel) ||
      (!aQuery.mRequiredRack.Empty() && facts.mRack != aQuery.mRequiredRack)) {
    return PlacementRefusal::kUnsuited;
  }
  if (aQuery.mStep.mMaxPerWorker > 0) {
    const auto siblings = aQuery.mTasksPerWorker.find(facts.mId);
    if (siblings != aQuery.mTasksPerWorker.end() &&
        siblings->second >= aQuery.mStep.mMaxPerWorker) {
      return PlacementRefusal::kSiblings;
    }
  }
  if (!aQuery.mStep.mLongRunning &&
      aQuery.mNow < aWorker.mReservedForLongRunningUntil) {
    return PlacementRefusal::kNoRoom;
  }
  return PlacementRefusal::kNone;
}

bool IsEligible(const PlacementQuery& aQuery, const WorkerEntry& aWorker)
{
  return EligibilityRefusal(aQuery, aWorker) == PlacementRefusal::kNone;
}

bool CanPlace(const PlacementQuery& aQuery, const WorkerEntry& aWorker)
{
  return IsEligible(aQuery, aWorker) &&
         aQuery.mStep.Committed().FitsIn(aWorker.FreeCapacity());
}

bool CanPlaceAfterEviction(const PlacementQuery& aQuery,
                           const WorkerEntry& aWorker)
{
  Resources evictable = aWorker.mBestEffortDemand;
  evictable.mCpuMillis = 0;
  return IsEligible(aQuery, aWorker) &&
         aQuery.mStep.mDemand.FitsIn(aWorker.FreeCapacity() + evictable);
}

uint64_t TasksThatFit(const StepSpec& aStep,
                      const WorkerEntry& aWorker,
                      uint64_t aMost)
{
  const Resources demand = aStep.Committed();
  const Resources free = aWorker.FreeCapacity();
  uint64_t tasks = aMost;
  const auto limit = [&tasks](int64_t aFree, int64_t aDemand) {
    if (aDemand > 0) {
      tasks = std::min(tasks, static_cast<uint64_t>(aFree / aDemand));
    }
  };
  limit(free.mCpuMillis, demand.mCpuMillis);
  limit(free.mMemoryMb, demand.mMemoryMb);
  limit(free.mAccelerators, demand.mAccelerators);
  if (aStep.mMaxPerWorker > 0) {
    tasks = std::min<uint64_t>(tasks, aStep.mMaxPerWorker);
  }
  return tasks;
}

std::optional<int64_t> LearnedPlacementPolicy::CostOn(
  const PlacementQuery& aQuery,
  const WorkerEntry& aWorker) const
{
  if (!CanPlace(aQuery, aWorker) ||
      RejectsBestEffort(aQuery, aWorker, mLimit)) {
    return std::nullopt;
  }
  return TotalCost(aQuery, aWorker, mLimit);
}

PlacementRefusal LearnedPlacementPolicy::RefusalOn(
  const PlacementQuery& aQuery,
  const WorkerEntry& aWorker) const
{
  const PlacementRefusal eligibility = EligibilityRefusal(aQuery, aWorker);
  if (eligibility != PlacementRefusal::kNone) {
    return eligibility;
  }
  if (!CanPlace(aQuery, aWorker)) {
    return PlacementRefusal::kNoRoom;
  }
  if (!RejectsBestEffort(aQuery, aWorker, mLimit)) {
    return PlacementRefusal::kNone;
  }
  const bool overPressure =
    aWorker.mServingTasks > 0 && ExceedsPressureLimit(aQuery, aWorker, mLimit);
  return overPressure ? PlacementRefusal::kPressure
                      : PlacementRefusal::kAllUsed;
}

} // namespace mulberryvalve
