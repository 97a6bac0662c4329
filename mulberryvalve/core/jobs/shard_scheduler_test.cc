// Tests ShardScheduler against simulated workers, with lost messages, restarts
// and takeovers by other owners.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kLong{ 60000 };

void CheckNoViolations(const ShardSimulation& aSimulation)
{
  for (const std::string& finding : aSimulation.Violations()) {
    FAIL(finding.c_str());
  }
}

void CheckPhase(SimulatedOwner& aOwner, const char* aJob, JobPhase aPhase)
{
  const auto phase = aOwner.mShard->Phase(JobId(aJob));
  CHECK(phase.has_value());
  STRCMP_EQUAL(std::string(kJobPhaseNames.Name(aPhase)).c_str(),
               std::string(kJobPhaseNames.Name(*phase)).c_str());
}

} // namespace

TEST_GROUP(ShardSchedulerTest){};

TEST(ShardSchedulerTest, RunsStepsInOrder)
{
  ShardSimulation simulation(4);
  SimulatedOwner& owner = simulation.AddOwner();
  JobGraph job = OneStepJob("j", 6, 1000);
  job.mSteps.push_back(job.mSteps[0]);
  job.mSteps[1].mDependsOn = { 0 };
  simulation.Submit(job);
  simulation.RunFor(Milliseconds(600));
  CHECK_EQUAL(6U, simulation.Running());
  simulation.RunFor(Milliseconds(3000));
  CheckPhase(owner, "j", JobPhase::kCompleted);
  CheckNoViolations(simulation);
}

TEST(ShardSchedulerTest, FailsJobOnlyAfterItsMaxAttempts)
{
  ShardSimulation simulation(4);
  SimulatedOwner& owner = simulation.AddOwner();
  simulation.mEndKindOf = [](const TaskRef&, RunNumber) {
    return EndKind::kFailed;
  };
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mRules.mMaxAttempts = 3;
  simulation.Submit(job);
  simulation.RunFor(Milliseconds(1300));
  CheckPhase(owner, "j", JobPhase::kRunning);
  simulation.RunFor(Milliseconds(5000));
  CheckPhase(owner, "j", JobPhase::kFailed);
}

// Guards against two runs of a task. An owner that was disconnected from the
// log believed that the leases of unresponsive workers had expired, though its
// successor was renewing them.
TEST(ShardSchedulerTest, LeaseExpiresOnlyWithProofOfOwnership)
{
  ShardSimulation simulation(3);
  SimulatedOwner& former = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 9000));
  simulation.RunFor(Milliseconds(1000));
  CHECK_EQUAL(2U, simulation.Running());
  // The worker without a task is connected to the former owner only, the others
  // to the successor only.
  SimulatedOwner& next = simulation.AddOwner();
  size_t idle = 0;
  for (size_t number = 0; number < 3; number++) {
    const WorkerId id = simulation.Worker(number).mInfo.mId;
    if (simulation.Worker(number).mRuns.empty()) {
      next.mLinks[id] = LinkState::kDisconnected;
      idle++;
    } else {
      former.mLinks[id] = LinkState::kDisconnected;
    }
  }
  CHECK_EQUAL(1U, idle);
  simulation.RunFor(Milliseconds(9000));
  CheckNoViolations(simulation);
}

// Guards against overcommitted workers. The successor stopped the runs of a job
// that was cancelled during the takeover, but did not count the resources that
// they used until they ended.
TEST(ShardSchedulerTest, UnwantedRunsUseResourcesUntilTheyEnd)
{
  ShardSimulation simulation(1);
  SimulatedOwner& former = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("a", 1, 16000));
  simulation.RunFor(Milliseconds(1000));
  former.mIsActive = false;
  former.mCanAppend = false;
  simulation.Cancel(JobId("a"));
  simulation.AddOwner();
  simulation.Submit(OneStepJob("b", 1, 16000));
  simulation.RunFor(Milliseconds(3000));
  CHECK_EQUAL(1U, simulation.Running());
  CheckNoViolations(simulation);
}

// A start without a reply may have taken effect. It has to show up in a report,
// or be stopped, before the task is started elsewhere.
TEST(ShardSchedulerTest, StartWithoutReplyRunsOnce)
{
  ShardSimulation simulation(2);
  SimulatedOwner& owner = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return Milliseconds(4000); };
  simulation.RunFor(Milliseconds(400));
  const WorkerId silentWorker = simulation.Worker(0).mInfo.mId;
  simulation.Submit(OneStepJob("j", 4, 1000));
  owner.mLinks[silentWorker] = LinkState::kRepliesLost;
  owner.mNextRenewalAt[silentWorker] = simulation.Now() + Milliseconds(300);
  simulation.RunFor(Milliseconds(1500));
  CHECK(simulation.Worker(0).mRuns.size() > 0);
  owner.mLinks.clear();
  simulation.RunFor(Milliseconds(9000));
  CheckPhase(owner, "j", JobPhase::kCompleted);
  CheckNoViolations(simulation);
}

// A superseded owner still reads submissions, and reaches a worker that its
// successor doesn't. Exactly one of the two has to start the job, whenever it
// is submitted.
TEST(ShardSchedulerTest, JobSubmittedAfterTheClaimIsStartedByOneOwner)
{
  for (const int after : { 0, 300, 900, 1400, 1600, 2500, 6000 }) {
    ShardSimulation simulation(2);
    SimulatedOwner& former = simulation.AddOwner();
    simulation.mDurationOf = [](const TaskRef&) { return kLong; };
    simulation.RunFor(Milliseconds(1000));
    SimulatedOwner& next = simulation.AddOwner();
    former.mReadsSubmissions = true;
    next.mLinks[simulation.Worker(0).mInfo.mId] = LinkState::kDisconnected;
    former.mLinks[simulation.Worker(1).mInfo.mId] = LinkState::kDisconnected;
    simulation.RunFor(Milliseconds(after));
    simulation.Submit(OneStepJob("j", 1, 1000));
    simulation.RunFor(Milliseconds(30000));
    CHECK_EQUAL(1U, simulation.Running());
    CheckNoViolations(simulation);
  }
}

// A job that is submitted well after the claim need not wait for workers that
// don't answer.
TEST(ShardSchedulerTest, LaterJobDoesNotWaitForUnresponsiveWorkers)
{
  ShardSimulation simulation(2);
  simulation.AddOwner();
  simulation.RunFor(Milliseconds(1000));
  SimulatedOwner& next = simulation.AddOwner();
  next.mLinks[simulation.Worker(0).mInfo.mId] = LinkState::kDisconnected;
  simulation.RunFor(Milliseconds(2000));
  simulation.Submit(OneStepJob("j", 1, 1000));
  simulation.RunFor(Milliseconds(300));
  CHECK_EQUAL(1U, simulation.Running());
}

// A successor has to wait for workers that it can't reach, since the former
// owner may go on renewing their leases.
TEST(ShardSchedulerTest, SuccessorWaitsForUnresponsiveWorkers)
{
  ShardSimulation simulation(2);
  SimulatedOwner& former = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 8000));
  simulation.RunFor(Milliseconds(1000));
  CHECK_EQUAL(1U, simulation.Worker(0).mRuns.size());
  SimulatedOwner& next = simulation.AddOwner();
  next.mLinks[simulation.Worker(0).mInfo.mId] = LinkState::kDisconnected;
  former.mLinks[simulation.Worker(1).mInfo.mId] = LinkState::kDisconnected;
  simulation.RunFor(Milliseconds(30000));
  CHECK_EQUAL(2U, simulation.Worker(1).mRuns.size());
  CheckNoViolations(simulation);
}

TEST(ShardSchedulerTest, RestartedWorkerLosesItsRuns)
{
  ShardSimulation simulation(2);
  SimulatedOwner& owner = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return Milliseconds(2000); };
  simulation.Submit(OneStepJob("j", 4, 4000));
  simulation.RunFor(Milliseconds(500));
  simulation.RestartWorker(simulation.Worker(0).mInfo.mId);
  simulation.RunFor(Milliseconds(8000));
  CheckPhase(owner, "j", JobPhase::kCompleted);
  CheckNoViolations(simulation);
}

// Several takeovers while a worker that left does not answer. Each new owner
// waits only for the rest of the wait that its predecessor recorded.
TEST(ShardSchedulerTest, RemainingWaitIsHandedOver)
{
  ShardSimulation simulation(2);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 8000));
  simulation.RunFor(Milliseconds(1000));
  const WorkerId left = simulation.Worker(0).mInfo.mId;
  for (size_t number = 0; number < 4; number++) {
    simulation.Owner(number).mIsActive = false;
    simulation.AddOwner().mLinks[left] = LinkState::kDisconnected;
    simulation.RunFor(Milliseconds(6000));
  }
  CHECK_EQUAL(2U, simulation.Worker(1).mRuns.size());
  CheckNoViolations(simulation);
}

// An owner reaches a worker again after it recorded a wait for it. It may renew
// the lease only once that note is durably revoked, since its successor relies
// on it.
TEST(ShardSchedulerTest, ReconnectedWorkerIsWaitedForInFull)
{
  ShardSimulation simulation(2);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 8000));
  simulation.RunFor(Milliseconds(1000));
  const WorkerId silent = simulation.Worker(0).mInfo.mId;
  simulation.Owner(0).mIsActive = false;
  SimulatedOwner& second = simulation.AddOwner();
  second.mLinks[silent] = LinkState::kDisconnected;
  simulation.RunFor(Milliseconds(4100));
  second.mLinks.clear();
  simulation.RunFor(Milliseconds(12000));
  // The second owner is partitioned off with this worker and keeps renewing its
  // lease.
  second.mLinks[simulation.Worker(1).mInfo.mId] = LinkState::kDisconnected;
  simulation.AddOwner().mLinks[silent] = LinkState::kDisconnected;
  simulation.RunFor(Milliseconds(30000));
  CheckNoViolations(simulation);
}

// Two runs failed while no end could be made durable, and the successor learns
// of the later one first. Both have to count as attempts.
TEST(ShardSchedulerTest, EndsReportedOutOfOrderAllCount)
{
  const MonotonicTime now(std::chrono::seconds(1000));
  const LearnedPlacementPolicy placement;
  const LeastRemainingWorkPolicy order;
  ShardScheduler shard(
    ShardSchedulerOptions(), SchedulingPolicies{ placement, order }, now);
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mRules.mMaxAttempts = 2;
  shard.RestoreJob(job, nullptr);
  std::vector<WorkerInfo> facts(2);
  facts[0].mId = WorkerId("a");
  facts[1].mId = WorkerId("b");
  shard.OnWorkerList(facts, now);
  uint64_t run = 5;
  for (const WorkerInfo& worker : facts) {
    RenewalRequest hold;
    hold.mWorker = worker.mId;
    RenewalReply reply;
    reply.mOutcome = OrderOutcome::kAccepted;
    reply.mEnded.push_back(RunEndReport{ EndNumber(1),
                                         TaskRef{ { JobId("j"), 0, 0 }, 0 },
                                         RunNumber(run),
                                         EndKind::kFailed,
                                         CheckpointId() });
    run -= 2;
    shard.OnRenewalReply(hold, reply, now, now);
    // A repeated report changes nothing.
    shard.OnRenewalReply(hold, reply, now, now);
  }
  shard.OnDurable(shard.TakeProgress(now));
  CHECK(JobPhase::kFailed == shard.Phase(JobId("j")));
}

// A worker crashed during a takeover and another one answers at its address.
// Its tasks have ended, so the new owner need not wait for it.
TEST(ShardSchedulerTest, WorkerWhoseAddressWasReusedIsGone)
{
  ShardSimulation simulation(2);
  SimulatedOwner& former = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 8000));
  simulation.RunFor(Milliseconds(1000));
  former.mIsActive = false;
  SimulatedOwner& next = simulation.AddOwner();
  const WorkerId gone = simulation.Worker(0).mInfo.mId;
  next.mLinks[gone] = LinkState::kAddressReused;
  simulation.RestartWorker(gone);
  simulation.RunFor(Milliseconds(2000));
  CHECK_EQUAL(2U, simulation.Worker(1).mRuns.size());
  CheckNoViolations(simulation);
}

// A best-effort task of an image that disturbs every service is started
// nevertheless after it has waited, while most workers are unused.
TEST(ShardSchedulerTest, DisturbingBatchTaskStartsAfterAWait)
{
  ShardSimulation simulation(2);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  for (size_t number = 0; number < 2; number++) {
    // A best-effort task doubles the load of one of the serving tasks beside
    // it.
    simulation.Worker(number).mTailLatencyMs =
      [](const SimulatedWorker& aWorker, const TaskRef& aTask) -> int64_t {
      const bool pressed = aWorker.mRuns.size() > 1;
      const bool second = aTask.mIndex == 1;
      return pressed && second ? 17 : 8;
    };
  }
  JobGraph watch = OneStepJob("watch", 4, 3000);
  watch.mSteps[0].mLongRunning = true;
  watch.mSteps[0].mTailLatencyTarget = Milliseconds(18);
  watch.mSteps[0].mMaxPerWorker = 2;
  simulation.Submit(watch);
  simulation.RunFor(Milliseconds(2000));
  JobGraph batch = OneStepJob("batch", 1, 9000);
  batch.mSteps[0].mBestEffort = true;
  batch.mSteps[0].mImage = ImageId("heavy");
  simulation.Submit(batch);
  simulation.RunFor(Milliseconds(6000));
  CHECK_EQUAL(5U, simulation.Running());
  CheckNoViolations(simulation);
}

// Guards against a long-running task that waits for ever because every worker
// is full of best-effort tasks.
TEST(ShardSchedulerTest, LongRunningTaskPreemptsBestEffortTasks)
{
  ShardSimulation simulation(1);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  JobGraph batch = OneStepJob("batch", 4, 3000);
  batch.mSteps[0].mBestEffort = true;
  batch.mSteps[0].mDemand.mMemoryMb = 16000;
  simulation.Submit(batch);
  simulation.RunFor(Milliseconds(600));
  CHECK_EQUAL(4U, simulation.Running());
  JobGraph watch = OneStepJob("watch", 1, 3000);
  watch.mSteps[0].mLongRunning = true;
  watch.mSteps[0].mTailLatencyTarget = Milliseconds(18);
  watch.mSteps[0].mDemand.mMemoryMb = 8000;
  simulation.Submit(watch);
  simulation.RunFor(Milliseconds(2000));
  const TaskRef task{ { JobId("watch"), 0, 0 }, 0 };
  CHECK_EQUAL(1U, simulation.Worker(0).mRuns.count(task));
  CheckNoViolations(simulation);
}

// Random disconnections, lost replies, restarts and takeovers: no task is
// started twice or beyond a worker's capacity, and everything ends once the
// faults are over.
TEST(ShardSchedulerTest, KeepsInvariantsUnderRandomFaults)
{
  for (uint32_t seed = 1; seed <= 60; seed++) {
    std::mt19937 random(seed);
    const auto pick = [&random](uint32_t aBelow) {
      return static_cast<uint32_t>(random() % aBelow);
    };
    ShardSimulation simulation(6);
    simulation.AddOwner();
    simulation.mDurationOf = [](const TaskRef& aTask) {
      return Milliseconds(300 + 200 * (aTask.mIndex % 7));
    };
    size_t owners = 1;
    for (int round = 0; round < 40; round++) {
      const auto tasks = 1 + pick(6);
      const auto taskMs = 500 * (1 + pick(12));
      JobGraph job = OneStepJob("j" + std::to_string(round), tasks, taskMs);
      job.mSteps[0].mBestEffort = pick(3) == 0;
      simulation.Submit(job);
      SimulatedOwner& owner = simulation.Owner(owners - 1);
      const WorkerId worker = simulation.Worker(pick(6)).mInfo.mId;
      switch (pick(8)) {
        case 0:
          owner.mLinks[worker] = LinkState::kDisconnected;
          break;
        case 1:
          owner.mLinks[worker] = LinkState::kRepliesLost;
          break;
        case 2:
          owner.mLinks.clear();
          break;
        case 3:
          simulation.RestartWorker(worker);
          break;
        case 4:
          simulation.AddOwner();
          owners++;
          break;
        case 5:
          simulation.Cancel(JobId("j" + std::to_string(pick(40))));
          break;
        default:
          break;
      }
      simulation.RunFor(Milliseconds(100 * (1 + pick(10))));
    }
    for (size_t number = 0; number < owners; number++) {
      simulation.Owner(number).mLinks.clear();
    }
    simulation.RunFor(Milliseconds(40000));
    for (const std::string& finding : simulation.Violations()) {
      FAIL(("seed " + std::to_string(seed) + ": " + finding).c_str());
    }
    CHECK_EQUAL(0U, simulation.Running());
  }
}

TEST(ShardSchedulerTest, WaitingStepReportsMostCommonCause)
{
  ShardSimulation simulation(2);
  SimulatedOwner& owner = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("a", 2, 16000));
  simulation.RunFor(Milliseconds(1000));
  owner.mShard->TakeDecisions();
  simulation.Submit(OneStepJob("b", 1, 1000));
  simulation.RunFor(Milliseconds(3000));
  WaitCause cause = WaitCause::kNone;
  for (const JobDecision& decision : owner.mShard->TakeDecisions()) {
    const bool waits = decision.mKind == DecisionKind::kStepWaits;
    cause = waits ? decision.mWaitCause : cause;
  }
  CHECK(WaitCause::kRoom == cause);
}

// Guards against a failed job because of one broken worker. A worker that fails
// everything is always the emptiest one, so it was chosen for every attempt of
// a task.
TEST(ShardSchedulerTest, FailedTaskIsRetriedOnAnotherWorker)
{
  ShardSimulation simulation(2);
  SimulatedOwner& owner = simulation.AddOwner();
  simulation.mFailingWorkers = { simulation.Worker(0).mInfo.mId };
  simulation.mDurationOf = [](const TaskRef&) { return Milliseconds(200); };
  simulation.RunFor(Milliseconds(400));
  for (int number = 0; number < 3; number++) {
    const std::string id = "j" + std::to_string(number);
    JobGraph job = OneStepJob(id, 1, 1000);
    job.mRules.mMaxAttempts = 2;
    simulation.Submit(job);
    simulation.RunFor(Milliseconds(1500));
    CheckPhase(owner, id.c_str(), JobPhase::kCompleted);
  }
  CheckNoViolations(simulation);
}

// A worker was lost some time before its owner was killed. The successor has to
// wait only for the lease that the worker had then, not for the time in which
// the owner might have renewed it.
TEST(ShardSchedulerTest, SuccessorWaitsOnlyForTheRecordedLease)
{
  ShardSimulation simulation(2);
  SimulatedOwner& former = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  JobGraph job = OneStepJob("j", 2, 7000);
  job.mSteps[0].mLongRunning = true;
  simulation.Submit(job);
  simulation.RunFor(Milliseconds(2000));
  CHECK_EQUAL(2U, simulation.Running());
  const size_t used = simulation.Worker(0).mRuns.empty() ? 1 : 0;
  const WorkerId gone = simulation.Worker(used).mInfo.mId;
  former.mLinks[gone] = LinkState::kDisconnected;
  simulation.RunFor(Milliseconds(4000));
  former.mIsActive = false;
  SimulatedOwner& next = simulation.AddOwner();
  next.mLinks[gone] = LinkState::kDisconnected;
  simulation.RunFor(Milliseconds(5000));
  CHECK_EQUAL(2U, simulation.Running());
  CheckNoViolations(simulation);
}

// A worker whose leases were recorded as not renewed answers again. The owner
// revokes the note, then renews the lease, and the worker keeps its run.
TEST(ShardSchedulerTest, ReconnectedWorkerIsRenewedAgain)
{
  ShardSimulation simulation(2);
  SimulatedOwner& owner = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 9000));
  simulation.RunFor(Milliseconds(2000));
  const WorkerId away = simulation.Worker(0).mInfo.mId;
  owner.mLinks[away] = LinkState::kDisconnected;
  simulation.RunFor(Milliseconds(2500));
  owner.mLinks.clear();
  simulation.RunFor(Milliseconds(15000));
  CHECK_EQUAL(2U, simulation.Running());
  CHECK_EQUAL(1U, simulation.Worker(0).mRuns.size());
  CheckNoViolations(simulation);
}

} // namespace mulberryvalve
