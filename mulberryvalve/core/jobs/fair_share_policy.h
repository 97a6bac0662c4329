// FairSharePolicy: the order between client accounts when there is not room for
// all jobs.
#ifndef MULBERRYVALVE_CORE_JOBS_FAIR_SHARE_POLICY_H_
#define MULBERRYVALVE_CORE_JOBS_FAIR_SHARE_POLICY_H_

#include "mulberryvalve/core/jobs/queueing_policy.h"

namespace mulberryvalve {

// FairSharePolicy refines the order of another policy. Jobs beyond the rate of
// their account come after all others. Within a priority, accounts far above
// their share come after the others. Apart from that, and without accounts, the
// order is that of the other policy. Immutable and therefore thread-safe.
class FairSharePolicy : public QueueingPolicy
{
public:
  // aOrder must outlive this object.
  explicit FairSharePolicy(const QueueingPolicy& aOrder)
    : mOrder(aOrder)
  {
  }

  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime aNow) const override;

private:
  const QueueingPolicy& mOrder;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_FAIR_SHARE_POLICY_H_
