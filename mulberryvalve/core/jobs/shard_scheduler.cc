#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberryvalve {
namespace {

// How often learned data is made durable. A takeover loses at most what was
// learned in this interval.
constexpr Milliseconds kSaveLearnedInterval{ 2000 };
// When the remaining waits that the former owner recorded are first recorded
// again.
constexpr Milliseconds kFirstNoteRefresh{ 200 };

} // namespace

ShardScheduler::ShardScheduler(ShardSchedulerOptions aOptions,
                               SchedulingPolicies aPolicies,
                               MonotonicTime aClaimedAt)
  : mOptions(aOptions)
  , mPolicies(aPolicies)
  , mClaimedAt(aClaimedAt)
  , mWorkers(aOptions.mLease)
  , mSearch(aPolicies.mPlacement, mWorkers)
  , mAccounts(aOptions.mShards, mJobTable, mWorkers, mInheritedWorkers)
  , mHeldTasks(mJobTable, mWorkers, mInheritedWorkers, aClaimedAt)
  , mRetention(aOptions.mKeepOver)
  , mRoom(RoomExchangeOptions{ aOptions.mShard,
                               aOptions.mShards,
                               aOptions.mEpoch,
                               aClaimedAt,
                               aOptions.mMovesWorkers },
          RoomExchangeParts{ mJobTable,
                             mWorkers,
                             mInheritedWorkers,
                             mFormerOwners,
                             mConfig,
                             mInterference,
                             aPolicies.mPlacement,
                             mDecisions })
  , mRefreshNotesAt(aClaimedAt + kFirstNoteRefresh)
  , mSaveLearnedAt(aClaimedAt + kSaveLearnedInterval)
{
  mUnreadJobs.OnLogRead(aClaimedAt);
}

void ShardScheduler::RestoreJob(JobGraph aGraph, const JobRecord* aRecord)
{
  JobEntry* job = mJobTable.Add(std::move(aGraph));
  if (job == nullptr) {
    return;
  }
  job->mMayHaveFormerRuns = true;
  mAccounts.OnJobAdded(*job);
  if (aRecord != nullptr) {
    mJobTable.Restore(*job, *aRecord);
    for (const TaskRecord& task : aRecord->mTasks) {
      RestorePossibleWorkers(*job, task);
    }
  }
  if (IsOver(job->mPhase)) {
    job->mFinishedAt = mClaimedAt;
    mRetention.Extend(job->mGraph.mId, mClaimedAt);
  }
}

// The record of a worker that has left may still be on the log.
void ShardScheduler::RestoreWorker(const UsedWorkerRecord& aWorker)
{
  if (mRoom.Workers().HasLeft(aWorker.mId)) {
    mRemovedWorkers.insert(aWorker.mId);
    return;
  }
  WorkerEntry& workerState = mWorkers.Add(aWorker.mId);
  workerState.mInfo.mId = aWorker.mId;
  workerState.mInfo.mEndpoint = aWorker.mEndpoint;
  workerState.mInfo.mService = aWorker.mService;
  workerState.mTokenBase = mRoom.Workers().TokenBase(aWorker.mId);
  workerState.mListed = false;
  workerState.mRecorded = true;
  workerState.mWorkerIncarnation = aWorker.mWorkerIncarnation;
  workerState.mNoteLimitsWait = aWorker.mRemainingLease.has_value();
  workerState.mHasHandoverNote =
    workerState.mNoteLimitsWait || aWorker.mPossibleTasks.has_value();
  workerState.mNoteSaysNoWait = aWorker.mRemainingLease == Milliseconds(0);
  const Milliseconds wait = aWorker.mRemainingLease.value_or(MaxFormerRuns());
  const MonotonicTime until = mClaimedAt + wait + mOptions.mLease.mMargin;
  mInheritedWorkers.Add(aWorker.mId,
                        InheritedWorker{ until,
                                         aWorker.mPossibleTasks,
                                         !aWorker.mRemainingLease,
                                         aWorker.mLastUser });
  mHeldTasks.OnInherited(aWorker.mId);
}

void ShardScheduler::RestoreLearned(const LearnedRecord& aLearned)
{
  mInterference.Restore(aLearned, mJobTable.Images());
  mRunTimes.Restore(aLearned);
}

LearnedRecord ShardScheduler::Learned() const
{
  LearnedRecord learned;
  mInterference.Save(mJobTable.Images(), learned);
  mRunTimes.Save(learned);
  return learned;
}

void ShardScheduler::OnConfig(const ClusterConfig& aConfig)
{
  mConfig = aConfig;
  mConfigVersion++;
  mAccounts.OnConfig(aConfig);
  mSearch.ForgetRefusals();
  mNeedsPlacement = true;
}

void ShardScheduler::OnWorkerList(const std::vector<WorkerInfo>& aWorkers,
                                  MonotonicTime aNow)
{
  std::set<WorkerId> listed;
  for (const WorkerInfo& facts : aWorkers) {
    if (mRoom.Workers().HasLeft(facts.mId)) {
      continue;
    }
    listed.insert(facts.mId);
    WorkerEntry& workerState = mWorkers.Add(facts.mId);
    workerState.mTokenBase = mRoom.Workers().TokenBase(facts.mId);
    if (facts.mWorkerIncarnation != WorkerIncarnation() &&
        facts.mWorkerIncarnation < workerState.mWorkerIncarnation) {
      continue; // written before the worker restarted
    }
    if (workerState.mInfo.mEndpoint != facts.mEndpoint) {
      // The record has the old address, at which a successor would ask.
      workerState.mRecorded = false;
      mWorkers.MarkChanged(workerState);
    }
    mWorkers.SetInfo(workerState, facts);
    if (!workerState.mListed) {
      workerState.mListed = true;
      mWorkers.MarkChanged(workerState);
    }
    if (workerState.mWorkerIncarnation == WorkerIncarnation()) {
      workerState.mWorkerIncarnation = facts.mWorkerIncarnation;
    }
    if (workerState.mWorkerIncarnation < facts.mWorkerIncarnation &&
        workerState.mWorkerIncarnation != WorkerIncarnation()) {
      ResetIncarnation(workerState, facts.mWorkerIncarnation, aNow);
    }
    const bool mayStart = workerState.mHasReportedRuns &&
                          !workerState.mSilent &&
                          facts.mState != WorkerState::kLeaving;
    if (mayStart) {
      RevokeHandoverNote(workerState);
    }
    if (!workerState.mRecorded ||
        (workerState.mIsUseDeclared && !workerState.mIsUseRecorded)) {
      mDirtyWorkers.insert(facts.mId);
    }
    workerState.mLeavesAt.reset();
    if (facts.mRemaining) {
      workerState.mLeavesAt = aNow + *facts.mRemaining;
    }
  }
  for (auto& [id, workerState] : mWorkers.All()) {
    if (workerState.mListed && listed.count(id) == 0) {
      workerState.mListed = false;
      mWorkers.MarkChanged(workerState);
    }
  }
  mHasWorkerList = true;
  mHeldTasks.OnWorkerList();
}

ProgressBatch ShardScheduler::TakeProgress(MonotonicTime aNow)
{
  ProgressBatch batch;
  while (!mDirtyJobs.empty() && batch.mJobs.size() < ProgressBatch::kMaxJobs) {
    JobEntry* job = mJobTable.Find(*mDirtyJobs.begin());
    mDirtyJobs.erase(mDirtyJobs.begin());
    if (job != nullptr) {
      std::vector<JobRecord> parts = mJobTable.TakeDirtyParts(*job);
      std::move(parts.begin(), parts.end(), std::back_inserter(batch.mJobs));
    }
  }
  mUnrecordedStarts.OnTaken(batch.mJobs);
  batch.mRetired = mRetention.TakeOffIntake(ProgressBatch::kMaxJobs);
  batch.mMoves = mRoom.TakeMoves(aNow);
  for (const WorkerMove& move : batch.mMoves) {
    mDirtyWorkers.erase(move.mWorker);
  }
  for (const WorkerId& id : mDirtyWorkers) {
    WorkerEntry* workerState = mWorkers.Find(id);
    if (workerState == nullptr) {
      continue;
    }
    mRemovedWorkers.erase(id);
    batch.mWorkers.push_back(TakeWorkerRecord(*workerState, aNow));
  }
  mDirtyWorkers.clear();
  batch.mRemovedWorkers.assign(mRemovedWorkers.begin(), mRemovedWorkers.end());
  mRemovedWorkers.clear();
  batch.mEndedClaims = std::exchange(mEndedClaims, {});
  if (!batch.Empty() && aNow >= mSaveLearnedAt) {
    mSaveLearnedAt = aNow + kSaveLearnedInterval;
    batch.mLearned = Learned();
  }
  if (!mDirtyJobs.empty()) {
    return batch;
  }
  for (const auto& [id, workerState] : mWorkers.All()) {
    const EndNumber settled = LastSettledEnd(workerState);
    if (workerState.mLastDurableEnd < settled) {
      batch.mAckedEnds.push_back(
        { id, workerState.mWorkerIncarnation, settled });
    }
  }
  return batch;
}

void ShardScheduler::OnDurable(const ProgressBatch& aBatch)
{
  if (!aBatch.Empty()) {
    mHasAppended = true;
    mHeldStarts.OnAppended();
  }
  for (const JobRecord& record : aBatch.mJobs) {
    mHeldStarts.OnRecorded(record);
    mUnrecordedStarts.OnDurable(record);
    JobEntry* job = mJobTable.Find(record.mId);
    if (job != nullptr && record.mPart == 0) {
      job->mDurablePhase = record.mPhase;
    }
  }
  for (const RetiredJob& job : aBatch.mRetired) {
    OnRetired(job.mId);
  }
  for (const UsedWorkerRecord& worker : aBatch.mWorkers) {
    OnWorkerRecordDurable(worker);
  }
  for (const WorkerMove& move : aBatch.mMoves) {
    mRoom.OnMove(move);
    RemoveWorker(move.mWorker);
  }
  for (const ProgressBatch::AckedEnds& ends : aBatch.mAckedEnds) {
    WorkerEntry* workerState = mWorkers.Find(ends.mWorker);
    if (workerState != nullptr &&
        workerState->mWorkerIncarnation == ends.mWorkerIncarnation) {
      workerState->mLastDurableEnd =
        std::max(workerState->mLastDurableEnd, ends.mNumber);
      auto& pendingEnds = workerState->mNonDurableEnds;
      pendingEnds.erase(pendingEnds.begin(),
                        pendingEnds.upper_bound(workerState->mLastDurableEnd));
    }
  }
}

void ShardScheduler::OnWorkerRecordDurable(const UsedWorkerRecord& aWorker)
{
  WorkerEntry* workerState = mWorkers.Find(aWorker.mId);
  const bool isSameWorker =
    workerState != nullptr &&
    workerState->mWorkerIncarnation == aWorker.mWorkerIncarnation &&
    workerState->mInfo.mEndpoint == aWorker.mEndpoint;
  if (!isSameWorker) {
    return;
  }
  if (aWorker.mLastUser == mOptions.mEpoch && !workerState->mIsUseRecorded) {
    workerState->mIsUseRecorded = true;
    mUsedUnrecorded.erase(aWorker.mId);
    mWorkers.MarkChanged(*workerState);
  }
  // A handover note that was revoked in the meantime does not count as the
  // plain record that a worker in use needs.
  const bool isNote = aWorker.mRemainingLease || aWorker.mPossibleTasks;
  const bool isCurrent = !isNote || workerState->mHasHandoverNote;
  if (isCurrent &&
      (!workerState->mHasReportedRuns || !aWorker.mRemainingLease)) {
    workerState->mRecorded = true;
    mWorkers.MarkChanged(*workerState);
  }
}

std::optional<JobPhase> ShardScheduler::Phase(const JobId& aJob) const
{
  const JobEntry* job = mJobTable.Find(aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  if (IsOver(job->mDurablePhase)) {
    return job->mDurablePhase;
  }
  return job->HasStarted() ? JobPhase::kRunning : JobPhase::kQueued;
}

std::optional<MonotonicTime> ShardScheduler::CancelledAt(
  const JobId& aJob) const
{
  const JobEntry* job = mJobTable.Find(aJob);
  if (job == nullptr || job->mPhase != JobPhase::kCancelled) {
    return std::nullopt;
  }
  return job->mFinishedAt;
}

void ShardScheduler::ReleaseTask(const TaskRef& aTask)
{
  TaskProgress* task = mJobTable.FindTask(aTask);
  if (task == nullptr || !IsPlaced(task->mPhase)) {
    return;
  }
  WorkerEntry* workerState = mWorkers.Find(task->mWorker);
  const StepSpec& spec = mJobTable.SpecOf(aTask.mStep);
  if (workerState != nullptr) {
    mWorkers.Release(*workerState, aTask, spec);
  }
  mAccounts.Release(*mJobTable.Find(aTask.mStep.mJob), spec);
  if (mHeldStarts.Remove(aTask)) {
    mWindow.WriteOff(1);
  }
  mResendStopAt.erase(aTask);
  mJobTable.Unassign(aTask);
  mNeedsPlacement = true;
}

void ShardScheduler::AvoidWorker(WorkerEntry& aWorker,
                                 MonotonicTime aUntil,
                                 const char* aWhy)
{
  aWorker.mRetryAt = std::max(aWorker.mRetryAt, aUntil);
  if (aUntil <= aWorker.mAvoidUntil) {
    return;
  }
  aWorker.mAvoidUntil = aUntil;
  mWorkers.MarkChanged(aWorker);
  mDecisions.AddWorker(DecisionKind::kWorkerAvoided, aWorker.mInfo.mId, aWhy);
}

const QueueRules& ShardScheduler::RulesOf(const JobEntry& aJob) const
{
  const auto found = mConfig.mRules.find(aJob.mGraph.mQueue);
  return found == mConfig.mRules.end() ? aJob.mGraph.mRules : found->second;
}

} // namespace mulberryvalve
