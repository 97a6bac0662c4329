// WorkerMove: the durable decision that a worker belongs to another shard.
#ifndef MULBERRYVALVE_CORE_JOBS_WORKER_MOVE_H_
#define MULBERRYVALVE_CORE_JOBS_WORKER_MOVE_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/model/ids.h"

#include <cstdint>

namespace mulberryvalve {

// WorkerMove says that a worker belongs to the shard mTo from now on. The owner
// of mFrom appends it to its progress, which its epoch fences, and after that
// to the intake of mTo. A value type; not synchronised.
struct WorkerMove
{
  WorkerId mWorker;
  ShardNumber mFrom = 0;
  ShardNumber mTo = 0;
  // The shard to which the hash of its id deals the worker.
  ShardNumber mHome = 0;
  // Counts the moves of the worker from 1. The highest one is in force.
  uint64_t mNumber = 0;
  // Owners of mTo add this to their epochs in calls to the worker, so that all
  // fencing tokens that it has seen before are lower.
  uint64_t mTokenBase = 0;
};

// What became of a move that was read.
enum class MoveOutcome
{
  kApplied,
  kKnown,       // this move or a later one of the worker was read before
  kMisdirected, // it neither begins nor ends at this shard
  kUnknownShard,
};

inline constexpr EnumTable<MoveOutcome, 4> kMoveOutcomeNames{ { {
  { MoveOutcome::kApplied, "applied" },
  { MoveOutcome::kKnown, "known" },
  { MoveOutcome::kMisdirected, "misdirected" },
  { MoveOutcome::kUnknownShard, "unknown_shard" },
} } };

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_WORKER_MOVE_H_
