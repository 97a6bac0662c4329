#include "mulberryvalve/core/reconcile/reconcile.h"

#include <set>

namespace mulberryvalve {
namespace {

bool IsCurrentAttempt(const TaskEntry* aTask,
                      const WorkerId& aWorker,
                      Attempt aAttempt)
{
  return aTask != nullptr && aTask->mWorker == aWorker &&
         aTask->mAttempt == aAttempt && HoldsCapacity(aTask->mState);
}

Record OutcomeRecord(const TaskEntry& aTask,
                     const FinishedLease& aLease,
                     int64_t aMaxAttempts)
{
  if (aLease.mEnd == LeaseEnd::kCompleted) {
    return TaskFinished{
      aTask.mId, aTask.mAttempt, TaskState::kCompleted, aLease.mReason
    };
  }
  if (aLease.mEnd == LeaseEnd::kFailed) {
    if (static_cast<int64_t>(aTask.mFailures) + 1 >= aMaxAttempts) {
      return TaskFinished{
        aTask.mId, aTask.mAttempt, TaskState::kFailed, aLease.mReason
      };
    }
    return TaskEvicted{ aTask.mId,
                        aTask.mAttempt,
                        EvictionCause::kAttemptFailed,
                        aLease.mCheckpoint };
  }
  return TaskEvicted{
    aTask.mId, aTask.mAttempt, EvictionCause::kLeaseExpired, aLease.mCheckpoint
  };
}

// Returns the record for an attempt that has certainly stopped without a
// reported outcome.
Record RecordForEndedAttempt(const ReconcileView& aView,
                             const TaskId& aId,
                             EvictionCause aDefaultCause)
{
  const TaskEntry& task = *aView.mShardState.FindTask(aId);
  if (task.mCancelRequested) {
    return TaskCancelled{ aId };
  }
  const EvictionCause cause = task.mState == TaskState::kCheckpointing
                                ? task.mEvictionCause
                                : aDefaultCause;
  return TaskEvicted{ aId, task.mAttempt, cause, aView.mCheckpoint(aId) };
}

} // namespace

ReconcilePlan Reconcile(const ReconcileView& aView, const SyncReply& aReply)
{
  ReconcilePlan plan;
  std::set<TaskId> accounted;
  for (const RunningLease& lease : aReply.mRunning) {
    const TaskEntry* task = aView.mShardState.FindTask(lease.mTask);
    if (!IsCurrentAttempt(task, aView.mWorker, lease.mAttempt)) {
      plan.mStops.push_back(lease.mLease);
      continue;
    }
    accounted.insert(task->mId);
    plan.mRenew.push_back(lease.mLease);
    if (task->mState == TaskState::kAssigned) {
      plan.mRecords.push_back(TaskStarted{ task->mId, task->mAttempt });
    }
  }
  for (const FinishedLease& lease : aReply.mFinished) {
    const TaskEntry* task = aView.mShardState.FindTask(lease.mTask);
    if (!IsCurrentAttempt(task, aView.mWorker, lease.mAttempt)) {
      plan.mAcknowledge.push_back(lease.mLease);
      continue;
    }
    accounted.insert(task->mId);
    plan.mRecords.push_back(OutcomeRecord(*task, lease, aView.mMaxAttempts));
  }
  for (const TaskId& id : aView.mShardState.TasksOnWorker(aView.mWorker)) {
    if (accounted.count(id) == 0 &&
        aView.mStartEffectiveUntil(id) < aView.mRequestedAt) {
      plan.mRecords.push_back(
        RecordForEndedAttempt(aView, id, EvictionCause::kNeverStarted));
    }
  }
  return plan;
}

ReconcilePlan ReconcileExpiredLeases(const ReconcileView& aView)
{
  ReconcilePlan plan;
  for (const TaskId& id : aView.mShardState.TasksOnWorker(aView.mWorker)) {
    plan.mRecords.push_back(
      RecordForEndedAttempt(aView, id, EvictionCause::kWorkerLost));
  }
  return plan;
}

} // namespace mulberryvalve
