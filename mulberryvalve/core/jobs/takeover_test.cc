// Changes of owner while workers drain, leave, go dark, move and come back:
// what waits is placed at once, and nothing runs twice.
#include "mulberryvalve/core/jobs/takeover_world_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// A lasting task of a worker that left runs again within this after a load.
constexpr Milliseconds kLastingAgain{ 3000 };
// Without a note a successor waits this long: the former owner may have renewed
// until its proof was over.
constexpr Milliseconds kWithoutNote{ 6000 + 5762 + 1500 };
constexpr Milliseconds kAtOnce = TakeoverWorld::kAtOnce;
constexpr Milliseconds kGap = TakeoverWorld::kGap;
// Long enough for every lease and wait to be over.
constexpr Milliseconds kSettled{ 30000 };

// How long the list still names a worker that went dark; without end if unset.
const std::optional<Milliseconds> kListings[] = { std::nullopt,
                                                  Milliseconds(1500) };

void CheckNoFindings(const TakeoverWorld& aWorld)
{
  STRCMP_EQUAL("", aWorld.AllFindings().c_str());
}

void GoDark(TakeoverWorld& aWorld,
            const WorkerId& aWorker,
            std::optional<Milliseconds> aUnlistedAfter = std::nullopt)
{
  std::optional<MonotonicTime> unlistedAt;
  if (aUnlistedAfter) {
    unlistedAt = aWorld->Now() + *aUnlistedAfter;
  }
  aWorld->GoDark(aWorker, unlistedAt);
}

// Some of 20 workers leave with nothing on them, so long before the owner ends.
void CheckPlacedAfterLeaving(size_t aGone, Milliseconds aBefore)
{
  TakeoverWorld world(20);
  world->Submit(LastingJob("lasting", 20, 1000));
  world->RunFor(Milliseconds(1000));
  CHECK_EQUAL(0U, world.DrainAndLeave(world.FirstWorkers(aGone)));
  world->RunFor(aBefore);
  CHECK_EQUAL(40U, world.PlacedAtOnce("waiting", 40));
  CHECK_EQUAL(20U, world->RunningOf(JobId("lasting")));
  CheckNoFindings(world);
}

void CheckPlacedAfterEachChange(int aChanges)
{
  for (const int apart : { 2000, 3500, 5000 }) {
    TakeoverWorld world(20);
    world->Submit(LastingJob("lasting", 20, 1000));
    world->RunFor(Milliseconds(1000));
    CHECK_EQUAL(0U, world.DrainAndLeave(world.FirstWorkers(4)));
    world->RunFor(Milliseconds(1000));
    for (int change = 0; change < aChanges; change++) {
      CHECK_EQUAL(20U, world.PlacedAtOnce("j" + std::to_string(change), 20));
      world->RunFor(Milliseconds(apart) - kGap - kAtOnce);
    }
    CHECK_EQUAL(20U, world->RunningOf(JobId("lasting")));
    CheckNoFindings(world);
  }
}

// Some of ten workers leave whose lasting tasks find no room elsewhere until
// the owner has changed.
void CheckLastingRunAgain(uint32_t aGone)
{
  TakeoverWorld world(10);
  world->Submit(LastingJob("lasting", aGone, 9000));
  world->RunFor(Milliseconds(600));
  std::vector<WorkerId> gone;
  for (uint32_t index = 0; index < aGone; index++) {
    gone.push_back(world.WorkerOf(TaskOf("lasting", index)));
  }
  world->Submit(OneStepJob("batch", 10 - aGone, 12000));
  world->RunFor(Milliseconds(600));
  CHECK_EQUAL(10U - aGone, world->RunningOf(JobId("batch")));
  CHECK_EQUAL(0U, world.DrainAndLeave(gone));
  world->RunFor(Milliseconds(1000));
  world.ReplaceOwner();
  for (const WorkerId& id : world.FirstWorkers(10)) {
    world.EndRunsOf(id);
  }
  world->RunFor(kLastingAgain);
  CHECK_EQUAL(aGone, world->RunningOf(JobId("lasting")));
  CheckNoFindings(world);
}

// A lasting task runs on one worker.
struct OneLasting
{
  TakeoverWorld mWorld;
  TaskRef mTask = TaskOf("lasting", 0);
  WorkerId mWorker;

  explicit OneLasting(size_t aWorkers)
    : mWorld(aWorkers)
  {
    mWorld->Submit(LastingJob("lasting", 1, 9000));
    mWorld->RunFor(Milliseconds(1000));
    mWorker = mWorld.WorkerOf(mTask);
  }
};

// Ten workers are full of one job's tasks, two more of which wait. The first
// worker goes dark and the owner is replaced, while six others become free.
struct FullWithOneDark
{
  TakeoverWorld mWorld{ 10 };
  WorkerId mDark = mWorld.IdOf(0);
  TaskRef mTask;
  MonotonicTime mDarkAt;

  explicit FullWithOneDark(std::optional<Milliseconds> aUnlistedAfter)
  {
    mWorld->Submit(OneStepJob("j", 12, 16000));
    mWorld->RunFor(Milliseconds(1000));
    CHECK_EQUAL(10U, mWorld->RunningOf(JobId("j")));
    mTask = mWorld->Worker(0).mRuns.begin()->first;
    mDarkAt = mWorld->Now();
    GoDark(mWorld, mDark, aUnlistedAfter);
    mWorld->RunFor(Milliseconds(2000));
    mWorld.KillOwner();
    for (size_t index = 4; index < 10; index++) {
      mWorld.EndRunsOf(mWorld.IdOf(index));
    }
    mWorld->Submit(OneStepJob("other", 4, 4000));
    mWorld->RunFor(kGap);
    mWorld.LoadOwner();
    mWorld->RunFor(kAtOnce);
  }
};

// A gang of three, of which one member's worker goes dark.
struct GangWithOneDark
{
  TakeoverWorld mWorld{ 10 };
  WorkerId mDark;
  MonotonicTime mDarkAt;

  GangWithOneDark()
  {
    JobGraph gang = OneStepJob("gang", 3, 9000);
    gang.mSteps[0].mGang = true;
    mWorld->Submit(gang);
    mWorld->RunFor(Milliseconds(1000));
    mDark = mWorld.WorkerOf(TaskOf("gang", 1));
    mDarkAt = mWorld->Now();
    mWorld->GoDark(mDark);
    mWorld->RunFor(Milliseconds(2000));
  }

  // The numbers of the runs that are present.
  std::set<RunNumber> Runs()
  {
    std::set<RunNumber> runs;
    for (size_t index = 0; index < 10; index++) {
      for (const auto& [task, run] : mWorld->Worker(index).mRuns) {
        runs.insert(run.mRun);
      }
    }
    return runs;
  }
};

// Three lasting tasks fill all workers but one, which is kept full by a batch
// task until the owner is split off with the worker aUsed.
void CheckUsedIsWaitedFor(TakeoverWorld& aWorld,
                          const WorkerId& aUsed,
                          Milliseconds aUsedFor)
{
  aWorld->Submit(LastingJob("lasting", 3, 9000));
  aWorld->RunFor(aUsedFor);
  CHECK_EQUAL(1U, aWorld->Worker(aWorld.IndexOf(aUsed)).mRuns.size());
  aWorld.EndRunsOf(aWorld.WorkerOf(TaskOf("batch", 0)));
  aWorld.SplitOff(aUsed);
  aWorld->RunFor(kSettled);
  CHECK_EQUAL(3U, aWorld->RunningOf(JobId("lasting")));
  CheckNoFindings(aWorld);
}

// Four workers, one of which is full of a batch task; returns another one.
WorkerId OneBeside(TakeoverWorld& aWorld)
{
  aWorld->Submit(OneStepJob("batch", 1, 12000));
  aWorld->RunFor(Milliseconds(600));
  const bool isFirst = aWorld.WorkerOf(TaskOf("batch", 0)) == aWorld.IdOf(0);
  return aWorld.IdOf(isFirst ? 1 : 0);
}

} // namespace

TEST_GROUP(TakeoverTest){};

// A successor waited for the answer of workers that had left in good order.
TEST(TakeoverTest, PlacesAtOnceAfterEmptyWorkersLeft)
{
  CheckPlacedAfterLeaving(2, Milliseconds(1000));
}

// The same where half of the workers are gone.
TEST(TakeoverTest, PlacesAtOnceAfterManyEmptyWorkersLeft)
{
  CheckPlacedAfterLeaving(10, Milliseconds(1000));
}

// The owner ends when the workers leave, so it never sees them silent.
TEST(TakeoverTest, PlacesAtOnceWhenEmptyWorkersLeaveWithTheOwner)
{
  CheckPlacedAfterLeaving(4, Milliseconds(0));
}

// Each change of owner began the wait for workers that had left anew.
TEST(TakeoverTest, PlacesAtOnceAfterEachOfTwoChanges)
{
  CheckPlacedAfterEachChange(2);
}

// A job of between two changes is inherited by the later ones.
TEST(TakeoverTest, PlacesAtOnceAfterEachOfThreeChanges)
{
  CheckPlacedAfterEachChange(3);
}

// A lasting task that was stopped on a leaving worker stayed away, though room
// for it was found after the change of owner.
TEST(TakeoverTest, LastingTaskOfAWorkerThatLeftRunsAgainSoon)
{
  CheckLastingRunAgain(1);
}

// The same where half of the workers are gone.
TEST(TakeoverTest, LastingTasksOfManyWorkersThatLeftRunAgainSoon)
{
  CheckLastingRunAgain(5);
}

// One dark worker held back the jobs that have nothing to do with it.
TEST(TakeoverTest, OtherJobsDoNotWaitForADarkWorker)
{
  for (const auto& listing : kListings) {
    FullWithOneDark full(listing);
    CHECK_EQUAL(4U, full.mWorld->RunningOf(JobId("other")));
    CheckNoFindings(full.mWorld);
  }
}

// One dark worker held back tasks of the same job that were never there.
TEST(TakeoverTest, OtherTasksOfTheJobDoNotWaitForADarkWorker)
{
  for (const auto& listing : kListings) {
    FullWithOneDark full(listing);
    // One on the dark worker, three on those that were left alone, two new.
    CHECK_EQUAL(6U, full.mWorld->RunningOf(JobId("j")));
    CheckNoFindings(full.mWorld);
  }
}

// The dark worker runs its task until its lease is over: started sooner it runs
// twice, started later it is missed.
TEST(TakeoverTest, TaskOfADarkWorkerStartsWhenItsLeaseIsOver)
{
  for (const auto& listing : kListings) {
    FullWithOneDark full(listing);
    // Other tasks may have taken all room by now.
    full.mWorld.EndRunsOf(full.mWorld.IdOf(9));
    const MonotonicTime over = TakeoverWorld::LeaseIsOver(full.mDarkAt, 1);
    CHECK(full.mWorld.RunsElsewhereBy(full.mTask, full.mDark, over));
    full.mWorld->RunFor(kSettled);
    CheckNoFindings(full.mWorld);
  }
}

// Each change of owner began the wait for a dark worker anew.
TEST(TakeoverTest, WaitForADarkWorkerNeverBeginsAnew)
{
  for (const int apart : { 1500, 2000, 2500 }) {
    OneLasting dark(6);
    const MonotonicTime over =
      TakeoverWorld::LeaseIsOver(dark.mWorld->Now(), 3);
    dark.mWorld->GoDark(dark.mWorker);
    dark.mWorld->RunFor(Milliseconds(2000));
    for (int change = 0; change < 3; change++) {
      dark.mWorld.ReplaceOwner();
      dark.mWorld->RunFor(Milliseconds(apart) - kGap);
    }
    CHECK(dark.mWorld.RunsElsewhereBy(dark.mTask, dark.mWorker, over));
    dark.mWorld->RunFor(kSettled);
    CheckNoFindings(dark.mWorld);
  }
}

// Changes of owner while a worker is dark held back everything else each time.
TEST(TakeoverTest, OtherJobsDoNotWaitForADarkWorkerInARowOfChanges)
{
  for (const int apart : { 2000, 3000, 5000 }) {
    OneLasting dark(6);
    dark.mWorld->GoDark(dark.mWorker);
    dark.mWorld->RunFor(Milliseconds(2000));
    for (int change = 0; change < 3; change++) {
      const std::string job = "j" + std::to_string(change);
      CHECK_EQUAL(10U, dark.mWorld.PlacedAtOnce(job, 10));
      dark.mWorld->RunFor(Milliseconds(apart) - kGap - kAtOnce);
    }
    dark.mWorld->RunFor(kSettled);
    CHECK_EQUAL(1U, dark.mWorld->RunningOf(JobId("lasting")));
    CheckNoFindings(dark.mWorld);
  }
}

// Workers ended with what ran on them, and every other job waited for them.
TEST(TakeoverTest, OtherJobsDoNotWaitForWorkersThatEndedWithTheirTasks)
{
  TakeoverWorld world(10);
  world->Submit(LastingJob("lasting", 10, 9000));
  world->RunFor(Milliseconds(1000));
  for (const WorkerId& id : world.FirstWorkers(2)) {
    CHECK_EQUAL(1U, world->Worker(world.IndexOf(id)).mRuns.size());
    world->Leave(id);
  }
  world->RunFor(Milliseconds(2000));
  CHECK_EQUAL(10U, world.PlacedAtOnce("other", 10));
  CheckNoFindings(world);
}

// Nobody lists the end of what ran on a worker that ended; it starts elsewhere
// when the lease is over, whether the worker drained before or not.
TEST(TakeoverTest, TaskOfAWorkerThatEndedStartsWhenItsLeaseIsOver)
{
  for (const bool drains : { false, true }) {
    TakeoverWorld world(10);
    world->Submit(OneStepJob("j", 8, 9000));
    world->RunFor(Milliseconds(1000));
    const TaskRef task = TaskOf("j", 0);
    const WorkerId left = world.WorkerOf(task);
    if (drains) {
      CHECK_EQUAL(1U, world.DrainAndLeave({ left }));
    } else {
      world->Leave(left);
    }
    const MonotonicTime over = TakeoverWorld::LeaseIsOver(world->Now(), 1);
    world->RunFor(Milliseconds(2000));
    world.ReplaceOwner();
    CHECK(world.RunsElsewhereBy(task, left, over));
    CheckNoFindings(world);
  }
}

// Nobody noted a worker that was cut off together with its owner: that one goes
// on renewing it while its proof holds, and a successor has to wait for that.
TEST(TakeoverTest, WorkerCutOffWithItsOwnerIsWaitedForInFull)
{
  OneLasting dark(4);
  dark.mWorld.SplitOff(dark.mWorker);
  const MonotonicTime over = dark.mWorld->Now() + kWithoutNote;
  CHECK(dark.mWorld.RunsElsewhereBy(dark.mTask, dark.mWorker, over));
  dark.mWorld->RunFor(kSettled);
  CheckNoFindings(dark.mWorld);
}

// The same where the owner is killed as the worker goes dark, listed or not.
TEST(TakeoverTest, WorkerThatGoesDarkAsItsOwnerEndsIsWaitedFor)
{
  for (const auto& listing : kListings) {
    OneLasting dark(4);
    dark.mWorld.KillOwner();
    GoDark(dark.mWorld, dark.mWorker, listing);
    dark.mWorld->RunFor(kGap);
    dark.mWorld.LoadOwner();
    const MonotonicTime over = dark.mWorld->Now() + kWithoutNote;
    CHECK(dark.mWorld.RunsElsewhereBy(dark.mTask, dark.mWorker, over));
    dark.mWorld->RunFor(kSettled);
    CheckNoFindings(dark.mWorld);
  }
}

// A worker that drains goes dark with tasks on it as its owner ends: no word of
// it said that it was empty.
TEST(TakeoverTest, DrainingWorkerWithTasksThatGoesDarkIsWaitedFor)
{
  for (const int before : { 0, 300, 1500 }) {
    TakeoverWorld world(4);
    world->Submit(OneStepJob("j", 4, 9000));
    world->RunFor(Milliseconds(1000));
    const WorkerId dark = world.IdOf(0);
    world->Drain(dark, Milliseconds(6000));
    world->RunFor(Milliseconds(1000));
    world->GoDark(dark, world->Now());
    world->RunFor(Milliseconds(before));
    world.EndRunsOf(world.IdOf(1));
    world.ReplaceOwner();
    world->RunFor(kSettled);
    CheckNoFindings(world);
  }
}

// Nothing listens at the former address of a worker that runs on elsewhere: a
// refused connection is no sign that it ended.
TEST(TakeoverTest, MovedWorkerIsNotTakenForOneThatEnded)
{
  for (const int unlisted : { 100, 1000, 3000, 5000 }) {
    OneLasting moved(4);
    moved.mWorld.KillOwner();
    moved.mWorld->Move(moved.mWorker, Endpoint{ "elsewhere", 7000 });
    moved.mWorld->RunFor(kGap);
    moved.mWorld.LoadOwner();
    moved.mWorld->RunFor(Milliseconds(unlisted));
    moved.mWorld->Worker(moved.mWorld.IndexOf(moved.mWorker)).mListed = true;
    moved.mWorld->RunFor(kSettled);
    CHECK_EQUAL(1U, moved.mWorld->RunningOf(JobId("lasting")));
    CheckNoFindings(moved.mWorld);
  }
}

// A gang of which one member may run on a dark worker held back other jobs.
TEST(TakeoverTest, OtherJobsDoNotWaitForAGangWithAMemberOnADarkWorker)
{
  GangWithOneDark gang;
  CHECK_EQUAL(10U, gang.mWorld.PlacedAtOnce("other", 10));
  CheckNoFindings(gang.mWorld);
}

// A member that was started alone would run beside the one on the dark worker.
TEST(TakeoverTest, GangWithAMemberOnADarkWorkerStartsAnewAsAWhole)
{
  GangWithOneDark gang;
  gang.mWorld.ReplaceOwner();
  const MonotonicTime over = TakeoverWorld::LeaseIsOver(gang.mDarkAt, 1);
  CHECK(gang.mWorld.RunsElsewhereBy(TaskOf("gang", 1), gang.mDark, over));
  gang.mWorld->RunFor(kSettled);
  CHECK_EQUAL(3U, gang.mWorld->RunningOf(JobId("gang")));
  CHECK_EQUAL(1U, gang.Runs().size());
  CheckNoFindings(gang.mWorld);
}

// A note that a worker is not to be waited for must not outlive its return.
TEST(TakeoverTest, WorkerThatIsUsedAgainIsWaitedForAgain)
{
  for (const int usedFor : { 500, 1000, 4000 }) {
    TakeoverWorld world(4);
    const WorkerId used = OneBeside(world);
    world->GoDark(used);
    world->RunFor(Milliseconds(9000));
    world->Return(used);
    world->RunFor(Milliseconds(300));
    CheckUsedIsWaitedFor(world, used, Milliseconds(usedFor));
  }
}

// The same for one that drained, left with nothing on it and was born anew.
TEST(TakeoverTest, WorkerThatLeftAndIsBornAnewIsWaitedForAgain)
{
  for (const int away : { 200, 2000, 9000 }) {
    for (const int usedFor : { 500, 1000, 4000 }) {
      TakeoverWorld world(4);
      const WorkerId used = OneBeside(world);
      CHECK_EQUAL(0U, world.DrainAndLeave({ used }));
      world->RunFor(Milliseconds(away));
      world->Reborn(used);
      world->RunFor(Milliseconds(300));
      CheckUsedIsWaitedFor(world, used, Milliseconds(usedFor));
    }
  }
}

// A superseded owner reaches a worker again of which it had noted for how long
// it is to be waited for: it can't take that back, so it must not renew or use
// it.
TEST(TakeoverTest, NoteOfAWaitBindsASupersededOwner)
{
  for (const int away : { 1500, 3000, 4500, 9000 }) {
    TakeoverWorld world(4);
    world->Submit(LastingJob("lasting", 3, 9000));
    world->RunFor(Milliseconds(1000));
    const WorkerId noted = world.WorkerOf(TaskOf("lasting", 0));
    world->Owner(0).mLinks[noted] = LinkState::kCut;
    world->RunFor(Milliseconds(away));
    world->Submit(LastingJob("more", 1, 6000));
    world->Owner(0).mLinks.clear();
    world.SplitOff(noted);
    world->RunFor(kSettled);
    CHECK_EQUAL(4U, world->Running());
    CheckNoFindings(world);
  }
}

} // namespace mulberryvalve
