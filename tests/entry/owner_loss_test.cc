// The loss of a shard's owner beside gangs and beside workers that move between
// shards, with real processes.
#include "tests/entry/entry_cluster.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr size_t kWorkers = 12;
constexpr size_t kRackSize = 6;
const std::string kJob = "5c0e7a21d94b36f8";
// The stand-ins end failed runs at ticks of 5 ms, and a restart takes longer
// than this, as it waits for the log.
constexpr Milliseconds kFewTicks{ 15 };
// A successor acts within this and has restarted what its predecessor ran; the
// rest is for a busy machine.
constexpr Milliseconds kTakeoverLimit{ 40000 };

nlohmann::json StepOf(uint32_t aCount, int64_t aCpu)
{
  return { { "count", aCount }, { "cpu", aCpu }, { "mem_mb", 1024 } };
}

// Has a worker fail what it runs now, and nothing that is started after that.
void FailOneRun(EntryCluster& aCluster, const std::string& aWorker)
{
  aCluster.World().Workers().Spoil(aWorker, true);
  review::SleepFor(kFewTicks);
  aCluster.World().Workers().Spoil(aWorker, false);
}

void CheckNoDoubleStarts(EntryCluster& aCluster)
{
  for (const std::string& start : aCluster.DoubleStarts()) {
    FAIL(start.c_str());
  }
}

} // namespace

TEST_GROUP(OwnerLoss){};

// Guards against a gang's attempts being counted by member, before or after a
// change of owner: three members fail in each of two runs, the owner is killed
// at the end of the first, and the queue allows three attempts (review/12).
TEST(OwnerLoss, AGangKeepsItsAttemptsAcrossOwners)
{
  constexpr size_t kMembers = 36;
  EntryCluster cluster(kWorkers, kRackSize, 1);
  nlohmann::json step = StepOf(kMembers, 1800);
  step["gang"] = true;
  step["estimated_ms"] = 4000;
  CHECK(cluster.Submit(kJob, step, Milliseconds(4000)));
  for (size_t failed = 1; failed <= 2; failed++) {
    CHECK(PollUntil(kTakeoverLimit,
                    [&] { return cluster.RunningOf(kJob) == kMembers; }));
    FailOneRun(cluster, "i-104");
    CHECK_EQUAL(failed, cluster.RunsThatEnded("failed").size());
    if (failed == 1) {
      CHECK(cluster.KillOwnerOf(0));
    }
  }
  CHECK(PollUntil(kTakeoverLimit,
                  [&] { return cluster.World().Ask(kJob) == "completed"; }));
  CheckNoDoubleStarts(cluster);
}

// Guards against a lasting gang that is over for good when its run ends by
// itself while its owner is lost (review/14).
TEST(OwnerLoss, ALastingGangRunsAgainAcrossOwners)
{
  EntryCluster cluster(kWorkers, kRackSize, 1);
  nlohmann::json step = StepOf(3, 3200);
  step["gang"] = true;
  step["long_running"] = true;
  CHECK(cluster.Submit(kJob, step, std::nullopt));
  CHECK(
    PollUntil(kTakeoverLimit, [&] { return cluster.RunningOf(kJob) == 3; }));
  cluster.World().Workers().EndAll(kJob + ".0", "done");
  CHECK(cluster.KillOwnerOf(0));
  CHECK(
    PollUntil(kTakeoverLimit, [&] { return cluster.RunningOf(kJob) == 3; }));
  CHECK(cluster.RunsThatEnded("start").size() >= 2);
  CheckNoDoubleStarts(cluster);
}

// Guards against workers that are lost to both shards, or used by both, when
// owners are killed while workers move: no shard holds the job alone.
TEST(OwnerLoss, WorkersMoveBetweenShardsAcrossOwners)
{
  EntryCluster cluster(kWorkers, kRackSize, 2);
  nlohmann::json step = StepOf(kWorkers, 12000);
  step["long_running"] = true;
  CHECK(cluster.Submit(kJob, step, std::nullopt));
  CHECK(PollUntil(kTakeoverLimit, [&] { return cluster.RunningOf(kJob) > 0; }));
  CHECK(cluster.KillOwnerOf(0));
  CHECK(PollUntil(kTakeoverLimit,
                  [&] { return cluster.RunningOf(kJob) == kWorkers; }));
  CHECK(cluster.KillOwnerOf(1));
  CHECK(PollUntil(kTakeoverLimit,
                  [&] { return cluster.World().Ask(kJob) == "running"; }));
  cluster.World().Workers().Lose("i-100");
  CHECK(PollUntil(kTakeoverLimit,
                  [&] { return cluster.RunningOf(kJob) == kWorkers - 1; }));
  CheckNoDoubleStarts(cluster);
}

} // namespace mulberryvalve
