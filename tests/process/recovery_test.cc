#include "tests/process/fleet.h"

#include <csignal>
#include <cstdio>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kFinishLimit{ 45000 };
constexpr Milliseconds kTakeoverLimit{ 15000 };
constexpr int64_t kDrainMs = 20000;
constexpr int kTasks = 24;

FleetOptions OneDomain()
{
  FleetOptions options;
  options.mDomains = { "a" };
  options.mInstancesPerDomain = 3;
  return options;
}

std::string Other(const Fleet& aFleet, const std::string& aInstance)
{
  const std::string first = aFleet.Names().front();
  return first == aInstance ? aFleet.Names().back() : first;
}

void CheckNothingDoubled(Fleet& aFleet)
{
  for (const std::string& fault : CheckTasks(aFleet.Records(), {})) {
    FAIL(fault.c_str());
  }
}

void AwaitRunning(Fleet& aFleet, int aTasks)
{
  CHECK_TRUE(Await(kTakeoverLimit,
                   [&] { return Count(aFleet.Records(), "start") >= aTasks; }));
}

void AwaitCompleted(Fleet& aFleet,
                    const std::string& aAt,
                    int aTasks,
                    int aOthers = 0)
{
  CHECK_TRUE(Await(kFinishLimit, [&] {
    return aFleet.InState(aAt, "a.0.job", "completed") == aTasks;
  }));
  CheckNothingDoubled(aFleet);
  CHECK_EQUAL(aTasks + aOthers, Count(aFleet.Records(), "complete"));
}

} // namespace

TEST_GROUP(Recovery){};

TEST(Recovery, KilledOwnersTasksAreAdoptedAndNewOnesStart)
{
  Fleet fleet(OneDomain());
  const std::string owner = fleet.AwaitOwnerOf("a.0");
  const std::string other = Other(fleet, owner);
  CHECK_FALSE(fleet.Submit(other, "job", "a", kTasks, 9000).empty());
  AwaitRunning(fleet, kTasks);
  fleet.Kill({ owner });
  const int64_t killed = WallMs();
  CHECK_FALSE(fleet.Submit(other, "next", "a", 1, 100).empty());
  CHECK_TRUE(Await(kTakeoverLimit,
                   [&] { return LastStart(fleet.Records(), "a") > killed; }));
  std::printf("measured: death of the owner to next start %lld ms\n",
              static_cast<long long>(LastStart(fleet.Records(), "a") - killed));
  CHECK_TRUE(Await(kFinishLimit, [&] {
    return fleet.InState(other, "a.0.next", "completed") == 1;
  }));
  AwaitCompleted(fleet, other, kTasks, 1);
}

TEST(Recovery, ThawedOwnerDoesNothingStale)
{
  Fleet fleet(OneDomain());
  const std::string owner = fleet.AwaitOwnerOf("a.0");
  const std::string other = Other(fleet, owner);
  CHECK_FALSE(fleet.Submit(other, "job", "a", 100, 4000).empty());
  AwaitRunning(fleet, kTasks);
  fleet.Daemon(owner).Signal(SIGSTOP);
  CHECK_TRUE(Await(kTakeoverLimit, [&] {
    const std::string now = fleet.OwnerOf("a.0");
    return !now.empty() && now != owner;
  }));
  const size_t epochs = Count(fleet.Records(), "start");
  CHECK_TRUE(Await(kFinishLimit, [&] {
    return Count(fleet.Records(), "start") > static_cast<int>(epochs);
  }));
  fleet.Daemon(owner).Signal(SIGCONT);
  AwaitCompleted(fleet, other, 100);
}

TEST(Recovery, AllInstancesReplacedAtOnceAdoptWhatRuns)
{
  Fleet fleet(OneDomain());
  const std::vector<std::string> names = fleet.Names();
  CHECK_FALSE(fleet.Submit(names[0], "job", "a", 100, 5000).empty());
  AwaitRunning(fleet, kTasks);
  fleet.Kill(names);
  for (const std::string& name : names) {
    fleet.Spawn(name);
  }
  AwaitCompleted(fleet, names[0], 100);
}

TEST(Recovery, PlannedStopHandsOverAtOnce)
{
  Fleet fleet(OneDomain());
  const std::string owner = fleet.AwaitOwnerOf("a.0");
  const std::string other = Other(fleet, owner);
  CHECK_FALSE(fleet.Submit(other, "job", "a", kTasks, 6000).empty());
  AwaitRunning(fleet, kTasks);
  fleet.Daemon(owner).Signal(SIGTERM);
  const int64_t asked = WallMs();
  CHECK_TRUE(Await(Milliseconds(3000), [&] {
    const std::string now = fleet.OwnerOf("a.0");
    return !now.empty() && now != owner;
  }));
  std::printf("measured: planned stop to acting successor %lld ms\n",
              static_cast<long long>(WallMs() - asked));
  CHECK_EQUAL(0, fleet.Daemon(owner).Wait());
  const int64_t took = WallMs() - asked;
  std::printf("measured: planned stop to exit %lld ms\n",
              static_cast<long long>(took));
  CHECK_TRUE(took < kDrainMs);
  AwaitCompleted(fleet, other, kTasks);
}

TEST(Recovery, StreamsOutliveTheRetentionOfTheirRecords)
{
  FleetOptions options = OneDomain();
  options.mRetentionRecords = 400;
  Fleet fleet(options);
  const std::vector<std::string> names = fleet.Names();
  CHECK_FALSE(fleet.Submit(names[0], "job", "a", 200, 100).empty());
  CHECK_FALSE(fleet.Submit(names[0], "watch", "a", 4, 0).empty());
  CHECK_TRUE(Await(kFinishLimit, [&] {
    return fleet.InState(names[0], "a.0.job", "completed") == 200;
  }));
  CHECK_FALSE(fleet.Submit(names[0], "tail", "a", 200, 100).empty());
  CHECK_TRUE(Await(kFinishLimit, [&] {
    return fleet.InState(names[0], "a.0.tail", "completed") == 200;
  }));
  fleet.Kill(names);
  for (const std::string& name : names) {
    fleet.Spawn(name);
  }
  CHECK_TRUE(Await(kTakeoverLimit, [&] {
    return fleet.InState(names[1], "a.0.job", "completed") == 200 &&
           fleet.InState(names[1], "a.0.tail", "completed") == 200 &&
           fleet.InState(names[1], "a.0.watch", "running") == 4;
  }));
  CheckNothingDoubled(fleet);
  CHECK_EQUAL(404, Count(fleet.Records(), "start"));
}

} // namespace mulberryvalve
