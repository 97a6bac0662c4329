// DecisionLines: the lines that a shard's owner writes of its decisions.
#ifndef MULBERRYVALVE_APP_JOBS_DECISION_LINES_H_
#define MULBERRYVALVE_APP_JOBS_DECISION_LINES_H_

#include "mulberryvalve/core/jobs/job_decision.h"
#include "mulberryvalve/ports/out/event_log.h"

#include <string_view>
#include <vector>

namespace mulberryvalve {

// DecisionEvent is the name and the fields of one line.
struct DecisionEvent
{
  std::string_view mName;
  std::vector<EventField> mFields;
};

// EventsOf returns the lines of aDecisions in their order. Starts of one step
// that follow each other share a line: it tells the first in full, and index,
// run and worker of each of the others. Thread-safe.
std::vector<DecisionEvent> EventsOf(const std::vector<JobDecision>& aDecisions);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_DECISION_LINES_H_
