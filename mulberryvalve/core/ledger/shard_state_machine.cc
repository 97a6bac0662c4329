#include "mulberryvalve/core/ledger/shard_state_machine.h"

#include <utility>

namespace mulberryvalve {
namespace {

constexpr size_t kMaxHistory = 24;

WaitingKey WaitingKeyOf(const TaskEntry& aTask)
{
  return { aTask.mDemand->mPriority, aTask.mWaitingSince, aTask.mId };
}

bool IsWaiting(TaskState aState)
{
  return aState == TaskState::kQueued || aState == TaskState::kEvicted;
}

bool RequiresOwner(const Record& aRecord)
{
  return !std::holds_alternative<JobSubmitted>(aRecord) &&
         !std::holds_alternative<JobCancelRequested>(aRecord) &&
         !std::holds_alternative<TaskReceived>(aRecord) &&
         !std::holds_alternative<ShardClaimed>(aRecord) &&
         !std::holds_alternative<AuditNote>(aRecord) &&
         !std::holds_alternative<UnreadableRecord>(aRecord);
}

} // namespace

ShardStateMachine::ShardStateMachine(ShardId aShard, size_t aMaxFinishedJobs)
  : mShard(std::move(aShard))
  , mMaxFinishedJobs(aMaxFinishedJobs)
{
}

ApplyResult ShardStateMachine::Apply(const StoredRecord& aStored)
{
  if (aStored.mOffset <= mFolded) {
    return ApplyResult::kDuplicate;
  }
  if (aStored.mOffset != mFolded.Next()) {
    return ApplyResult::kGap;
  }
  mFolded = aStored.mOffset;
  const ApplyResult verdict = ApplyChecked(aStored);
  DropFinished();
  return verdict;
}

ApplyResult ShardStateMachine::ApplyChecked(const StoredRecord& aStored)
{
  const Record& body = aStored.mRecord.mBody;
  if (std::holds_alternative<UnreadableRecord>(body)) {
    return ApplyResult::kIgnored;
  }
  if (!mWriters.Accept(aStored.mRecord.mHeader, aStored.mOffset)) {
    return ApplyResult::kDuplicate;
  }
  if (RequiresOwner(body) && !IsOwner(aStored.mRecord.mHeader)) {
    return ApplyResult::kFenced;
  }
  return std::visit(
    [&](const auto& aRecord) { return ApplyRecord(aStored, aRecord); }, body);
}

bool ShardStateMachine::IsOwner(const RecordHeader& aHeader) const
{
  return !mClaim.mReleased && mClaim.mEpoch == aHeader.mEpoch &&
         mClaim.mOwner == aHeader.mWriter && mClaim.mEpoch != Epoch();
}

const TaskEntry* ShardStateMachine::FindTask(const TaskId& aTask) const
{
  const auto found = mTasks.find(aTask);
  return found == mTasks.end() ? nullptr : &found->second;
}

const JobEntry* ShardStateMachine::FindJob(const JobId& aJob) const
{
  const auto found = mJobs.find(aJob);
  return found == mJobs.end() ? nullptr : &found->second;
}

const std::set<TaskId>& ShardStateMachine::TasksOnWorker(
  const WorkerId& aWorker) const
{
  static const std::set<TaskId> kNone;
  const auto found = mTasksByWorker.find(aWorker);
  return found == mTasksByWorker.end() ? kNone : found->second;
}

TaskEntry* ShardStateMachine::FindMutableTask(const TaskId& aTask)
{
  const auto found = mTasks.find(aTask);
  return found == mTasks.end() ? nullptr : &found->second;
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const ShardClaimed&)
{
  const bool vacant = mClaim.mEpoch == Epoch() || mClaim.mReleased;
  mClaim = ShardClaim{ aStoredRecord.mRecord.mHeader.mWriter,
                       Epoch(aStoredRecord.mOffset.Value()),
                       false,
                       vacant };
  return ApplyResult::kApplied;
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord&,
                                           const ShardReleased&)
{
  mClaim.mReleased = true;
  return ApplyResult::kApplied;
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const JobSubmitted& aRecord)
{
  const JobSpec& spec = aRecord.mJob;
  if (mJobs.count(spec.mId) != 0) {
    return ApplyResult::kConflict;
  }
  JobEntry job;
  job.mSpec = spec;
  const auto demand = std::make_shared<const TaskDemand>(spec.mDemand);
  for (uint32_t part = 0; part < spec.mParts; part++) {
    job.mTasks.push_back(MakeTaskId(spec.mId, part));
  }
  const std::vector<TaskId> tasks = job.mTasks;
  mJobs.emplace(spec.mId, std::move(job));
  for (const TaskId& id : tasks) {
    TaskEntry task;
    task.mId = id;
    task.mJob = spec.mId;
    task.mDemand = demand;
    Insert(std::move(task), aStoredRecord);
  }
  return ApplyResult::kApplied;
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord&,
                                           const JobCancelRequested& aRecord)
{
  const auto found = mJobs.find(aRecord.mJob);
  if (found == mJobs.end()) {
    return ApplyResult::kIllegal;
  }
  found->second.mCancelRequested = true;
  for (const TaskId& id : found->second.mTasks) {
    TaskEntry* task = FindMutableTask(id);
    if (task != nullptr && !IsTerminal(task->mState)) {
      task->mCancelRequested = true;
      mTasksToCancel.insert(id);
    }
  }
  return ApplyResult::kApplied;
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const TaskAssigned& aRecord)
{
  TaskEntry* task = FindMutableTask(aRecord.mTask);
  if (task == nullptr || aRecord.mAttempt != task->mAttempt.Next() ||
      !NextState(task->mState, TaskEvent::kAssign)) {
    return ApplyResult::kIllegal;
  }
  RemoveFromIndexes(*task);
  task->mAttempt = aRecord.mAttempt;
  task->mWorker = aRecord.mWorker;
  task->mEpoch = mClaim.mEpoch;
  task->mState = TaskState::kAssigned;
  UpdateIndexes(*task, aStoredRecord);
  AppendHistory(*task, aStoredRecord, "");
  return ApplyResult::kApplied;
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const TaskStarted& aRecord)
{
  TaskEntry* task = FindMutableTask(aRecord.mTask);
  if (task == nullptr || aRecord.mAttempt != task->mAttempt) {
    return ApplyResult::kIllegal;
  }
  return ApplyEvent(*task, TaskEvent::kStart, aStoredRecord, "");
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const TaskFinished& aRecord)
{
  TaskEntry* task = FindMutableTask(aRecord.mTask);
  if (task == nullptr || aRecord.mAttempt != task->mAttempt) {
    return ApplyResult::kIllegal;
  }
  const TaskEvent event = aRecord.mState == TaskState::kCompleted
                            ? TaskEvent::kComplete
                            : TaskEvent::kFail;
  return ApplyEvent(*task, event, aStoredRecord, aRecord.mReason);
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const TaskCheckpointing& aRecord)
{
  TaskEntry* task = FindMutableTask(aRecord.mTask);
  if (task == nullptr || aRecord.mAttempt != task->mAttempt) {
    return ApplyResult::kIllegal;
  }
  task->mEvictionCause = aRecord.mCause;
  return ApplyEvent(*task,
                    TaskEvent::kBeginCheckpoint,
                    aStoredRecord,
                    std::string(kEvictionCauseNames.Name(aRecord.mCause)));
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const TaskEvicted& aRecord)
{
  TaskEntry* task = FindMutableTask(aRecord.mTask);
  if (task == nullptr || aRecord.mAttempt != task->mAttempt) {
    return ApplyResult::kIllegal;
  }
  const ApplyResult verdict =
    ApplyEvent(*task,
               TaskEvent::kEvict,
               aStoredRecord,
               std::string(kEvictionCauseNames.Name(aRecord.mCause)));
  if (verdict != ApplyResult::kApplied) {
    return verdict;
  }
  task->mEvictionCause = aRecord.mCause;
  if (!aRecord.mCheckpoint.Empty()) {
    task->mCheckpoint = aRecord.mCheckpoint;
  }
  if (aRecord.mCause == EvictionCause::kAttemptFailed) {
    task->mFailures++;
  }
  return verdict;
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const TaskCancelled& aRecord)
{
  TaskEntry* task = FindMutableTask(aRecord.mTask);
  if (task == nullptr) {
    return ApplyResult::kIllegal;
  }
  return ApplyEvent(*task, TaskEvent::kCancel, aStoredRecord, "");
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const TaskImpossible& aRecord)
{
  TaskEntry* task = FindMutableTask(aRecord.mTask);
  if (task == nullptr) {
    return ApplyResult::kIllegal;
  }
  return ApplyEvent(*task, TaskEvent::kRuleOut, aStoredRecord, aRecord.mReason);
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const TaskHandedOver& aRecord)
{
  TaskEntry* task = FindMutableTask(aRecord.mTask);
  if (task == nullptr) {
    return ApplyResult::kIllegal;
  }
  const ApplyResult verdict = ApplyEvent(
    *task, TaskEvent::kHandOver, aStoredRecord, aRecord.mTarget.Text());
  if (verdict == ApplyResult::kApplied) {
    task->mTarget = aRecord.mTarget;
    mPendingHandovers.insert(task->mId);
  }
  return verdict;
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord&,
                                           const TaskHandoverConfirmed& aRecord)
{
  TaskEntry* task = FindMutableTask(aRecord.mTask);
  if (task == nullptr || mPendingHandovers.erase(aRecord.mTask) == 0) {
    return ApplyResult::kIllegal;
  }
  task->mHandoverConfirmed = true;
  return ApplyResult::kApplied;
}

ApplyResult ShardStateMachine::ApplyRecord(const StoredRecord& aStoredRecord,
                                           const TaskReceived& aRecord)
{
  TaskEntry* known = FindMutableTask(aRecord.mTask);
  const auto moved = mMovedTasks.find(aRecord.mTask);
  if (moved != mMovedTasks.end() && moved->second >= aRecord.mHandover) {
    return ApplyResult::kDuplicate;
  }
  if (known != nullptr && known->mHandover >= aRecord.mHandover) {
    return ApplyResult::kDuplicate;
  }
  if (known != nullptr && known->mState != TaskState::kHandedOver) {
    return ApplyResult::kIllegal;
  }
  TaskEntry task;
  task.mId = aRecord.mTask;
  task.mJob = aRecord.mJob;
  task.mDemand = std::make_shared<const TaskDemand>(aRecord.mDemand);
  task.mAttempt = aRecord.mLastAttempt;
  task.mCheckpoint = aRecord.mCheckpoint;
  task.mHandover = aRecord.mHandover;
  if (known != nullptr) {
    task.mHistory = known->mHistory;
    task.mCancelRequested = known->mCancelRequested;
    RemoveFromIndexes(*known);
    mPendingHandovers.erase(task.mId);
    mTasks.erase(task.mId);
  }
  JobEntry& job = mJobs[aRecord.mJob];
  if (known == nullptr) {
    job.mSpec.mId = aRecord.mJob;
    job.mSpec.mDemand = aRecord.mDemand;
    job.mTasks.push_back(aRecord.mTask);
    job.mSpec.mParts = static_cast<uint32_t>(job.mTasks.size());
  }
  task.mCancelRequested = task.mCancelRequested || job.mCancelRequested;
  TaskEntry& stored = Insert(std::move(task), aStoredRecord);
  if (stored.mCancelRequested) {
    mTasksToCancel.insert(stored.mId);
  }
  return ApplyResult::kApplied;
}

TaskEntry& ShardStateMachine::Insert(TaskEntry aEntry,
                                     const StoredRecord& aStoredRecord)
{
  const TaskId id = aEntry.mId;
  aEntry.mState = TaskState::kQueued;
  TaskEntry& task = mTasks.emplace(id, std::move(aEntry)).first->second;
  UpdateIndexes(task, aStoredRecord);
  AppendHistory(task, aStoredRecord, "");
  return task;
}

ApplyResult ShardStateMachine::ApplyEvent(TaskEntry& aTask,
                                          TaskEvent aEvent,
                                          const StoredRecord& aStoredRecord,
                                          const std::string& aReason)
{
  const std::optional<TaskState> next = NextState(aTask.mState, aEvent);
  if (!next) {
    return ApplyResult::kIllegal;
  }
  RemoveFromIndexes(aTask);
  aTask.mState = *next;
  aTask.mReason = aReason;
  UpdateIndexes(aTask, aStoredRecord);
  AppendHistory(aTask, aStoredRecord, aReason);
  return ApplyResult::kApplied;
}

void ShardStateMachine::RemoveFromIndexes(const TaskEntry& aTask)
{
  if (IsWaiting(aTask.mState)) {
    mWaiting.erase(WaitingKeyOf(aTask));
  }
  if (HoldsCapacity(aTask.mState)) {
    const auto held = mTasksByWorker.find(aTask.mWorker);
    if (held != mTasksByWorker.end()) {
      held->second.erase(aTask.mId);
      if (held->second.empty()) {
        mTasksByWorker.erase(held);
      }
    }
  }
  mJobs[aTask.mJob].mTasksByState[static_cast<size_t>(aTask.mState)]--;
}

void ShardStateMachine::UpdateIndexes(TaskEntry& aTask,
                                      const StoredRecord& aStoredRecord)
{
  if (IsWaiting(aTask.mState) && aTask.mWaitingSince == Offset()) {
    aTask.mWaitingSince = aStoredRecord.mOffset;
  }
  AddToIndexes(aTask);
  if (!IsTerminal(aTask.mState)) {
    return;
  }
  mTasksToCancel.erase(aTask.mId);
  if (IsFinished(mJobs[aTask.mJob])) {
    mFinished.push_back(aTask.mJob);
  }
}

void ShardStateMachine::AddToIndexes(const TaskEntry& aTask)
{
  if (IsWaiting(aTask.mState)) {
    mWaiting.insert(WaitingKeyOf(aTask));
  }
  if (HoldsCapacity(aTask.mState)) {
    mTasksByWorker[aTask.mWorker].insert(aTask.mId);
  }
  mJobs[aTask.mJob].mTasksByState[static_cast<size_t>(aTask.mState)]++;
}

void ShardStateMachine::AppendHistory(TaskEntry& aTask,
                                      const StoredRecord& aStoredRecord,
                                      const std::string& aReason)
{
  if (aTask.mHistory.size() >= kMaxHistory) {
    aTask.mHistory.erase(aTask.mHistory.begin() + 1);
  }
  aTask.mHistory.push_back(TaskChange{ aStoredRecord.mOffset,
                                       aStoredRecord.mRecord.mHeader.mWritten,
                                       aTask.mState,
                                       aTask.mAttempt,
                                       aTask.mWorker,
                                       aReason });
}

} // namespace mulberryvalve
