// Waits of a successor for workers that were lost together with former owners.
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr size_t kWorkers = 4;
// A task that lasts must run again within this after its last run: 6 s, and 3 s
// in which it may be found to run nowhere.
constexpr Milliseconds kRestartLimit{ 9000 };
// When a killed process is back, after it was killed.
constexpr Milliseconds kProcessRestart{ 500 };
// Longer than every lease and wait.
constexpr Milliseconds kSettleTime{ 30000 };

// A worker with a long-running task becomes unreachable, and its owner is
// killed before it can note that.
class WorkerLostWithOwner
{
public:
  WorkerLostWithOwner()
    : mSim(kWorkers)
  {
    mSim->Submit(LongRunningJob("lasting", 1, 9000));
    mSim->RunFor(Milliseconds(1000));
    mLost = mSim.WorkerOf(mTask);
    mLostAt = mSim->Now();
    mSim->MakeUnreachable(mLost);
    mSim.ReplaceOwner();
  }

  // Lets the newest owner learn that the owner of aEpoch had ended by aEndedBy.
  void Learn(uint64_t aEpoch, MonotonicTime aEndedBy)
  {
    FormerOwnerEnd end;
    end.mEpoch = Epoch(aEpoch);
    end.mEndedBy = aEndedBy;
    Newest().OnFormerOwnerEnded(end);
  }

  void ReplaceOwner()
  {
    mSim.ReplaceOwner();
    mNewest++;
  }

  ShardScheduler& Newest() { return *mSim->Owner(mNewest).mShard; }

  bool RunsElsewhereBy(MonotonicTime aLatest)
  {
    return mSim.RunsElsewhereBy(mTask, mLost, aLatest);
  }

  void CheckOneRun()
  {
    mSim->RunFor(kSettleTime);
    STRCMP_EQUAL("", mSim.AllViolations().c_str());
    CHECK_EQUAL(1U, mSim->RunningOf(JobId("lasting")));
  }

  TakeoverSimulation mSim;
  MonotonicTime mLostAt;

private:
  const TaskRef mTask = TaskOf("lasting", 0);
  WorkerId mLost;
  size_t mNewest = 1;
};

} // namespace

TEST_GROUP(FormerOwnersTest){};

// Guards against a wait for the latest time at which the former owner could
// have renewed a lease, though its process is known to have ended (review/5).
TEST(FormerOwnersTest,
     WorkerLostWithAnOwnerThatEndedIsWaitedForAsLongAsItsLease)
{
  WorkerLostWithOwner lost;
  CHECK_EQUAL(1U, lost.Newest().FormerOwnersToAsk().size());
  lost.Learn(1, lost.mLostAt + kProcessRestart);
  CHECK(lost.Newest().FormerOwnersToAsk().empty());
  CHECK(lost.RunsElsewhereBy(lost.mLostAt + kRestartLimit));
  lost.CheckOneRun();
}

// An owner between them ended before it learned of the end of the first one.
TEST(FormerOwnersTest, AllFormerOwnersMustHaveEnded)
{
  WorkerLostWithOwner lost;
  lost.ReplaceOwner();
  CHECK_EQUAL(2U, lost.Newest().FormerOwnersToAsk().size());
  lost.Learn(2, lost.mLostAt + kProcessRestart);
  CHECK_FALSE(lost.RunsElsewhereBy(lost.mLostAt + kRestartLimit));
  lost.Learn(1, lost.mLostAt + kProcessRestart);
  lost.mSim->RunFor(TakeoverSimulation::kPlacementLimit);
  lost.CheckOneRun();
}

// A note is counted from the claim of its reader, so the end of its writer may
// end the wait earlier; after that there is nothing to ask.
TEST(FormerOwnersTest, NobodyIsAskedOnceNoWaitIsLeft)
{
  TakeoverSimulation sim(kWorkers);
  sim->Submit(LongRunningJob("lasting", 1, 9000));
  sim->RunFor(Milliseconds(1000));
  sim->MakeUnreachable(sim.WorkerOf(TaskOf("lasting", 0)));
  sim->RunFor(TakeoverSimulation::kNoteInterval);
  sim.ReplaceOwner();
  sim->RunFor(TakeoverSimulation::kPlacementLimit);
  ShardScheduler& next = *sim->Owner(1).mShard;
  CHECK_EQUAL(1U, next.FormerOwnersToAsk().size());
  next.OnFormerOwnerEnded(FormerOwnerEnd{ Epoch(1), sim->Now(), sim->Now() });
  CHECK(next.FormerOwnersToAsk().empty());
  sim.ReplaceOwner();
  sim->RunFor(kSettleTime);
  CHECK(sim->Owner(2).mShard->FormerOwnersToAsk().empty());
}

// Claims are needed only while a run of their owners may be left.
TEST(FormerOwnersTest, ClaimsAreRemovedOnceTheirRunsHaveEnded)
{
  TakeoverSimulation sim(kWorkers);
  sim.ReplaceOwner();
  ShardScheduler& next = *sim->Owner(1).mShard;
  sim->RunFor(Milliseconds(5000));
  CHECK(next.TakeProgress(sim->Now()).mEndedClaims.empty());
  sim->RunFor(kSettleTime);
  CHECK(sim->RemovedClaims() == std::set<Epoch>{ Epoch(1) });
}

} // namespace mulberryvalve
