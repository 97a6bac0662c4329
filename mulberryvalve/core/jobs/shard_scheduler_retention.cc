// ShardScheduler: jobs and cancellations as they are read from the intake, and
// how long they stay there.
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <utility>

namespace mulberryvalve {
namespace {

// Finished jobs are kept for minutes, so some delay in retiring them is
// harmless.
constexpr Milliseconds kRetireInterval{ 1000 };

// Returns whether an owner may forget a job whose retention has ended: its end
// is durable, and no worker is charged for a task of it.
bool MayForget(const JobEntry& aJob)
{
  return aJob.mDurablePhase == aJob.mPhase && !JobTable::HasPlacedTask(aJob);
}

} // namespace

void ShardScheduler::OnJobSubmitted(JobGraph aGraph,
                                    MonotonicTime aNotBefore,
                                    MonotonicTime aNow)
{
  const JobId id = aGraph.mId;
  JobEntry* job = mJobTable.Add(std::move(aGraph));
  if (job == nullptr) {
    OnCopyRead(*mJobTable.Find(id), aNow);
    return;
  }
  job->mReadAt = aNow;
  mAccounts.OnJobAdded(*job);
  // The former owner may have started the job within its last proof of
  // ownership.
  job->mMayHaveFormerRuns = aNotBefore < mClaimedAt +
                                           mOptions.mNewJobProofLimit +
                                           mOptions.mLease.mMargin;
  mNeedsPlacement = true;
  mDecisions.AddJob(DecisionKind::kJobKnown, id, job->mGraph.mQueue.Text());
  ApplyKeptReports(*job, aNow);
  if (mRetention.TakeCancellation(id)) {
    EndJob(*job, JobPhase::kCancelled, aNow);
  }
}

// Extends the retention of a job that is over, also if its removal has begun.
void ShardScheduler::KeepOver(JobEntry& aJob, MonotonicTime aNow)
{
  mRetention.Extend(aJob.mGraph.mId, aNow);
  aJob.mIsOffIntake = false;
}

// Handles another copy of the record of a known job. It remains one job.
void ShardScheduler::OnCopyRead(JobEntry& aJob, MonotonicTime aNow)
{
  if (!IsOver(aJob.mPhase)) {
    return;
  }
  KeepOver(aJob, aNow);
  mDecisions.AddJob(DecisionKind::kJobCopyRead,
                    aJob.mGraph.mId,
                    "the job is " +
                      std::string(kJobPhaseNames.Name(aJob.mPhase)));
}

void ShardScheduler::OnJobCancelled(const JobId& aJob, MonotonicTime aNow)
{
  JobEntry* job = mJobTable.Find(aJob);
  if (job == nullptr) {
    mRetention.AddCancellation(aJob, aNow);
    return;
  }
  if (IsOver(job->mPhase)) {
    KeepOver(*job, aNow);
    return;
  }
  mDecisions.AddJob(
    DecisionKind::kJobCancelled, aJob, "requested by its caller");
  EndJob(*job, JobPhase::kCancelled, aNow);
}

std::vector<JobId> ShardScheduler::TakeRetirableJobs(MonotonicTime aNow)
{
  std::vector<JobId> jobs;
  if (aNow < mRetireJobsAt) {
    return jobs;
  }
  mRetireJobsAt = aNow + kRetireInterval;
  for (JobId& id : mRetention.Expired(aNow, ProgressBatch::kMaxJobs)) {
    const JobEntry* job = mJobTable.Find(id);
    if (job == nullptr || MayForget(*job)) {
      jobs.push_back(std::move(id));
    }
  }
  return jobs;
}

// A copy that was read since the removal was decided has extended the
// retention.
void ShardScheduler::OnRemovedFromIntake(const std::vector<JobId>& aJobs,
                                         MonotonicTime aNow)
{
  for (const JobId& id : aJobs) {
    if (!mRetention.HasExpired(id, aNow)) {
      continue;
    }
    mRetention.Forget(id);
    if (JobEntry* job = mJobTable.Find(id)) {
      job->mIsOffIntake = true;
      mRetention.OnOffIntake(RetiredJob{ id, job->mPartCount });
    }
  }
}

void ShardScheduler::RestoreProgressOffIntake(const JobRecord& aRecord)
{
  mRetention.OnOffIntake(RetiredJob{ aRecord.mId, aRecord.mPart + 1 });
}

// Forgets a job whose progress has been removed. If a copy of the job came in
// the meantime, its progress is recorded once more.
void ShardScheduler::OnRetired(const JobId& aJob)
{
  JobEntry* job = mJobTable.Find(aJob);
  if (job != nullptr && !job->mIsOffIntake) {
    for (uint32_t part = 0; part < job->mPartCount; part++) {
      job->mDirtyParts.insert(part);
    }
    mDirtyJobs.insert(aJob);
    return;
  }
  mJobTable.Forget(aJob);
  mServiceLoads.Forget(aJob);
}

} // namespace mulberryvalve
