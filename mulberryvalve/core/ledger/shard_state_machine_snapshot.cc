#include "mulberryvalve/core/ledger/shard_state_machine.h"

#include <utility>

namespace mulberryvalve {

Snapshot ShardStateMachine::Capture() const
{
  Snapshot snapshot{ mFolded, {} };
  std::vector<SnapshotItem>& items = snapshot.mItems;
  mWriters.Capture(items);
  items.push_back(ClaimItem{
    mClaim.mOwner, mClaim.mEpoch, mClaim.mReleased, mClaim.mOverReleased });
  for (const auto& [id, job] : mJobs) {
    items.push_back(JobItem{ job.mSpec, job.mCancelRequested });
    for (const TaskId& taskId : job.mTasks) {
      TaskItem item{ *FindTask(taskId), mPendingHandovers.count(taskId) != 0 };
      item.mTask.mDemand = nullptr;
      items.push_back(std::move(item));
    }
  }
  for (const JobId& job : mFinished) {
    items.push_back(FinishedJobItem{ job });
  }
  for (const TaskId& task : mMovedTaskOrder) {
    items.push_back(MovedTaskItem{ task, mMovedTasks.at(task) });
  }
  return snapshot;
}

bool ShardStateMachine::Restore(const Snapshot& aSnapshot)
{
  if (aSnapshot.mCoveredOffset <= mFolded) {
    return false;
  }
  *this = ShardStateMachine(mShard, mMaxFinishedJobs);
  for (const SnapshotItem& item : aSnapshot.mItems) {
    std::visit([this](const auto& aItem) { RestoreItem(aItem); }, item);
  }
  mRestoredDemand = nullptr;
  mFolded = aSnapshot.mCoveredOffset;
  return true;
}

void ShardStateMachine::RestoreItem(const WriterItem& aItem)
{
  mWriters.Restore(aItem);
}

void ShardStateMachine::RestoreItem(const ClaimItem& aItem)
{
  mClaim = ShardClaim{
    aItem.mOwner, aItem.mEpoch, aItem.mReleased, aItem.mOverReleased
  };
}

void ShardStateMachine::RestoreItem(const JobItem& aItem)
{
  JobEntry& job = mJobs[aItem.mSpec.mId];
  job.mSpec = aItem.mSpec;
  job.mCancelRequested = aItem.mCancelRequested;
  mRestoredDemand = std::make_shared<const TaskDemand>(aItem.mSpec.mDemand);
}

void ShardStateMachine::RestoreItem(const TaskItem& aItem)
{
  if (mRestoredDemand == nullptr) {
    return;
  }
  TaskEntry task = aItem.mTask;
  task.mDemand = mRestoredDemand;
  const TaskId id = task.mId;
  mJobs[task.mJob].mTasks.push_back(id);
  if (task.mCancelRequested && !IsTerminal(task.mState)) {
    mTasksToCancel.insert(id);
  }
  if (aItem.mHandoverPending) {
    mPendingHandovers.insert(id);
  }
  TaskEntry& stored = mTasks.emplace(id, std::move(task)).first->second;
  AddToIndexes(stored);
}

void ShardStateMachine::RestoreItem(const FinishedJobItem& aItem)
{
  mFinished.push_back(aItem.mJob);
}

void ShardStateMachine::RestoreItem(const MovedTaskItem& aItem)
{
  RememberMoved(aItem.mTask, aItem.mHandover);
}

bool ShardStateMachine::IsFinished(const JobEntry& aJob) const
{
  const size_t ended = aJob.CountInState(TaskState::kCompleted) +
                       aJob.CountInState(TaskState::kFailed) +
                       aJob.CountInState(TaskState::kCancelled) +
                       aJob.CountInState(TaskState::kImpossible);
  return ended == aJob.mTasks.size();
}

void ShardStateMachine::DropFinished()
{
  while (mFinished.size() > mMaxFinishedJobs) {
    const JobId oldest = mFinished.front();
    mFinished.pop_front();
    const auto job = mJobs.find(oldest);
    if (job != mJobs.end() && IsFinished(job->second)) {
      DropJob(oldest);
    }
  }
}

void ShardStateMachine::DropJob(const JobId& aJob)
{
  const auto job = mJobs.find(aJob);
  for (const TaskId& id : job->second.mTasks) {
    const auto task = mTasks.find(id);
    if (task->second.mHandover != 0) {
      RememberMoved(id, task->second.mHandover);
    }
    mTasks.erase(task);
  }
  mJobs.erase(job);
}

void ShardStateMachine::RememberMoved(const TaskId& aTask, uint32_t aHandover)
{
  if (mMovedTasks.insert_or_assign(aTask, aHandover).second) {
    mMovedTaskOrder.push_back(aTask);
  }
  if (mMovedTaskOrder.size() > kMaxMovedTasks) {
    mMovedTasks.erase(mMovedTaskOrder.front());
    mMovedTaskOrder.pop_front();
  }
}

} // namespace mulberryvalve
