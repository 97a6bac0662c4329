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
constexpr Milliseconds kLongRunTime{ 600000 };
const JobId kGang("gang");

JobGraph GangJob()
{
  JobGraph job = OneStepJob("gang", kMembers, 1000);
  job.mSteps[0].mGang = true;
  job.mRules.mMaxAttempts = kMaxAttempts;
  return job;
}

// A gang for one rack. Each member takes more than half of a worker.
JobGraph RackGang(uint32_t aMembers)
{
  JobGraph job = GangJob();
  job.mSteps[0].mCount = aMembers;
  job.mSteps[0].mDemand.mCpuMillis = 12000;
  job.mSteps[0].mSameRack = true;
  return job;
}

// Returns the racks on which the members of the gang run.
std::set<RackId> RacksUsed(ShardSimulation& aSimulation, uint32_t aMembers)
{
  std::map<WorkerId, RackId> rackOf;
  for (size_t index = 0; index < 24; index++) {
    const WorkerInfo& info = aSimulation.Worker(index).mInfo;
    rackOf[info.mId] = info.mRack;
  }
  std::set<RackId> racks;
  for (uint32_t index = 0; index < aMembers; index++) {
    const TaskRef member{ { kGang, 0, 0 }, index };
    for (const WorkerId& worker : aSimulation.WorkersRunning(member)) {
      racks.insert(rackOf.at(worker));
    }
  }
  return racks;
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

// Guards against a lasting gang of which some members run for ever without the
// others, after one was lost with its worker (LOST, found by the schedules).
TEST(GangTest, ALastingGangIsRestartedWholeAfterAMemberIsLost)
{
  mSimulation.mDurationOf = [](const TaskRef&) { return kLongRunTime; };
  JobGraph job = GangJob();
  job.mSteps[0].mLongRunning = true;
  job.mSteps[0].mDemand.mCpuMillis = 12000;
  mSimulation.Submit(job);
  mSimulation.RunFor(Milliseconds(3000));
  const TaskRef lost{ { kGang, 0, 0 }, 1 };
  mSimulation.Exit(mSimulation.WorkersRunning(lost)[0]);
  mSimulation.RunFor(Milliseconds(20000));
  std::set<RunNumber> runs;
  for (size_t index = 0; index < kWorkers; index++) {
    for (const auto& [task, run] : mSimulation.Worker(index).mRuns) {
      runs.insert(run.mRun);
    }
  }
  CHECK_EQUAL(static_cast<size_t>(kMembers), mSimulation.Running());
  CHECK_EQUAL(1U, runs.size());
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

// Guards against a gang for one rack that is never started, as the rack of the
// cheapest worker has no room for all of it (review/13).
TEST(GangTest, AGangForOneRackIsPlacedOnAnyRackThatHasRoom)
{
  // Racks of eight workers; the first has one worker less.
  ShardSimulation simulation(24);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLongRunTime; };
  simulation.Exit(simulation.Worker(0).mInfo.mId);
  simulation.RunFor(Milliseconds(20000));
  simulation.Submit(RackGang(8));
  simulation.RunFor(Milliseconds(2000));
  CHECK_EQUAL(8U, simulation.Running());
  CHECK_EQUAL(1U, RacksUsed(simulation, 8).size());
}

// A gang that no rack can hold runs on several.
TEST(GangTest, AGangThatNoRackCanHoldRunsOnSeveral)
{
  ShardSimulation simulation(24);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLongRunTime; };
  simulation.RunFor(Milliseconds(2000));
  simulation.Submit(RackGang(12));
  simulation.RunFor(Milliseconds(4000));
  CHECK_EQUAL(12U, simulation.Running());
}

// Guards against a lasting task that waits for ever for room on the rack of the
// other tasks of its step, as its worker is lost (review 3, kin of review/13).
TEST(GangTest, ALastingTaskLeavesARackWithoutRoom)
{
  ShardSimulation simulation(24);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLongRunTime; };
  simulation.RunFor(Milliseconds(2000));
  JobGraph job = RackGang(8);
  job.mSteps[0].mGang = false;
  job.mSteps[0].mLongRunning = true;
  simulation.Submit(job);
  simulation.RunFor(Milliseconds(3000));
  CHECK_EQUAL(8U, simulation.Running());
  simulation.Exit(simulation.WorkersRunning(TaskRef{ { kGang, 0, 0 }, 3 })[0]);
  simulation.RunFor(Milliseconds(20000));
  CHECK_EQUAL(8U, simulation.Running());
}

// The search evaluates each worker a few times, however many racks there are.
TEST(GangTest, TheSearchForARackDoesNotGrowWithTheNumberOfRacks)
{
  constexpr size_t kManyWorkers = 2100;
  ShardSimulation simulation(kManyWorkers);
  simulation.AddOwner();
  simulation.RunFor(Milliseconds(2000));
  const ShardScheduler& shard = *simulation.Owner(0).mShard;
  const size_t before = shard.PlacementEvaluations();
  simulation.Submit(RackGang(8));
  while (simulation.Running() == 0) {
    simulation.Step();
  }
  CHECK(shard.PlacementEvaluations() - before <= 3 * kManyWorkers);
}

} // namespace mulberryvalve
