#include "mulberryvalve/core/ledger/shard_state_machine.h"
#include "mulberryvalve/core/ledger/task_transition.h"

#include <map>

#include "CppUTest/TestHarness.h"

using namespace mulberryvalve;

namespace {

const WriterId kOwner{ InstanceId("i"), Incarnation(1) };
const WriterId kOther{ InstanceId("j"), Incarnation(1) };
const TaskId kTask("s.0.j/0");

StoredRecord At(uint64_t aOffset,
                const WriterId& aWriter,
                uint64_t aSequence,
                uint64_t aEpoch,
                Record aBody)
{
  return StoredRecord{
    Offset(aOffset),
    LogRecord{ RecordHeader{ aWriter, aSequence, Epoch(aEpoch), WallTime() },
               std::move(aBody) }
  };
}

JobSpec OneTask()
{
  JobSpec job;
  job.mId = JobId("s.0.j");
  return job;
}

// Each row is the next record, the expected verdict of applying it, and the
// task's expected state afterwards.
struct Row
{
  const char* mName;
  StoredRecord mStored;
  ApplyResult mVerdict;
  TaskState mExpectedState;
};

using S = TaskState;
using V = ApplyResult;

const Row kHistory[] = {
  { "claim", At(1, kOwner, 1, 0, ShardClaimed{}), V::kApplied, S::kQueued },
  { "submit",
    At(2, kOther, 1, 0, JobSubmitted{ OneTask() }),
    V::kApplied,
    S::kQueued },
  { "repeated append",
    At(3, kOther, 1, 0, JobSubmitted{ OneTask() }),
    V::kDuplicate,
    S::kQueued },
  { "submitted again",
    At(4, kOther, 2, 0, JobSubmitted{ OneTask() }),
    V::kConflict,
    S::kQueued },
  { "a gap",
    At(6, kOwner, 2, 1, TaskAssigned{ kTask, Attempt(1), WorkerId("w") }),
    V::kGap,
    S::kQueued },
  { "an offset again",
    At(2, kOwner, 2, 1, TaskAssigned{ kTask, Attempt(1), WorkerId("w") }),
    V::kDuplicate,
    S::kQueued },
  { "unreadable",
    At(5, kOther, 3, 0, UnreadableRecord{}),
    V::kIgnored,
    S::kQueued },
  { "assigned by no owner",
    At(6, kOther, 3, 1, TaskAssigned{ kTask, Attempt(1), WorkerId("w") }),
    V::kFenced,
    S::kQueued },
  { "wrong attempt",
    At(7, kOwner, 2, 1, TaskAssigned{ kTask, Attempt(2), WorkerId("w") }),
    V::kIllegal,
    S::kQueued },
  { "assigned",
    At(8, kOwner, 3, 1, TaskAssigned{ kTask, Attempt(1), WorkerId("w") }),
    V::kApplied,
    S::kAssigned },
  { "late repeated append",
    At(9, kOwner, 2, 1, TaskAssigned{ kTask, Attempt(2), WorkerId("w") }),
    V::kDuplicate,
    S::kAssigned },
  { "taken over",
    At(10, kOther, 4, 0, ShardClaimed{}),
    V::kApplied,
    S::kAssigned },
  { "former epoch",
    At(11, kOwner, 4, 1, TaskStarted{ kTask, Attempt(1) }),
    V::kFenced,
    S::kAssigned },
  { "evicted",
    At(12,
       kOther,
       5,
       10,
       TaskEvicted{ kTask, Attempt(1), EvictionCause::kWorkerLost, {} }),
    V::kApplied,
    S::kEvicted },
  { "evicted twice",
    At(13,
       kOther,
       6,
       10,
       TaskEvicted{ kTask, Attempt(1), EvictionCause::kWorkerLost, {} }),
    V::kIllegal,
    S::kEvicted },
  { "released",
    At(14, kOther, 7, 10, ShardReleased{}),
    V::kApplied,
    S::kEvicted },
  { "after release",
    At(15, kOther, 8, 10, TaskAssigned{ kTask, Attempt(2), WorkerId("w") }),
    V::kFenced,
    S::kEvicted },
  { "handover of another life",
    At(16,
       kOwner,
       5,
       0,
       TaskReceived{ kTask, JobId("s.0.j"), {}, Attempt(1), {}, 1, {} }),
    V::kIllegal,
    S::kEvicted },
};

} // namespace

TEST_GROUP(ShardStateMachine){};

TEST(ShardStateMachine, ReturnsTheExpectedVerdicts)
{
  ShardStateMachine shardState(ShardId("s.0"));
  for (const Row& row : kHistory) {
    const ApplyResult verdict = shardState.Apply(row.mStored);
    STRCMP_EQUAL_TEXT(std::string(kApplyResultNames.Name(row.mVerdict)).c_str(),
                      std::string(kApplyResultNames.Name(verdict)).c_str(),
                      row.mName);
    const TaskEntry* task = shardState.FindTask(kTask);
    if (task != nullptr) {
      CHECK_TEXT(task->mState == row.mExpectedState, row.mName);
    }
  }
  LONGS_EQUAL(1, shardState.FindTask(kTask)->mAttempt.Value());
  CHECK(shardState.TasksByWorker().empty());
  LONGS_EQUAL(1, shardState.Waiting().size());
}

// The permitted transitions between task states. All other pairs must be
// rejected.
TEST(ShardStateMachine, AllowsOnlyTheseTransitions)
{
  using E = TaskEvent;
  const std::map<std::pair<S, E>, S> allowed = {
    { { S::kQueued, E::kAssign }, S::kAssigned },
    { { S::kQueued, E::kCancel }, S::kCancelled },
    { { S::kQueued, E::kRuleOut }, S::kImpossible },
    { { S::kQueued, E::kHandOver }, S::kHandedOver },
    { { S::kAssigned, E::kStart }, S::kRunning },
    { { S::kAssigned, E::kBeginCheckpoint }, S::kCheckpointing },
    { { S::kAssigned, E::kEvict }, S::kEvicted },
    { { S::kAssigned, E::kComplete }, S::kCompleted },
    { { S::kAssigned, E::kFail }, S::kFailed },
    { { S::kAssigned, E::kCancel }, S::kCancelled },
    { { S::kRunning, E::kBeginCheckpoint }, S::kCheckpointing },
    { { S::kRunning, E::kEvict }, S::kEvicted },
    { { S::kRunning, E::kComplete }, S::kCompleted },
    { { S::kRunning, E::kFail }, S::kFailed },
    { { S::kRunning, E::kCancel }, S::kCancelled },
    { { S::kCheckpointing, E::kEvict }, S::kEvicted },
    { { S::kCheckpointing, E::kComplete }, S::kCompleted },
    { { S::kCheckpointing, E::kFail }, S::kFailed },
    { { S::kCheckpointing, E::kCancel }, S::kCancelled },
    { { S::kEvicted, E::kAssign }, S::kAssigned },
    { { S::kEvicted, E::kCancel }, S::kCancelled },
    { { S::kEvicted, E::kFail }, S::kFailed },
    { { S::kEvicted, E::kRuleOut }, S::kImpossible },
    { { S::kEvicted, E::kHandOver }, S::kHandedOver },
  };
  for (const auto& from : kTaskStateNames.mRows) {
    for (const auto& event : kTaskEventNames.mRows) {
      const auto found = allowed.find({ from.mValue, event.mValue });
      const auto next = NextState(from.mValue, event.mValue);
      CHECK(next.has_value() == (found != allowed.end()));
      CHECK(!next || *next == found->second);
    }
  }
}
