// Placement where the queues of a shard are served by different services.
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr size_t kWorkers = 4;
constexpr uint32_t kTasksPerWorker = 4;
constexpr int64_t kCpu = 4000; // a quarter of a worker
constexpr Milliseconds kPlacementTime{ 1000 };
const QueueId kIdleQueue("idle-queue");
const ServiceId kIdleService("idle");

} // namespace

TEST_GROUP(ServicePlacementTest){};

// Guards against jobs that get no start though the workers of their service are
// free, as a job of another service, with the same kind of task, waits for room
// (review/8).
TEST(ServicePlacementTest, AFullServiceHoldsUpNoJobOfAnother)
{
  TakeoverSimulation sim(kWorkers);
  sim->Worker(kWorkers - 1).mInfo.mService = kIdleService;
  ClusterConfig config;
  config.mVersion = 2;
  config.mRules[kIdleQueue].mService = kIdleService;
  sim->Configure(config);
  const uint32_t room = kTasksPerWorker * (kWorkers - 1);
  sim->Submit(LongRunningJob("full", room, kCpu));
  sim->Submit(LongRunningJob("waits", 1, kCpu));
  sim->RunFor(kPlacementTime);
  CHECK_EQUAL(size_t{ room }, sim->RunningOf(JobId("full")));
  CHECK_EQUAL(0U, sim->RunningOf(JobId("waits")));
  JobGraph idle = LongRunningJob("idle", kTasksPerWorker, kCpu);
  idle.mQueue = kIdleQueue;
  sim->Submit(idle);
  sim->RunFor(kPlacementTime);
  CHECK_EQUAL(size_t{ kTasksPerWorker }, sim->RunningOf(JobId("idle")));
}

} // namespace mulberryvalve
