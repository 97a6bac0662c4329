// InheritedWorkers: which workers of former owners have not answered yet, and
// which tasks each of them may still run until when.
#ifndef MULBERRYVALVE_CORE_JOBS_FORMER_WORKERS_H_
#define MULBERRYVALVE_CORE_JOBS_FORMER_WORKERS_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_graph.h"
#include "mulberryvalve/core/model/worker.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mulberryvalve {

// InheritedWorker is what is known of one that has not answered.
struct InheritedWorker
{
  // What former owners started there has ended by then.
  MonotonicTime mWaitUntil;
  // The tasks that may run there; any inherited one when not set.
  std::optional<std::vector<TaskRef>> mMayRun;
};

// InheritedWorkers is not synchronised.
class InheritedWorkers
{
public:
  // Add takes in a worker that was not added before.
  void Add(const WorkerId& aWorker, InheritedWorker aInherited);

  // Remove forgets a worker: it has answered, or nothing can be left there. One
  // that is unknown changes nothing.
  void Remove(const WorkerId& aWorker);

  // MarkIdle says that nothing runs there any more. An unknown worker changes
  // nothing.
  void MarkIdle(const WorkerId& aWorker, MonotonicTime aNow);

  // Find returns what is known of a worker until it is removed, or null.
  const InheritedWorker* Find(const WorkerId& aWorker) const;

  // ExpireWaits ends the waits that were over at aProvedAt, when nobody else
  // had claimed the shard. What is asked below holds for the last call of it.
  void ExpireWaits(MonotonicTime aProvedAt);

  // MayRunTasks tells whether something may run on a worker.
  bool MayRunTasks(const WorkerId& aWorker) const;

  // BlocksAllTasks tells whether any inherited task may run somewhere,
  // BlocksTask whether one task may, BlocksStep whether one of a step may. The
  // latter two know nothing of the workers for which BlocksAllTasks is true.
  bool BlocksAllTasks() const { return mBlockingAllCount > 0; }
  bool BlocksTask(const TaskRef& aTask) const
  {
    return mBlockedTasks.count(aTask) != 0;
  }
  bool BlocksStep(const StepRef& aStep) const;

  // BlockedTasks returns the tasks for which BlocksTask is true.
  const std::map<TaskRef, size_t>& BlockedTasks() const
  {
    return mBlockedTasks;
  }

  // PendingWorkers returns the workers that are waited for, the shortest wait
  // first, PendingCount how many there are, and LatestWaitEnd until when the
  // last one is.
  std::vector<WorkerId> PendingWorkers() const;
  size_t PendingCount() const { return mPendingWaits.size(); }
  MonotonicTime LatestWaitEnd() const;

  // All returns every worker that has not answered.
  const std::map<WorkerId, InheritedWorker>& All() const { return mWorkers; }

private:
  void Unblock(const InheritedWorker& aInherited);

  std::map<WorkerId, InheritedWorker> mWorkers;
  // Those that are waited for, by the end of the wait.
  std::set<std::pair<MonotonicTime, WorkerId>> mPendingWaits;
  size_t mBlockingAllCount = 0;
  // On how many workers each task may run.
  std::map<TaskRef, size_t> mBlockedTasks;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_FORMER_WORKERS_H_
