// Queueing policies that were weighed and are kept for comparison.
#ifndef MULBERRYVALVE_BENCH_JOBS_BASELINE_QUEUEING_POLICIES_H_
#define MULBERRYVALVE_BENCH_JOBS_BASELINE_QUEUEING_POLICIES_H_

#include "mulberryvalve/core/jobs/queueing_policy.h"

namespace mulberryvalve {

// EarliestDeadlinePolicy serves by priority, then the job whose objective is
// due first. Immutable and therefore thread-safe.
class EarliestDeadlinePolicy : public QueueingPolicy
{
public:
  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime aNow) const override;
};

// LeastSlackPolicy serves by priority, then the job that has to be started
// first to meet its objective. Immutable and therefore thread-safe.
class LeastSlackPolicy : public QueueingPolicy
{
public:
  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime aNow) const override;
};

// How ThreeClassesPolicy orders jobs of the same class and priority.
enum class ClassOrder
{
  kLeastWork, // least remaining work
  kUrgency,   // least remaining work times the part of the time that is left
};

// ThreeClassesPolicy serves jobs that can be in time, then those that can be
// late but of use, then the others, oldest first. Immutable and therefore
// thread-safe.
class ThreeClassesPolicy : public QueueingPolicy
{
public:
  explicit ThreeClassesPolicy(ClassOrder aOrder)
    : mOrder(aOrder)
  {
  }

  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime aNow) const override;

private:
  const ClassOrder mOrder;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_BENCH_JOBS_BASELINE_QUEUEING_POLICIES_H_
