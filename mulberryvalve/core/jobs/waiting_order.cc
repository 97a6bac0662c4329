#include "mulberryvalve/core/jobs/waiting_order.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mulberryvalve {
namespace {

// Ages are counted in objectives; each one beyond this halves what a job's work
// counts for, up to a limit. A caller has no use for a job after three.
constexpr int64_t kAgeOfFullWeight = 6;
constexpr int64_t kMostHalvings = 20;

int64_t WeightOf(const WaitingStep& aStep, MonotonicTime aNow)
{
  const auto objective = std::max(aStep.mObjectiveAt - aStep.mAcceptedAt,
                                  MonotonicTime::duration(Milliseconds(1)));
  const int64_t age = (aNow - aStep.mAcceptedAt) / objective;
  const int64_t halvings =
    std::clamp<int64_t>(age - kAgeOfFullWeight, 0, kMostHalvings);
  return aStep.mRestOfWork >> halvings;
}

bool IsEarlier(const WaitingStep& aLeft, const WaitingStep& aRight)
{
  return std::tie(aLeft.mPriority, aLeft.mStep) <
         std::tie(aRight.mPriority, aRight.mStep);
}

} // namespace

void ArrivalOrder::Sort(std::vector<WaitingStep>& aSteps,
                        MonotonicTime /*aNow*/) const
{
  std::sort(aSteps.begin(), aSteps.end(), IsEarlier);
}

void LeastWorkOrder::Sort(std::vector<WaitingStep>& aSteps,
                          MonotonicTime aNow) const
{
  struct Weighed
  {
    int mPriority;
    int64_t mWeight;
    WaitingStep* mStep;
  };
  std::vector<Weighed> weighed;
  weighed.reserve(aSteps.size());
  for (WaitingStep& step : aSteps) {
    weighed.push_back(Weighed{ step.mPriority, WeightOf(step, aNow), &step });
  }
  std::sort(weighed.begin(),
            weighed.end(),
            [](const Weighed& aLeft, const Weighed& aRight) {
              const auto left = std::tie(aLeft.mPriority, aLeft.mWeight);
              const auto right = std::tie(aRight.mPriority, aRight.mWeight);
              return left == right ? IsEarlier(*aLeft.mStep, *aRight.mStep)
                                   : left < right;
            });
  std::vector<WaitingStep> sorted;
  sorted.reserve(weighed.size());
  for (const Weighed& entry : weighed) {
    sorted.push_back(*entry.mStep);
  }
  aSteps = std::move(sorted);
}

} // namespace mulberryvalve
