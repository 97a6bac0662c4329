// FairSharePolicy: serves the client accounts by weight when there is not room
// for all jobs.
#ifndef MULBERRYVALVE_CORE_JOBS_FAIR_SHARE_POLICY_H_
#define MULBERRYVALVE_CORE_JOBS_FAIR_SHARE_POLICY_H_

#include "mulberryvalve/core/jobs/queueing_policy.h"

namespace mulberryvalve {

// FairSharePolicy refines the order of another policy. Jobs beyond the rate of
// their account come after all others. Within a priority, accounts are merged
// by weighted fair queueing on the remaining work of their jobs, after the work
// that they have running; the steps of one account keep the order of the other
// policy. Without accounts nothing is changed. Immutable and therefore
// thread-safe.
class FairSharePolicy : public QueueingPolicy
{
public:
  // aWithinAccount sorts the steps of one account; it must outlive this object.
  explicit FairSharePolicy(const QueueingPolicy& aWithinAccount)
    : mWithinAccount(aWithinAccount)
  {
  }

  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime aNow) const override;

private:
  const QueueingPolicy& mWithinAccount;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_FAIR_SHARE_POLICY_H_
