// Gangs: how their runs are counted, restarted and placed.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr size_t kWorkers = 10;
constexpr uint32_t kMembers = 4;
constexpr int kMaxAttempts = 3;
constexpr Milliseconds kRunTime{ 2000 };
const JobId kGang("gang");

JobGraph GangJob()
{
  JobGraph job = OneStepJob("gang", kMembers, 1000);
  job.mSteps[0].mGang = true;
  job.mRules.mMaxAttempts = kMaxAttempts;
  return job;
}

} // namespace

TEST_GROUP(GangTest)
{
  ShardSimulation mSimulation{ kWorkers };

  void setup() override
  {
    mSimulation.AddOwner();
    mSimulation.mDurationOf = [](const TaskRef&) { return kRunTime; };
  }

  JobPhase Phase(size_t aOwner = 0)
  {
    return mSimulation.Owner(aOwner).mShard->Phase(kGang).value_or(
      JobPhase::kCancelled);
  }
};

// Guards against a lasting gang that is shown as completed, and never started
// again, after its run ended as done (review/14).
TEST(GangTest, ALastingGangIsRestartedAfterItsRunEndedAsDone)
{
  JobGraph job = GangJob();
  job.mSteps[0].mLongRunning = true;
  mSimulation.Submit(job);
  size_t starts = 0;
  mSimulation.mOnOrder = [&](const TaskOrder& aOrder) {
    starts += aOrder.mKind == OrderKind::kStart ? 1 : 0;
  };
  mSimulation.RunFor(Milliseconds(20000));
  CHECK(JobPhase::kRunning == Phase());
  CHECK(starts >= 3 * kMembers);
}

// The same for each other end, of one member or of all.
TEST(GangTest, ALastingGangIsRestartedHoweverItsRunEnds)
{
  for (const EndKind end : { EndKind::kFailed,
                             EndKind::kStopped,
                             EndKind::kLapsed,
                             EndKind::kBroken,
                             EndKind::kAlone }) {
    ShardSimulation simulation(kWorkers);
    simulation.AddOwner();
    simulation.mGangsFailTogether = true;
    simulation.mDurationOf = [](const TaskRef&) { return kRunTime; };
    simulation.mEndKindOf = [end](const TaskRef& aTask, RunNumber) {
      return aTask.mIndex == 0 ? end : EndKind::kBroken;
    };
    JobGraph job = GangJob();
    job.mSteps[0].mLongRunning = true;
    simulation.Submit(job);
    std::set<RunNumber> runs;
    simulation.mOnOrder = [&](const TaskOrder& aOrder) {
      if (aOrder.mKind == OrderKind::kStart) {
        runs.insert(aOrder.mRun);
      }
    };
    simulation.RunFor(Milliseconds(60000));
    CHECK(runs.size() > kMaxAttempts);
    CHECK(simulation.Owner(0).mShard->Phase(kGang) == JobPhase::kRunning);
  }
}

// A gang that an earlier version recorded as done goes on if it lasts.
TEST(GangTest, ARestoredLastingGangIsNotDone)
{
  JobTable table;
  JobGraph job = GangJob();
  job.mSteps[0].mLongRunning = true;
  JobEntry* entry = table.Add(std::move(job));
  JobRecord record;
  record.mId = kGang;
  record.mTasks.resize(1);
  record.mTasks[0].mDone = true;
  table.Restore(*entry, record);
  CHECK_FALSE(table.FindTask(TaskRef{ { kGang, 0, 0 }, 0 })->mDone);
}

} // namespace mulberryvalve
