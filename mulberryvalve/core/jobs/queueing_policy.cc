#include "mulberryvalve/core/jobs/queueing_policy.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mulberryvalve {
namespace {

// The age of a job is measured in multiples of its objective. Each multiple
// beyond this one halves the weight of its remaining work, up to a limit. A
// result later than three objectives is of no use to a client.
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
  struct WeightedStep
  {
    int mPriority;
    int64_t mWeight;
    WaitingStep* mStep;
  };
  std::vector<WeightedStep> weightedSteps;
  weightedSteps.reserve(aSteps.size());
  for (WaitingStep& step : aSteps) {
    weightedSteps.push_back(
      WeightedStep{ step.mPriority, WeightedWork(step, aNow), &step });
  }
  std::sort(weightedSteps.begin(),
            weightedSteps.end(),
            [](const WeightedStep& aLeft, const WeightedStep& aRight) {
              const auto left = std::tie(aLeft.mPriority, aLeft.mWeight);
              const auto right = std::tie(aRight.mPriority, aRight.mWeight);
              return left == right ? IsEarlier(*aLeft.mStep, *aRight.mStep)
                                   : left < right;
            });
  std::vector<WaitingStep> sorted;
  sorted.reserve(weightedSteps.size());
  for (const WeightedStep& entry : weightedSteps) {
    sorted.push_back(*entry.mStep);
  }
  aSteps = std::move(sorted);
}

} // namespace mulberryvalve
