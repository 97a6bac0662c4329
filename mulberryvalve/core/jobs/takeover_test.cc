// Tests takeovers while workers drain, exit, move, disconnect and reconnect:
// waiting tasks are placed at once, and no task runs twice.
#include "mulberryvalve/core/jobs/takeover_world_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// Lasting tasks of exited workers run again within this after a load.
constexpr Milliseconds kLastingRestartLimit{ 3000 };
// How long a successor waits for a worker without a handover note: the former
// owner may have renewed its lease until its proof of ownership expired.
constexpr Milliseconds kWaitWithoutNote{ 6000 + 5762 + 1500 };
constexpr Milliseconds kPlacementLimit = TakeoverWorld::kPlacementLimit;
constexpr Milliseconds kTakeoverDelay = TakeoverWorld::kTakeoverDelay;
// Longer than every lease and wait.
constexpr Milliseconds kSettleTime{ 30000 };

// How long an unreachable worker stays on the list of workers; for good if
// unset.
const std::optional<Milliseconds> kUnlistedDelays[] = { std::nullopt,
                                                        Milliseconds(1500) };

void CheckNoViolations(const TakeoverWorld& aSimulation)
{
  STRCMP_EQUAL("", aSimulation.AllFindings().c_str());
}

void MakeUnreachable(TakeoverWorld& aSimulation,
                     const WorkerId& aWorker,
                     std::optional<Milliseconds> aUnlistedAfter = std::nullopt)
{
  std::optional<MonotonicTime> unlistedAt;
  if (aUnlistedAfter) {
    unlistedAt = aSimulation->Now() + *aUnlistedAfter;
  }
  aSimulation->MakeUnreachable(aWorker, unlistedAt);
}

// Some of 20 workers exit empty, aBefore the owner ends.
void CheckPlacementAfterExit(size_t aExitCount, Milliseconds aBefore)
{
  TakeoverWorld simulation(20);
  simulation->Submit(LastingJob("lasting", 20, 1000));
  simulation->RunFor(Milliseconds(1000));
  CHECK_EQUAL(0U, simulation.DrainAndExit(simulation.FirstWorkers(aExitCount)));
  simulation->RunFor(aBefore);
  CHECK_EQUAL(40U, simulation.PlacedAfterTakeover("waiting", 40));
  CHECK_EQUAL(20U, simulation->RunningOf(JobId("lasting")));
  CheckNoViolations(simulation);
}

void CheckPlacementAfterEachTakeover(int aTakeovers)
{
  for (const int intervalMs : { 2000, 3500, 5000 }) {
    TakeoverWorld simulation(20);
    simulation->Submit(LastingJob("lasting", 20, 1000));
    simulation->RunFor(Milliseconds(1000));
    CHECK_EQUAL(0U, simulation.DrainAndExit(simulation.FirstWorkers(4)));
    simulation->RunFor(Milliseconds(1000));
    for (int takeover = 0; takeover < aTakeovers; takeover++) {
      CHECK_EQUAL(
        20U,
        simulation.PlacedAfterTakeover("j" + std::to_string(takeover), 20));
      simulation->RunFor(Milliseconds(intervalMs) - kTakeoverDelay -
                         kPlacementLimit);
    }
    CHECK_EQUAL(20U, simulation->RunningOf(JobId("lasting")));
    CheckNoViolations(simulation);
  }
}

// Some of ten workers exit, and their lasting tasks find no room elsewhere
// until after the takeover.
void CheckLastingTasksRestart(uint32_t aExitCount)
{
  TakeoverWorld simulation(10);
  simulation->Submit(LastingJob("lasting", aExitCount, 9000));
  simulation->RunFor(Milliseconds(600));
  std::vector<WorkerId> exited;
  for (uint32_t index = 0; index < aExitCount; index++) {
    exited.push_back(simulation.WorkerOf(TaskOf("lasting", index)));
  }
  simulation->Submit(OneStepJob("batch", 10 - aExitCount, 12000));
  simulation->RunFor(Milliseconds(600));
  CHECK_EQUAL(10U - aExitCount, simulation->RunningOf(JobId("batch")));
  CHECK_EQUAL(0U, simulation.DrainAndExit(exited));
  simulation->RunFor(Milliseconds(1000));
  simulation.ReplaceOwner();
  for (const WorkerId& id : simulation.FirstWorkers(10)) {
    simulation.EndRunsOf(id);
  }
  simulation->RunFor(kLastingRestartLimit);
  CHECK_EQUAL(aExitCount, simulation->RunningOf(JobId("lasting")));
  CheckNoViolations(simulation);
}

// One worker runs a lasting task.
struct OneLastingTask
{
  TakeoverWorld mSimulation;
  TaskRef mTask = TaskOf("lasting", 0);
  WorkerId mWorker;

  explicit OneLastingTask(size_t aWorkers)
    : mSimulation(aWorkers)
  {
    mSimulation->Submit(LastingJob("lasting", 1, 9000));
    mSimulation->RunFor(Milliseconds(1000));
    mWorker = mSimulation.WorkerOf(mTask);
  }
};

// Ten workers are full of one job's tasks, and two more tasks wait. The first
// worker becomes unreachable, then the owner is replaced while six other
// workers become free.
struct FullClusterOneUnreachable
{
  TakeoverWorld mSimulation{ 10 };
  WorkerId mUnreachable = mSimulation.IdOf(0);
  TaskRef mTask;
  MonotonicTime mUnreachableSince;

  explicit FullClusterOneUnreachable(std::optional<Milliseconds> aUnlistedAfter)
  {
    mSimulation->Submit(OneStepJob("j", 12, 16000));
    mSimulation->RunFor(Milliseconds(1000));
    CHECK_EQUAL(10U, mSimulation->RunningOf(JobId("j")));
    mTask = mSimulation->Worker(0).mRuns.begin()->first;
    mUnreachableSince = mSimulation->Now();
    MakeUnreachable(mSimulation, mUnreachable, aUnlistedAfter);
    mSimulation->RunFor(Milliseconds(2000));
    mSimulation.KillOwner();
    for (size_t index = 4; index < 10; index++) {
      mSimulation.EndRunsOf(mSimulation.IdOf(index));
    }
    mSimulation->Submit(OneStepJob("other", 4, 4000));
    mSimulation->RunFor(kTakeoverDelay);
    mSimulation.LoadOwner();
    mSimulation->RunFor(kPlacementLimit);
  }
};

// A gang of three members, of which one runs on an unreachable worker.
struct GangOneUnreachable
{
  TakeoverWorld mSimulation{ 10 };
  WorkerId mUnreachable;
  MonotonicTime mUnreachableSince;

  GangOneUnreachable()
  {
    JobGraph gang = OneStepJob("gang", 3, 9000);
    gang.mSteps[0].mGang = true;
    mSimulation->Submit(gang);
    mSimulation->RunFor(Milliseconds(1000));
    mUnreachable = mSimulation.WorkerOf(TaskOf("gang", 1));
    mUnreachableSince = mSimulation->Now();
    mSimulation->MakeUnreachable(mUnreachable);
    mSimulation->RunFor(Milliseconds(2000));
  }

  // Returns the numbers of the present runs.
  std::set<RunNumber> Runs()
  {
    std::set<RunNumber> runs;
    for (size_t index = 0; index < 10; index++) {
      for (const auto& [task, run] : mSimulation->Worker(index).mRuns) {
        runs.insert(run.mRun);
      }
    }
    return runs;
  }
};

// Three lasting tasks run on three of four workers. A batch task fills the
// fourth until the owner is partitioned off with the worker aUsed.
void CheckReusedWorkerIsAwaited(TakeoverWorld& aSimulation,
                                const WorkerId& aUsed,
                                Milliseconds aUsedDuration)
{
  aSimulation->Submit(LastingJob("lasting", 3, 9000));
  aSimulation->RunFor(aUsedDuration);
  CHECK_EQUAL(1U, aSimulation->Worker(aSimulation.IndexOf(aUsed)).mRuns.size());
  aSimulation.EndRunsOf(aSimulation.WorkerOf(TaskOf("batch", 0)));
  aSimulation.SplitOff(aUsed);
  aSimulation->RunFor(kSettleTime);
  CHECK_EQUAL(3U, aSimulation->RunningOf(JobId("lasting")));
  CheckNoViolations(aSimulation);
}

// Fills one of four workers with a batch task, and returns another worker.
WorkerId IdleWorkerBesideBatch(TakeoverWorld& aSimulation)
{
  aSimulation->Submit(OneStepJob("batch", 1, 12000));
  aSimulation->RunFor(Milliseconds(600));
  const bool isFirst =
    aSimulation.WorkerOf(TaskOf("batch", 0)) == aSimulation.IdOf(0);
  return aSimulation.IdOf(isFirst ? 1 : 0);
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

// Guards against a lasting task that was stopped on a leaving worker and is not
// started again, though there is room after the takeover.
TEST(TakeoverTest, LastingTaskOfAnExitedWorkerRestartsSoon)
{
  CheckLastingTasksRestart(1);
}

// The same with half of the workers gone.
TEST(TakeoverTest, LastingTasksOfManyExitedWorkersRestartSoon)
{
  CheckLastingTasksRestart(5);
}

// Guards against one unreachable worker that blocks jobs that never used it.
TEST(TakeoverTest, OtherJobsDoNotWaitForUnreachableWorker)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    FullClusterOneUnreachable cluster(unlistedAfter);
    CHECK_EQUAL(4U, cluster.mSimulation->RunningOf(JobId("other")));
    CheckNoViolations(cluster.mSimulation);
  }
}

// Guards against one unreachable worker that blocks tasks of the same job that
// never ran there.
TEST(TakeoverTest, OtherTasksOfTheJobDoNotWaitForUnreachableWorker)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    FullClusterOneUnreachable cluster(unlistedAfter);
    // One on the unreachable worker, three on workers whose runs were not
    // ended, and two new ones.
    CHECK_EQUAL(6U, cluster.mSimulation->RunningOf(JobId("j")));
    CheckNoViolations(cluster.mSimulation);
  }
}

// An unreachable worker runs its task until its lease expires. Started earlier,
// the task runs twice; started later, capacity is wasted.
TEST(TakeoverTest, TaskOfUnreachableWorkerStartsWhenItsLeaseExpires)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    FullClusterOneUnreachable cluster(unlistedAfter);
    // Other tasks may have used all free capacity by now.
    cluster.mSimulation.EndRunsOf(cluster.mSimulation.IdOf(9));
    const MonotonicTime deadline =
      TakeoverWorld::LeaseEndKnownBy(cluster.mUnreachableSince, 1);
    CHECK(cluster.mSimulation.RunsElsewhereBy(
      cluster.mTask, cluster.mUnreachable, deadline));
    cluster.mSimulation->RunFor(kSettleTime);
    CheckNoViolations(cluster.mSimulation);
  }
}

// Guards against waits for an unreachable worker that start over at each
// takeover.
TEST(TakeoverTest, WaitForUnreachableWorkerNeverStartsOver)
{
  for (const int intervalMs : { 1500, 2000, 2500 }) {
    OneLastingTask unreachable(6);
    const MonotonicTime deadline =
      TakeoverWorld::LeaseEndKnownBy(unreachable.mSimulation->Now(), 3);
    unreachable.mSimulation->MakeUnreachable(unreachable.mWorker);
    unreachable.mSimulation->RunFor(Milliseconds(2000));
    for (int takeover = 0; takeover < 3; takeover++) {
      unreachable.mSimulation.ReplaceOwner();
      unreachable.mSimulation->RunFor(Milliseconds(intervalMs) -
                                      kTakeoverDelay);
    }
    CHECK(unreachable.mSimulation.RunsElsewhereBy(
      unreachable.mTask, unreachable.mWorker, deadline));
    unreachable.mSimulation->RunFor(kSettleTime);
    CheckNoViolations(unreachable.mSimulation);
  }
}

// Guards against takeovers that block all other tasks while one worker is
// unreachable.
TEST(TakeoverTest, OtherJobsDoNotWaitForUnreachableWorkerInRepeatedTakeovers)
{
  for (const int intervalMs : { 2000, 3000, 5000 }) {
    OneLastingTask unreachable(6);
    unreachable.mSimulation->MakeUnreachable(unreachable.mWorker);
    unreachable.mSimulation->RunFor(Milliseconds(2000));
    for (int takeover = 0; takeover < 3; takeover++) {
      const std::string job = "j" + std::to_string(takeover);
      CHECK_EQUAL(10U, unreachable.mSimulation.PlacedAfterTakeover(job, 10));
      unreachable.mSimulation->RunFor(Milliseconds(intervalMs) -
                                      kTakeoverDelay - kPlacementLimit);
    }
    unreachable.mSimulation->RunFor(kSettleTime);
    CHECK_EQUAL(1U, unreachable.mSimulation->RunningOf(JobId("lasting")));
    CheckNoViolations(unreachable.mSimulation);
  }
}

// Guards against crashed workers whose tasks make every other job wait.
TEST(TakeoverTest, OtherJobsDoNotWaitForCrashedWorkers)
{
  TakeoverWorld simulation(10);
  simulation->Submit(LastingJob("lasting", 10, 9000));
  simulation->RunFor(Milliseconds(1000));
  for (const WorkerId& id : simulation.FirstWorkers(2)) {
    CHECK_EQUAL(1U, simulation->Worker(simulation.IndexOf(id)).mRuns.size());
    simulation->Exit(id);
  }
  simulation->RunFor(Milliseconds(2000));
  CHECK_EQUAL(10U, simulation.PlacedAfterTakeover("other", 10));
  CheckNoViolations(simulation);
}

// No report shows the end of a task whose worker exited, so it is started
// elsewhere when the lease has expired, whether the worker drained before or
// not.
TEST(TakeoverTest, TaskOfExitedWorkerStartsWhenItsLeaseExpires)
{
  for (const bool drains : { false, true }) {
    TakeoverWorld simulation(10);
    simulation->Submit(OneStepJob("j", 8, 9000));
    simulation->RunFor(Milliseconds(1000));
    const TaskRef task = TaskOf("j", 0);
    const WorkerId left = simulation.WorkerOf(task);
    if (drains) {
      CHECK_EQUAL(1U, simulation.DrainAndExit({ left }));
    } else {
      simulation->Exit(left);
    }
    const MonotonicTime deadline =
      TakeoverWorld::LeaseEndKnownBy(simulation->Now(), 1);
    simulation->RunFor(Milliseconds(2000));
    simulation.ReplaceOwner();
    CHECK(simulation.RunsElsewhereBy(task, left, deadline));
    CheckNoViolations(simulation);
  }
}

// A worker is partitioned off together with its owner and has no handover note.
// The owner keeps renewing its lease until the proof of ownership expires, and
// the successor has to wait for that.
TEST(TakeoverTest, WorkerPartitionedWithItsOwnerIsWaitedForInFull)
{
  OneLastingTask unreachable(4);
  unreachable.mSimulation.SplitOff(unreachable.mWorker);
  const MonotonicTime deadline =
    unreachable.mSimulation->Now() + kWaitWithoutNote;
  CHECK(unreachable.mSimulation.RunsElsewhereBy(
    unreachable.mTask, unreachable.mWorker, deadline));
  unreachable.mSimulation->RunFor(kSettleTime);
  CheckNoViolations(unreachable.mSimulation);
}

// The same if the owner is killed when the worker becomes unreachable, whether
// the worker stays listed or not.
TEST(TakeoverTest, WorkerLostWithItsOwnerIsWaitedFor)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    OneLastingTask unreachable(4);
    unreachable.mSimulation.KillOwner();
    MakeUnreachable(
      unreachable.mSimulation, unreachable.mWorker, unlistedAfter);
    unreachable.mSimulation->RunFor(kTakeoverDelay);
    unreachable.mSimulation.LoadOwner();
    const MonotonicTime deadline =
      unreachable.mSimulation->Now() + kWaitWithoutNote;
    CHECK(unreachable.mSimulation.RunsElsewhereBy(
      unreachable.mTask, unreachable.mWorker, deadline));
    unreachable.mSimulation->RunFor(kSettleTime);
    CheckNoViolations(unreachable.mSimulation);
  }
}

// A draining worker with tasks becomes unreachable shortly before its owner
// ends: nothing has shown that it is empty.
TEST(TakeoverTest, UnreachableDrainingWorkerWithTasksIsWaitedFor)
{
  for (const int beforeMs : { 0, 300, 1500 }) {
    TakeoverWorld simulation(4);
    simulation->Submit(OneStepJob("j", 4, 9000));
    simulation->RunFor(Milliseconds(1000));
    const WorkerId unreachable = simulation.IdOf(0);
    simulation->Drain(unreachable, Milliseconds(6000));
    simulation->RunFor(Milliseconds(1000));
    simulation->MakeUnreachable(unreachable, simulation->Now());
    simulation->RunFor(Milliseconds(beforeMs));
    simulation.EndRunsOf(simulation.IdOf(1));
    simulation.ReplaceOwner();
    simulation->RunFor(kSettleTime);
    CheckNoViolations(simulation);
  }
}

// Nothing listens at the former address of a worker that moved, but it keeps
// running: a refused connection is no proof that it ended.
TEST(TakeoverTest, MovedWorkerIsNotTreatedAsExited)
{
  for (const int unlistedMs : { 100, 1000, 3000, 5000 }) {
    OneLastingTask moved(4);
    moved.mSimulation.KillOwner();
    moved.mSimulation->ChangeEndpoint(moved.mWorker,
                                      Endpoint{ "elsewhere", 7000 });
    moved.mSimulation->RunFor(kTakeoverDelay);
    moved.mSimulation.LoadOwner();
    moved.mSimulation->RunFor(Milliseconds(unlistedMs));
    moved.mSimulation->Worker(moved.mSimulation.IndexOf(moved.mWorker))
      .mListed = true;
    moved.mSimulation->RunFor(kSettleTime);
    CHECK_EQUAL(1U, moved.mSimulation->RunningOf(JobId("lasting")));
    CheckNoViolations(moved.mSimulation);
  }
}

// Guards against a gang with one member on an unreachable worker that blocks
// other jobs.
TEST(TakeoverTest, OtherJobsDoNotWaitForGangOnUnreachableWorker)
{
  GangOneUnreachable gang;
  CHECK_EQUAL(10U, gang.mSimulation.PlacedAfterTakeover("other", 10));
  CheckNoViolations(gang.mSimulation);
}

// A member that is restarted alone would run beside the one on the unreachable
// worker.
TEST(TakeoverTest, GangOnUnreachableWorkerRestartsAsAWhole)
{
  GangOneUnreachable gang;
  gang.mSimulation.ReplaceOwner();
  const MonotonicTime deadline =
    TakeoverWorld::LeaseEndKnownBy(gang.mUnreachableSince, 1);
  CHECK(gang.mSimulation.RunsElsewhereBy(
    TaskOf("gang", 1), gang.mUnreachable, deadline));
  gang.mSimulation->RunFor(kSettleTime);
  CHECK_EQUAL(3U, gang.mSimulation->RunningOf(JobId("gang")));
  CHECK_EQUAL(1U, gang.Runs().size());
  CheckNoViolations(gang.mSimulation);
}

// A note that a worker need not be waited for must not outlive its return.
TEST(TakeoverTest, ReusedWorkerIsWaitedFor)
{
  for (const int usedForMs : { 500, 1000, 4000 }) {
    TakeoverWorld simulation(4);
    const WorkerId reusedWorker = IdleWorkerBesideBatch(simulation);
    simulation->MakeUnreachable(reusedWorker);
    simulation->RunFor(Milliseconds(9000));
    simulation->MakeReachable(reusedWorker);
    simulation->RunFor(Milliseconds(300));
    CheckReusedWorkerIsAwaited(
      simulation, reusedWorker, Milliseconds(usedForMs));
  }
}

// The same for a worker that drained, exited empty and restarted.
TEST(TakeoverTest, RestartedWorkerIsWaitedFor)
{
  for (const int awayMs : { 200, 2000, 9000 }) {
    for (const int usedForMs : { 500, 1000, 4000 }) {
      TakeoverWorld simulation(4);
      const WorkerId reusedWorker = IdleWorkerBesideBatch(simulation);
      CHECK_EQUAL(0U, simulation.DrainAndExit({ reusedWorker }));
      simulation->RunFor(Milliseconds(awayMs));
      simulation->Reborn(reusedWorker);
      simulation->RunFor(Milliseconds(300));
      CheckReusedWorkerIsAwaited(
        simulation, reusedWorker, Milliseconds(usedForMs));
    }
  }
}

// A superseded owner reaches a worker again for which it had recorded a wait.
// It can't revoke that note any more, so it must neither renew the lease nor
// use the worker.
TEST(TakeoverTest, SupersededOwnerKeepsToItsRecordedWait)
{
  for (const int awayMs : { 1500, 3000, 4500, 9000 }) {
    TakeoverWorld simulation(4);
    simulation->Submit(LastingJob("lasting", 3, 9000));
    simulation->RunFor(Milliseconds(1000));
    const WorkerId recordedWorker = simulation.WorkerOf(TaskOf("lasting", 0));
    simulation->Owner(0).mLinks[recordedWorker] = LinkState::kCut;
    simulation->RunFor(Milliseconds(awayMs));
    simulation->Submit(LastingJob("more", 1, 6000));
    simulation->Owner(0).mLinks.clear();
    simulation.SplitOff(recordedWorker);
    simulation->RunFor(kSettleTime);
    CHECK_EQUAL(4U, simulation->Running());
    CheckNoViolations(simulation);
  }
}

} // namespace mulberryvalve
