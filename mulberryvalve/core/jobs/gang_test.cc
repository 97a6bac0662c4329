// Gangs: how their runs are counted, restarted and placed.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include <iterator>
#include <set>

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
  // The runs that were started, in order of their numbers.
  std::set<RunNumber> mRuns;

  void setup() override
  {
    mSimulation.AddOwner();
    mSimulation.mDurationOf = [](const TaskRef&) { return kRunTime; };
  }

  // Makes all members but one fail in the first runs, and the other one break.
  void FailRuns(size_t aRuns)
  {
    mSimulation.mOnOrder = [this](const TaskOrder& aOrder) {
      if (aOrder.mKind == OrderKind::kStart) {
        mRuns.insert(aOrder.mRun);
      }
    };
    mSimulation.mEndKindOf = [this, aRuns](const TaskRef& aTask,
                                           RunNumber aRun) {
      const auto before = std::distance(mRuns.begin(), mRuns.find(aRun));
      if (static_cast<size_t>(before) >= aRuns) {
        return EndKind::kDone;
      }
      return aTask.mIndex + 1 < kMembers ? EndKind::kFailed : EndKind::kBroken;
    };
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

// Guards against a job that is shown as failed after one run of its gang, as
// several members of that run failed on one bad worker (review/12).
TEST(GangTest, ARunWithSeveralFailedMembersIsOneAttempt)
{
  FailRuns(1);
  mSimulation.Submit(GangJob());
  mSimulation.RunFor(Milliseconds(10000));
  CHECK(JobPhase::kCompleted == Phase());
}

TEST(GangTest, AGangFailsAfterItsLastAttempt)
{
  FailRuns(kMaxAttempts);
  mSimulation.Submit(GangJob());
  mSimulation.RunFor(Milliseconds(30000));
  CHECK(JobPhase::kFailed == Phase());
  CHECK_EQUAL(static_cast<size_t>(kMaxAttempts), mRuns.size());
}

// The count survives a change of owner between the attempts.
TEST(GangTest, ASuccessorCountsTheAttemptsOfFormerOwners)
{
  FailRuns(kMaxAttempts);
  mSimulation.Submit(GangJob());
  const MonotonicTime until = mSimulation.Now() + Milliseconds(20000);
  while (mRuns.size() < kMaxAttempts && mSimulation.Now() < until) {
    mSimulation.Step();
  }
  mSimulation.Kill(0);
  mSimulation.AddOwner();
  mSimulation.RunFor(Milliseconds(30000));
  CHECK(JobPhase::kFailed == Phase(1));
  CHECK_EQUAL(static_cast<size_t>(kMaxAttempts), mRuns.size());
}

// A successor that reads an end of a run which was counted does not count the
// run again.
TEST(GangTest, ARunIsCountedOnceByFormerOwnersAndSuccessors)
{
  JobTable table;
  JobEntry* job = table.Add(GangJob());
  JobRecord record;
  record.mId = kGang;
  for (const uint32_t index : { 0, 2 }) {
    TaskRecord member;
    member.mIndex = index;
    member.mFailures = 1;
    member.mProcessedEnds = { RunNumber(7) };
    record.mTasks.push_back(member);
  }
  record.mTasks[0].mFailedGangRuns = { RunNumber(7) };
  table.Restore(*job, record);
  StepState& step = table.StepOf(StepRef{ kGang, 0, 0 });
  CHECK_EQUAL(1, JobTable::FailedAttempts(step, 3));
  step.mFailedGangRuns.emplace(RunNumber(7), 1);
  CHECK_EQUAL(1, JobTable::FailedAttempts(step, 3));
  step.mFailedGangRuns.emplace(RunNumber(6), 1);
  CHECK_EQUAL(2, JobTable::FailedAttempts(step, 3));
}

} // namespace mulberryvalve
