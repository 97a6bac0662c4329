// FormerWorkers: which workers of former owners have not answered yet, and
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

// FormerWorker is what is known of one that has not answered.
struct FormerWorker
{
  // What former owners started there has ended by then.
  MonotonicTime mUntil;
  // The tasks that may run there; any inherited one when not set.
  std::optional<std::vector<TaskRef>> mMayRun;
};

// FormerWorkers is not synchronised.
class FormerWorkers
{
public:
  // Add takes in a worker that was not added before.
  void Add(const WorkerId& aWorker, FormerWorker aKnown);

  // Remove forgets a worker: it has answered, or nothing can be left there. One
  // that is unknown changes nothing.
  void Remove(const WorkerId& aWorker);

  // SetOver says that nothing runs there any more. An unknown worker changes
  // nothing.
  void SetOver(const WorkerId& aWorker, MonotonicTime aNow);

  // Find returns what is known of a worker until it is removed, or null.
  const FormerWorker* Find(const WorkerId& aWorker) const;

  // Advance ends the waits that were over at aProvedAt, when nobody else had
  // claimed the shard. What is asked below holds for the last call of it.
  void Advance(MonotonicTime aProvedAt);

  // IsWaitedFor tells whether something may run on a worker.
  bool IsWaitedFor(const WorkerId& aWorker) const;

  // HoldsAll tells whether any inherited task may run somewhere, Holds whether
  // one task may, HoldsAnyOf whether one of a step may. The latter two know
  // nothing of the workers for which HoldsAll is true.
  bool HoldsAll() const { return mHoldingAll > 0; }
  bool Holds(const TaskRef& aTask) const { return mHeld.count(aTask) != 0; }
  bool HoldsAnyOf(const StepRef& aStep) const;

  // Held returns the tasks for which Holds is true.
  const std::map<TaskRef, size_t>& Held() const { return mHeld; }

  // Waited returns the workers that are waited for, the shortest wait first,
  // WaitedCount how many there are, and LongestWait until when the last one is.
  std::vector<WorkerId> Waited() const;
  size_t WaitedCount() const { return mWaits.size(); }
  MonotonicTime LongestWait() const;

  // All returns every worker that has not answered.
  const std::map<WorkerId, FormerWorker>& All() const { return mWorkers; }

private:
  void CountOut(const FormerWorker& aKnown);

  std::map<WorkerId, FormerWorker> mWorkers;
  // Those that are waited for, by the end of the wait.
  std::set<std::pair<MonotonicTime, WorkerId>> mWaits;
  size_t mHoldingAll = 0;
  // On how many workers each task may run.
  std::map<TaskRef, size_t> mHeld;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_FORMER_WORKERS_H_
