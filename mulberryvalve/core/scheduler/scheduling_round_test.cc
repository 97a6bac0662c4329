#include "mulberryvalve/core/scheduler/scheduling_round.h"

#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr int kRoundMs = 250;

// SchedulerFixture owns one shard and runs scheduling rounds. It applies the
// proposed records, and executes commands immediately: a started task runs
// until it is stopped.
class SchedulerFixture
{
public:
  explicit SchedulerFixture(Bundle aBundle = {}, int aWorkers = 1)
    : mShardState(ShardId("d/0"))
    , mColocation(ColocationOptions())
  {
    aBundle.mPlacement.mRequestReserve = {};
    mColocation.OnBundle(aBundle);
    for (int number = 0; number < aWorkers; number++) {
      PooledWorker worker;
      worker.mSpec.mId = WorkerId("w" + std::to_string(number));
      worker.mSpec.mCapacity = { 4000, 8000, 0 };
      worker.mReachable = true;
      mWorkers.push_back(worker);
    }
    Append(ShardClaimed{});
  }

  void Submit(const std::string& aName,
              Priority aPriority,
              int64_t aCpu = 1000,
              uint32_t aParts = 1)
  {
    JobSpec job;
    job.mId = JobId(aName);
    job.mParts = aParts;
    job.mDemand.mPriority = aPriority;
    job.mDemand.mTeam = TeamId("team");
    job.mDemand.mClass = TaskClass("class");
    job.mDemand.mResources = { aCpu, 100, 0 };
    Append(JobSubmitted{ job });
  }

  SchedulingRoundPlan RunRound()
  {
    WorkerPool pool;
    for (const PooledWorker& worker : mWorkers) {
      pool.Add(worker);
    }
    for (const auto& [worker, tasks] : mShardState.TasksByWorker()) {
      for (const TaskId& id : tasks) {
        pool.ChargeTask(worker, *mShardState.FindTask(id));
      }
    }
    const SchedulingRoundView view{ mShardState,
                                    pool,
                                    mColocation.Policy(),
                                    mShardState.Claim().mEpoch,
                                    mDomainOut,
                                    mMoveTargets,
                                    [](const TaskId&) { return false; },
                                    SchedulingRoundOptions(),
                                    &mColocation,
                                    mNow };
    SchedulingRoundPlan plan = PlanSchedulingRound(view);
    for (const Record& record : plan.mRecords) {
      Append(record);
    }
    for (const TaskCommand& command : plan.mCommands) {
      ExecuteCommand(command);
    }
    mNow += Milliseconds(kRoundMs);
    return plan;
  }

  void Finish(const TaskId& aTask)
  {
    const TaskEntry& task = *mShardState.FindTask(aTask);
    Append(TaskFinished{ aTask, task.mAttempt, TaskState::kCompleted, "" });
  }

  TaskState StateOf(const std::string& aTask) const
  {
    return mShardState.FindTask(TaskId(aTask))->mState;
  }

  void Append(Record aRecord)
  {
    StoredRecord stored;
    stored.mOffset = mShardState.Folded().Next();
    stored.mRecord.mHeader = { { InstanceId("i"), Incarnation(1) },
                               ++mSequence,
                               mShardState.Claim().mEpoch,
                               {} };
    stored.mRecord.mBody = std::move(aRecord);
    CHECK(mShardState.Apply(stored) == ApplyResult::kApplied);
  }

  ShardStateMachine mShardState;
  ColocationController mColocation;
  std::vector<PooledWorker> mWorkers;
  std::vector<ShardId> mMoveTargets;
  MonotonicTime mNow{ Milliseconds(1000000) };
  bool mDomainOut = false;

private:
  void ExecuteCommand(const TaskCommand& aCommand)
  {
    if (aCommand.mKind == TaskCommandKind::kStart) {
      Append(TaskStarted{ aCommand.mTask, aCommand.mAttempt });
    } else if (aCommand.mKind == TaskCommandKind::kCheckpointAndStop) {
      Append(TaskEvicted{ aCommand.mTask,
                          aCommand.mAttempt,
                          mShardState.FindTask(aCommand.mTask)->mEvictionCause,
                          CheckpointId("c") });
    }
  }

  uint64_t mSequence = 0;
};

} // namespace

TEST_GROUP(SchedulingRound){};

TEST(SchedulingRound, UrgentWorkPreemptsLowerBatchWithinItsLimit)
{
  SchedulerFixture fixture;
  fixture.Submit("low", Priority::kLow, 1000, 4);
  fixture.RunRound();
  fixture.RunRound();
  fixture.Submit("urgent", Priority::kUrgent, 2000);
  const MonotonicTime submittedAt = fixture.mNow;
  while (fixture.StateOf("urgent/0") != TaskState::kRunning &&
         fixture.mNow < submittedAt + Milliseconds(6100)) {
    fixture.RunRound();
  }
  CHECK(fixture.StateOf("urgent/0") == TaskState::kRunning);
  LONGS_EQUAL(2,
              fixture.mShardState.FindJob(JobId("low"))
                ->CountInState(TaskState::kEvicted));
  const Explanation why =
    fixture.mColocation.Explain(*fixture.mShardState.FindTask(TaskId("low/0")));
  CHECK(!why.mDecisions.empty());
}

TEST(SchedulingRound, AgingPlacesBatchDespiteASteadyUrgentStream)
{
  Bundle bundle;
  bundle.mPriorities.mAgingStep = Milliseconds(5000);
  SchedulerFixture fixture(bundle);
  fixture.Submit("low", Priority::kLow, 4000);
  for (int round = 0; round < 100; round++) {
    fixture.Submit("u" + std::to_string(round), Priority::kUrgent, 4000);
  }
  int finished = 0;
  for (; finished < 90 && fixture.StateOf("low/0") == TaskState::kQueued;
       finished++) {
    fixture.RunRound();
    const auto held = fixture.mShardState.TasksOnWorker(WorkerId("w0"));
    for (const TaskId& id : held) {
      fixture.Finish(id);
    }
  }
  CHECK(finished > 30 && finished < 60);
}

TEST(SchedulingRound, TeamStaysWithinItsQuota)
{
  Bundle bundle;
  bundle.mTeams[TeamId("team")].mResources = { 2500, 8000, 0 };
  bundle.mTeams[TeamId("team")].mHighestPriority = Priority::kLow;
  SchedulerFixture fixture(bundle);
  fixture.Submit("job", Priority::kUrgent, 1000, 4);
  for (int round = 0; round < 10; round++) {
    fixture.RunRound();
  }
  LONGS_EQUAL(2, fixture.mShardState.TasksOnWorker(WorkerId("w0")).size());
}

TEST(SchedulingRound, ImpossibleJobIsRejectedWithoutBlockingOthers)
{
  SchedulerFixture fixture;
  fixture.Submit("huge", Priority::kUrgent, 90000);
  fixture.Submit("small", Priority::kLow, 1000);
  fixture.RunRound();
  CHECK(fixture.StateOf("small/0") == TaskState::kAssigned);
  for (int round = 0; round < 130; round++) {
    fixture.RunRound();
  }
  CHECK(fixture.StateOf("huge/0") == TaskState::kImpossible);
  const std::string reason =
    fixture.mShardState.FindTask(TaskId("huge/0"))->mReason;
  STRCMP_EQUAL("no worker has enough processor; nearest: w0", reason.c_str());
}

TEST(SchedulingRound, EvacuationStaysWithinTheMoveRate)
{
  Bundle bundle;
  bundle.mLimits.mMovesPerSecond = 4;
  SchedulerFixture fixture(bundle, 4);
  fixture.Submit("job", Priority::kNormal, 1000, 16);
  fixture.RunRound();
  fixture.RunRound();
  fixture.mDomainOut = true;
  fixture.mMoveTargets = { ShardId("e/0") };
  size_t most = 0;
  for (int round = 0; round < 12; round++) {
    size_t moved = 0;
    for (int part = 0; part < 4; part++, round++) {
      moved += fixture.RunRound().mRecords.size();
    }
    most = std::max(most, moved);
  }
  CHECK(most > 0);
  CHECK(most <= 8);
}

TEST(SchedulingRound, LongQueueOfOneShapeDoesNotStarveOthers)
{
  SchedulerFixture fixture;
  fixture.Submit("big", Priority::kNormal, 5000, 5000);
  fixture.Submit("small", Priority::kNormal, 1000);
  for (int round = 0; round < 100; round++) {
    fixture.RunRound();
  }
  CHECK(fixture.StateOf("small/0") == TaskState::kRunning);
}

} // namespace mulberryvalve
