// PlanSchedulingRound: the records and commands of one scheduling round of a
// shard owner, computed from the shard's state, the workers and the
// configuration.
#ifndef MULBERRYVALVE_CORE_SCHEDULER_SCHEDULING_ROUND_H_
#define MULBERRYVALVE_CORE_SCHEDULER_SCHEDULING_ROUND_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/colocation/colocation_controller.h"
#include "mulberryvalve/core/ledger/shard_state_machine.h"
#include "mulberryvalve/core/placement/placement_policy.h"
#include "mulberryvalve/core/placement/worker_pool.h"

#include <functional>
#include <vector>

namespace mulberryvalve {

// TaskCommandKind is an operation that the owner requests from a worker.
enum class TaskCommandKind
{
  kStart,
  kCheckpointAndStop,
  kStopCancelled,
  kThrottle,
};

inline constexpr EnumTable<TaskCommandKind, 4> kTaskCommandKindNames{ { {
  { TaskCommandKind::kStart, "start" },
  { TaskCommandKind::kCheckpointAndStop, "checkpoint_and_stop" },
  { TaskCommandKind::kStopCancelled, "stop_cancelled" },
  { TaskCommandKind::kThrottle, "throttle" },
} } };

// TaskCommand is a command for the current attempt of a task. mPercent is the
// speed that a throttled task is left with.
struct TaskCommand
{
  TaskCommandKind mKind = TaskCommandKind::kStart;
  TaskId mTask;
  Attempt mAttempt;
  WorkerId mWorker;
  int mPercent = 100;
};

// SchedulingRoundPlan is the result of a round. The records must be proposed in
// order.
struct SchedulingRoundPlan
{
  std::vector<Record> mRecords;
  std::vector<TaskCommand> mCommands;
};

// SchedulingRoundOptions limit the work of one round.
struct SchedulingRoundOptions
{
  size_t mMaxRecords = 256;
  size_t mMaxCommands = 64;
  size_t mMaxMoves = 16;
  // How many tasks to consider in each priority's queue.
  size_t mMaxTasksPerQueue = 256;
  // How many demand shapes may fail to be placed before the round ends.
  size_t mMaxUnplacedShapes = 32;
  size_t mMaxPreemptions = 4;
};

// SchedulingRoundView is the input of a round. mHasPendingAction returns true
// for a task with a record or a command in flight, so that no second decision
// is made for it. Without mColocation a round has no rate limits, quotas, aging
// or tail latency control. mNow is used only with mColocation.
struct SchedulingRoundView
{
  const ShardStateMachine& mShardState;
  WorkerPool& mPool;
  PlacementPolicy& mPolicy;
  Epoch mEpoch;
  bool mDomainOut = false;
  std::vector<ShardId> mMoveTargets;
  std::function<bool(const TaskId&)> mHasPendingAction;
  SchedulingRoundOptions mOptions;
  ColocationController* mColocation = nullptr;
  MonotonicTime mNow;
  // Returns true when a command of this kind was already given for the task's
  // current attempt and its effect is pending. Such a command does not count
  // against mMaxCommands.
  std::function<bool(const TaskEntry&, TaskCommandKind)> mCommandPending = {};
};

// PlanSchedulingRound plans one round. It charges placed tasks to aView.mPool,
// so that one round never allocates the same resources twice, and reports its
// decisions to aView.mColocation. It has no other side effects.
SchedulingRoundPlan PlanSchedulingRound(const SchedulingRoundView& aView);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_SCHEDULER_SCHEDULING_ROUND_H_
