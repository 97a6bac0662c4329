#include "mulberryvalve/core/jobs/caller_cost_policy.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mulberryvalve {
namespace {

// A result later than this many objectives is of no use to a caller.
constexpr int64_t kUsefulObjectives = 3;
// A job that has waited for this many objectives is served like one of use.
constexpr int64_t kAgedObjectives = 8;
// Keeps jobs with an objective near zero from aging within milliseconds.
constexpr Milliseconds kMinAge{ 8000 };
// Aged jobs go first during kAgedSlice of each kAgedPeriod. The period is a
// prime, so that run times that are a multiple of a round number do not end
// outside the slice each time.
constexpr Milliseconds kAgedPeriod{ 1373 };
constexpr Milliseconds kAgedSlice{ 137 };

MonotonicTime::duration ObjectiveOf(const WaitingStep& aStep)
{
  return aStep.mObjectiveAt - aStep.mAcceptedAt;
}

MonotonicTime::duration AgedAfter(const WaitingStep& aStep)
{
  return std::max<MonotonicTime::duration>(kAgedObjectives * ObjectiveOf(aStep),
                                           kMinAge);
}

bool AreAgedFirst(MonotonicTime aNow)
{
  return aNow.time_since_epoch() % kAgedPeriod < kAgedSlice;
}

// The groups in which steps are served, the lowest first.
enum class ServiceGroup
{
  kAgedFirst,
  kByWork,
  kWithoutUse,
};

ServiceGroup GroupOf(CallerGain aGain, bool aAreAgedFirst)
{
  switch (aGain) {
    case CallerGain::kAged:
      return aAreAgedFirst ? ServiceGroup::kAgedFirst : ServiceGroup::kByWork;
    case CallerGain::kNone:
      return ServiceGroup::kWithoutUse;
    case CallerGain::kUse:
      break;
  }
  return ServiceGroup::kByWork;
}

// RankedStep compares by group; then by priority and work, or by age alone.
struct RankedStep
{
  ServiceGroup mGroup = ServiceGroup::kByWork;
  int mPriority = 0;
  int64_t mWork = 0;
  MonotonicTime mDueAt;
  WaitingStep* mStep = nullptr;

  friend bool operator<(const RankedStep& aLeft, const RankedStep& aRight)
  {
    const auto left =
      std::tie(aLeft.mGroup, aLeft.mPriority, aLeft.mWork, aLeft.mDueAt);
    const auto right =
      std::tie(aRight.mGroup, aRight.mPriority, aRight.mWork, aRight.mDueAt);
    return left == right ? aLeft.mStep->mStep < aRight.mStep->mStep
                         : left < right;
  }
};

RankedStep RankOf(WaitingStep& aStep, MonotonicTime aNow, bool aAreAgedFirst)
{
  RankedStep rank;
  rank.mGroup = GroupOf(GainOf(aStep, aNow), aAreAgedFirst);
  rank.mStep = &aStep;
  if (rank.mGroup == ServiceGroup::kByWork) {
    rank.mPriority = aStep.mPriority;
    rank.mWork = aStep.mRemainingWork;
  } else {
    rank.mDueAt = aStep.mDueAt;
  }
  return rank;
}

} // namespace

CallerGain GainOf(const WaitingStep& aStep, MonotonicTime aNow)
{
  const MonotonicTime usefulUntil =
    aStep.mDueAt + kUsefulObjectives * ObjectiveOf(aStep);
  if (aStep.mIsLongRunning || aNow + aStep.mRemainingChain <= usefulUntil) {
    return CallerGain::kUse;
  }
  return aNow < aStep.mDueAt + AgedAfter(aStep) ? CallerGain::kNone
                                                : CallerGain::kAged;
}

void CallerCostPolicy::Sort(std::vector<WaitingStep>& aSteps,
                            MonotonicTime aNow) const
{
  const bool areAgedFirst = AreAgedFirst(aNow);
  std::vector<RankedStep> ranks;
  ranks.reserve(aSteps.size());
  for (WaitingStep& step : aSteps) {
    ranks.push_back(RankOf(step, aNow, areAgedFirst));
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<WaitingStep> sorted;
  sorted.reserve(aSteps.size());
  for (const RankedStep& rank : ranks) {
    sorted.push_back(*rank.mStep);
  }
  aSteps = std::move(sorted);
}

} // namespace mulberryvalve
