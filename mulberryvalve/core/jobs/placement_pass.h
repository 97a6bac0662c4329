// PlacementPass: the steps that wait, in the order in which they are served,
// and how far that has come.
#ifndef MULBERRYVALVE_CORE_JOBS_PLACEMENT_PASS_H_
#define MULBERRYVALVE_CORE_JOBS_PLACEMENT_PASS_H_

#include "mulberryvalve/core/jobs/waiting_order.h"

#include <cstddef>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace mulberryvalve {

// RefusedDemands remembers, by image and kind of task, the least demand that
// found no worker, to pass over steps that ask for as much. Not synchronised.
class RefusedDemands
{
public:
  // Covers tells whether as much as aStep asks for was refused.
  bool Covers(const StepSpec& aStep, bool aHasWaitedLong) const
  {
    const auto found = mMinimalDemands.find(KeyOf(aStep, aHasWaitedLong));
    return found != mMinimalDemands.end() &&
           found->second.FitsIn(aStep.mDemand);
  }

  // Add takes in that aStep was refused.
  void Add(const StepSpec& aStep, bool aHasWaitedLong)
  {
    const bool isSpecial = !aStep.mRequiredLabel.Empty() ||
                           aStep.mMaxPerWorker > 0 || aStep.mSameRack;
    if (isSpecial) {
      return;
    }
    const auto [found, isNew] =
      mMinimalDemands.try_emplace(KeyOf(aStep, aHasWaitedLong), aStep.mDemand);
    if (!isNew && aStep.mDemand.FitsIn(found->second)) {
      found->second = aStep.mDemand;
    }
  }

private:
  using DemandClass = std::tuple<bool, bool, bool, ImageNumber>;

  static DemandClass KeyOf(const StepSpec& aStep, bool aHasWaitedLong)
  {
    return { aHasWaitedLong, aStep.mFills, aStep.mLasting, aStep.mImageNumber };
  }

  std::map<DemandClass, Resources> mMinimalDemands;
};

// PlacementPass is one pass over the steps that wait. It may be served in
// parts, between which other things are decided. Not synchronised.
class PlacementPass
{
public:
  PlacementPass() = default;
  // aBegunAt is when aOrder was the right order.
  PlacementPass(std::vector<WaitingStep> aOrder, MonotonicTime aBegunAt)
    : mOrder(std::move(aOrder))
    , mBegunAt(aBegunAt)
  {
  }

  // IsUnderWay tells whether steps are left.
  bool IsUnderWay() const { return mNext < mOrder.size(); }

  // Next returns the next step; there must be one.
  const WaitingStep& Next() { return mOrder[mNext++]; }

  // PutBack makes the step that Next returned last the next one again.
  void PutBack() { mNext--; }

  // BegunAt returns when the pass began.
  MonotonicTime BegunAt() const { return mBegunAt; }

  // Refused returns what found no worker in this pass.
  RefusedDemands& Refused() { return mRefused; }

private:
  std::vector<WaitingStep> mOrder;
  size_t mNext = 0;
  MonotonicTime mBegunAt;
  RefusedDemands mRefused;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_PLACEMENT_PASS_H_
