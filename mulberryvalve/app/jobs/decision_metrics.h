// Counts the decisions of a shard's owner in the metrics.
#ifndef MULBERRYVALVE_APP_JOBS_DECISION_METRICS_H_
#define MULBERRYVALVE_APP_JOBS_DECISION_METRICS_H_

#include "mulberryvalve/core/jobs/job_decision.h"
#include "mulberryvalve/ports/out/metrics.h"

namespace mulberryvalve {

// Stateless and thread-safe.
class DecisionMetrics
{
public:
  // aMetrics must outlive this object.
  explicit DecisionMetrics(Metrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  // Updates the metrics for one decision.
  void Count(const JobDecision& aDecision) const;

private:
  void CountWait(WaitCause aCause) const;
  void CountEnd(EndKind aKind) const;

  Metrics& mMetrics;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_DECISION_METRICS_H_
