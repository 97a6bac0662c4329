// The jobs of a shard with the state of every task.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_TABLE_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_TABLE_H_

#include "mulberryvalve/core/jobs/image_table.h"
#include "mulberryvalve/core/jobs/job_state.h"
#include "mulberryvalve/core/jobs/queueing_policy.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// CachedForecast is the latest forecast for a waiting step and the inputs it
// was computed from.
struct CachedForecast
{
  // Basis identifies the versions of all inputs of a forecast.
  struct Basis
  {
    uint64_t mRunTimes = 0;
    uint64_t mConfig = 0;
    uint64_t mFinished = 0;

    friend bool operator==(const Basis& aLeft, const Basis& aRight)
    {
      return std::tie(aLeft.mRunTimes, aLeft.mConfig, aLeft.mFinished) ==
             std::tie(aRight.mRunTimes, aRight.mConfig, aRight.mFinished);
    }
  };

  std::optional<Basis> mBasis;
  // Time from the acceptance of the job to its objective.
  Milliseconds mObjective{ 0 };
  // Duration of the steps of the critical path that have not completed.
  Milliseconds mRemainingChain{ 0 };
  int64_t mRemainingWork = 0;
};

// StepState is the state of one step of one occurrence.
struct StepState
{
  std::vector<TaskProgress> mTasks;
  uint32_t mWaiting = 0;
  uint32_t mDone = 0;
  // Since when ready tasks have waited; zero while none waits.
  MonotonicTime mWaitingSince;
  // When no worker was last found to take a task of it.
  std::optional<MonotonicTime> mRefusedAt;
  // When the reason for the wait is logged next.
  MonotonicTime mExplainAt;
  CachedForecast mForecast;
  // The runs of a gang in which a member failed, with the member whose failure
  // was processed first.
  std::map<RunNumber, uint32_t> mFailedGangRuns;
  // How many tasks of the step each worker has.
  std::map<WorkerId, uint32_t> mTasksPerWorker;
};

// JobEntry is the state of one job.
struct JobEntry
{
  JobGraph mGraph;
  JobPhase mPhase = JobPhase::kQueued;
  // The durable phase, the only one that clients may be told.
  JobPhase mDurablePhase = JobPhase::kQueued;
  // A former owner may have started tasks of the job.
  bool mMayHaveFormerRuns = false;
  // A run of a task of the job has ended before this owner.
  bool mHasFormerEnds = false;
  // The starts of its tasks that were sent and neither refused nor left without
  // an answer, and the runs found.
  uint64_t mStartCount = 0;
  // The job is included in the count that JobTable::Waiting returns.
  bool mIsCountedAsWaiting = false;
  // When the job was read from the log. Another owner's claim may be older than
  // that, so starting the job needs a later proof of ownership, or a new one.
  MonotonicTime mReadAt;
  // When the job was accepted, as far as known; zero until it is first
  // computed.
  MonotonicTime mAcceptedAt;
  // Position in the order of acceptance.
  uint64_t mArrivalNumber = 0;
  // Number of tasks, and of those that have completed.
  uint64_t mTaskCount = 0;
  uint64_t mFinished = 0;
  // A task of the job has failed.
  bool mHasFailures = false;
  // The number that AccountScheduling has given to the job's client account;
  // zero if it has none.
  uint32_t mAccountNumber = 0;
  // The job is beyond the rate that its client account may send.
  bool mIsBeyondRate = false;
  // The highest run number assigned in the current epoch.
  RunNumber mLastRun;
  // When this owner learned that the job is over.
  MonotonicTime mFinishedAt;
  // The parts of the job's progress that have changed since they were last
  // written, and the number of parts that may be on the log.
  std::set<uint32_t> mDirtyParts;
  uint32_t mPartCount = 1;
  // The job is no longer on the intake, from which it is removed some time
  // after it finished.
  bool mIsOffIntake = false;
  // The state of the steps by occurrence, of those that are due or of which
  // anything is known: a job may have very many that are due much later. All
  // before mNextDue are there.
  std::map<uint32_t, std::vector<StepState>> mOccurrences;
  uint32_t mNextDue = 0;

  // Returns whether a task of the job has been started.
  bool HasStarted() const { return mHasFormerEnds || mStartCount > 0; }
};

// TaskLookup is the result of looking up a task; all pointers are null if its
// job, step or index is unknown.
struct TaskLookup
{
  JobEntry* mJob = nullptr;
  const StepSpec* mSpec = nullptr;
  TaskProgress* mTask = nullptr;
};

// JobTable is not synchronised. References to entries stay valid until Forget.
class JobTable
{
public:
  // Add inserts a job and returns its entry, or returns null and changes
  // nothing if the job is known.
  JobEntry* Add(JobGraph aGraph);

  // Restore sets a job that was just added to its durable progress.
  void Restore(JobEntry& aJob, const JobRecord& aRecord);

  JobEntry* Find(const JobId& aId);
  const JobEntry* Find(const JobId& aId) const;

  // FindTask returns the task, or null when its job, step or index is unknown.
  // References to tasks and steps stay valid while their jobs do.
  TaskProgress* FindTask(const TaskRef& aTask);
  const TaskProgress* FindTask(const TaskRef& aTask) const;

  // Locate returns the task together with its job and specification.
  TaskLookup Locate(const TaskRef& aTask);

  // StepOf and SpecOf return the state and the specification of a step, which
  // must exist.
  StepState& StepOf(const StepRef& aStep);
  const StepState& StepOf(const StepRef& aStep) const;
  const StepSpec& SpecOf(const StepRef& aStep) const;

  // Assign marks a waiting task as starting on a worker, Unassign takes a task
  // off its worker, and Finish marks a task as completed. All keep the counts
  // of the step. None of them changes the capacity accounting of WorkerTable.
  // Assign returns whether it changed the durable part of the job's progress:
  // the worker is to be recorded, unless a former owner has done so.
  bool Assign(const TaskRef& aTask, const WorkerId& aWorker, RunNumber aRun);
  void Unassign(const TaskRef& aTask);
  void Finish(const TaskRef& aTask);

  // MarkStarted records that a start of a task of a job, which must exist, was
  // sent or that a run of it was found.
  void MarkStarted(const JobId& aJob);

  // TakeBackStart takes back one call of MarkStarted: the worker will never
  // carry out that start, or it is not known whether it has. The job must
  // exist.
  void TakeBackStart(const JobId& aJob);

  // ReadySteps returns the steps with waiting tasks that are ready, with their
  // jobs. AddDueSteps adds those of occurrences that are due at aNow.
  const std::map<ReadyStepKey, JobEntry*>& ReadySteps() const
  {
    return mReadySteps;
  }
  void AddDueSteps(WallTime aNow);

  // RemoveReadySteps removes all steps of a finished job from the ready steps.
  void RemoveReadySteps(JobEntry& aJob);

  // Forget removes a finished job.
  void Forget(const JobId& aId);

  // PartOf returns the number of the part of its job's progress that has the
  // task, which must exist.
  uint32_t PartOf(const TaskRef& aTask) const;

  // MarkDirty records that the progress of a task has changed, and
  // MarkPhaseDirty that the phase of a job has.
  void MarkDirty(const TaskRef& aTask);
  void MarkPhaseDirty(JobEntry& aJob);

  // TakeDirtyParts returns the parts of a job's durable progress that have
  // changed since the last call. For a finished job that is its phase alone.
  std::vector<JobRecord> TakeDirtyParts(JobEntry& aJob) const;

  // FailedAttempts returns how often a task of a step has failed, or the gang
  // if the step is one: a run of a gang counts once, however many members fail.
  static int FailedAttempts(const StepState& aStep, uint32_t aIndex);

  // HasPlacedTask returns whether a worker is charged for a task of the job.
  static bool HasPlacedTask(const JobEntry& aJob);

  // AllDone returns whether every task of the job has completed.
  static bool AllDone(const JobEntry& aJob);

  // Waiting returns the number of jobs of a queue of which no task was started.
  size_t Waiting(const QueueId& aQueue) const;

  // Images returns the numbers of the images of all jobs.
  const ImageTable& Images() const { return mImages; }
  ImageTable& Images() { return mImages; }

  // All returns every job.
  const std::unordered_map<JobId, JobEntry>& All() const { return mJobs; }
  std::unordered_map<JobId, JobEntry>& All() { return mJobs; }

private:
  std::vector<StepState>& Open(JobEntry& aJob, uint32_t aOccurrence);
  void OpenDueOccurrences(JobEntry& aJob);
  bool IsDue(const JobEntry& aJob, uint32_t aOccurrence) const;
  bool IsReady(const JobEntry& aJob, const StepRef& aStep) const;
  void UpdateWaitingCount(JobEntry& aJob);
  void AddIfReady(JobEntry& aJob, const StepRef& aStep);
  void AddReadySuccessors(JobEntry& aJob, const StepRef& aStep);

  ImageTable mImages;
  std::unordered_map<JobId, JobEntry> mJobs;
  std::map<ReadyStepKey, JobEntry*> mReadySteps;
  std::set<JobId> mRecurring;
  std::map<QueueId, size_t> mWaiting;
  WallTime mCurrentTime;
  uint64_t mLastArrivalNumber = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_TABLE_H_
