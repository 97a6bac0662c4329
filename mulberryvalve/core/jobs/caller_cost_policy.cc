#include "mulberryvalve/core/jobs/caller_cost_policy.h"

#include "mulberryvalve/core/jobs/sort_by_rank.h"

#include <algorithm>
#include <tuple>

namespace mulberryvalve {
namespace {

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

// Ranks by group; then by priority and work, or by age alone.
std::tuple<ServiceGroup, int, int64_t, MonotonicTime>
RankOf(const WaitingStep& aStep, MonotonicTime aNow, bool aAreAgedFirst)
{
  const ServiceGroup group = GroupOf(GainOf(aStep, aNow), aAreAgedFirst);
  if (group == ServiceGroup::kByWork) {
    return { group, aStep.mPriority, aStep.mRemainingWork, MonotonicTime() };
  }
  return { group, 0, 0, aStep.mDueAt };
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
  SortByRank(aSteps, [=](const WaitingStep& aStep) {
    return RankOf(aStep, aNow, areAgedFirst);
  });
}

} // namespace mulberryvalve
