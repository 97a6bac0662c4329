#include "mulberryvalve/core/jobs/job_shard.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr size_t kMaxJobsPerBatch = 400;
// Finished jobs are kept for minutes, so some delay in retiring them is
// harmless.
constexpr Milliseconds kRetireInterval{ 1000 };
// How often learned data is made durable. A takeover loses at most what was
// learned in this interval.
constexpr Milliseconds kSaveLearnedInterval{ 2000 };
// When the remaining waits that the former owner recorded are first recorded
// again.
constexpr Milliseconds kFirstNoteRefresh{ 200 };
// Further decisions are dropped until TakeDecisions is called.
constexpr size_t kMaxDecisions = 4096;

} // namespace

JobShard::JobShard(JobShardOptions aOptions,
                   JobPolicies aPolicies,
                   MonotonicTime aClaimedAt)
  : mOptions(aOptions)
  , mPolicies(aPolicies)
  , mClaimedAt(aClaimedAt)
  , mWorkers(aOptions.mLease)
  , mSearch(aPolicies.mPlacement, mWorkers)
  , mRefreshNotesAt(aClaimedAt + kFirstNoteRefresh)
  , mSaveLearnedAt(aClaimedAt + kSaveLearnedInterval)
{
}

void JobShard::Inherit(JobGraph aGraph, const JobRecord* aRecord)
{
  JobEntry* job = mBook.Add(std::move(aGraph));
  if (job == nullptr) {
    return;
  }
  job->mInherited = true;
  if (aRecord != nullptr) {
    mBook.Restore(*job, *aRecord);
  }
  if (IsOver(job->mPhase)) {
    job->mOverSince = mClaimedAt;
  }
}

void JobShard::InheritWorker(const KnownWorker& aWorker)
{
  WorkerRoom& workerState = mWorkers.Add(aWorker.mId);
  workerState.mFacts.mId = aWorker.mId;
  workerState.mFacts.mEndpoint = aWorker.mEndpoint;
  workerState.mFacts.mService = aWorker.mService;
  workerState.mListed = false;
  workerState.mRecorded = true;
  workerState.mBirth = aWorker.mBirth;
  workerState.mWaitNoted = aWorker.mWaitLeft.has_value();
  workerState.mNoted = workerState.mWaitNoted || aWorker.mMayRun.has_value();
  workerState.mNoWaitNoted = aWorker.mWaitLeft == Milliseconds(0);
  const Milliseconds lease =
    mOptions.mLease.mLength + 10 * mOptions.mLease.mMargin;
  const Milliseconds wait =
    aWorker.mWaitLeft.value_or(mOptions.mProofLimit + lease);
  const MonotonicTime until = mClaimedAt + wait + mOptions.mLease.mMargin;
  mInheritedWorkers.Add(aWorker.mId, InheritedWorker{ until, aWorker.mMayRun });
}

void JobShard::InheritLearned(const LearnedRecord& aLearned)
{
  mInterference.Restore(aLearned, mBook.Images());
  mRunTimes.Restore(aLearned);
}

LearnedRecord JobShard::Learned() const
{
  LearnedRecord learned;
  mInterference.Save(mBook.Images(), learned);
  mRunTimes.Save(learned);
  return learned;
}

void JobShard::OnJob(JobGraph aGraph,
                     MonotonicTime aNotBefore,
                     MonotonicTime aNow)
{
  const JobId id = aGraph.mId;
  JobEntry* job = mBook.Add(std::move(aGraph));
  if (job == nullptr) {
    return;
  }
  job->mKnownAt = aNow;
  // The former owner may have started the job within its last proof of
  // ownership.
  job->mInherited = aNotBefore < mClaimedAt + mOptions.mNewJobProofLimit +
                                   mOptions.mLease.mMargin;
  mNeedsPlacement = true;
  LogJobDecision(DecisionKind::kJobKnown, id, job->mGraph.mQueue.Text());
  if (mCancelledUnknownJobs.erase(id) != 0) {
    EndJob(*job, JobPhase::kCancelled, mClaimedAt);
  }
}

void JobShard::OnCancel(const JobId& aJob, MonotonicTime aNow)
{
  JobEntry* job = mBook.Find(aJob);
  if (job == nullptr) {
    mCancelledUnknownJobs.insert(aJob);
    return;
  }
  if (IsOver(job->mPhase)) {
    return;
  }
  LogJobDecision(DecisionKind::kJobCancelled, aJob, "requested by its caller");
  EndJob(*job, JobPhase::kCancelled, aNow);
}

void JobShard::OnConfig(const ClusterConfig& aConfig)
{
  mConfig = aConfig;
  mConfigVersion++;
  mSearch.ForgetRefusals();
  mNeedsPlacement = true;
}

void JobShard::OnWorkers(const std::vector<WorkerFacts>& aWorkers,
                         MonotonicTime aNow)
{
  std::set<WorkerId> listed;
  for (const WorkerFacts& facts : aWorkers) {
    listed.insert(facts.mId);
    WorkerRoom& workerState = mWorkers.Add(facts.mId);
    if (workerState.mFacts.mEndpoint != facts.mEndpoint) {
      // The record has the old address, at which a successor would ask.
      workerState.mRecorded = false;
      mWorkers.NoteChange(workerState);
    }
    mWorkers.SetFacts(workerState, facts);
    if (!workerState.mListed) {
      workerState.mListed = true;
      mWorkers.NoteChange(workerState);
    }
    if (workerState.mBirth == Birth()) {
      workerState.mBirth = facts.mBirth;
    }
    if (workerState.mBirth < facts.mBirth && workerState.mBirth != Birth()) {
      ResetIncarnation(workerState, facts.mBirth, aNow);
    }
    const bool mayStart = workerState.mInventoried && !workerState.mSilent &&
                          facts.mState != WorkerState::kLeaving;
    if (mayStart) {
      RevokeHandoverNote(workerState);
    }
    if (!workerState.mRecorded) {
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
      mWorkers.NoteChange(workerState);
    }
  }
  mHasWorkerList = true;
}

std::vector<JobId> JobShard::FindRetirableJobs(MonotonicTime aNow) const
{
  std::vector<JobId> jobs;
  for (const auto& [id, job] : mBook.All()) {
    const bool isSettled = IsOver(job.mPhase) && job.mShown == job.mPhase;
    if (isSettled && aNow - job.mOverSince >= mOptions.mKeepOver &&
        jobs.size() < kMaxJobsPerBatch) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

ProgressBatch JobShard::TakeProgress(MonotonicTime aNow)
{
  ProgressBatch batch;
  while (!mDirtyJobs.empty() && batch.mJobs.size() < kMaxJobsPerBatch) {
    const JobEntry* job = mBook.Find(*mDirtyJobs.begin());
    mDirtyJobs.erase(mDirtyJobs.begin());
    if (job != nullptr) {
      batch.mJobs.push_back(mBook.ToRecord(*job));
    }
  }
  if (aNow >= mRetireJobsAt) {
    mRetireJobsAt = aNow + kRetireInterval;
    batch.mRetired = FindRetirableJobs(aNow);
  }
  for (const WorkerId& id : mDirtyWorkers) {
    WorkerRoom* workerState = mWorkers.Find(id);
    if (workerState == nullptr) {
      continue;
    }
    mForgotten.erase(id);
    batch.mWorkers.push_back(TakeWorkerRecord(*workerState, aNow));
  }
  mDirtyWorkers.clear();
  batch.mForgotten.assign(mForgotten.begin(), mForgotten.end());
  mForgotten.clear();
  if (!batch.Empty() && aNow >= mSaveLearnedAt) {
    mSaveLearnedAt = aNow + kSaveLearnedInterval;
    batch.mLearned = Learned();
  }
  if (!mDirtyJobs.empty()) {
    return batch;
  }
  for (const auto& [id, workerState] : mWorkers.All()) {
    if (workerState.mDurable < workerState.mTaken) {
      batch.mEnds.push_back({ id, workerState.mBirth, workerState.mTaken });
    }
  }
  return batch;
}

void JobShard::OnDurable(const ProgressBatch& aBatch)
{
  for (const JobRecord& record : aBatch.mJobs) {
    JobEntry* job = mBook.Find(record.mId);
    if (job != nullptr) {
      job->mShown = record.mPhase;
    }
  }
  for (const JobId& id : aBatch.mRetired) {
    mBook.Retire(id);
  }
  for (const KnownWorker& worker : aBatch.mWorkers) {
    OnWorkerRecordDurable(worker);
  }
  for (const ProgressBatch::EndsTaken& ends : aBatch.mEnds) {
    WorkerRoom* workerState = mWorkers.Find(ends.mWorker);
    if (workerState != nullptr && workerState->mBirth == ends.mBirth) {
      workerState->mDurable = std::max(workerState->mDurable, ends.mNumber);
      auto& pendingEnds = workerState->mEndsNotDurable;
      pendingEnds.erase(pendingEnds.begin(),
                        pendingEnds.upper_bound(workerState->mDurable));
    }
  }
}

void JobShard::OnWorkerRecordDurable(const KnownWorker& aWorker)
{
  WorkerRoom* workerState = mWorkers.Find(aWorker.mId);
  const bool isSameWorker = workerState != nullptr &&
                            workerState->mBirth == aWorker.mBirth &&
                            workerState->mFacts.mEndpoint == aWorker.mEndpoint;
  if (!isSameWorker) {
    return;
  }
  // A handover note that was revoked in the meantime does not count as the
  // plain record that a worker in use needs.
  const bool isNote = aWorker.mWaitLeft || aWorker.mMayRun;
  const bool isCurrent = !isNote || workerState->mNoted;
  if (isCurrent && (!workerState->mInventoried || !aWorker.mWaitLeft)) {
    workerState->mRecorded = true;
    mWorkers.NoteChange(*workerState);
  }
}

std::optional<JobPhase> JobShard::Phase(const JobId& aJob) const
{
  const JobEntry* job = mBook.Find(aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  if (IsOver(job->mShown)) {
    return job->mShown;
  }
  return job->mBegun ? JobPhase::kRunning : JobPhase::kQueued;
}

std::optional<MonotonicTime> JobShard::CancelledAt(const JobId& aJob) const
{
  const JobEntry* job = mBook.Find(aJob);
  if (job == nullptr || job->mPhase != JobPhase::kCancelled) {
    return std::nullopt;
  }
  return job->mOverSince;
}

std::vector<JobDecision> JobShard::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

void JobShard::ReleaseTask(const TaskRef& aTask)
{
  StepTask* task = mBook.FindTask(aTask);
  if (task == nullptr || !IsPlaced(task->mPhase)) {
    return;
  }
  WorkerRoom* workerState = mWorkers.Find(task->mWorker);
  if (workerState != nullptr) {
    mWorkers.Release(*workerState, aTask, mBook.SpecOf(aTask.mStep));
  }
  mResendStopAt.erase(aTask);
  mBook.Settle(aTask);
  mNeedsPlacement = true;
}

void JobShard::AvoidWorker(WorkerRoom& aWorker,
                           MonotonicTime aUntil,
                           const char* aWhy)
{
  if (aUntil <= aWorker.mAvoidUntil) {
    return;
  }
  aWorker.mAvoidUntil = aUntil;
  mWorkers.NoteChange(aWorker);
  LogWorkerDecision(DecisionKind::kWorkerAvoided, aWorker.mFacts.mId, aWhy);
}

const QueueRules& JobShard::RulesOf(const JobEntry& aJob) const
{
  const auto found = mConfig.mRules.find(aJob.mGraph.mQueue);
  return found == mConfig.mRules.end() ? aJob.mGraph.mRules : found->second;
}

void JobShard::LogDecision(JobDecision aDecision)
{
  if (mDecisions.size() < kMaxDecisions) {
    mDecisions.push_back(std::move(aDecision));
  }
}

JobDecision JobShard::MakeTaskDecision(DecisionKind aKind,
                                       const TaskRef& aTask,
                                       const WorkerId& aWorker,
                                       RunNumber aRun,
                                       std::string aWhy)
{
  JobDecision decision;
  decision.mKind = aKind;
  decision.mJob = aTask.mStep.mJob;
  decision.mTask = aTask;
  decision.mWorker = aWorker;
  decision.mRun = aRun.Value();
  decision.mWhy = std::move(aWhy);
  return decision;
}

void JobShard::LogDecision(DecisionKind aKind,
                           const TaskRef& aTask,
                           const WorkerId& aWorker,
                           RunNumber aRun,
                           std::string aWhy)
{
  LogDecision(MakeTaskDecision(aKind, aTask, aWorker, aRun, std::move(aWhy)));
}

void JobShard::LogJobDecision(DecisionKind aKind,
                              const JobId& aJob,
                              std::string aWhy)
{
  JobDecision decision;
  decision.mKind = aKind;
  decision.mJob = aJob;
  decision.mWhy = std::move(aWhy);
  LogDecision(std::move(decision));
}

void JobShard::LogWorkerDecision(DecisionKind aKind,
                                 const WorkerId& aWorker,
                                 std::string aWhy)
{
  JobDecision decision;
  decision.mKind = aKind;
  decision.mWorker = aWorker;
  decision.mWhy = std::move(aWhy);
  LogDecision(std::move(decision));
}

} // namespace mulberryvalve
