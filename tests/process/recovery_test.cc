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

std::string OtherInstance(const Fleet& aFleet, const std::string& aInstance)
{
  const std::string first = aFleet.Names().front();
  return first == aInstance ? aFleet.Names().back() : first;
}

void CheckNoTaskViolations(Fleet& aFleet)
{
  for (const std::string& fault :
       FindTaskViolations(aFleet.WorkerEvents(), {})) {
    FAIL(fault.c_str());
  }
}

void AwaitRunning(Fleet& aFleet, int aTasks)
{
  CHECK_TRUE(PollUntil(kTakeoverLimit, [&] {
    return CountEvents(aFleet.WorkerEvents(), "start") >= aTasks;
  }));
}

void AwaitCompleted(Fleet& aFleet,
                    const std::string& aAt,
                    int aTasks,
                    int aOthers = 0)
{
  CHECK_TRUE(PollUntil(kFinishLimit, [&] {
    return aFleet.CountInState(aAt, "a.0.job", "completed") == aTasks;
  }));
  CheckNoTaskViolations(aFleet);
  CHECK_EQUAL(aTasks + aOthers, CountEvents(aFleet.WorkerEvents(), "complete"));
}

} // namespace

TEST_GROUP(Recovery){};

TEST(Recovery, KilledOwnersTasksAreAdoptedAndNewOnesStart)
{
  Fleet fleet(OneDomain());
  const std::string owner = fleet.AwaitOwnerOf("a.0");
  const std::string other = OtherInstance(fleet, owner);
  CHECK_FALSE(fleet.Submit(other, "job", "a", kTasks, 9000).empty());
  AwaitRunning(fleet, kTasks);
  fleet.Kill({ owner });
  const int64_t killed = WallClockMs();
  CHECK_FALSE(fleet.Submit(other, "next", "a", 1, 100).empty());
  CHECK_TRUE(PollUntil(kTakeoverLimit, [&] {
    return LastStart(fleet.WorkerEvents(), "a") > killed;
  }));
  std::printf(
    "measured: death of the owner to next start %lld ms\n",
    static_cast<long long>(LastStart(fleet.WorkerEvents(), "a") - killed));
  CHECK_TRUE(PollUntil(kFinishLimit, [&] {
    return fleet.CountInState(other, "a.0.next", "completed") == 1;
  }));
  AwaitCompleted(fleet, other, kTasks, 1);
}

TEST(Recovery, ResumedOwnerSendsNoStaleCommands)
{
  Fleet fleet(OneDomain());
  const std::string owner = fleet.AwaitOwnerOf("a.0");
  const std::string other = OtherInstance(fleet, owner);
  CHECK_FALSE(fleet.Submit(other, "job", "a", 100, 4000).empty());
  AwaitRunning(fleet, kTasks);
  fleet.InstanceProcess(owner).Signal(SIGSTOP);
  CHECK_TRUE(PollUntil(kTakeoverLimit, [&] {
    const std::string now = fleet.OwnerOf("a.0");
    return !now.empty() && now != owner;
  }));
  const size_t startsBefore = CountEvents(fleet.WorkerEvents(), "start");
  CHECK_TRUE(PollUntil(kFinishLimit, [&] {
    return CountEvents(fleet.WorkerEvents(), "start") >
           static_cast<int>(startsBefore);
  }));
  fleet.InstanceProcess(owner).Signal(SIGCONT);
  AwaitCompleted(fleet, other, 100);
}

TEST(Recovery, ReplacedInstancesAdoptRunningTasks)
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
  const std::string other = OtherInstance(fleet, owner);
  CHECK_FALSE(fleet.Submit(other, "job", "a", kTasks, 6000).empty());
  AwaitRunning(fleet, kTasks);
  fleet.InstanceProcess(owner).Signal(SIGTERM);
  const int64_t asked = WallClockMs();
  CHECK_TRUE(PollUntil(Milliseconds(3000), [&] {
    const std::string now = fleet.OwnerOf("a.0");
    return !now.empty() && now != owner;
  }));
  std::printf("measured: planned stop to acting successor %lld ms\n",
              static_cast<long long>(WallClockMs() - asked));
  CHECK_EQUAL(0, fleet.InstanceProcess(owner).Wait());
  const int64_t took = WallClockMs() - asked;
  std::printf("measured: planned stop to exit %lld ms\n",
              static_cast<long long>(took));
  CHECK_TRUE(took < kDrainMs);
  AwaitCompleted(fleet, other, kTasks);
}

TEST(Recovery, ShardsAreRebuiltAfterTheirRecordsExpire)
{
  FleetOptions options = OneDomain();
  options.mRetentionRecords = 400;
  Fleet fleet(options);
  const std::vector<std::string> names = fleet.Names();
  CHECK_FALSE(fleet.Submit(names[0], "job", "a", 200, 100).empty());
  CHECK_FALSE(fleet.Submit(names[0], "watch", "a", 4, 0).empty());
  CHECK_TRUE(PollUntil(kFinishLimit, [&] {
    return fleet.CountInState(names[0], "a.0.job", "completed") == 200;
  }));
  CHECK_FALSE(fleet.Submit(names[0], "tail", "a", 200, 100).empty());
  CHECK_TRUE(PollUntil(kFinishLimit, [&] {
    return fleet.CountInState(names[0], "a.0.tail", "completed") == 200;
  }));
  fleet.Kill(names);
  for (const std::string& name : names) {
    fleet.Spawn(name);
  }
  CHECK_TRUE(PollUntil(kTakeoverLimit, [&] {
    return fleet.CountInState(names[1], "a.0.job", "completed") == 200 &&
           fleet.CountInState(names[1], "a.0.tail", "completed") == 200 &&
           fleet.CountInState(names[1], "a.0.watch", "running") == 4;
  }));
  CheckNoTaskViolations(fleet);
  CHECK_EQUAL(404, CountEvents(fleet.WorkerEvents(), "start"));
}

} // namespace mulberryvalve
