// One pass over the waiting steps in the order in which they are served.
#ifndef MULBERRYVALVE_CORE_JOBS_PLACEMENT_PASS_H_
#define MULBERRYVALVE_CORE_JOBS_PLACEMENT_PASS_H_

#include "mulberryvalve/core/jobs/queueing_policy.h"

#include <cstddef>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace mulberryvalve {

// RefusedDemands remembers, by service, image and class of task, the smallest
// demand that no worker of the service could take, of all its workers or of
// those of a bucket, so that steps with at least that demand are skipped. Not
// synchronised.
class RefusedDemands
{
public:
  // Covers returns whether a demand no larger than that of aStep was refused.
  bool Covers(const ServiceId& aService,
              const StepSpec& aStep,
              bool aHasWaitedLong,
              std::optional<size_t> aBucket) const
  {
    const auto found =
      mMinimalDemands.find(KeyOf(aService, aStep, aHasWaitedLong, aBucket));
    return found != mMinimalDemands.end() &&
           found->second.FitsIn(aStep.mDemand);
  }

  // Add records that no worker could take a task of aStep. Steps with a label,
  // rack or per-worker limit are not recorded, as their refusal says nothing
  // about other steps.
  void Add(const ServiceId& aService,
           const StepSpec& aStep,
           bool aHasWaitedLong,
           std::optional<size_t> aBucket)
  {
    const bool isSpecial = !aStep.mRequiredLabel.Empty() ||
                           aStep.mMaxPerWorker > 0 || aStep.mSameRack;
    if (isSpecial) {
      return;
    }
    const auto [found, isNew] = mMinimalDemands.try_emplace(
      KeyOf(aService, aStep, aHasWaitedLong, aBucket), aStep.mDemand);
    if (!isNew && aStep.mDemand.FitsIn(found->second)) {
      found->second = aStep.mDemand;
    }
  }

private:
  using DemandClass =
    std::tuple<ServiceId, bool, bool, bool, ImageNumber, std::optional<size_t>>;

  static DemandClass KeyOf(const ServiceId& aService,
                           const StepSpec& aStep,
                           bool aHasWaitedLong,
                           std::optional<size_t> aBucket)
  {
    return { aService,           aHasWaitedLong,     aStep.mBestEffort,
             aStep.mLongRunning, aStep.mImageNumber, aBucket };
  }

  std::map<DemandClass, Resources> mMinimalDemands;
};

// PlacementPass iterates over the waiting steps. A pass may be interrupted by
// other decisions and resumed. Not synchronised.
class PlacementPass
{
public:
  PlacementPass() = default;
  // aBegunAt is the time for which aOrder was computed.
  PlacementPass(std::vector<WaitingStep> aOrder, MonotonicTime aBegunAt)
    : mOrder(std::move(aOrder))
    , mBegunAt(aBegunAt)
  {
  }

  // HasNext returns whether steps are left.
  bool HasNext() const { return mNext < mOrder.size(); }

  // Next returns the next step. Requires HasNext().
  const WaitingStep& Next() { return mOrder[mNext++]; }

  // PutBack makes the step returned last by Next the next one again.
  void PutBack() { mNext--; }

  // BegunAt returns the time for which the order was computed.
  MonotonicTime BegunAt() const { return mBegunAt; }

  // Refused returns the demands that no worker could take in this pass.
  RefusedDemands& Refused() { return mRefused; }

private:
  std::vector<WaitingStep> mOrder;
  size_t mNext = 0;
  MonotonicTime mBegunAt;
  RefusedDemands mRefused;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_PLACEMENT_PASS_H_
