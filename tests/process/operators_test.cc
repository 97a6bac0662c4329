#include "tests/process/fleet.h"

#include <algorithm>
#include <cstdio>
#include <thread>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kInForceLimit{ 5000 };
constexpr Milliseconds kChangeLimit{ 15000 };
constexpr int kRaces = 5;
constexpr int kPublishes = 50;
constexpr int kTakeOuts = 10;
constexpr int64_t kLastStartLimitMs = 3000;

FleetOptions ThreeDomains()
{
  FleetOptions options;
  options.mDomains = { "a", "b", "c" };
  options.mInstancesPerDomain = 3;
  options.mWorkersPerDomain = 2;
  return options;
}

bool InForceEverywhere(Fleet& aFleet, int aVersion)
{
  for (const std::string& name : aFleet.Names()) {
    const Answer status = aFleet.Call(name, "/v1/status");
    if (status.mStatus != 200 ||
        status.mBody["bundle"]["version"].get<int>() < aVersion) {
      return false;
    }
  }
  return true;
}

int CountInAudit(const Answer& aAudit, const std::string& aType)
{
  int count = 0;
  for (const auto& row : aAudit.mBody["audit"]) {
    count += row["kind"] == aType ? 1 : 0;
  }
  return count;
}

void MeasurePublishes(Fleet& aFleet, int aFirst, const char* aName)
{
  std::vector<int64_t> took;
  for (int version = aFirst; version < aFirst + kPublishes; version++) {
    const int64_t sent = WallClockMs();
    CHECK_EQUAL(200, aFleet.Publish("a-0", version, version - 1).mStatus);
    CHECK_TRUE(PollUntil(kInForceLimit,
                         [&] { return InForceEverywhere(aFleet, version); }));
    took.push_back(WallClockMs() - sent);
  }
  std::sort(took.begin(), took.end());
  std::printf("measured: %s, publish sent to in force on 9 instances: "
              "median %lld ms, max of %d %lld ms\n",
              aName,
              static_cast<long long>(took[took.size() / 2]),
              kPublishes,
              static_cast<long long>(took.back()));
}

} // namespace

TEST_GROUP(Operators){};

TEST(Operators, ConcurrentChangesHaveOneWinnerAndBothAreAudited)
{
  Fleet fleet(FleetOptions{});
  for (int race = 0; race < kRaces; race++) {
    Answer first;
    Answer second;
    std::thread other(
      [&] { second = fleet.Publish("b-0", 2 + race, 1 + race); });
    first = fleet.Publish("a-0", 2 + race, 1 + race);
    other.join();
    const int won = (first.mStatus == 200) + (second.mStatus == 200);
    CHECK_EQUAL(1, won);
    const Answer& lost = first.mStatus == 200 ? second : first;
    CHECK_EQUAL(409, lost.mStatus);
    STRCMP_EQUAL("conflict", lost.mBody["error"].get<std::string>().c_str());
  }
  const Answer out = fleet.ChangeDomain("a-0", "b", "out", 0);
  const Answer back = fleet.ChangeDomain("b-0", "b", "in", 0);
  CHECK_EQUAL(200, out.mStatus);
  CHECK_EQUAL(409, back.mStatus);
  const Answer audit = fleet.Call("a-1", "/v1/audit");
  CHECK_EQUAL(1 + 2 * kRaces, CountInAudit(audit, "bundle_published"));
  CHECK_EQUAL(2, CountInAudit(audit, "domain_changed"));
}

TEST(Operators, BundleIsInForceEverywhereInTime)
{
  Fleet fleet(ThreeDomains());
  MeasurePublishes(fleet, 2, "log at full speed");
  fleet.SetFaults("platform",
                  { { "append_delay_ms", 200 }, { "read_delay_ms", 200 } });
  MeasurePublishes(fleet, 2 + kPublishes, "log slow by 200 ms");
}

TEST(Operators, DomainTakenOutStartsNothingAfterSeconds)
{
  Fleet fleet(FleetOptions{});
  CHECK_FALSE(fleet.Submit("a-0", "job", "", 3000, 400).empty());
  int64_t worst = 0;
  for (int round = 0; round < kTakeOuts; round++) {
    const std::string domain = round % 2 == 0 ? "a" : "b";
    fleet.SetFaults("relay-" + domain, { { "silence", round % 3 == 0 } });
    const std::string at = domain == "a" ? "b-0" : "a-0";
    CHECK_TRUE(PollUntil(kChangeLimit, [&] {
      return fleet.ChangeDomain(at, domain, "out").mStatus == 200;
    }));
    const int64_t taken = WallClockMs();
    PollUntil(Milliseconds(4000), [&] { return WallClockMs() > taken + 2500; });
    worst = std::max(worst, LastStart(fleet.WorkerEvents(), domain) - taken);
    fleet.SetFaults("relay-" + domain, { { "silence", false } });
    CHECK_TRUE(PollUntil(kChangeLimit, [&] {
      return fleet.ChangeDomain(at, domain, "in").mStatus == 200;
    }));
  }
  std::printf("measured: last start after a take-out, max of %d: %lld ms\n",
              kTakeOuts,
              static_cast<long long>(worst));
  CHECK_TRUE(worst < kLastStartLimitMs);
}

} // namespace mulberryvalve
