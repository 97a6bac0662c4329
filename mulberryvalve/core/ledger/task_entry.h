// TaskEntry and JobEntry: the state of a task and of a job in one shard.
#ifndef MULBERRYVALVE_CORE_LEDGER_TASK_ENTRY_H_
#define MULBERRYVALVE_CORE_LEDGER_TASK_ENTRY_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/eviction_cause.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/task.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mulberryvalve {

// TaskChange is one entry of a task's state history.
struct TaskChange
{
  Offset mOffset;
  WallTime mWritten;
  TaskState mState = TaskState::kQueued;
  Attempt mAttempt;
  WorkerId mWorker;
  std::string mReason;
};

// TaskEntry is the state of one task. mAttempt is the last assigned attempt,
// mEpoch the epoch in which it was assigned.
struct TaskEntry
{
  TaskId mId;
  JobId mJob;
  std::shared_ptr<const TaskDemand> mDemand;
  TaskState mState = TaskState::kQueued;
  Attempt mAttempt;
  WorkerId mWorker;
  Epoch mEpoch;
  CheckpointId mCheckpoint;
  EvictionCause mEvictionCause = EvictionCause::kNeverStarted;
  uint32_t mFailures = 0;
  uint32_t mHandover = 0;
  ShardId mTarget;
  bool mHandoverConfirmed = false;
  bool mCancelRequested = false;
  Offset mWaitingSince;
  std::string mReason;
  std::vector<TaskChange> mHistory;
};

// MakeLeaseId returns the id of an attempt's lease, unique per attempt.
inline LeaseId MakeLeaseId(const TaskId& aTask, Attempt aAttempt)
{
  return LeaseId(aTask.Text() + "#" + std::to_string(aAttempt.Value()));
}

// JobEntry is a job with the number of its tasks in each state.
struct JobEntry
{
  JobSpec mSpec;
  bool mCancelRequested = false;
  std::array<uint32_t, kTaskStateNames.mRows.size()> mTasksByState{};
  std::vector<TaskId> mTasks;

  // CountInState returns the number of the job's tasks in aState.
  uint32_t CountInState(TaskState aState) const
  {
    return mTasksByState[static_cast<size_t>(aState)];
  }
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_LEDGER_TASK_ENTRY_H_
