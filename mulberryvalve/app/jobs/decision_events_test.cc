// Tests of the log events of decisions.
#include "mulberryvalve/app/jobs/decision_events.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

JobDecision Placed(const char* aJob, uint32_t aIndex, const char* aWorker)
{
  JobDecision decision;
  decision.mKind = DecisionKind::kTaskPlaced;
  decision.mJob = JobId(aJob);
  decision.mTask = TaskRef{ { JobId(aJob), 0, 0 }, aIndex };
  decision.mRun = 100 + aIndex;
  decision.mWorker = WorkerId(aWorker);
  decision.mReason = "free";
  return decision;
}

std::string TextOf(const DecisionEvent& aEvent)
{
  std::string text(aEvent.mName);
  for (const EventField& field : aEvent.mFields) {
    text += " " + std::string(field.mKey) + "=" + field.mValue;
  }
  return text;
}

} // namespace

TEST_GROUP(DecisionEventsTest){};

// Guards against an owner that is slowed down by its own logging: each start of
// a burst was an event of its own.
TEST(DecisionEventsTest, StartsOfAStepShareAnEventThatNamesEachRun)
{
  JobDecision finished;
  finished.mKind = DecisionKind::kJobOver;
  finished.mJob = JobId("a");
  finished.mReason = "completed";
  const auto events = EventsOf({ Placed("a", 0, "v"),
                                 Placed("a", 1, "w"),
                                 Placed("a", 2, "v"),
                                 Placed("b", 0, "w"),
                                 finished });
  CHECK_EQUAL(3U, events.size());
  STRCMP_EQUAL("task_placed job=a task=a.0.0.0 run=100 worker=v why=free "
               "more=1:101@w 2:102@v",
               TextOf(events[0]).c_str());
  STRCMP_EQUAL("task_placed job=b task=b.0.0.0 run=100 worker=w why=free",
               TextOf(events[1]).c_str());
  STRCMP_EQUAL("job_over job=a why=completed", TextOf(events[2]).c_str());
}

TEST(DecisionEventsTest, AnEventHasTheHeldBackTasks)
{
  JobDecision held;
  held.mKind = DecisionKind::kTasksHeld;
  held.mHeldTasks = 2;
  held.mReason = "2 tasks";
  const auto events = EventsOf({ held });
  STRCMP_EQUAL("tasks_held why=2 tasks", TextOf(events[0]).c_str());
}

TEST(DecisionEventsTest, AnEventNamesALimitedNumberOfRuns)
{
  std::vector<JobDecision> decisions;
  for (uint32_t index = 0; index < 100; index++) {
    decisions.push_back(Placed("a", index, "w"));
  }
  CHECK_EQUAL(3U, EventsOf(decisions).size());
}

} // namespace mulberryvalve
