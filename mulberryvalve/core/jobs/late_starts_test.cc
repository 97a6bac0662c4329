// Starts of a former owner that reach a worker which has restarted, or that
// wait for their record while things change.
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr size_t kWorkers = 4;
constexpr Milliseconds kSettleTime{ 30000 };

// Returns a job of one task, after which 64 small ones follow.
JobGraph JobWithWideSecondStep()
{
  JobGraph job = OneStepJob("j", 1, 1000);
  StepSpec second = job.mSteps[0];
  second.mCount = 64;
  second.mDemand.mCpuMillis = 100;
  second.mDemand.mMemoryMb = 100;
  second.mDependsOn = { 0 };
  job.mSteps.push_back(second);
  return job;
}

// The worker restarts aAfter the log went away. Returns whether the new
// incarnation accepted starts.
bool LoseOwnerAfterRestart(Milliseconds aAfter)
{
  TakeoverSimulation sim(kWorkers);
  sim->mObservesOwners = true;
  sim->Submit(JobWithWideSecondStep());
  sim->RunFor(Milliseconds(3000));
  const WorkerId first = sim.WorkerOf(TaskOf("j", 0));
  const WorkerId restarted = sim.IdOf(first == sim.IdOf(0) ? 1 : 0);
  SimulatedOwner& owner = sim->Owner(0);
  owner.mCanAppend = false;
  sim->RunFor(aAfter);
  sim->RestartWorker(restarted);
  // The renewal that is in flight gets no answer before its timeout.
  owner.mNextRenewalAt[restarted] = sim->Now() + Milliseconds(1500);
  sim.EndRunsOf(first);
  sim->RunFor(Milliseconds(500));
  const bool hasRuns = !sim->Worker(sim.IndexOf(restarted)).mRuns.empty();
  sim.KillOwner();
  sim.LoadOwner().mLinks[restarted] = LinkState::kDisconnected;
  sim->RunFor(kSettleTime);
  STRCMP_EQUAL("", sim.AllViolations().c_str());
  return hasRuns;
}

// The worker restarts aAfter the log went away. Returns whether the new
// incarnation accepted starts.
bool CutOffOwnerWithRestart(Milliseconds aAfter)
{
  TakeoverSimulation sim(kWorkers);
  sim->Submit(JobWithWideSecondStep());
  sim->RunFor(Milliseconds(3000));
  const WorkerId first = sim.WorkerOf(TaskOf("j", 0));
  const WorkerId restarted = sim.IdOf(first == sim.IdOf(0) ? 1 : 0);
  sim.LoadOwner();
  for (size_t index = 0; index < kWorkers; index++) {
    const WorkerId id = sim.IdOf(index);
    const bool isWithFormer = id == first || id == restarted;
    sim->Owner(isWithFormer ? 1 : 0).mLinks[id] = LinkState::kDisconnected;
  }
  sim->RunFor(aAfter);
  sim->RestartWorker(restarted);
  sim->Owner(0).mNextRenewalAt[restarted] = sim->Now() + Milliseconds(1500);
  sim.EndRunsOf(first);
  sim->RunFor(Milliseconds(600));
  const bool hasRuns = !sim->Worker(sim.IndexOf(restarted)).mRuns.empty();
  // The successor reaches the first worker again, and learns that its task is
  // done.
  sim->Owner(1).mLinks[first] = LinkState::kConnected;
  sim->RunFor(kSettleTime);
  STRCMP_EQUAL("", sim.AllViolations().c_str());
  return hasRuns;
}

} // namespace

TEST_GROUP(LateStartsTest){};

// A worker restarts during an outage. Before its owner hears of that, the new
// incarnation accepts a start with a lease by the former one's clock, which it
// shortens to 6 s from then. The successor can't reach the worker.
TEST(LateStartsTest, StartOnARestartedWorkerEndsBeforeTheSuccessorsWait)
{
  CHECK(LoseOwnerAfterRestart(Milliseconds(2000)));
  LoseOwnerAfterRestart(Milliseconds(5000));
}

// The same with an owner that is cut off with two workers, one of which
// restarts: the wait that begins at the claim is too short too.
TEST(LateStartsTest, StartOfAnOwnerCutOffWithARestartedWorker)
{
  CHECK(CutOffOwnerWithRestart(Milliseconds(2000)));
  CutOffOwnerWithRestart(Milliseconds(5000));
}

// The successor has heard from a worker, which then restarts and knows no
// fencing token. A start of the former owner is sent only now (review/7).
TEST(LateStartsTest, QueuedStartOfAFormerOwnerOnARestartedWorker)
{
  TakeoverSimulation sim(kWorkers);
  sim->mCallsReachOneIncarnation = true;
  sim->RunFor(Milliseconds(500));
  const WorkerId worker = sim.IdOf(0);
  SimulatedOwner& owner = sim->Owner(0);
  owner.mHeldOrders.insert(worker);
  sim->Submit(LongRunningJob("lasting", 6, 5000));
  sim->RunFor(Milliseconds(100));
  CHECK(!owner.mSendQueue.empty());
  owner.mIsActive = false; // paused
  ClusterConfig config;
  config.mVersion = 2;
  config.mExcludedDomains.insert(sim->Worker(0).mInfo.mDomain);
  sim->Configure(config);
  sim.LoadOwner();
  sim->RunFor(Milliseconds(500));
  sim->RestartWorker(worker);
  sim->DeliverHeldOrders(owner);
  sim->RunFor(kSettleTime);
  STRCMP_EQUAL("", sim.AllViolations().c_str());
}

// A zone is evacuated while a start on one of its workers waits for its record.
TEST(LateStartsTest, HeldStartIsNotSentIntoAnEvacuatedZone)
{
  TakeoverSimulation sim(kWorkers);
  sim->RunFor(Milliseconds(500));
  sim->Owner(0).mAppendDelay = Milliseconds(900);
  sim->Submit(LongRunningJob("lasting", kWorkers, 9000));
  sim->RunFor(Milliseconds(100));
  ClusterConfig config;
  config.mVersion = 2;
  config.mExcludedDomains.insert(sim->Worker(0).mInfo.mDomain);
  sim->Configure(config);
  size_t intoZone = 0;
  sim->mOnOrder = [&](const TaskOrder& aOrder) {
    const WorkerInfo& to = sim->Worker(sim.IndexOf(aOrder.mWorker)).mInfo;
    const bool isExcluded = config.mExcludedDomains.count(to.mDomain) != 0;
    intoZone += aOrder.mKind == OrderKind::kStart && isExcluded ? 1 : 0;
  };
  sim->RunFor(Milliseconds(8000));
  CHECK_EQUAL(0U, intoZone);
}

// The start of a job's only task is held and then dropped: the job has not
// begun, for this owner and for its successor.
TEST(LateStartsTest, JobWhoseHeldStartWasDroppedCountsAsWaiting)
{
  TakeoverSimulation sim(kWorkers);
  sim->RunFor(Milliseconds(500));
  sim->Owner(0).mAppendDelay = Milliseconds(300);
  JobGraph job = LongRunningJob("lasting", 1, 5000);
  sim->Submit(job);
  sim->RunFor(Milliseconds(100));
  for (size_t index = 0; index < kWorkers; index++) {
    sim->Drain(sim.IdOf(index), Milliseconds(60000));
  }
  sim->RunFor(Milliseconds(5000));
  CHECK_EQUAL(0U, sim->Running());
  CHECK_EQUAL(1U, sim->Owner(0).mShard->Waiting(job.mQueue));
}

// Each append takes 2.1 s; the log goes on taking them.
TEST(LateStartsTest, LastingTasksStartThoughTheLogIsSlow)
{
  TakeoverSimulation sim(kWorkers);
  sim->RunFor(Milliseconds(500));
  sim->Owner(0).mAppendDelay = Milliseconds(2100);
  sim->Submit(LongRunningJob("lasting", kWorkers, 5000));
  sim->RunFor(Milliseconds(60000));
  CHECK_EQUAL(kWorkers, sim->RunningOf(JobId("lasting")));
}

} // namespace mulberryvalve
