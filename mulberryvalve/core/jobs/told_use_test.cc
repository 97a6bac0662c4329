// Takeovers in which former owners that have ended tell what they did.
#include "mulberryvalve/core/jobs/full_cluster_fake.h"
#include "mulberryvalve/core/jobs/single_worker_shard_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// What the owner goes on for after the loss of the workers, without the log.
constexpr Milliseconds kSilentLife{ 4000 };
// The longest that a lease lasts which was renewed just before.
constexpr Milliseconds kLongestLease{ 5800 };
constexpr Milliseconds kFirstReports{ 500 };

} // namespace

TEST_GROUP(ToldUseTest)
{
  FullCluster mCluster;

  void setup() override
  {
    mCluster->mObservesOwners = true;
    mCluster->mTellsItsEnd = [](const SimulatedOwner&) { return true; };
  }
};

// Guards against a wait for the owner's newest append and 9.5 s, though the
// owner can be asked and renewed nothing there since the loss (LOST).
TEST(ToldUseTest, AWorkerIsWaitedForAsLongAsTheToldLeases)
{
  const MonotonicTime lostAt = mCluster->Now();
  mCluster.BeginOutage();
  mCluster.LoseUnreachableWorkers();
  mCluster->RunFor(kSilentLife);
  mCluster.ReplaceOwner(kTakeoverDelay);
  const MonotonicTime since =
    lostAt + kLongestLease + kPlacementLimit - kLastingTaskLimit;
  const std::string tooLate = mCluster.LastingTasksTooLate(since);
  STRCMP_EQUAL("", (tooLate + mCluster.ViolationsUntilSettled()).c_str());
}

// Guards against a bucket that is held back though no start went out without a
// record.
TEST(ToldUseTest, NoBucketIsHeldBackOnceAllStartsAreTold)
{
  mCluster.LoseUnreachableWorkers();
  mCluster.ReplaceOwner(kTakeoverDelay);
  mCluster->RunFor(kPlacementLimit);
  CHECK_EQUAL(kWaitingTasks, mCluster->RunningOf(JobId("waiting")));
  STRCMP_EQUAL("", mCluster.ViolationsUntilSettled().c_str());
}

// Guards against a told start that is taken for none, and against one that
// holds back others (TWICE).
TEST(ToldUseTest, AToldStartIsHeldBackUntilItsLeaseHasEnded)
{
  TakeoverSimulation sim(kWorkers);
  sim->mTellsItsEnd = [](const SimulatedOwner&) { return true; };
  sim->mObservesOwners = true;
  sim->RunFor(kFirstReports);
  sim->Owner(0).mAppendsFail = true;
  sim->Submit(OneStepJob("first", kWorkers, 1000));
  sim->RunFor(kFirstReports);
  TaskRef started;
  WorkerId worker;
  for (uint32_t index = 0; index < kWorkers; index++) {
    const TaskRef task{ StepRef{ JobId("first"), 0, 0 }, index };
    const std::vector<WorkerId> where = sim->WorkersRunning(task);
    if (!where.empty()) {
      started = task;
      worker = where[0];
    }
  }
  CHECK_FALSE(worker.Empty());
  sim->MakeUnreachable(worker);
  sim.ReplaceOwner();
  const MonotonicTime until = sim->Now() + Milliseconds(3000);
  while (sim->Now() < until) {
    sim->Step();
    CHECK_EQUAL(1U, sim->WorkersRunning(started).size());
  }
  CHECK_EQUAL(size_t{ kWorkers }, sim->RunningOf(JobId("first")));
  sim->RunFor(kSettleTime);
  STRCMP_EQUAL("", sim.AllViolations().c_str());
}

// Guards against a start that is carried out by a new incarnation of its
// worker, which grants a lease of its own, after the told leases (TWICE).
TEST(ToldUseTest, AnOpenStartMayLastAsLongAsTheLastProofAllows)
{
  SingleWorkerShard owner;
  const auto leasesLeft = [&owner] {
    const ToldUse told = owner.mShard.Summary().TellOf({ kWorker }, owner.mNow);
    return told.mWorkers.at(0).mLeasesLeft;
  };
  owner.ReadWorkerList();
  CHECK_FALSE(leasesLeft().has_value());
  owner.AnswerHold();
  owner.CountStarts();
  CHECK_FALSE(leasesLeft().has_value());
  owner.PersistAll();
  owner.CountStarts();
  CHECK(owner.mShard.NextRenewal(kWorker, true, owner.mNow).has_value());
  CHECK(leasesLeft().value() < LeaseTerms().mMaxGranted);
  owner.Submit(OneStepJob("j", 1, 1000));
  CHECK_EQUAL(1U, owner.CountStarts());
  CHECK(leasesLeft().value() >= LeaseTerms().mMaxRunsAfterProof);
}

} // namespace mulberryvalve
