// CallerCostPolicy: the order of waiting steps in which a lack of capacity
// costs callers least.
#ifndef MULBERRYVALVE_CORE_JOBS_CALLER_COST_POLICY_H_
#define MULBERRYVALVE_CORE_JOBS_CALLER_COST_POLICY_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/jobs/queueing_policy.h"

namespace mulberryvalve {

// What a caller still gains from a job that is started now.
enum class CallerGain
{
  kUse,  // the job can finish while its result is of use
  kNone, // it finishes when nobody can use its result
  kAged, // as kNone, but it has waited so long that it must not starve
};

inline constexpr EnumTable<CallerGain, 3> kCallerGainNames{ {
  { { CallerGain::kUse, "use" },
    { CallerGain::kNone, "none" },
    { CallerGain::kAged, "aged" } },
} };

// GainOf returns what the caller of a step's job gains if the step is started
// at aNow. Long-running tasks are always of use. Thread-safe.
CallerGain GainOf(const WaitingStep& aStep, MonotonicTime aNow);

// CallerCostPolicy serves jobs by priority and then by least remaining work;
// those without use to their callers come last, oldest first. A job that has
// aged is served like one of use, and in about a tenth of the time aged jobs
// are served first, oldest first, so that no size and no priority starves while
// aged jobs cannot take the whole capacity. Immutable and therefore
// thread-safe.
class CallerCostPolicy : public QueueingPolicy
{
public:
  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime aNow) const override;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_CALLER_COST_POLICY_H_
