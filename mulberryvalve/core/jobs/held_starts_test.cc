// Tests that a start is sent only once the log tells where its task may be, and
// what is started while the log takes no appends.
#include "mulberryvalve/core/jobs/held_starts.h"
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"
#include "mulberryvalve/core/jobs/unrecorded_starts.h"

#include "CppUTest/TestHarness.h"

#include <map>
#include <set>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kTick{ 20 };
// Within this, workers have answered a new owner.
constexpr Milliseconds kFirstReports{ 500 };
constexpr Milliseconds kSettleTime{ 15000 };

MonotonicTime At(int aMilliseconds)
{
  return MonotonicTime(Milliseconds(aMilliseconds));
}

TaskOrder StartOf(const TaskRef& aTask, const WorkerId& aWorker)
{
  TaskOrder order;
  order.mTask = aTask;
  order.mWorker = aWorker;
  return order;
}

JobRecord RecordOf(const TaskRef& aTask, const WorkerId& aWorker)
{
  JobRecord record{ aTask.mStep.mJob, JobPhase::kQueued, {} };
  TaskRecord task;
  task.mOccurrence = aTask.mStep.mOccurrence;
  task.mStep = aTask.mStep.mStep;
  task.mIndex = aTask.mIndex;
  task.mPossibleWorkers.push_back(aWorker);
  record.mTasks.push_back(task);
  return record;
}

JobGraph GangJob(const std::string& aId, uint32_t aCount, int64_t aCpu)
{
  JobGraph job = OneStepJob(aId, aCount, aCpu);
  job.mSteps[0].mGang = true;
  return job;
}

// Counts the orders that an owner sends.
class CountedSimulation
{
public:
  explicit CountedSimulation(size_t aWorkers)
    : mSim(aWorkers)
  {
    mSim->mOnOrder = [this](const TaskOrder& aOrder) {
      mOrders[aOrder.mKind]++;
      if (aOrder.mKind == OrderKind::kStart) {
        mStarts.push_back(aOrder);
      }
    };
    mSim->RunFor(kFirstReports);
  }

  SimulatedOwner& Owner() { return mSim->Owner(0); }
  void SetAppendsFail(bool aFail) { Owner().mAppendsFail = aFail; }

  // Returns the first worker to which tasks are charged.
  WorkerId ChargedWorker()
  {
    for (const auto& [id, worker] : Owner().mShard->Workers().All()) {
      if (!worker.mTasks.empty()) {
        return id;
      }
    }
    return WorkerId();
  }

  TakeoverSimulation mSim;
  std::map<OrderKind, size_t> mOrders;
  std::vector<TaskOrder> mStarts;
};

} // namespace

TEST_GROUP(HeldStartsTest)
{
  const WorkerId mWorker{ "w" };
  const TaskRef mTask = TaskOf("j", 3);
  HeldStarts mStarts;
};

TEST(HeldStartsTest, StartIsRecordedByARecordThatNamesItsWorker)
{
  mStarts.Add(StartOf(mTask, mWorker), false, At(0));
  mStarts.Add(StartOf(TaskOf("j", 300), mWorker), false, At(0));
  mStarts.OnRecorded(RecordOf(mTask, WorkerId("v")));
  mStarts.OnRecorded(RecordOf(TaskOf("i", 3), mWorker));
  mStarts.OnRecorded(JobRecord{ JobId("j"), JobPhase::kQueued, {} });
  CHECK_FALSE(mStarts.Find(mTask)->mIsRecorded);
  mStarts.OnRecorded(RecordOf(mTask, mWorker));
  CHECK(mStarts.Find(mTask)->mIsRecorded);
  // Another part of the job's progress has the other task.
  CHECK_FALSE(mStarts.Find(TaskOf("j", 300))->mIsRecorded);
  CHECK_FALSE(mStarts.IsStepRecorded(mTask.mStep));
  CHECK(mStarts.Remove(TaskOf("j", 300)));
  CHECK_FALSE(mStarts.Remove(TaskOf("j", 300)));
  CHECK(mStarts.IsStepRecorded(mTask.mStep));
}

TEST(HeldStartsTest, RecordsAreOverdueUntilTheLogTakesAnAppend)
{
  mStarts.Add(StartOf(mTask, mWorker), true, At(1000));
  CHECK_FALSE(mStarts.UpdateOverdue(At(1000) + kMaxRecordWait));
  CHECK(mStarts.UpdateOverdue(At(1001) + kMaxRecordWait));
  CHECK(mStarts.AreRecordsOverdue());
  mStarts.Remove(mTask);
  CHECK_FALSE(mStarts.UpdateOverdue(At(5000)));
  CHECK(mStarts.AreRecordsOverdue());
  mStarts.OnAppended();
  CHECK(mStarts.UpdateOverdue(At(5010)));
  CHECK_FALSE(mStarts.AreRecordsOverdue());
}

// A log that is slow, but takes appends, is not away.
TEST(HeldStartsTest, WaitCountsFromTheLastAppend)
{
  mStarts.Add(StartOf(mTask, mWorker), true, At(1000));
  mStarts.OnAppended();
  mStarts.UpdateOverdue(At(1150));
  CHECK_FALSE(mStarts.UpdateOverdue(At(1150) + kMaxRecordWait));
  CHECK(mStarts.UpdateOverdue(At(1151) + kMaxRecordWait));
}

TEST(HeldStartsTest, StartsAreSelectedInTheOrderOfDecisions)
{
  mStarts.Add(StartOf(TaskOf("b", 0), mWorker), true, At(0));
  mStarts.Add(StartOf(TaskOf("a", 0), mWorker), true, At(0));
  const auto all = mStarts.Select([](const HeldStart&) { return true; });
  CHECK_EQUAL(2U, all.size());
  CHECK(all[0].mOrder.mTask == TaskOf("b", 0));
}

TEST_GROUP(RecordedStartsTest)
{
  CountedSimulation mSim{ 4 };
  TakeoverSimulation& mWorld = mSim.mSim;
};

TEST(RecordedStartsTest, StartIsSentOnceAfterItsRecordIsDurable)
{
  mSim.SetAppendsFail(true);
  mWorld->Submit(LongRunningJob("lasting", 1, 4000));
  mWorld->RunFor(Milliseconds(1000));
  CHECK_FALSE(mSim.ChargedWorker().Empty());
  CHECK_EQUAL(0U, mSim.mStarts.size());
  mSim.SetAppendsFail(false);
  mWorld->RunFor(kTick);
  CHECK_EQUAL(1U, mSim.mStarts.size());
  CHECK_EQUAL(1U, mWorld->Running());
  mWorld->RunFor(kSettleTime);
  CHECK_EQUAL(1U, mSim.mStarts.size());
  STRCMP_EQUAL("", mWorld.AllViolations().c_str());
}

TEST(RecordedStartsTest, LeaseBeginsWhenTheStartIsSent)
{
  mSim.SetAppendsFail(true);
  mWorld->Submit(LongRunningJob("lasting", 1, 4000));
  mWorld->RunFor(Milliseconds(1800));
  mSim.SetAppendsFail(false);
  mWorld->RunFor(kTick);
  CHECK_EQUAL(1U, mSim.mStarts.size());
  const TaskOrder& start = mSim.mStarts[0];
  const SimulatedWorker& worker = mWorld->Worker(mWorld.IndexOf(start.mWorker));
  CHECK(start.mUntil.mMilliseconds >=
        worker.ClockAt(mWorld->Now()).mMilliseconds + 2000);
  CHECK(start.mDecidedAt == mWorld->Now());
}

TEST(RecordedStartsTest, CancelledWhileHeldIsNeverSent)
{
  mSim.SetAppendsFail(true);
  mWorld->Submit(LongRunningJob("lasting", 1, 4000));
  mWorld->RunFor(Milliseconds(100));
  CHECK_FALSE(mSim.ChargedWorker().Empty());
  mWorld->Cancel(JobId("lasting"));
  CHECK(mSim.ChargedWorker().Empty());
  CHECK_EQUAL(0U, mSim.Owner().mShard->TakeWindowStats().mInFlight);
  mSim.SetAppendsFail(false);
  mWorld->RunFor(kSettleTime);
  CHECK_EQUAL(0U, mSim.mOrders.size());
}

TEST(RecordedStartsTest, SilentWorkerGetsNoHeldStart)
{
  mSim.SetAppendsFail(true);
  mWorld->Submit(LongRunningJob("lasting", 1, 4000));
  mWorld->RunFor(kTick);
  const WorkerId silent = mSim.ChargedWorker();
  mWorld->MakeUnreachable(silent);
  // Long enough for a renewal, and less than kMaxRecordWait.
  mWorld->RunFor(Milliseconds(120));
  CHECK_FALSE(mSim.ChargedWorker().Empty());
  CHECK(mSim.ChargedWorker() != silent);
  mSim.SetAppendsFail(false);
  mWorld->RunFor(Milliseconds(500));
  mWorld->MakeReachable(silent);
  mWorld->RunFor(kSettleTime);
  CHECK_EQUAL(1U, mSim.mStarts.size());
  CHECK(mSim.mStarts[0].mWorker != silent);
  CHECK_EQUAL(1U, mWorld->Running());
}

TEST(RecordedStartsTest, LeavingWorkerGetsNoHeldStart)
{
  for (const JobGraph& job :
       { LongRunningJob("lasting", 1, 4000), OneStepJob("batch", 1, 4000) }) {
    CountedSimulation sim{ 4 };
    sim.SetAppendsFail(true);
    sim.mSim->Submit(job);
    sim.mSim->RunFor(Milliseconds(100));
    const WorkerId leaving = sim.ChargedWorker();
    sim.mSim->Drain(leaving, Milliseconds(20000));
    sim.mSim->RunFor(Milliseconds(40));
    sim.SetAppendsFail(false);
    sim.mSim->RunFor(kSettleTime);
    CHECK_EQUAL(1U, sim.mStarts.size());
    CHECK(sim.mStarts[0].mWorker != leaving);
  }
}

TEST(RecordedStartsTest, RestartedWorkerGetsNoHeldStartOfItsFormerIncarnation)
{
  mSim.SetAppendsFail(true);
  mWorld->Submit(LongRunningJob("lasting", 1, 4000));
  mWorld->RunFor(kTick);
  const WorkerId restarted = mSim.ChargedWorker();
  mWorld->RestartWorker(restarted);
  mWorld->RunFor(kTick);
  CHECK(mSim.ChargedWorker() != restarted);
  mWorld->RunFor(Milliseconds(200));
  mSim.SetAppendsFail(false);
  mWorld->RunFor(kSettleTime);
  CHECK_EQUAL(1U, mSim.mStarts.size());
  CHECK_EQUAL(1U, mWorld->Running());
  STRCMP_EQUAL("", mWorld.AllViolations().c_str());
}

TEST(RecordedStartsTest, GangIsSentAsAWholeOrNotAtAll)
{
  mSim.SetAppendsFail(true);
  mWorld->Submit(GangJob("gang", 3, 9000));
  mWorld->RunFor(Milliseconds(100));
  mWorld->MakeUnreachable(mSim.ChargedWorker());
  mWorld->RunFor(Milliseconds(200));
  mSim.SetAppendsFail(false);
  mWorld->RunFor(Milliseconds(200));
  CHECK_EQUAL(3U, mSim.mStarts.size());
  CHECK_EQUAL(3U, mWorld->Running());
  CHECK(mSim.mStarts[0].mRun == mSim.mStarts[2].mRun);
}

TEST(RecordedStartsTest, RoomOfAStartThatGetsNoRecordIsFreed)
{
  mSim.SetAppendsFail(true);
  mWorld->Submit(LongRunningJob("lasting", 4, 16000));
  mWorld->RunFor(Milliseconds(100));
  CHECK_FALSE(mSim.ChargedWorker().Empty());
  mWorld->RunFor(Milliseconds(2500));
  CHECK(mSim.ChargedWorker().Empty());
  mSim.SetAppendsFail(false);
  mWorld->RunFor(Milliseconds(500));
  CHECK_EQUAL(4U, mWorld->Running());
}

// A batch is appended in several parts if it is large.
TEST_GROUP(SplitProgressTest)
{
  CountedSimulation mSim{ 4 };
  MonotonicTime mNow;
  ProgressBatch mBatch;

  // Submits a job with ten startable tasks, the first six in part 0 of its
  // progress and the others in part 1, and decides on them.
  void Submit(bool aGang)
  {
    mSim.SetAppendsFail(true);
    mNow = mSim.mSim->Now();
    ShardScheduler& shard = *mSim.Owner().mShard;
    JobGraph job = LongRunningJob("j", 250, 99000);
    StepSpec step = job.mSteps[0];
    step.mCount = 10;
    step.mDemand = Resources{ 100, 100, 0 };
    step.mLongRunning = !aGang;
    step.mGang = aGang;
    job.mSteps.push_back(step);
    job.mRules.mService = mSim.mSim->Worker(0).mInfo.mService;
    shard.OnJobSubmitted(job, mNow, mNow);
    CHECK_EQUAL(0U, Decide().size());
    mBatch = shard.TakeProgress(mNow);
    CHECK_EQUAL(2U, mBatch.mJobs.size());
  }

  std::vector<TaskOrder> Decide()
  {
    const OwnershipProof proof{ mNow, true, mNow };
    return mSim.Owner().mShard->Decide(proof, mNow, WallTime{ 0 });
  }

  std::vector<TaskOrder> DecideAfterPart(size_t aPart)
  {
    ProgressBatch written;
    written.mJobs.push_back(mBatch.mJobs[aPart]);
    mSim.Owner().mShard->OnDurable(written);
    return Decide();
  }
};

TEST(SplitProgressTest, StartWaitsForThePartThatHasItsTask)
{
  Submit(false);
  const std::vector<TaskOrder> ofLast = DecideAfterPart(1);
  CHECK_EQUAL(4U, ofLast.size());
  for (const TaskOrder& order : ofLast) {
    CHECK(order.mTask.mIndex >= 6);
  }
  CHECK_EQUAL(6U, DecideAfterPart(0).size());
}

TEST(SplitProgressTest, GangWaitsForAllItsParts)
{
  Submit(true);
  CHECK_EQUAL(0U, DecideAfterPart(1).size());
  CHECK_EQUAL(10U, DecideAfterPart(0).size());
}

TEST_GROUP(UnrecordedStartsOfOwnerTest)
{
  CountedSimulation mSim{ 48 };
  TakeoverSimulation& mWorld = mSim.mSim;

  // Makes the log refuse appends, and submits jobs.
  void SubmitWithoutLog(uint32_t aTasks)
  {
    mSim.SetAppendsFail(true);
    mWorld->Submit(OneStepJob("batch", aTasks, 1000));
    mWorld->Submit(LongRunningJob("lasting", 2, 1000));
    mWorld->Submit(GangJob("gang", 2, 1000));
  }
};

TEST(UnrecordedStartsOfOwnerTest, OnlyPlainTasksStartInTheirBucket)
{
  SubmitWithoutLog(96);
  mWorld->RunFor(Milliseconds(180));
  CHECK_EQUAL(0U, mSim.mStarts.size());
  mWorld->RunFor(Milliseconds(800));
  std::set<size_t> buckets;
  for (const auto& [id, worker] : mSim.Owner().mShard->Workers().All()) {
    buckets.insert(worker.mBucket);
  }
  size_t startable = 0;
  for (uint32_t index = 0; index < 96; index++) {
    startable += buckets.count(BucketOf(TaskOf("batch", index)));
  }
  CHECK(startable > 0);
  CHECK_EQUAL(startable, mSim.mStarts.size());
  for (const TaskOrder& start : mSim.mStarts) {
    CHECK(start.mTask.mStep.mJob == JobId("batch"));
    CHECK(MayStartUnrecorded(start.mTask, start.mWorker));
  }
  mSim.SetAppendsFail(false);
  mWorld->RunFor(Milliseconds(500));
  CHECK_EQUAL(100U, mWorld->Running());
  CHECK_EQUAL(100U, mSim.mStarts.size());
  STRCMP_EQUAL("", mWorld.AllViolations().c_str());
}

// Nothing of these starts is on the log. A successor still repeats none of
// them, and holds back no more than their buckets.
TEST(UnrecordedStartsOfOwnerTest, SuccessorHoldsBackTheBucketsOfDarkWorkers)
{
  SubmitWithoutLog(96);
  mWorld->RunFor(Milliseconds(1000));
  const TaskOrder lost = mSim.mStarts.at(0);
  mWorld->MakeUnreachable(lost.mWorker);
  mWorld->RunFor(Milliseconds(100));
  mWorld.ReplaceOwner();
  mWorld->RunFor(TakeoverSimulation::kPlacementLimit);
  const size_t bucket = BucketOf(lost.mTask);
  size_t held = 0;
  for (uint32_t index = 0; index < 96; index++) {
    const bool runs = !mWorld->WorkersRunning(TaskOf("batch", index)).empty();
    CHECK(runs || BucketOf(TaskOf("batch", index)) == bucket);
    held += runs ? 0 : 1;
  }
  CHECK(held <= 96 / kStartBuckets);
  CHECK_EQUAL(2U, mWorld->RunningOf(JobId("lasting")));
  CHECK_EQUAL(2U, mWorld->RunningOf(JobId("gang")));
  mWorld->RunFor(kSettleTime);
  CHECK_EQUAL(96U, mWorld->RunningOf(JobId("batch")));
  STRCMP_EQUAL("", mWorld.AllViolations().c_str());
}

TEST_GROUP(PossibleWorkersTest)
{
  TakeoverSimulation mWorld{ 4 };
  const TaskRef mFirst = TaskOf("lasting", 0);
  const TaskRef mSecond = TaskOf("lasting", 1);

  // Starts two tasks that each fill most of a worker.
  void StartTwo()
  {
    mWorld->Submit(LongRunningJob("lasting", 2, 9000));
    mWorld->RunFor(Milliseconds(1000));
    CHECK_EQUAL(2U, mWorld->Running());
  }

  size_t RunsOf(const TaskRef& aTask)
  {
    return mWorld->WorkersRunning(aTask).size();
  }
};

TEST(PossibleWorkersTest, TaskIsFreeOnceItsOwnWorkerAnsweredThoughAnotherIsDark)
{
  StartTwo();
  const WorkerId restarted = mWorld.WorkerOf(mFirst);
  const WorkerId dark = mWorld.WorkerOf(mSecond);
  mWorld->MakeUnreachable(dark);
  mWorld.KillOwner();
  mWorld->RestartWorker(restarted);
  mWorld->RunFor(TakeoverSimulation::kTakeoverDelay);
  mWorld.LoadOwner();
  mWorld->RunFor(TakeoverSimulation::kPlacementLimit);
  CHECK_EQUAL(1U, RunsOf(mFirst));
  CHECK_EQUAL(1U, RunsOf(mSecond));
  CHECK(mWorld.WorkerOf(mSecond) == dark);
  mWorld->RunFor(kSettleTime);
  CHECK_EQUAL(1U, RunsOf(mSecond));
  CHECK(mWorld.WorkerOf(mSecond) != dark);
  STRCMP_EQUAL("", mWorld.AllViolations().c_str());
}

// The second owner writes the part of the job again, which must go on naming
// the worker that it has not heard of.
TEST(PossibleWorkersTest, ThirdOwnerStillKnowsWhereATaskMayBe)
{
  StartTwo();
  const WorkerId dark = mWorld.WorkerOf(mSecond);
  mWorld->MakeUnreachable(dark);
  mWorld.KillOwner();
  mWorld->RestartWorker(mWorld.WorkerOf(mFirst));
  mWorld.LoadOwner();
  mWorld->RunFor(TakeoverSimulation::kPlacementLimit);
  CHECK_EQUAL(1U, RunsOf(mFirst));
  mWorld.ReplaceOwner();
  mWorld->RunFor(TakeoverSimulation::kPlacementLimit);
  CHECK_EQUAL(1U, RunsOf(mSecond));
  CHECK(mWorld.WorkerOf(mSecond) == dark);
  mWorld->RunFor(kSettleTime);
  CHECK_EQUAL(1U, RunsOf(mFirst));
  CHECK_EQUAL(1U, RunsOf(mSecond));
  CHECK(mWorld.WorkerOf(mSecond) != dark);
  STRCMP_EQUAL("", mWorld.AllViolations().c_str());
}

TEST(PossibleWorkersTest, RecordedStartThatWasNeverSentIsMadeUpForBySuccessor)
{
  mWorld->RunFor(kFirstReports);
  SimulatedOwner& owner = mWorld->Owner(0);
  for (size_t index = 0; index < 4; index++) {
    owner.mHeldOrders.insert(mWorld.IdOf(index));
  }
  mWorld->Submit(LongRunningJob("lasting", 2, 9000));
  mWorld->RunFor(Milliseconds(100));
  CHECK_EQUAL(2U, owner.mSendQueue.size());
  const TaskOrder toDark = owner.mSendQueue[0];
  const TaskRef other = toDark.mTask == mFirst ? mSecond : mFirst;
  mWorld->MakeUnreachable(toDark.mWorker);
  mWorld.ReplaceOwner();
  mWorld->RunFor(TakeoverSimulation::kPlacementLimit);
  CHECK_EQUAL(1U, RunsOf(other));
  // For all that the successor knows, the start may have reached the worker.
  CHECK_EQUAL(0U, RunsOf(toDark.mTask));
  mWorld->RunFor(kSettleTime);
  CHECK_EQUAL(1U, RunsOf(toDark.mTask));
  STRCMP_EQUAL("", mWorld.AllViolations().c_str());
}

} // namespace mulberryvalve
