#include "mulberryvalve/core/jobs/queueing_policy.h"

#include "mulberryvalve/core/jobs/sort_by_rank.h"

#include <algorithm>
#include <tuple>

namespace mulberryvalve {
namespace {

// The age of a job is measured in multiples of its objective. Each multiple
// beyond this one halves the weight of its remaining work, up to a limit.
constexpr int64_t kFullWeightAge = 6;
constexpr int64_t kMaxHalvings = 20;

int64_t WeightedWork(const WaitingStep& aStep, MonotonicTime aNow)
{
  const auto objective = std::max(aStep.mObjectiveAt - aStep.mAcceptedAt,
                                  MonotonicTime::duration(Milliseconds(1)));
  const int64_t age = (aNow - aStep.mAcceptedAt) / objective;
  const int64_t halvings =
    std::clamp<int64_t>(age - kFullWeightAge, 0, kMaxHalvings);
  return aStep.mRemainingWork >> halvings;
}

bool IsEarlier(const WaitingStep& aLeft, const WaitingStep& aRight)
{
  return std::tie(aLeft.mPriority, aLeft.mStep) <
         std::tie(aRight.mPriority, aRight.mStep);
}

} // namespace

void FifoPolicy::Sort(std::vector<WaitingStep>& aSteps,
                      MonotonicTime /*aNow*/) const
{
  std::sort(aSteps.begin(), aSteps.end(), IsEarlier);
}

void LeastRemainingWorkPolicy::Sort(std::vector<WaitingStep>& aSteps,
                                    MonotonicTime aNow) const
{
  SortByRank(aSteps, [aNow](const WaitingStep& aStep) {
    return std::make_tuple(aStep.mPriority, WeightedWork(aStep, aNow));
  });
}

} // namespace mulberryvalve
