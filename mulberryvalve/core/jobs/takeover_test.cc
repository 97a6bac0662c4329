// Changes of owner while workers drain, leave, go unreachable, move and come
// back: what waits is placed at once, and nothing runs twice.
#include "mulberryvalve/core/jobs/takeover_world_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// A lasting task of a worker that left runs again within this after a load.
constexpr Milliseconds kLastingRestartLimit{ 3000 };
// Without a note a successor waits this long: the former owner may have renewed
// until its proof was over.
constexpr Milliseconds kWaitWithoutNote{ 6000 + 5762 + 1500 };
constexpr Milliseconds kPlacementLimit = TakeoverWorld::kPlacementLimit;
constexpr Milliseconds kTakeoverDelay = TakeoverWorld::kTakeoverDelay;
// Long enough for every lease and wait to be over.
constexpr Milliseconds kSettleTime{ 30000 };

// How long the list still names a worker that went unreachable; without end if
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

// Some of 20 workers leave with nothing on them, so long before the owner ends.
void CheckPlacementAfterExit(size_t aGone, Milliseconds aBefore)
{
  TakeoverWorld simulation(20);
  simulation->Submit(LastingJob("lasting", 20, 1000));
  simulation->RunFor(Milliseconds(1000));
  CHECK_EQUAL(0U, simulation.DrainAndExit(simulation.FirstWorkers(aGone)));
  simulation->RunFor(aBefore);
  CHECK_EQUAL(40U, simulation.PlacedAfterTakeover("waiting", 40));
  CHECK_EQUAL(20U, simulation->RunningOf(JobId("lasting")));
  CheckNoViolations(simulation);
}

void CheckPlacementAfterEachTakeover(int aChanges)
{
  for (const int apart : { 2000, 3500, 5000 }) {
    TakeoverWorld simulation(20);
    simulation->Submit(LastingJob("lasting", 20, 1000));
    simulation->RunFor(Milliseconds(1000));
    CHECK_EQUAL(0U, simulation.DrainAndExit(simulation.FirstWorkers(4)));
    simulation->RunFor(Milliseconds(1000));
    for (int change = 0; change < aChanges; change++) {
      CHECK_EQUAL(
        20U, simulation.PlacedAfterTakeover("j" + std::to_string(change), 20));
      simulation->RunFor(Milliseconds(apart) - kTakeoverDelay -
                         kPlacementLimit);
    }
    CHECK_EQUAL(20U, simulation->RunningOf(JobId("lasting")));
    CheckNoViolations(simulation);
  }
}

// Some of ten workers leave whose lasting tasks find no room elsewhere until
// the owner has changed.
void CheckLastingTasksRestart(uint32_t aGone)
{
  TakeoverWorld simulation(10);
  simulation->Submit(LastingJob("lasting", aGone, 9000));
  simulation->RunFor(Milliseconds(600));
  std::vector<WorkerId> gone;
  for (uint32_t index = 0; index < aGone; index++) {
    gone.push_back(simulation.WorkerOf(TaskOf("lasting", index)));
  }
  simulation->Submit(OneStepJob("batch", 10 - aGone, 12000));
  simulation->RunFor(Milliseconds(600));
  CHECK_EQUAL(10U - aGone, simulation->RunningOf(JobId("batch")));
  CHECK_EQUAL(0U, simulation.DrainAndExit(gone));
  simulation->RunFor(Milliseconds(1000));
  simulation.ReplaceOwner();
  for (const WorkerId& id : simulation.FirstWorkers(10)) {
    simulation.EndRunsOf(id);
  }
  simulation->RunFor(kLastingRestartLimit);
  CHECK_EQUAL(aGone, simulation->RunningOf(JobId("lasting")));
  CheckNoViolations(simulation);
}

// A lasting task runs on one worker.
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

// Ten workers are full of one job's tasks, two more of which wait. The first
// worker goes unreachable and the owner is replaced, while six others become
// free.
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

// A gang of three, of which one member's worker goes unreachable.
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

  // The numbers of the runs that are present.
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

// Three lasting tasks fill all workers but one, which is kept full by a batch
// task until the owner is split off with the worker aUsed.
void CheckReusedWorkerIsAwaited(TakeoverWorld& aSimulation,
                                const WorkerId& aUsed,
                                Milliseconds aUsedFor)
{
  aSimulation->Submit(LastingJob("lasting", 3, 9000));
  aSimulation->RunFor(aUsedFor);
  CHECK_EQUAL(1U, aSimulation->Worker(aSimulation.IndexOf(aUsed)).mRuns.size());
  aSimulation.EndRunsOf(aSimulation.WorkerOf(TaskOf("batch", 0)));
  aSimulation.SplitOff(aUsed);
  aSimulation->RunFor(kSettleTime);
  CHECK_EQUAL(3U, aSimulation->RunningOf(JobId("lasting")));
  CheckNoViolations(aSimulation);
}

// Four workers, one of which is full of a batch task; returns another one.
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

// A successor waited for the answer of workers that had left in good order.
TEST(TakeoverTest, PlacesAtOnceAfterEmptyWorkersLeft)
{
  CheckPlacementAfterExit(2, Milliseconds(1000));
}

// The same where half of the workers are gone.
TEST(TakeoverTest, PlacesAtOnceAfterManyEmptyWorkersLeft)
{
  CheckPlacementAfterExit(10, Milliseconds(1000));
}

// The owner ends when the workers leave, so it never sees them silent.
TEST(TakeoverTest, PlacesAtOnceWhenEmptyWorkersLeaveWithTheOwner)
{
  CheckPlacementAfterExit(4, Milliseconds(0));
}

// Each change of owner began the wait for workers that had left anew.
TEST(TakeoverTest, PlacesAtOnceAfterEachOfTwoChanges)
{
  CheckPlacementAfterEachTakeover(2);
}

// A job of between two changes is inherited by the later ones.
TEST(TakeoverTest, PlacesAtOnceAfterEachOfThreeChanges)
{
  CheckPlacementAfterEachTakeover(3);
}

// A lasting task that was stopped on a leaving worker stayed away, though room
// for it was found after the change of owner.
TEST(TakeoverTest, LastingTaskOfAWorkerThatLeftRunsAgainSoon)
{
  CheckLastingTasksRestart(1);
}

// The same where half of the workers are gone.
TEST(TakeoverTest, LastingTasksOfManyWorkersThatLeftRunAgainSoon)
{
  CheckLastingTasksRestart(5);
}

// One unreachable worker held back the jobs that have nothing to do with it.
TEST(TakeoverTest, OtherJobsDoNotWaitForADarkWorker)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    FullClusterOneUnreachable full(unlistedAfter);
    CHECK_EQUAL(4U, full.mSimulation->RunningOf(JobId("other")));
    CheckNoViolations(full.mSimulation);
  }
}

// One unreachable worker held back tasks of the same job that were never there.
TEST(TakeoverTest, OtherTasksOfTheJobDoNotWaitForADarkWorker)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    FullClusterOneUnreachable full(unlistedAfter);
    // One on the unreachable worker, three on those that were left alone, two
    // new.
    CHECK_EQUAL(6U, full.mSimulation->RunningOf(JobId("j")));
    CheckNoViolations(full.mSimulation);
  }
}

// The unreachable worker runs its task until its lease is over: started sooner
// it runs twice, started later it is missed.
TEST(TakeoverTest, TaskOfADarkWorkerStartsWhenItsLeaseIsOver)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    FullClusterOneUnreachable full(unlistedAfter);
    // Other tasks may have taken all room by now.
    full.mSimulation.EndRunsOf(full.mSimulation.IdOf(9));
    const MonotonicTime over =
      TakeoverWorld::LeaseEndKnownBy(full.mUnreachableSince, 1);
    CHECK(
      full.mSimulation.RunsElsewhereBy(full.mTask, full.mUnreachable, over));
    full.mSimulation->RunFor(kSettleTime);
    CheckNoViolations(full.mSimulation);
  }
}

// Each change of owner began the wait for a unreachable worker anew.
TEST(TakeoverTest, WaitForADarkWorkerNeverBeginsAnew)
{
  for (const int apart : { 1500, 2000, 2500 }) {
    OneLastingTask unreachable(6);
    const MonotonicTime over =
      TakeoverWorld::LeaseEndKnownBy(unreachable.mSimulation->Now(), 3);
    unreachable.mSimulation->MakeUnreachable(unreachable.mWorker);
    unreachable.mSimulation->RunFor(Milliseconds(2000));
    for (int change = 0; change < 3; change++) {
      unreachable.mSimulation.ReplaceOwner();
      unreachable.mSimulation->RunFor(Milliseconds(apart) - kTakeoverDelay);
    }
    CHECK(unreachable.mSimulation.RunsElsewhereBy(
      unreachable.mTask, unreachable.mWorker, over));
    unreachable.mSimulation->RunFor(kSettleTime);
    CheckNoViolations(unreachable.mSimulation);
  }
}

// Changes of owner while a worker is unreachable held back everything else each
// time.
TEST(TakeoverTest, OtherJobsDoNotWaitForADarkWorkerInARowOfChanges)
{
  for (const int apart : { 2000, 3000, 5000 }) {
    OneLastingTask unreachable(6);
    unreachable.mSimulation->MakeUnreachable(unreachable.mWorker);
    unreachable.mSimulation->RunFor(Milliseconds(2000));
    for (int change = 0; change < 3; change++) {
      const std::string job = "j" + std::to_string(change);
      CHECK_EQUAL(10U, unreachable.mSimulation.PlacedAfterTakeover(job, 10));
      unreachable.mSimulation->RunFor(Milliseconds(apart) - kTakeoverDelay -
                                      kPlacementLimit);
    }
    unreachable.mSimulation->RunFor(kSettleTime);
    CHECK_EQUAL(1U, unreachable.mSimulation->RunningOf(JobId("lasting")));
    CheckNoViolations(unreachable.mSimulation);
  }
}

// Workers ended with what ran on them, and every other job waited for them.
TEST(TakeoverTest, OtherJobsDoNotWaitForWorkersThatEndedWithTheirTasks)
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

// Nobody lists the end of what ran on a worker that ended; it starts elsewhere
// when the lease is over, whether the worker drained before or not.
TEST(TakeoverTest, TaskOfAWorkerThatEndedStartsWhenItsLeaseIsOver)
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
    const MonotonicTime over =
      TakeoverWorld::LeaseEndKnownBy(simulation->Now(), 1);
    simulation->RunFor(Milliseconds(2000));
    simulation.ReplaceOwner();
    CHECK(simulation.RunsElsewhereBy(task, left, over));
    CheckNoViolations(simulation);
  }
}

// Nobody noted a worker that was cut off together with its owner: that one goes
// on renewing it while its proof holds, and a successor has to wait for that.
TEST(TakeoverTest, WorkerCutOffWithItsOwnerIsWaitedForInFull)
{
  OneLastingTask unreachable(4);
  unreachable.mSimulation.SplitOff(unreachable.mWorker);
  const MonotonicTime over = unreachable.mSimulation->Now() + kWaitWithoutNote;
  CHECK(unreachable.mSimulation.RunsElsewhereBy(
    unreachable.mTask, unreachable.mWorker, over));
  unreachable.mSimulation->RunFor(kSettleTime);
  CheckNoViolations(unreachable.mSimulation);
}

// The same where the owner is killed as the worker goes unreachable, listed or
// not.
TEST(TakeoverTest, WorkerThatGoesDarkAsItsOwnerEndsIsWaitedFor)
{
  for (const auto& unlistedAfter : kUnlistedDelays) {
    OneLastingTask unreachable(4);
    unreachable.mSimulation.KillOwner();
    MakeUnreachable(
      unreachable.mSimulation, unreachable.mWorker, unlistedAfter);
    unreachable.mSimulation->RunFor(kTakeoverDelay);
    unreachable.mSimulation.LoadOwner();
    const MonotonicTime over =
      unreachable.mSimulation->Now() + kWaitWithoutNote;
    CHECK(unreachable.mSimulation.RunsElsewhereBy(
      unreachable.mTask, unreachable.mWorker, over));
    unreachable.mSimulation->RunFor(kSettleTime);
    CheckNoViolations(unreachable.mSimulation);
  }
}

// A worker that drains goes unreachable with tasks on it as its owner ends: no
// word of it said that it was empty.
TEST(TakeoverTest, DrainingWorkerWithTasksThatGoesDarkIsWaitedFor)
{
  for (const int before : { 0, 300, 1500 }) {
    TakeoverWorld simulation(4);
    simulation->Submit(OneStepJob("j", 4, 9000));
    simulation->RunFor(Milliseconds(1000));
    const WorkerId unreachable = simulation.IdOf(0);
    simulation->Drain(unreachable, Milliseconds(6000));
    simulation->RunFor(Milliseconds(1000));
    simulation->MakeUnreachable(unreachable, simulation->Now());
    simulation->RunFor(Milliseconds(before));
    simulation.EndRunsOf(simulation.IdOf(1));
    simulation.ReplaceOwner();
    simulation->RunFor(kSettleTime);
    CheckNoViolations(simulation);
  }
}

// Nothing listens at the former address of a worker that runs on elsewhere: a
// refused connection is no sign that it ended.
TEST(TakeoverTest, MovedWorkerIsNotTakenForOneThatEnded)
{
  for (const int unlisted : { 100, 1000, 3000, 5000 }) {
    OneLastingTask moved(4);
    moved.mSimulation.KillOwner();
    moved.mSimulation->ChangeEndpoint(moved.mWorker,
                                      Endpoint{ "elsewhere", 7000 });
    moved.mSimulation->RunFor(kTakeoverDelay);
    moved.mSimulation.LoadOwner();
    moved.mSimulation->RunFor(Milliseconds(unlisted));
    moved.mSimulation->Worker(moved.mSimulation.IndexOf(moved.mWorker))
      .mListed = true;
    moved.mSimulation->RunFor(kSettleTime);
    CHECK_EQUAL(1U, moved.mSimulation->RunningOf(JobId("lasting")));
    CheckNoViolations(moved.mSimulation);
  }
}

// A gang of which one member may run on a unreachable worker held back other
// jobs.
TEST(TakeoverTest, OtherJobsDoNotWaitForAGangWithAMemberOnADarkWorker)
{
  GangOneUnreachable gang;
  CHECK_EQUAL(10U, gang.mSimulation.PlacedAfterTakeover("other", 10));
  CheckNoViolations(gang.mSimulation);
}

// A member that was started alone would run beside the one on the unreachable
// worker.
TEST(TakeoverTest, GangWithAMemberOnADarkWorkerStartsAnewAsAWhole)
{
  GangOneUnreachable gang;
  gang.mSimulation.ReplaceOwner();
  const MonotonicTime over =
    TakeoverWorld::LeaseEndKnownBy(gang.mUnreachableSince, 1);
  CHECK(gang.mSimulation.RunsElsewhereBy(
    TaskOf("gang", 1), gang.mUnreachable, over));
  gang.mSimulation->RunFor(kSettleTime);
  CHECK_EQUAL(3U, gang.mSimulation->RunningOf(JobId("gang")));
  CHECK_EQUAL(1U, gang.Runs().size());
  CheckNoViolations(gang.mSimulation);
}

// A note that a worker is not to be waited for must not outlive its return.
TEST(TakeoverTest, WorkerThatIsUsedAgainIsWaitedForAgain)
{
  for (const int usedFor : { 500, 1000, 4000 }) {
    TakeoverWorld simulation(4);
    const WorkerId used = IdleWorkerBesideBatch(simulation);
    simulation->MakeUnreachable(used);
    simulation->RunFor(Milliseconds(9000));
    simulation->MakeReachable(used);
    simulation->RunFor(Milliseconds(300));
    CheckReusedWorkerIsAwaited(simulation, used, Milliseconds(usedFor));
  }
}

// The same for one that drained, left with nothing on it and was born anew.
TEST(TakeoverTest, WorkerThatLeftAndIsBornAnewIsWaitedForAgain)
{
  for (const int away : { 200, 2000, 9000 }) {
    for (const int usedFor : { 500, 1000, 4000 }) {
      TakeoverWorld simulation(4);
      const WorkerId used = IdleWorkerBesideBatch(simulation);
      CHECK_EQUAL(0U, simulation.DrainAndExit({ used }));
      simulation->RunFor(Milliseconds(away));
      simulation->Reborn(used);
      simulation->RunFor(Milliseconds(300));
      CheckReusedWorkerIsAwaited(simulation, used, Milliseconds(usedFor));
    }
  }
}

// A superseded owner reaches a worker again of which it had noted for how long
// it is to be waited for: it can't take that back, so it must not renew or use
// it.
TEST(TakeoverTest, NoteOfAWaitBindsASupersededOwner)
{
  for (const int away : { 1500, 3000, 4500, 9000 }) {
    TakeoverWorld simulation(4);
    simulation->Submit(LastingJob("lasting", 3, 9000));
    simulation->RunFor(Milliseconds(1000));
    const WorkerId noted = simulation.WorkerOf(TaskOf("lasting", 0));
    simulation->Owner(0).mLinks[noted] = LinkState::kCut;
    simulation->RunFor(Milliseconds(away));
    simulation->Submit(LastingJob("more", 1, 6000));
    simulation->Owner(0).mLinks.clear();
    simulation.SplitOff(noted);
    simulation->RunFor(kSettleTime);
    CHECK_EQUAL(4U, simulation->Running());
    CheckNoViolations(simulation);
  }
}

} // namespace mulberryvalve
