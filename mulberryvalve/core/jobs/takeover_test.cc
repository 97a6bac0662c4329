// Tests takeovers while workers drain, exit, move, disconnect and reconnect:
// waiting tasks are placed at once, and no task runs twice.
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// Long-running tasks of exited workers run again within this after a load.
constexpr Milliseconds kLongRunningRestartLimit{ 3000 };
// How long a successor waits for a worker without a handover note: the former
// owner may have renewed its lease until its proof of ownership expired.
constexpr Milliseconds kWaitWithoutNote{ 6000 + 5762 + 1500 };
constexpr Milliseconds kPlacementLimit = TakeoverSimulation::kPlacementLimit;
constexpr Milliseconds kTakeoverDelay = TakeoverSimulation::kTakeoverDelay;
// Longer than every lease and wait.
constexpr Milliseconds kSettleTime{ 30000 };

// How long an unreachable worker stays listed; for good if unset.
const std::optional<Milliseconds> kUnlistedDelays[] = { std::nullopt,
                                                        Milliseconds(1500) };

void CheckNoViolations(const TakeoverSimulation& aSim)
{
  STRCMP_EQUAL("", aSim.AllViolations().c_str());
}

void MakeUnreachable(TakeoverSimulation& aSim,
                     const WorkerId& aWorker,
                     std::optional<Milliseconds> aUnlistedAfter = std::nullopt)
{
  std::optional<MonotonicTime> unlistedAt;
  if (aUnlistedAfter) {
    unlistedAt = aSim->Now() + *aUnlistedAfter;
  }
  aSim->MakeUnreachable(aWorker, unlistedAt);
}

// Some of 20 workers exit empty, aBefore the owner ends.
void CheckPlacementAfterExit(size_t aExitCount, Milliseconds aBefore)
{
  TakeoverSimulation sim(20);
  sim->Submit(LongRunningJob("lasting", 20, 1000));
  sim->RunFor(Milliseconds(1000));
  CHECK_EQUAL(0U, sim.DrainAndExit(sim.FirstWorkers(aExitCount)));
  sim->RunFor(aBefore);
  CHECK_EQUAL(40U, sim.PlacedAfterTakeover("waiting", 40));
  CHECK_EQUAL(20U, sim->RunningOf(JobId("lasting")));
  CheckNoViolations(sim);
}

void CheckPlacementAfterEachTakeover(int aTakeovers)
{
  for (const int intervalMs : { 2000, 3500, 5000 }) {
    TakeoverSimulation sim(20);
    sim->Submit(LongRunningJob("lasting", 20, 1000));
    sim->RunFor(Milliseconds(1000));
    CHECK_EQUAL(0U, sim.DrainAndExit(sim.FirstWorkers(4)));
    sim->RunFor(Milliseconds(1000));
    for (int takeover = 0; takeover < aTakeovers; takeover++) {
      CHECK_EQUAL(20U,
                  sim.PlacedAfterTakeover("j" + std::to_string(takeover), 20));
      sim->RunFor(Milliseconds(intervalMs) - kTakeoverDelay - kPlacementLimit);
    }
    CHECK_EQUAL(20U, sim->RunningOf(JobId("lasting")));
    CheckNoViolations(sim);
  }
}

// Some of ten workers exit, and their long-running tasks find no room elsewhere
// until after the takeover.
void CheckLongRunningTasksRestart(uint32_t aExitCount)
{
  TakeoverSimulation sim(10);
  sim->Submit(LongRunningJob("lasting", aExitCount, 9000));
  sim->RunFor(Milliseconds(600));
  std::vector<WorkerId> exited;
  for (uint32_t index = 0; index < aExitCount; index++) {
    exited.push_back(sim.WorkerOf(TaskOf("lasting", index)));
  }
  sim->Submit(OneStepJob("batch", 10 - aExitCount, 12000));
  sim->RunFor(Milliseconds(600));
  CHECK_EQUAL(10U - aExitCount, sim->RunningOf(JobId("batch")));
  CHECK_EQUAL(0U, sim.DrainAndExit(exited));
  sim->RunFor(Milliseconds(1000));
  sim.ReplaceOwner();
  for (const WorkerId& id : sim.FirstWorkers(10)) {
    sim.EndRunsOf(id);
  }
  sim->RunFor(kLongRunningRestartLimit);
  CHECK_EQUAL(aExitCount, sim->RunningOf(JobId("lasting")));
  CheckNoViolations(sim);
}

// One worker runs a long-running task.
struct OneLongRunningTask
{
  TakeoverSimulation mSim;
  TaskRef mTask = TaskOf("lasting", 0);
  WorkerId mWorker;

  explicit OneLongRunningTask(size_t aWorkers)
    : mSim(aWorkers)
  {
    mSim->Submit(LongRunningJob("lasting", 1, 9000));
    mSim->RunFor(Milliseconds(1000));
    mWorker = mSim.WorkerOf(mTask);
  }
};

// Ten workers are full of one job's tasks, and two more tasks wait. The first
// worker is lost, then the owner is replaced while six others become free.
struct FullClusterOneLost
{
  TakeoverSimulation mSim{ 10 };
  WorkerId mLost = mSim.IdOf(0);
  TaskRef mTask;
  MonotonicTime mLostAt;

  explicit FullClusterOneLost(std::optional<Milliseconds> aUnlistedAfter)
  {
    mSim->Submit(OneStepJob("j", 12, 16000));
    mSim->RunFor(Milliseconds(1000));
    CHECK_EQUAL(10U, mSim->RunningOf(JobId("j")));
    mTask = mSim->Worker(0).mRuns.begin()->first;
    mLostAt = mSim->Now();
    MakeUnreachable(mSim, mLost, aUnlistedAfter);
    mSim->RunFor(Milliseconds(2000));
    mSim.KillOwner();
    for (size_t index = 4; index < 10; index++) {
      mSim.EndRunsOf(mSim.IdOf(index));
    }
    mSim->Submit(OneStepJob("other", 4, 4000));
    mSim->RunFor(kTakeoverDelay);
    mSim.LoadOwner();
    mSim->RunFor(kPlacementLimit);
  }
};

// A gang of three members, of which one runs on an unreachable worker.
struct GangOneLost
{
  TakeoverSimulation mSim{ 10 };
  WorkerId mLost;
  MonotonicTime mLostAt;

  GangOneLost()
  {
    JobGraph gang = OneStepJob("gang", 3, 9000);
    gang.mSteps[0].mGang = true;
    mSim->Submit(gang);
    mSim->RunFor(Milliseconds(1000));
    mLost = mSim.WorkerOf(TaskOf("gang", 1));
    mLostAt = mSim->Now();
    mSim->MakeUnreachable(mLost);
    mSim->RunFor(Milliseconds(2000));
  }

  // Returns the numbers of the present runs.
  std::set<RunNumber> Runs()
  {
    std::set<RunNumber> runs;
    for (size_t index = 0; index < 10; index++) {
      for (const auto& [task, run] : mSim->Worker(index).mRuns) {
        runs.insert(run.mRun);
      }
    }
    return runs;
  }
};

// Three long-running tasks run on three of four workers. A batch task fills the
// fourth until the owner is partitioned off with the worker aUsed.
void CheckReusedWorkerIsAwaited(TakeoverSimulation& aSim,
                                const WorkerId& aUsed,
                                Milliseconds aUsedDuration)
{
  aSim->Submit(LongRunningJob("lasting", 3, 9000));
  aSim->RunFor(aUsedDuration);
  CHECK_EQUAL(1U, aSim->Worker(aSim.IndexOf(aUsed)).mRuns.size());
  aSim.EndRunsOf(aSim.WorkerOf(TaskOf("batch", 0)));
  aSim.PartitionOff(aUsed);
  aSim->RunFor(kSettleTime);
  CHECK_EQUAL(3U, aSim->RunningOf(JobId("lasting")));
  CheckNoViolations(aSim);
}

// Fills one of four workers with a batch task, and returns another worker.
WorkerId IdleWorkerBesideBatch(TakeoverSimulation& aSim)
{
  aSim->Submit(OneStepJob("batch", 1, 12000));
  aSim->RunFor(Milliseconds(600));
  const WorkerId used = aSim.WorkerOf(TaskOf("batch", 0));
  return aSim.IdOf(used == aSim.IdOf(0) ? 1 : 0);
}

} // namespace

TEST_GROUP(TakeoverTest){};

// Guards against a successor that waits for workers that had exited empty.
TEST(TakeoverTest, PlacesAtOnceAfterEmptyWorkersExit)
{
  CheckPlacementAfterExit(2, Milliseconds(1000));
}

// The same with half of the workers gone.
TEST(TakeoverTest, PlacesAtOnceAfterManyEmptyWorkersExit)
{
  CheckPlacementAfterExit(10, Milliseconds(1000));
}

// The owner ends with the workers, so it never sees them stop answering.
TEST(TakeoverTest, PlacesAtOnceWhenEmptyWorkersExitWithTheOwner)
{
  CheckPlacementAfterExit(4, Milliseconds(0));
}

// Guards against waits for exited workers that start over at each takeover.
TEST(TakeoverTest, PlacesAtOnceAfterEachOfTwoTakeovers)
{
  CheckPlacementAfterEachTakeover(2);
}

// A job that is submitted between two takeovers is inherited by later owners.
TEST(TakeoverTest, PlacesAtOnceAfterEachOfThreeTakeovers)
{
  CheckPlacementAfterEachTakeover(3);
}

// Guards against a long-running task that was stopped on a leaving worker and
// is not started again, though there is room after the takeover.
TEST(TakeoverTest, LongRunningTaskOfAnExitedWorkerRestartsSoon)
{
  CheckLongRunningTasksRestart(1);
}

// The same with half of the workers gone.
TEST(TakeoverTest, LongRunningTasksOfManyExitedWorkersRestartSoon)
{
  CheckLongRunningTasksRestart(5);
}

// Guards against one unreachable worker that blocks jobs that never used it.
TEST(TakeoverTest, OtherJobsDoNotWaitForUnreachableWorker)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    FullClusterOneLost cluster(unlistedAfter);
    CHECK_EQUAL(4U, cluster.mSim->RunningOf(JobId("other")));
    CheckNoViolations(cluster.mSim);
  }
}

// The same for tasks of the same job that never ran there.
TEST(TakeoverTest, OtherTasksOfTheJobDoNotWaitForUnreachableWorker)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    FullClusterOneLost cluster(unlistedAfter);
    // One is unreachable, three were not ended, and two are new.
    CHECK_EQUAL(6U, cluster.mSim->RunningOf(JobId("j")));
    CheckNoViolations(cluster.mSim);
  }
}

// An unreachable worker runs its task until its lease expires. Started earlier,
// the task runs twice; started later, capacity is wasted.
TEST(TakeoverTest, TaskOfUnreachableWorkerStartsWhenItsLeaseExpires)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    FullClusterOneLost cluster(unlistedAfter);
    // Other tasks may have used all free capacity by now.
    cluster.mSim.EndRunsOf(cluster.mSim.IdOf(9));
    const MonotonicTime latest =
      TakeoverSimulation::PlacementDeadline(cluster.mLostAt, 1);
    CHECK(cluster.mSim.RunsElsewhereBy(cluster.mTask, cluster.mLost, latest));
    cluster.mSim->RunFor(kSettleTime);
    CheckNoViolations(cluster.mSim);
  }
}

// Guards against waits that start over at each takeover.
TEST(TakeoverTest, WaitForUnreachableWorkerNeverStartsOver)
{
  for (const int intervalMs : { 1500, 2000, 2500 }) {
    OneLongRunningTask lost(6);
    const MonotonicTime latest =
      TakeoverSimulation::PlacementDeadline(lost.mSim->Now(), 3);
    lost.mSim->MakeUnreachable(lost.mWorker);
    lost.mSim->RunFor(Milliseconds(2000));
    for (int takeover = 0; takeover < 3; takeover++) {
      lost.mSim.ReplaceOwner();
      lost.mSim->RunFor(Milliseconds(intervalMs) - kTakeoverDelay);
    }
    CHECK(lost.mSim.RunsElsewhereBy(lost.mTask, lost.mWorker, latest));
    lost.mSim->RunFor(kSettleTime);
    CheckNoViolations(lost.mSim);
  }
}

// Guards against takeovers that block all tasks while one worker is lost.
TEST(TakeoverTest, OtherJobsDoNotWaitForUnreachableWorkerInRepeatedTakeovers)
{
  for (const int intervalMs : { 2000, 3000, 5000 }) {
    OneLongRunningTask lost(6);
    lost.mSim->MakeUnreachable(lost.mWorker);
    lost.mSim->RunFor(Milliseconds(2000));
    for (int takeover = 0; takeover < 3; takeover++) {
      const std::string job = "j" + std::to_string(takeover);
      CHECK_EQUAL(10U, lost.mSim.PlacedAfterTakeover(job, 10));
      lost.mSim->RunFor(Milliseconds(intervalMs) - kTakeoverDelay -
                        kPlacementLimit);
    }
    lost.mSim->RunFor(kSettleTime);
    CHECK_EQUAL(1U, lost.mSim->RunningOf(JobId("lasting")));
    CheckNoViolations(lost.mSim);
  }
}

// Guards against crashed workers whose tasks make every other job wait.
TEST(TakeoverTest, OtherJobsDoNotWaitForCrashedWorkers)
{
  TakeoverSimulation sim(10);
  sim->Submit(LongRunningJob("lasting", 10, 9000));
  sim->RunFor(Milliseconds(1000));
  for (const WorkerId& id : sim.FirstWorkers(2)) {
    CHECK_EQUAL(1U, sim->Worker(sim.IndexOf(id)).mRuns.size());
    sim->Exit(id);
  }
  sim->RunFor(Milliseconds(2000));
  CHECK_EQUAL(10U, sim.PlacedAfterTakeover("other", 10));
  CheckNoViolations(sim);
}

// No report shows the end of a task whose worker exited, so it starts elsewhere
// when the lease has expired, whether the worker drained before or not.
TEST(TakeoverTest, TaskOfExitedWorkerStartsWhenItsLeaseExpires)
{
  for (const bool drains : { false, true }) {
    TakeoverSimulation sim(10);
    sim->Submit(OneStepJob("j", 8, 9000));
    sim->RunFor(Milliseconds(1000));
    const TaskRef task = TaskOf("j", 0);
    const WorkerId left = sim.WorkerOf(task);
    if (drains) {
      CHECK_EQUAL(1U, sim.DrainAndExit({ left }));
    } else {
      sim->Exit(left);
    }
    const MonotonicTime latest =
      TakeoverSimulation::PlacementDeadline(sim->Now(), 1);
    sim->RunFor(Milliseconds(2000));
    sim.ReplaceOwner();
    CHECK(sim.RunsElsewhereBy(task, left, latest));
    CheckNoViolations(sim);
  }
}

// A worker without a handover note is partitioned off with its owner, which
// renews its lease until the proof of ownership expires. A successor has to
// wait.
TEST(TakeoverTest, WorkerPartitionedWithItsOwnerIsWaitedForInFull)
{
  OneLongRunningTask lost(4);
  lost.mSim.PartitionOff(lost.mWorker);
  const MonotonicTime latest = lost.mSim->Now() + kWaitWithoutNote;
  CHECK(lost.mSim.RunsElsewhereBy(lost.mTask, lost.mWorker, latest));
  lost.mSim->RunFor(kSettleTime);
  CheckNoViolations(lost.mSim);
}

// The same if the owner is killed when it loses the worker, listed or not.
TEST(TakeoverTest, WorkerLostWithItsOwnerIsWaitedFor)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    OneLongRunningTask lost(4);
    lost.mSim.KillOwner();
    MakeUnreachable(lost.mSim, lost.mWorker, unlistedAfter);
    lost.mSim->RunFor(kTakeoverDelay);
    lost.mSim.LoadOwner();
    const MonotonicTime latest = lost.mSim->Now() + kWaitWithoutNote;
    CHECK(lost.mSim.RunsElsewhereBy(lost.mTask, lost.mWorker, latest));
    lost.mSim->RunFor(kSettleTime);
    CheckNoViolations(lost.mSim);
  }
}

// A draining worker with tasks becomes unreachable shortly before its owner
// ends: nothing has shown that it is empty.
TEST(TakeoverTest, UnreachableDrainingWorkerWithTasksIsWaitedFor)
{
  for (const int beforeMs : { 0, 300, 1500 }) {
    TakeoverSimulation sim(4);
    sim->Submit(OneStepJob("j", 4, 9000));
    sim->RunFor(Milliseconds(1000));
    const WorkerId lost = sim.IdOf(0);
    sim->Drain(lost, Milliseconds(6000));
    sim->RunFor(Milliseconds(1000));
    sim->MakeUnreachable(lost, sim->Now());
    sim->RunFor(Milliseconds(beforeMs));
    sim.EndRunsOf(sim.IdOf(1));
    sim.ReplaceOwner();
    sim->RunFor(kSettleTime);
    CheckNoViolations(sim);
  }
}

// Nothing listens at the former address of a worker that moved, but it keeps
// running: a refused connection is no proof that it ended.
TEST(TakeoverTest, MovedWorkerIsNotTreatedAsExited)
{
  for (const int unlistedMs : { 100, 1000, 3000, 5000 }) {
    OneLongRunningTask moved(4);
    moved.mSim.KillOwner();
    moved.mSim->ChangeEndpoint(moved.mWorker, Endpoint{ "elsewhere", 7000 });
    moved.mSim->RunFor(kTakeoverDelay);
    moved.mSim.LoadOwner();
    moved.mSim->RunFor(Milliseconds(unlistedMs));
    moved.mSim->Worker(moved.mSim.IndexOf(moved.mWorker)).mListed = true;
    moved.mSim->RunFor(kSettleTime);
    CHECK_EQUAL(1U, moved.mSim->RunningOf(JobId("lasting")));
    CheckNoViolations(moved.mSim);
  }
}

// Guards against a gang with one unreachable member that blocks other jobs.
TEST(TakeoverTest, OtherJobsDoNotWaitForGangOnUnreachableWorker)
{
  GangOneLost gang;
  CHECK_EQUAL(10U, gang.mSim.PlacedAfterTakeover("other", 10));
  CheckNoViolations(gang.mSim);
}

// A member that is restarted alone would run beside the unreachable one.
TEST(TakeoverTest, GangOnUnreachableWorkerRestartsAsAWhole)
{
  GangOneLost gang;
  gang.mSim.ReplaceOwner();
  const MonotonicTime latest =
    TakeoverSimulation::PlacementDeadline(gang.mLostAt, 1);
  CHECK(gang.mSim.RunsElsewhereBy(TaskOf("gang", 1), gang.mLost, latest));
  gang.mSim->RunFor(kSettleTime);
  CHECK_EQUAL(3U, gang.mSim->RunningOf(JobId("gang")));
  CHECK_EQUAL(1U, gang.Runs().size());
  CheckNoViolations(gang.mSim);
}

// A note that a worker need not be waited for must not outlive its return.
TEST(TakeoverTest, ReusedWorkerIsWaitedFor)
{
  for (const int usedForMs : { 500, 1000, 4000 }) {
    TakeoverSimulation sim(4);
    const WorkerId reused = IdleWorkerBesideBatch(sim);
    sim->MakeUnreachable(reused);
    sim->RunFor(Milliseconds(9000));
    sim->MakeReachable(reused);
    sim->RunFor(Milliseconds(300));
    CheckReusedWorkerIsAwaited(sim, reused, Milliseconds(usedForMs));
  }
}

// The same for a worker that drained, exited empty and restarted.
TEST(TakeoverTest, RestartedWorkerIsWaitedFor)
{
  for (const int awayMs : { 200, 2000, 9000 }) {
    for (const int usedForMs : { 500, 1000, 4000 }) {
      TakeoverSimulation sim(4);
      const WorkerId reused = IdleWorkerBesideBatch(sim);
      CHECK_EQUAL(0U, sim.DrainAndExit({ reused }));
      sim->RunFor(Milliseconds(awayMs));
      sim->RestartWorker(reused);
      sim->RunFor(Milliseconds(300));
      CheckReusedWorkerIsAwaited(sim, reused, Milliseconds(usedForMs));
    }
  }
}

// A superseded owner can't revoke the wait that it recorded for a worker, so it
// must neither renew the lease nor use the worker when it reaches it again.
TEST(TakeoverTest, SupersededOwnerKeepsToItsRecordedWait)
{
  for (const int awayMs : { 1500, 3000, 4500, 9000 }) {
    TakeoverSimulation sim(4);
    sim->Submit(LongRunningJob("lasting", 3, 9000));
    sim->RunFor(Milliseconds(1000));
    const WorkerId recorded = sim.WorkerOf(TaskOf("lasting", 0));
    sim->Owner(0).mLinks[recorded] = LinkState::kDisconnected;
    sim->RunFor(Milliseconds(awayMs));
    sim->Submit(LongRunningJob("more", 1, 6000));
    sim->Owner(0).mLinks.clear();
    sim.PartitionOff(recorded);
    sim->RunFor(kSettleTime);
    CHECK_EQUAL(4U, sim->Running());
    CheckNoViolations(sim);
  }
}

} // namespace mulberryvalve
