// Reconcile: compares the leases that a worker reports with the tasks that the
// shard has charged to it, and returns what to record and what to stop.
#ifndef MULBERRYVALVE_CORE_RECONCILE_RECONCILE_H_
#define MULBERRYVALVE_CORE_RECONCILE_RECONCILE_H_

#include "mulberryvalve/core/ledger/shard_state_machine.h"
#include "mulberryvalve/ports/out/worker_port.h"

#include <functional>
#include <vector>

namespace mulberryvalve {

// ReconcilePlan is the result of processing one inventory.
struct ReconcilePlan
{
  std::vector<Record> mRecords;
  std::vector<LeaseId> mStops;
  std::vector<LeaseId> mRenew;
  std::vector<LeaseId> mAcknowledge;
};

// ReconcileView is the owner's state when the inventory of a worker arrives.
struct ReconcileView
{
  const ShardStateMachine& mShardState;
  WorkerId mWorker;
  // When the inventory was requested.
  MonotonicTime mRequestedAt;
  // When a start command sent for a task can no longer take effect. A time in
  // the past when none was sent.
  std::function<MonotonicTime(const TaskId&)> mStartEffectiveUntil;
  // The newest known checkpoint of a task's current attempt, if any.
  std::function<CheckpointId(const TaskId&)> mCheckpoint;
  // The number of failed attempts after which a task fails.
  int64_t mMaxAttempts = 1;
};

// Reconcile has no side effects. Its records are idempotent: a record that the
// shard's state already reflects is not proposed again. A charged attempt that
// the worker does not report is evicted only when no start command for it can
// still take effect.
ReconcilePlan Reconcile(const ReconcileView& aView, const SyncReply& aReply);

// ReconcileExpiredLeases evicts all tasks that are charged to a worker whose
// leases have certainly expired. It does not use mStartEffectiveUntil and
// mRequestedAt.
ReconcilePlan ReconcileExpiredLeases(const ReconcileView& aView);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_RECONCILE_RECONCILE_H_
