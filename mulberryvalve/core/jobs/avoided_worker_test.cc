// Lasting tasks and workers that failed all that they ran.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr size_t kWorkers = 20;
constexpr uint32_t kTasks = 16;
constexpr Milliseconds kBadFor{ 3000 };
// A lasting task has to run again this long after it can.
constexpr Milliseconds kRunsAgainWithin{ 6000 };
// A worker is avoided for 1.5 s the first time, and then one task tries it for
// 2 s.
constexpr Milliseconds kAvoidedAndTried{ 4500 };
// Starts within this time are of one try.
constexpr Milliseconds kRound{ 500 };
const WorkerLabel kLabel("special");

JobGraph LabelledJob()
{
  JobGraph job = OneStepJob("lasting", kTasks, 1000);
  job.mSteps[0].mLongRunning = true;
  job.mSteps[0].mRequiredLabel = kLabel;
  return job;
}

} // namespace

TEST_GROUP(AvoidedWorkerTest)
{
  ShardSimulation mSimulation{ kWorkers };

  void setup() override
  {
    mSimulation.mDurationOf = [this](const TaskRef&) {
      return mSimulation.mFailingWorkers.empty() ? Milliseconds(600000)
                                                 : Milliseconds(100);
    };
  }

  void LabelWorkers(size_t aWorkers)
  {
    for (size_t index = 0; index < aWorkers; index++) {
      mSimulation.Worker(index).mInfo.mLabels = { kLabel };
    }
    mSimulation.AddOwner();
    mSimulation.RunFor(Milliseconds(1000));
  }
};

// Guards against lasting tasks that have no run for 9 s after the only workers
// that they may use are sound again (LOST, found by the third review).
TEST(AvoidedWorkerTest, LastingTasksRetryTheOnlyWorkersThatTheyMayUse)
{
  LabelWorkers(2);
  for (size_t index = 0; index < 2; index++) {
    mSimulation.mFailingWorkers.insert(mSimulation.Worker(index).mInfo.mId);
  }
  mSimulation.Submit(LabelledJob());
  mSimulation.RunFor(kBadFor);
  mSimulation.mFailingWorkers.clear();
  mSimulation.RunFor(kRunsAgainWithin);
  CHECK_EQUAL(static_cast<size_t>(kTasks), mSimulation.Running());
}

// Guards against a worker that is avoided for 12 s because several tasks failed
// there at one moment (found by the third review): that is one piece of
// evidence.
TEST(AvoidedWorkerTest, FailuresOfOneMomentCountOnce)
{
  LabelWorkers(1);
  const WorkerId bad = mSimulation.Worker(0).mInfo.mId;
  mSimulation.mFailingWorkers.insert(bad);
  JobGraph job = LabelledJob();
  job.mSteps[0].mLongRunning = false;
  mSimulation.Submit(job);
  while (mSimulation.Running() == 0) {
    mSimulation.Step();
  }
  mSimulation.mFailingWorkers.clear();
  mSimulation.RunFor(kAvoidedAndTried);
  CHECK_EQUAL(static_cast<size_t>(kTasks), mSimulation.Running());
}

// Guards against attempts that are wasted on a worker that fails all: one task
// tries it, and only if that is done do the others follow.
TEST(AvoidedWorkerTest, OneTaskTriesAWorkerThatFailedAll)
{
  LabelWorkers(1);
  const WorkerId bad = mSimulation.Worker(0).mInfo.mId;
  mSimulation.mFailingWorkers.insert(bad);
  JobGraph job = LabelledJob();
  job.mSteps[0].mLongRunning = false;
  mSimulation.Submit(job);
  mSimulation.RunFor(Milliseconds(1000));
  size_t starts = 0;
  mSimulation.mOnOrder = [&](const TaskOrder& aOrder) {
    starts += aOrder.mKind == OrderKind::kStart ? 1 : 0;
  };
  // It is tried after 1.5 and 3 s.
  mSimulation.RunFor(Milliseconds(6000));
  CHECK_EQUAL(2U, starts);
}

TEST(AvoidedWorkerTest, TheOthersFollowATaskThatIsDone)
{
  LabelWorkers(1);
  const WorkerId bad = mSimulation.Worker(0).mInfo.mId;
  mSimulation.mFailingWorkers.insert(bad);
  JobGraph job = LabelledJob();
  job.mSteps[0].mLongRunning = false;
  mSimulation.Submit(job);
  while (mSimulation.Running() == 0) {
    mSimulation.Step();
  }
  mSimulation.mFailingWorkers.clear();
  mSimulation.mDurationOf = [](const TaskRef&) { return Milliseconds(300); };
  // 1.5 s and the two durations, with time for the messages.
  mSimulation.RunFor(Milliseconds(3300));
  CHECK(JobPhase::kCompleted ==
        mSimulation.Owner(0).mShard->Phase(JobId("lasting")));
}

// A worker that fails again each time it is tried is left alone for longer.
TEST(AvoidedWorkerTest, AWorkerThatKeepsFailingIsAvoidedForLonger)
{
  LabelWorkers(1);
  const WorkerId bad = mSimulation.Worker(0).mInfo.mId;
  mSimulation.mFailingWorkers.insert(bad);
  JobGraph job = LabelledJob();
  job.mSteps[0].mLongRunning = false;
  std::vector<MonotonicTime> rounds;
  mSimulation.mOnOrder = [&](const TaskOrder& aOrder) {
    const bool isStart = aOrder.mKind == OrderKind::kStart;
    if (isStart &&
        (rounds.empty() || rounds.back() + kRound < mSimulation.Now())) {
      rounds.push_back(mSimulation.Now());
    }
  };
  mSimulation.Submit(job);
  mSimulation.RunFor(Milliseconds(26000));
  // After 1.5, 3, 6 and 12 s.
  CHECK_EQUAL(5U, rounds.size());
}

// While another worker can take them, a bad one is left alone.
TEST(AvoidedWorkerTest, LastingTasksLeaveABadWorkerAloneBesideAnother)
{
  LabelWorkers(2);
  const WorkerId bad = mSimulation.Worker(0).mInfo.mId;
  mSimulation.mFailingWorkers.insert(bad);
  mSimulation.mDurationOf = [](const TaskRef&) { return Milliseconds(600000); };
  mSimulation.mEndKindOf = [](const TaskRef&, RunNumber) {
    return EndKind::kFailed;
  };
  mSimulation.Submit(LabelledJob());
  mSimulation.RunFor(Milliseconds(5000));
  size_t startsOnBad = 0;
  mSimulation.mOnOrder = [&](const TaskOrder& aOrder) {
    startsOnBad +=
      aOrder.mKind == OrderKind::kStart && aOrder.mWorker == bad ? 1 : 0;
  };
  mSimulation.RunFor(Milliseconds(5000));
  CHECK_EQUAL(0U, startsOnBad);
}

} // namespace mulberryvalve
