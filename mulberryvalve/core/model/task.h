// Job and task specifications, and the states of a task.
#ifndef MULBERRYVALVE_CORE_MODEL_TASK_H_
#define MULBERRYVALVE_CORE_MODEL_TASK_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/resources.h"

#include <cstdint>
#include <string>

namespace mulberryvalve {

// TaskKind distinguishes batch tasks, which complete by themselves, from
// watchers, which run until they are cancelled.
enum class TaskKind
{
  kBatch,
  kWatcher,
};

inline constexpr EnumTable<TaskKind, 2> kTaskKindNames{ { {
  { TaskKind::kBatch, "batch" },
  { TaskKind::kWatcher, "watcher" },
} } };

// Priority orders waiting tasks, most urgent first.
enum class Priority
{
  kUrgent,
  kNormal,
  kLow,
};

inline constexpr EnumTable<Priority, 3> kPriorityNames{ { {
  { Priority::kUrgent, "urgent" },
  { Priority::kNormal, "normal" },
  { Priority::kLow, "low" },
} } };

enum class TaskState
{
  kQueued,
  kAssigned,
  kRunning,
  kCheckpointing,
  kEvicted,
  kCompleted,
  kFailed,
  kCancelled,
  kImpossible,
  kHandedOver,
};

inline constexpr EnumTable<TaskState, 10> kTaskStateNames{ { {
  { TaskState::kQueued, "queued" },
  { TaskState::kAssigned, "assigned" },
  { TaskState::kRunning, "running" },
  { TaskState::kCheckpointing, "checkpointing" },
  { TaskState::kEvicted, "evicted" },
  { TaskState::kCompleted, "completed" },
  { TaskState::kFailed, "failed" },
  { TaskState::kCancelled, "cancelled" },
  { TaskState::kImpossible, "impossible" },
  { TaskState::kHandedOver, "handed_over" },
} } };

// IsTerminal returns whether aState is final within this shard.
constexpr bool IsTerminal(TaskState aState)
{
  return aState == TaskState::kCompleted || aState == TaskState::kFailed ||
         aState == TaskState::kCancelled || aState == TaskState::kImpossible ||
         aState == TaskState::kHandedOver;
}

// HoldsCapacity returns whether a task in aState uses capacity of a worker.
constexpr bool HoldsCapacity(TaskState aState)
{
  return aState == TaskState::kAssigned || aState == TaskState::kRunning ||
         aState == TaskState::kCheckpointing;
}

// TaskDemand is the specification of one task: its scheduling class, the
// resources it needs, and a payload that is passed to the worker unchanged.
struct TaskDemand
{
  TaskKind mKind = TaskKind::kBatch;
  Priority mPriority = Priority::kNormal;
  TeamId mTeam;
  TaskClass mClass;
  Resources mResources;
  std::string mPayload;
};

// JobSpec is a submitted batch job or set of watchers: mParts identical tasks.
// A value type; not synchronised.
struct JobSpec
{
  JobId mId;
  TaskDemand mDemand;
  uint32_t mParts = 1;
};

// MakeTaskId returns the id of task number aPart, counted from 0, of aJob.
inline TaskId MakeTaskId(const JobId& aJob, uint32_t aPart)
{
  return TaskId(aJob.Text() + "/" + std::to_string(aPart));
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_MODEL_TASK_H_
