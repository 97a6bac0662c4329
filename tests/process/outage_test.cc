#include "tests/process/fleet.h"

#include <algorithm>
#include <cstdio>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kFinishLimit{ 45000 };
constexpr Milliseconds kServeLimit{ 8000 };
constexpr int64_t kLastStartLimitMs = 3000;

FleetOptions OneDomain()
{
  FleetOptions options;
  options.mDomains = { "a" };
  return options;
}

bool AnswersRequests(Fleet& aFleet, const std::string& aInstance)
{
  return aFleet.Call(aInstance, "/v1/request", R"({"work_ms":1})").mOutcome ==
         "answered";
}

void CheckNoTaskViolations(Fleet& aFleet)
{
  for (const std::string& fault :
       FindTaskViolations(aFleet.WorkerEvents(), {})) {
    FAIL(fault.c_str());
  }
}

// Waits until the wall clock has advanced by aMs, without checking anything
// meanwhile.
void WaitMs(int64_t aMs)
{
  const int64_t until = WallClockMs() + aMs;
  PollUntil(Milliseconds(2 * aMs), [&] { return WallClockMs() >= until; });
}

} // namespace

TEST_GROUP(Outage){};

TEST(Outage, RunningTasksSurviveAnOutageLongerThanTheirLeases)
{
  Fleet fleet(OneDomain());
  CHECK_FALSE(fleet.Submit("a-0", "job", "a", 24, 10000).empty());
  CHECK_TRUE(PollUntil(kFinishLimit, [&] {
    return CountEvents(fleet.WorkerEvents(), "start") == 24;
  }));
  fleet.SetFaults("platform", { { "outage", true } });
  WaitMs(3000);
  CHECK_TRUE(fleet.Submit("a-0", "refused", "a", 1, 10).empty());
  CHECK_TRUE(AnswersRequests(fleet, "a-0"));
  WaitMs(3000);
  fleet.SetFaults("platform", { { "outage", false } });
  CHECK_TRUE(PollUntil(kFinishLimit, [&] {
    return fleet.CountInState("a-0", "a.0.job", "completed") == 24;
  }));
  CheckNoTaskViolations(fleet);
  std::printf("measured: starts of 24 tasks over the outage %d\n",
              CountEvents(fleet.WorkerEvents(), "start"));
  CHECK_EQUAL(24, CountEvents(fleet.WorkerEvents(), "start"));
}

TEST(Outage, LostAnswersNeitherRepeatNorLoseTasks)
{
  Fleet fleet(OneDomain());
  fleet.SetFaults("platform", { { "lose_append_answers", 20 } });
  fleet.SetFaults("workers",
                  { { "worker", "*" },
                    { "lose_start_answers", 3 },
                    { "lose_stop_answers", 3 },
                    { "lose_request_answers", 1 } });
  PollUntil(kServeLimit,
            [&] { return !fleet.Submit("a-0", "job", "a", 100, 500).empty(); });
  int toldNotRun = 0;
  for (int i = 0; i < 20; i++) {
    const Answer answer =
      fleet.Call("a-0",
                 "/v1/request",
                 R"({"work_ms":1})",
                 { { "X-Request-Kind", "non_idempotent" },
                   { "Idempotency-Key", "k" + std::to_string(i) } });
    toldNotRun += answer.mOutcome == "not_run" ? 1 : 0;
  }
  fleet.SetFaults("relay", { { "drop_answers", true } });
  WaitMs(1500);
  fleet.SetFaults("relay", { { "drop_answers", false } });
  CHECK_TRUE(PollUntil(kFinishLimit, [&] {
    return fleet.CountInState("a-0", "a.0.job", "completed") == 100;
  }));
  CheckNoTaskViolations(fleet);
  CHECK_EQUAL(100, CountEvents(fleet.WorkerEvents(), "complete"));
  CHECK_TRUE(FindRepeatedKeys(fleet.WorkerEvents()).empty());
  std::printf("measured: keyed requests told not run %d of 20\n", toldNotRun);
}

TEST(Outage, PartitionedDomainStartsNothingAfterTakeOut)
{
  Fleet fleet(FleetOptions{});
  CHECK_FALSE(fleet.Submit("a-0", "job", "a", 400, 1500).empty());
  CHECK_TRUE(PollUntil(kFinishLimit, [&] {
    return CountEvents(fleet.WorkerEvents(), "start") >= 30;
  }));
  fleet.SetFaults("relay-a", { { "cut", true } });
  fleet.SetFaults("peers", { { "cut", true } });
  const Answer out = fleet.ChangeDomain("b-0", "a", "out");
  CHECK_EQUAL(200, out.mStatus);
  const int64_t taken = WallClockMs();
  CHECK_TRUE(AnswersRequests(fleet, "a-0"));
  CHECK_TRUE(AnswersRequests(fleet, "b-0"));
  WaitMs(kLastStartLimitMs + 3000);
  const int64_t last = LastStart(fleet.WorkerEvents(), "a");
  std::printf("measured: last start %lld ms after the take-out\n",
              static_cast<long long>(std::max<int64_t>(0, last - taken)));
  CHECK_TRUE(last < taken + kLastStartLimitMs);
  fleet.SetFaults("relay-a", { { "cut", false } });
  fleet.SetFaults("peers", { { "cut", false } });
  CHECK_TRUE(PollUntil(kFinishLimit, [&] {
    return fleet.CountInState("b-0", "a.0.job", "completed") == 400;
  }));
  const auto records = fleet.WorkerEvents();
  CHECK_TRUE(LastStart(records, "a") < taken + kLastStartLimitMs);
  CheckNoTaskViolations(fleet);
}

} // namespace mulberryvalve
