// Converts the decisions of a shard's owner to log events.
#ifndef MULBERRYVALVE_APP_JOBS_DECISION_EVENTS_H_
#define MULBERRYVALVE_APP_JOBS_DECISION_EVENTS_H_

#include "mulberryvalve/core/jobs/job_decision.h"
#include "mulberryvalve/ports/out/event_log.h"

#include <string_view>
#include <vector>

namespace mulberryvalve {

// The name and the fields of one log event.
struct DecisionEvent
{
  std::string_view mName;
  std::vector<EventField> mFields;
};

// Returns the events of aDecisions in order. Consecutive starts of the same
// step share one event: it has the full fields of the first start, and index,
// run and worker of the others. Thread-safe.
std::vector<DecisionEvent> EventsOf(const std::vector<JobDecision>& aDecisions);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_DECISION_EVENTS_H_
