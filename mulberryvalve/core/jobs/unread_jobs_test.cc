// Jobs that a former owner started and that its successor reads from the log
// only after the workers have reported their runs.
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kTasks = 4;
// The former owner can't record its starts, so that every task needs a worker
// in its bucket.
constexpr size_t kWorkers = 48;
// Time enough for a start without a record, or for a report.
constexpr Milliseconds kExchange{ 500 };
// Longer than every lease and wait.
constexpr Milliseconds kSettleTime{ 30000 };

// The former owner has started the job "late", which was submitted after the
// claim of its successor. The successor has not read the job, and has reached
// no worker yet.
class LateJob
{
public:
  LateJob()
    : mSim(kWorkers)
  {
    mSim->mOnOrder = [this](const TaskOrder& aOrder) {
      mStarts += aOrder.mKind == OrderKind::kStart ? 1 : 0;
    };
    mSim->RunFor(kExchange);
    mSim->Owner(0).mReadsSubmissions = true;
    mSuccessor = &mSim.LoadOwner();
    mSuccessor->mReadsIntake = false;
    for (const WorkerId& id : mSim.FirstWorkers(kWorkers)) {
      mSuccessor->mLinks[id] = LinkState::kDisconnected;
    }
    mSim->Submit(OneStepJob("late", kTasks, 9000));
    mSim->RunFor(kExchange);
    CHECK_EQUAL(kTasks, mSim->RunningOf(JobId("late")));
  }

  // Lets the workers report to the successor.
  void Report()
  {
    mSuccessor->mLinks.clear();
    mSim->RunFor(kExchange);
  }

  // Lets the successor read the job.
  void Read() { mSuccessor->mReadsIntake = true; }

  void EndAllRuns()
  {
    for (const WorkerId& id : mSim.FirstWorkers(kWorkers)) {
      mSim.EndRunsOf(id);
    }
  }

  void CheckOneRunEach()
  {
    STRCMP_EQUAL("", mSim.AllViolations().c_str());
    CHECK_EQUAL(size_t{ kTasks }, mStarts);
  }

  void CheckCompleted()
  {
    CHECK(mSuccessor->mShard->Phase(JobId("late")) == JobPhase::kCompleted);
  }

  TakeoverSimulation mSim;

private:
  SimulatedOwner* mSuccessor = nullptr;
  size_t mStarts = 0;
};

} // namespace

TEST_GROUP(UnreadJobsTest){};

// Guards against a run of a job that is not read yet being stopped as unwanted
// and started elsewhere (review/1).
TEST(UnreadJobsTest, RunReportedBeforeItsJobIsReadGoesOn)
{
  LateJob late;
  late.Report();
  late.Read();
  late.mSim->RunFor(Milliseconds(2000));
  CHECK_EQUAL(kTasks, late.mSim->RunningOf(JobId("late")));
  late.EndAllRuns();
  late.mSim->RunFor(Milliseconds(1000));
  late.CheckOneRunEach();
  late.CheckCompleted();
}

// Guards against the end of a run being acknowledged and forgotten because its
// job is not read yet (review/1).
TEST(UnreadJobsTest, EndReportedBeforeItsJobIsReadCounts)
{
  LateJob late;
  late.EndAllRuns();
  late.Report();
  late.Read();
  late.mSim->RunFor(Milliseconds(2000));
  late.CheckOneRunEach();
  late.CheckCompleted();
}

// The run was reported, then its worker became unreachable: the task may run
// there until its lease expires, and starts elsewhere after that.
TEST(UnreadJobsTest, RunOnAWorkerThatBecomesUnreachableIsWaitedFor)
{
  LateJob late;
  const WorkerId lost = late.mSim.WorkerOf(TaskOf("late", 0));
  late.Report();
  late.mSim->MakeUnreachable(lost);
  late.mSim->RunFor(kExchange);
  late.Read();
  late.mSim->RunFor(Milliseconds(2000));
  late.CheckOneRunEach();
  late.mSim->RunFor(kSettleTime);
  STRCMP_EQUAL("", late.mSim.AllViolations().c_str());
  CHECK_EQUAL(kTasks, late.mSim->RunningOf(JobId("late")));
}

} // namespace mulberryvalve
