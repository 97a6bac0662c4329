// ShardWorkers: which workers belong to a shard.
#ifndef MULBERRYVALVE_CORE_JOBS_SHARD_WORKERS_H_
#define MULBERRYVALVE_CORE_JOBS_SHARD_WORKERS_H_

#include "mulberryvalve/core/jobs/worker_move.h"

#include <map>
#include <set>
#include <vector>

namespace mulberryvalve {

// A worker belongs to its home shard until it is moved. The newest move that
// the shard's progress or its intake holds decides: a worker that has left is
// never called again, and one that has come is called with higher fencing
// tokens than any owner used before. Not thread-safe.
class ShardWorkers
{
public:
  ShardWorkers(ShardNumber aShard, ShardNumber aShards)
    : mShard(aShard)
    , mShards(aShards)
  {
  }

  // Records a move that is durable: away from this shard if it was read from
  // its progress, to it if it was read from its intake. The order of the calls
  // doesn't matter.
  MoveOutcome OnMove(const WorkerMove& aMove);

  // Returns whether the worker belongs to this shard.
  bool Owns(const WorkerId& aWorker, ShardNumber aHome) const;

  // Returns whether the worker was moved away from this shard.
  bool HasLeft(const WorkerId& aWorker) const;

  // Returns the home of a worker of this shard.
  ShardNumber HomeOf(const WorkerId& aWorker) const;

  // Returns what to add to the epoch in calls to a worker.
  uint64_t TokenBase(const WorkerId& aWorker) const;

  // Returns the next move of a worker of this shard, by the owner of aEpoch.
  WorkerMove MoveTo(const WorkerId& aWorker,
                    ShardNumber aTo,
                    Epoch aEpoch) const;

  // Returns the workers that came here from another shard.
  std::vector<WorkerId> Guests() const;

  // Returns the moves away that the intakes of other shards may not hold yet.
  // OnDelivered records that one of them does.
  std::vector<WorkerMove> Undelivered() const;
  void OnDelivered(const WorkerMove& aMove);

private:
  const WorkerMove* Find(const WorkerId& aWorker) const;

  const ShardNumber mShard;
  const ShardNumber mShards;
  // The newest move of each worker that was ever moved here or away.
  std::map<WorkerId, WorkerMove> mNewest;
  std::set<WorkerId> mUndelivered;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_SHARD_WORKERS_H_
