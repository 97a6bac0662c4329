// NextState: the transition table of task states.
#ifndef MULBERRYVALVE_CORE_LEDGER_TASK_TRANSITION_H_
#define MULBERRYVALVE_CORE_LEDGER_TASK_TRANSITION_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/model/task.h"

#include <optional>

namespace mulberryvalve {

// TaskEvent is an event that changes the state of a task.
enum class TaskEvent
{
  kAssign,
  kStart,
  kBeginCheckpoint,
  kEvict,
  kComplete,
  kFail,
  kCancel,
  kRuleOut,
  kHandOver,
};

inline constexpr EnumTable<TaskEvent, 9> kTaskEventNames{ { {
  { TaskEvent::kAssign, "assign" },
  { TaskEvent::kStart, "start" },
  { TaskEvent::kBeginCheckpoint, "begin_checkpoint" },
  { TaskEvent::kEvict, "evict" },
  { TaskEvent::kComplete, "complete" },
  { TaskEvent::kFail, "fail" },
  { TaskEvent::kCancel, "cancel" },
  { TaskEvent::kRuleOut, "rule_out" },
  { TaskEvent::kHandOver, "hand_over" },
} } };

// NextState returns the state after aEvent in aState, or nothing when the
// transition is not permitted. Thread-safe.
std::optional<TaskState> NextState(TaskState aState, TaskEvent aEvent);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_LEDGER_TASK_TRANSITION_H_
