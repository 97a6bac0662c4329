// FindPreemptionVictims: which batch tasks to stop so that an urgent task fits.
#ifndef MULBERRYVALVE_CORE_SCHEDULER_PREEMPTION_H_
#define MULBERRYVALVE_CORE_SCHEDULER_PREEMPTION_H_

#include "mulberryvalve/core/colocation/colocation_controller.h"
#include "mulberryvalve/core/placement/worker_pool.h"

#include <functional>
#include <vector>

namespace mulberryvalve {

// PreemptionView is the input of the search. mHasPendingAction returns true for
// a task with a record or a command in flight.
struct PreemptionView
{
  const WorkerPool& mPool;
  const ColocationController& mColocation;
  const std::function<bool(const TaskId&)>& mHasPendingAction;
};

// FindPreemptionVictims returns running batch tasks of lower priority than
// aTask, all on one worker, that have to stop to make room for it: the smallest
// such set, and among those the one that loses the least unsaved progress.
// Returns nothing when no worker can free enough resources. No side effects.
std::vector<const TaskEntry*> FindPreemptionVictims(const PreemptionView& aView,
                                                    const TaskEntry& aTask);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_SCHEDULER_PREEMPTION_H_
