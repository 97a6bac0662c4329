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

TEST(DecisionEventsTest, AnEventTellsWhyWorkersAreWaitedFor)
{
  JobDecision held;
  held.mKind = DecisionKind::kTasksHeld;
  held.mReason = "9 tasks";
  held.mHeldCounts.emplace();
  held.mHeldCounts->mByEvidence = { 1, 2, 3, 4, 5 };
  held.mHeldCounts->mAssumed = 6;
  held.mHeldCounts->mUnlisted = 7;
  held.mHeldCounts->mEndedTasks = 9;
  held.mHeldCounts->mLapsedTasks = 8;
  STRCMP_EQUAL("tasks_held why=9 tasks no_note=1 tasks_noted=2 limit_noted=3 "
               "both_noted=4 ends_omitted=5 assumed=6 unlisted=7 "
               "ended_tasks=9 lapsed_tasks=8",
               TextOf(EventsOf({ held })[0]).c_str());
}

TEST(DecisionEventsTest, AnEventTellsHowAWaitForAWorkerEnded)
{
  JobDecision released;
  released.mKind = DecisionKind::kWorkerReleased;
  released.mWorker = WorkerId("w");
  released.mReason = "wait_expired";
  EndedWait wait;
  wait.mReason = { WaitEvidence::kNoNote, WorkerListing::kUnlisted };
  wait.mHeldFor = Milliseconds(13373);
  wait.mLimit = Milliseconds(13150);
  released.mEndedWait = wait;
  STRCMP_EQUAL("worker_released worker=w why=wait_expired evidence=no_note "
               "listing=unlisted held_ms=13373 limit_ms=13150",
               TextOf(EventsOf({ released })[0]).c_str());
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
