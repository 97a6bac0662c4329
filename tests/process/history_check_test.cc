#include "tests/process/history_check.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

WorkerEvent Event(int64_t aMs,
                  const std::string& aEvent,
                  const std::string& aTask,
                  int aAttempt,
                  int64_t aCpu = 9000)
{
  WorkerEvent event;
  event.mMs = aMs;
  event.mWorker = "w";
  event.mDomain = "a";
  event.mEvent = aEvent;
  event.mTask = aTask;
  event.mLease = aTask + "#" + std::to_string(aAttempt);
  event.mCpuMillis = aCpu;
  event.mKey = aEvent == "request" ? aTask : "";
  return event;
}

} // namespace

TEST_GROUP(HistoryCheck){};

TEST(HistoryCheck, FindsEachKindOfViolation)
{
  struct Row
  {
    std::vector<WorkerEvent> mEvents;
    size_t mExpectedFindings;
  };
  const Row rows[] = {
    { { Event(1, "start", "t", 1),
        Event(2, "stop", "t", 1),
        Event(2, "start", "t", 2),
        Event(3, "complete", "t", 2) },
      0 },
    { { Event(1, "start", "t", 1, 1), Event(2, "start", "t", 2, 1) }, 1 },
    { { Event(1, "start", "t", 1),
        Event(2, "expire", "t", 1),
        Event(3, "start", "t", 1) },
      1 },
    { { Event(1, "start", "t", 1),
        Event(2, "complete", "t", 1),
        Event(3, "start", "t", 2) },
      1 },
    { { Event(1, "start", "t", 1), Event(2, "start", "u", 1) }, 1 },
  };
  for (const Row& row : rows) {
    CHECK_EQUAL(row.mExpectedFindings,
                FindTaskViolations(row.mEvents, {}).size());
  }
}

TEST(HistoryCheck, FindsRepeatedKeysAndTheLastStart)
{
  const std::vector<WorkerEvent> events{ Event(5, "request", "k", 1),
                                         Event(7, "start", "t", 1),
                                         Event(6, "request", "k", 1) };
  CHECK_EQUAL(1u, FindRepeatedKeys(events).size());
  CHECK_EQUAL(7, LastStart(events, "a"));
  CHECK_EQUAL(0, LastStart(events, "b"));
}

} // namespace mulberryvalve
