#include "mulberryvalve/app/jobs/decision_events.h"

#include <string>

namespace mulberryvalve {
namespace {

// Maximum number of further starts that are merged into one event.
constexpr size_t kMaxRunsInEvent = 40;

bool CanShareEvent(const JobDecision& aFirst, const JobDecision& aNext)
{
  return aFirst.mKind == DecisionKind::kTaskPlaced &&
         aNext.mKind == DecisionKind::kTaskPlaced &&
         aFirst.mTask->mStep == aNext.mTask->mStep;
}

DecisionEvent EventOf(const JobDecision& aDecision)
{
  DecisionEvent event{ kDecisionKindNames.Name(aDecision.mKind), {} };
  if (!aDecision.mJob.Empty()) {
    event.mFields.push_back({ "job", aDecision.mJob.Text() });
  }
  if (aDecision.mTask) {
    event.mFields.push_back({ "task", aDecision.mTask->Text() });
    event.mFields.push_back({ "run", std::to_string(aDecision.mRun) });
  }
  if (!aDecision.mWorker.Empty()) {
    event.mFields.push_back({ "worker", aDecision.mWorker.Text() });
  }
  event.mFields.push_back({ "why", aDecision.mReason });
  return event;
}

std::string RunToText(const JobDecision& aPlaced)
{
  return std::to_string(aPlaced.mTask->mIndex) + ":" +
         std::to_string(aPlaced.mRun) + "@" + aPlaced.mWorker.Text();
}

} // namespace

std::vector<DecisionEvent> EventsOf(const std::vector<JobDecision>& aDecisions)
{
  std::vector<DecisionEvent> events;
  for (size_t first = 0; first < aDecisions.size();) {
    events.push_back(EventOf(aDecisions[first]));
    size_t next = first + 1;
    std::string more;
    while (next < aDecisions.size() && next - first < kMaxRunsInEvent &&
           CanShareEvent(aDecisions[first], aDecisions[next])) {
      more += (more.empty() ? "" : " ") + RunToText(aDecisions[next]);
      next++;
    }
    if (!more.empty()) {
      events.back().mFields.push_back({ "more", std::move(more) });
    }
    first = next;
  }
  return events;
}

} // namespace mulberryvalve
