#include "mulberryvalve/core/jobs/job_placement.h"

#include <algorithm>
#include <optional>

namespace mulberryvalve {
namespace {

// Lower costs are better. The first part decides, then the second.
struct Cost
{
  int64_t mClass = 0;
  int64_t mLoad = 0;

  friend bool operator<(const Cost& aLeft, const Cost& aRight)
  {
    return aLeft.mClass != aRight.mClass ? aLeft.mClass < aRight.mClass
                                         : aLeft.mLoad < aRight.mLoad;
  }
};

// Data on another rack makes a task several times as long, which weighs more
// than any other difference.
constexpr int64_t kFarFromData = 1000;
constexpr int64_t kPerTask = 100;

bool HasLabel(const WorkerFacts& aFacts, const WorkerLabel& aLabel)
{
  return aLabel.Empty() ||
         std::find(aFacts.mLabels.begin(), aFacts.mLabels.end(), aLabel) !=
           aFacts.mLabels.end();
}

int64_t LoadOf(const WorkerRoom& aWorker)
{
  const int64_t capacity =
    std::max<int64_t>(1, aWorker.mFacts.mCapacity.mCpuMillis);
  const int64_t used = aWorker.mCharged.mCpuMillis +
                       aWorker.mFillingDemand.mCpuMillis;
  return used * kPerTask / capacity;
}

Cost CostOf(const StepSpec& aStep, const WorkerRoom& aWorker)
{
  Cost cost;
  const bool far =
    !aStep.mDataRack.Empty() && aStep.mDataRack != aWorker.mFacts.mRack;
  cost.mClass = far ? kFarFromData : 0;
  if (aStep.mLasting) {
    // Beside other lasting tasks first, and on the fullest of these.
    cost.mClass += aWorker.mLasting > 0 ? 0 : 1 + aWorker.mFilling;
    cost.mLoad = -LoadOf(aWorker);
    return cost;
  }
  cost.mLoad = LoadOf(aWorker);
  if (!aStep.mFills) {
    cost.mClass += aWorker.mFilling > 0 ? 1 : 0;
  }
  return cost;
}

// A worker with tasks that have a target for their tail is not disturbed.
bool Disturbs(const StepSpec& aStep, const WorkerRoom& aWorker)
{
  return aStep.mFills && aWorker.mLasting > 0;
}

} // namespace

bool IsOpenTo(const PlacementQuery& aQuery, const WorkerRoom& aWorker)
{
  const WorkerFacts& facts = aWorker.mFacts;
  if (!aWorker.mListed || !aWorker.mInventoried || aWorker.mSilent ||
      !aWorker.mRecorded || aWorker.mForeignUnknown || facts.mState != WorkerState::kLive ||
      aQuery.mNow < aWorker.mAvoidUntil) {
    return false;
  }
  if (facts.mService != aQuery.mService ||
      aQuery.mDomainsOut.count(facts.mDomain) != 0 ||
      !HasLabel(facts, aQuery.mStep.mRequiredLabel)) {
    return false;
  }
  if (!aQuery.mOnlyRack.Empty() && facts.mRack != aQuery.mOnlyRack) {
    return false;
  }
  if (aQuery.mStep.mMaxPerWorker > 0) {
    const auto siblings = aQuery.mSiblings.find(facts.mId);
    if (siblings != aQuery.mSiblings.end() &&
        siblings->second >= aQuery.mStep.mMaxPerWorker) {
      return false;
    }
  }
  if (!aQuery.mStep.mLasting && aQuery.mNow < aWorker.mKeptForLastingUntil) {
    return false;
  }
  return true;
}

bool MayPlace(const PlacementQuery& aQuery, const WorkerRoom& aWorker)
{
  Resources demand = aQuery.mStep.mDemand;
  if (aQuery.mStep.mFills) {
    demand.mCpuMillis = 0;
  }
  return IsOpenTo(aQuery, aWorker) && demand.FitsIn(aWorker.Room());
}

bool MayPlaceWithoutFilling(const PlacementQuery& aQuery,
                            const WorkerRoom& aWorker)
{
  Resources given = aWorker.mFillingDemand;
  given.mCpuMillis = 0;
  return IsOpenTo(aQuery, aWorker) &&
         aQuery.mStep.mDemand.FitsIn(aWorker.Room() + given);
}

WorkerRoom* SeparatingPlacement::Choose(const PlacementQuery& aQuery,
                                        WorkerTable& aWorkers) const
{
  WorkerRoom* best = nullptr;
  Cost bestCost;
  for (auto& [id, worker] : aWorkers.All()) {
    if (!MayPlace(aQuery, worker) || Disturbs(aQuery.mStep, worker)) {
      continue;
    }
    const Cost cost = CostOf(aQuery.mStep, worker);
    if (best == nullptr || cost < bestCost) {
      best = &worker;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace mulberryvalve
