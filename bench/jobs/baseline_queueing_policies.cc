#include "bench/jobs/baseline_queueing_policies.h"

#include "mulberryvalve/core/jobs/sort_by_rank.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mulberryvalve {
namespace {

// The least factor by which a short time left reduces the work of a job.
constexpr double kMinUrgency = 0.1;

enum class EndClass
{
  kInTime,
  kLate,
  kPastUse,
};

MonotonicTime UsefulUntil(const WaitingStep& aStep)
{
  return aStep.mAcceptedAt +
         kUsefulObjectives * (aStep.mObjectiveAt - aStep.mAcceptedAt);
}

EndClass EndClassOf(const WaitingStep& aStep, MonotonicTime aNow)
{
  const MonotonicTime end = aNow + aStep.mRemainingChain;
  if (aStep.mIsLongRunning || end <= aStep.mObjectiveAt) {
    return EndClass::kInTime;
  }
  return end <= UsefulUntil(aStep) ? EndClass::kLate : EndClass::kPastUse;
}

// Returns the part of the time from acceptance to the end of the class that is
// left before the job has to be started.
double Urgency(const WaitingStep& aStep, EndClass aClass, MonotonicTime aNow)
{
  const MonotonicTime end =
    aClass == EndClass::kInTime ? aStep.mObjectiveAt : UsefulUntil(aStep);
  const auto slack = end - aStep.mRemainingChain - aNow;
  const auto whole =
    std::max(end - aStep.mAcceptedAt, MonotonicTime::duration(Milliseconds(1)));
  return std::clamp(std::chrono::duration<double>(slack).count() /
                      std::chrono::duration<double>(whole).count(),
                    kMinUrgency,
                    1.0);
}

double CostOf(const WaitingStep& aStep,
              EndClass aClass,
              ClassOrder aOrder,
              MonotonicTime aNow)
{
  if (aClass == EndClass::kPastUse) {
    return -std::chrono::duration<double>(aNow - aStep.mAcceptedAt).count();
  }
  const auto work = static_cast<double>(aStep.mRemainingWork);
  return aOrder == ClassOrder::kUrgency ? work * Urgency(aStep, aClass, aNow)
                                        : work;
}

} // namespace

void EarliestDeadlinePolicy::Sort(std::vector<WaitingStep>& aSteps,
                                  MonotonicTime /*aNow*/) const
{
  SortByRank(aSteps, [](const WaitingStep& aStep) {
    return std::make_tuple(aStep.mPriority, aStep.mObjectiveAt);
  });
}

void LeastSlackPolicy::Sort(std::vector<WaitingStep>& aSteps,
                            MonotonicTime /*aNow*/) const
{
  SortByRank(aSteps, [](const WaitingStep& aStep) {
    return std::make_tuple(aStep.mPriority,
                           aStep.mObjectiveAt - aStep.mRemainingChain);
  });
}

void ThreeClassesPolicy::Sort(std::vector<WaitingStep>& aSteps,
                              MonotonicTime aNow) const
{
  SortByRank(aSteps, [&](const WaitingStep& aStep) {
    const EndClass endClass = EndClassOf(aStep, aNow);
    return std::make_tuple(
      endClass, aStep.mPriority, CostOf(aStep, endClass, mOrder, aNow));
  });
}

} // namespace mulberryvalve
