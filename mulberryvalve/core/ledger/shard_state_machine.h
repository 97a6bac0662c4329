// ShardStateMachine: the state machine of one shard. Applies the shard's log to
// its jobs, its tasks and its owner.
#ifndef MULBERRYVALVE_CORE_LEDGER_SHARD_STATE_MACHINE_H_
#define MULBERRYVALVE_CORE_LEDGER_SHARD_STATE_MACHINE_H_

#include "mulberryvalve/core/ledger/task_entry.h"
#include "mulberryvalve/core/ledger/task_transition.h"
#include "mulberryvalve/core/records/duplicate_filter.h"
#include "mulberryvalve/core/records/record.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace mulberryvalve {

// ShardClaim is the current claim of the shard. mEpoch is zero when the shard
// was never claimed. mOverReleased is true when the shard had no owner at the
// time of the claim.
struct ShardClaim
{
  WriterId mOwner;
  Epoch mEpoch;
  bool mReleased = false;
  bool mOverReleased = false;
};

// WaitingKey orders waiting tasks by priority, then by the offset at which they
// began to wait.
using WaitingKey = std::tuple<Priority, Offset, TaskId>;

// kMaxFinishedJobs is the number of finished jobs that a shard keeps. The job
// that finished first is dropped first.
inline constexpr size_t kMaxFinishedJobs = 10'000;

// kMaxMovedTasks is the number of dropped tasks for which a shard remembers the
// last handover to it, so that a late duplicate of the handover has no effect.
inline constexpr size_t kMaxMovedTasks = 100'000;

// ShardStateMachine is deterministic: the same records in offset order give the
// same state. Records of a former epoch, repeated appends and illegal state
// transitions have no effect, and Apply returns the reason. A job is finished
// when all its tasks ended in this shard. A job that handed over a task is
// kept, because callers may still ask for the task here. Not thread-safe.
class ShardStateMachine
{
public:
  // ShardStateMachine keeps aMaxFinishedJobs finished jobs. All readers of a
  // stream must use the same number, or their states diverge.
  explicit ShardStateMachine(ShardId aShard,
                             size_t aMaxFinishedJobs = kMaxFinishedJobs);

  // Apply applies the record at the next offset. It returns kDuplicate for an
  // offset that was applied before and kGap for one beyond the next; neither
  // changes the state.
  ApplyResult Apply(const StoredRecord& aStored);

  // Capture returns a snapshot of the whole state.
  Snapshot Capture() const;

  // Restore replaces the state with aSnapshot. It returns false and changes
  // nothing when the snapshot covers no more than has been applied.
  bool Restore(const Snapshot& aSnapshot);

  // Shard returns the shard's id.
  const ShardId& Shard() const { return mShard; }

  // Folded returns the highest applied offset.
  Offset Folded() const { return mFolded; }

  // Claim returns the current claim.
  const ShardClaim& Claim() const { return mClaim; }

  // Newest returns the position of the newest applied record of aWriter.
  WriterPosition Newest(const WriterId& aWriter) const
  {
    return mWriters.Newest(aWriter);
  }

  // FindTask returns the task, or null. The pointer is valid until Apply.
  const TaskEntry* FindTask(const TaskId& aTask) const;

  // FindJob returns the job, or null. The pointer is valid until Apply.
  const JobEntry* FindJob(const JobId& aJob) const;

  // Jobs returns all jobs by id.
  const std::map<JobId, JobEntry>& Jobs() const { return mJobs; }

  // Waiting returns the tasks that wait for a worker, highest priority first.
  const std::set<WaitingKey>& Waiting() const { return mWaiting; }

  // TasksOnWorker returns the tasks that are charged to aWorker.
  const std::set<TaskId>& TasksOnWorker(const WorkerId& aWorker) const;

  // TasksByWorker returns the charged tasks of each worker.
  const std::map<WorkerId, std::set<TaskId>>& TasksByWorker() const
  {
    return mTasksByWorker;
  }

  // PendingHandovers returns the tasks handed over to another shard that has
  // not confirmed them yet.
  const std::set<TaskId>& PendingHandovers() const { return mPendingHandovers; }

  // TasksToCancel returns the unfinished tasks of jobs that are to be
  // cancelled.
  const std::set<TaskId>& TasksToCancel() const { return mTasksToCancel; }

private:
  ApplyResult ApplyChecked(const StoredRecord& aStored);
  bool IsOwner(const RecordHeader& aHeader) const;

  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const ShardClaimed& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const ShardReleased& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const JobSubmitted& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const JobCancelRequested& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const TaskAssigned& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const TaskStarted& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const TaskFinished& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const TaskCheckpointing& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const TaskEvicted& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const TaskCancelled& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const TaskImpossible& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const TaskHandedOver& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const TaskHandoverConfirmed& aRecord);
  ApplyResult ApplyRecord(const StoredRecord& aStoredRecord,
                          const TaskReceived& aRecord);
  template<typename Other>
  ApplyResult ApplyRecord(const StoredRecord&, const Other&)
  {
    return ApplyResult::kIgnored;
  }

  TaskEntry* FindMutableTask(const TaskId& aTask);
  TaskEntry& Insert(TaskEntry aEntry, const StoredRecord& aStoredRecord);
  ApplyResult ApplyEvent(TaskEntry& aTask,
                         TaskEvent aEvent,
                         const StoredRecord& aStoredRecord,
                         const std::string& aReason);
  void RemoveFromIndexes(const TaskEntry& aTask);
  void UpdateIndexes(TaskEntry& aTask, const StoredRecord& aStoredRecord);
  void AddToIndexes(const TaskEntry& aTask);
  void AppendHistory(TaskEntry& aTask,
                     const StoredRecord& aStoredRecord,
                     const std::string& aReason);

  void RestoreItem(const WriterItem& aItem);
  void RestoreItem(const ClaimItem& aItem);
  void RestoreItem(const JobItem& aItem);
  void RestoreItem(const TaskItem& aItem);
  void RestoreItem(const FinishedJobItem& aItem);
  void RestoreItem(const MovedTaskItem& aItem);
  template<typename Other>
  void RestoreItem(const Other&)
  {
  }

  bool IsFinished(const JobEntry& aJob) const;
  void DropFinished();
  void DropJob(const JobId& aJob);
  void RememberMoved(const TaskId& aTask, uint32_t aHandover);

  ShardId mShard;
  size_t mMaxFinishedJobs;
  Offset mFolded;
  ShardClaim mClaim;
  DuplicateFilter mWriters;
  std::unordered_map<TaskId, TaskEntry> mTasks;
  std::map<JobId, JobEntry> mJobs;
  std::set<WaitingKey> mWaiting;
  std::map<WorkerId, std::set<TaskId>> mTasksByWorker;
  std::set<TaskId> mPendingHandovers;
  std::set<TaskId> mTasksToCancel;
  std::deque<JobId> mFinished;
  std::deque<TaskId> mMovedTaskOrder;
  std::unordered_map<TaskId, uint32_t> mMovedTasks;
  std::shared_ptr<const TaskDemand> mRestoredDemand;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_LEDGER_SHARD_STATE_MACHINE_H_
