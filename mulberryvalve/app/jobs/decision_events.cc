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

void AddCount(DecisionEvent& aEvent, std::string_view aKey, size_t aCount)
{
  aEvent.mFields.push_back({ std::string(aKey), std::to_string(aCount) });
}

void AddHeldCounts(DecisionEvent& aEvent, const HeldTaskCounts& aCounts)
{
  for (const auto& row : kWaitEvidenceNames.mRows) {
    const size_t index = static_cast<size_t>(row.mValue);
    AddCount(aEvent, row.mName, aCounts.mByEvidence[index]);
  }
  AddCount(aEvent, "assumed", aCounts.mAssumed);
  AddCount(aEvent, "unlisted", aCounts.mUnlisted);
  AddCount(aEvent, "ended_tasks", aCounts.mEndedTasks);
  AddCount(aEvent, "lapsed_tasks", aCounts.mLapsedTasks);
}

void AddEndedWait(DecisionEvent& aEvent, const EndedWait& aWait)
{
  const WaitReason& reason = aWait.mReason;
  aEvent.mFields.push_back(
    { "evidence", std::string(kWaitEvidenceNames.Name(reason.mEvidence)) });
  aEvent.mFields.push_back(
    { "listing", std::string(kWorkerListingNames.Name(reason.mListing)) });
  aEvent.mFields.push_back(
    { "held_ms", std::to_string(aWait.mHeldFor.count()) });
  aEvent.mFields.push_back(
    { "limit_ms", std::to_string(aWait.mLimit.count()) });
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
  if (aDecision.mHeldCounts) {
    AddHeldCounts(event, *aDecision.mHeldCounts);
  }
  if (aDecision.mEndedWait) {
    AddEndedWait(event, *aDecision.mEndedWait);
  }
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
