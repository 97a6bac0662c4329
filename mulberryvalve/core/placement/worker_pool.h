// WorkerPool: capacity, charges and tasks of a shard's workers, with an index
// that finds workers with enough free resources without a full scan.
#ifndef MULBERRYVALVE_CORE_PLACEMENT_WORKER_POOL_H_
#define MULBERRYVALVE_CORE_PLACEMENT_WORKER_POOL_H_

#include "mulberryvalve/core/ledger/task_entry.h"
#include "mulberryvalve/core/model/resources.h"
#include "mulberryvalve/core/model/task.h"
#include "mulberryvalve/core/model/worker.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// PooledWorker is one worker and the resources charged to it, both for tasks
// that the shard has assigned and for other leases that the worker reports.
struct PooledWorker
{
  WorkerSpec mSpec;
  Resources mCharged;
  Resources mReserve;
  bool mReachable = false;
  bool mQuarantined = false;
  // The tasks charged to this worker. Valid until the shard's state changes.
  std::vector<const TaskEntry*> mTasks;

  // Free returns the resources available to new tasks. May be negative.
  Resources Free() const { return mSpec.mCapacity - mCharged - mReserve; }

  // Allocatable returns the resources available to tasks on the idle worker.
  Resources Allocatable() const { return mSpec.mCapacity - mReserve; }

  // Accepts returns true when new tasks may be placed on the worker.
  bool Accepts() const
  {
    return mReachable && !mQuarantined && mSpec.mState == WorkerState::kLive;
  }

  // Fits returns true when aDemand can be placed on the worker now.
  bool Fits(const Resources& aDemand) const
  {
    return Accepts() && aDemand.FitsIn(Free());
  }
};

// WorkerPool is the working state of one scheduling round. Its index is a
// segment tree: each node holds the maximum free amount of each resource in its
// subtree, so that a search skips subtrees without enough free resources. A
// copyable value type. Not thread-safe.
class WorkerPool
{
public:
  // Add adds a worker with its charges, or replaces the worker with the same
  // id.
  void Add(PooledWorker aWorker);

  // Charge adds aAmount to the charges of aWorker. Unknown workers are ignored.
  void Charge(const WorkerId& aWorker, const Resources& aAmount);

  // ChargeTask charges aTask's demand to aWorker and to its team, and counts
  // the task for its job on the worker's rack. aTask must outlive the pool.
  void ChargeTask(const WorkerId& aWorker, const TaskEntry& aTask);

  // SetQuarantined excludes aWorker from new placements.
  void SetQuarantined(const WorkerId& aWorker);

  // Find returns the worker, or null. Valid until Add.
  const PooledWorker* Find(const WorkerId& aWorker) const;

  // NextFit returns the index of the first worker that aDemand fits on,
  // searching from aFrom to the end and then from the start, or nothing when it
  // fits on no worker.
  std::optional<size_t> NextFit(const Resources& aDemand, size_t aFrom) const;

  // At returns the worker at aIndex, which must be less than Size().
  const PooledWorker& At(size_t aIndex) const { return mWorkers[aIndex]; }

  // Size returns the number of workers.
  size_t Size() const { return mWorkers.size(); }

  // All returns the workers in the order in which they were added.
  const std::vector<PooledWorker>& All() const { return mWorkers; }

  // TeamCharge returns the resources charged for aTeam.
  Resources TeamCharge(const TeamId& aTeam) const;

  // TasksOnRack returns the number of tasks of aJob on the workers of aRack.
  int TasksOnRack(const RackId& aRack, const JobId& aJob) const;

private:
  void UpdateIndexAt(size_t aIndex) const;
  void RebuildIndex() const;
  std::optional<size_t> FindFit(size_t aNode,
                                size_t aBegin,
                                size_t aEnd,
                                const Resources& aDemand,
                                size_t aFrom) const;

  std::vector<PooledWorker> mWorkers;
  std::unordered_map<WorkerId, size_t> mIndexById;
  std::unordered_map<TeamId, Resources> mChargeByTeam;
  // The number of tasks by a hash of rack and job.
  std::unordered_map<size_t, int> mTasksByRackAndJob;
  // The index is built by the first search after Add.
  mutable std::vector<Resources> mMaxFreeInSubtree;
  mutable size_t mLeafCount = 0;
  mutable bool mIndexIsValid = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_PLACEMENT_WORKER_POOL_H_
