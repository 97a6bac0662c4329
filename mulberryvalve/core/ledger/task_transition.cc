#include "mulberryvalve/core/ledger/task_transition.h"

namespace mulberryvalve {
namespace {

struct Transition
{
  TaskState mFrom;
  TaskEvent mEvent;
  TaskState mTo;
};

using S = TaskState;
using E = TaskEvent;

constexpr Transition kTransitions[] = {
  { S::kQueued, E::kAssign, S::kAssigned },
  { S::kQueued, E::kCancel, S::kCancelled },
  { S::kQueued, E::kRuleOut, S::kImpossible },
  { S::kQueued, E::kHandOver, S::kHandedOver },
  { S::kAssigned, E::kStart, S::kRunning },
  { S::kAssigned, E::kBeginCheckpoint, S::kCheckpointing },
  { S::kAssigned, E::kEvict, S::kEvicted },
  { S::kAssigned, E::kComplete, S::kCompleted },
  { S::kAssigned, E::kFail, S::kFailed },
  { S::kAssigned, E::kCancel, S::kCancelled },
  { S::kRunning, E::kBeginCheckpoint, S::kCheckpointing },
  { S::kRunning, E::kEvict, S::kEvicted },
  { S::kRunning, E::kComplete, S::kCompleted },
  { S::kRunning, E::kFail, S::kFailed },
  { S::kRunning, E::kCancel, S::kCancelled },
  { S::kCheckpointing, E::kEvict, S::kEvicted },
  { S::kCheckpointing, E::kComplete, S::kCompleted },
  { S::kCheckpointing, E::kFail, S::kFailed },
  { S::kCheckpointing, E::kCancel, S::kCancelled },
  { S::kEvicted, E::kAssign, S::kAssigned },
  { S::kEvicted, E::kCancel, S::kCancelled },
  { S::kEvicted, E::kFail, S::kFailed },
  { S::kEvicted, E::kRuleOut, S::kImpossible },
  { S::kEvicted, E::kHandOver, S::kHandedOver },
};

} // namespace

std::optional<TaskState> NextState(TaskState aState, TaskEvent aEvent)
{
  for (const Transition& transition : kTransitions) {
    if (transition.mFrom == aState && transition.mEvent == aEvent) {
      return transition.mTo;
    }
  }
  return std::nullopt;
}

} // namespace mulberryvalve
