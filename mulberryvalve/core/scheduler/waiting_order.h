// Waiting order: which waiting tasks a round considers, and in which order.
#ifndef MULBERRYVALVE_CORE_SCHEDULER_WAITING_ORDER_H_
#define MULBERRYVALVE_CORE_SCHEDULER_WAITING_ORDER_H_

#include "mulberryvalve/core/colocation/colocation_controller.h"
#include "mulberryvalve/core/ledger/shard_state_machine.h"

#include <vector>

namespace mulberryvalve {

// WaitingTask is a task with its effective priority. mIsAged is true when
// waiting has raised the priority.
struct WaitingTask
{
  const TaskEntry* mTask = nullptr;
  Priority mEffectivePriority = Priority::kNormal;
  bool mIsAged = false;
};

// SelectWaitingTasks returns the tasks that a round considers, in order. From
// each priority's queue it takes the first tasks, and some more from where the
// previous round stopped, so that every task is reached eventually while the
// cost does not grow with the queues. The pointers are valid until the shard's
// state changes. aColocation may be null.
std::vector<WaitingTask> SelectWaitingTasks(
  const ShardStateMachine& aShardState,
  ColocationController* aColocation,
  MonotonicTime aNow,
  size_t aMaxPerQueue);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_SCHEDULER_WAITING_ORDER_H_
