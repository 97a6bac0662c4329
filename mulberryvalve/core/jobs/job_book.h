// JobBook: the jobs of a shard with the state of each task.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_BOOK_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_BOOK_H_

#include "mulberryvalve/core/jobs/image_table.h"
#include "mulberryvalve/core/jobs/job_state.h"
#include "mulberryvalve/core/jobs/waiting_order.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// KnownForecast is what was forecast last for a step that waits, and on what
// that rested.
struct KnownForecast
{
  // Basis is what a forecast of a job depends on.
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
  // From the acceptance of the job to its objective.
  Milliseconds mObjective{ 0 };
  int64_t mRestOfWork = 0;
};

// StepState is one step of one occurrence.
struct StepState
{
  std::vector<StepTask> mTasks;
  uint32_t mWaiting = 0;
  uint32_t mDone = 0;
  // Since when tasks wait whose turn has come; zero while none does.
  MonotonicTime mWaitingSince;
  // When it is next said why they wait.
  MonotonicTime mExplainAt;
  KnownForecast mForecast;
  // How many of the tasks each worker has.
  std::map<WorkerId, uint32_t> mSiblings;
};

// JobEntry is one job.
struct JobEntry
{
  JobGraph mGraph;
  JobPhase mPhase = JobPhase::kQueued;
  // The phase that callers may be told: it is durable.
  JobPhase mShown = JobPhase::kQueued;
  // A former owner may have started tasks of it.
  bool mInherited = false;
  // A task of it has been started.
  bool mBegun = false;
  // It is among those that JobBook::Waiting counts.
  bool mIsCountedAsWaiting = false;
  // When it was read. A claim that supersedes this owner's may be older than
  // that, so a later proof of ownership is needed, or a fresh one.
  MonotonicTime mKnownAt;
  // When it was accepted, as far as that is known; zero before it was looked
  // at.
  MonotonicTime mAcceptedAt;
  // Its place in the order of acceptance.
  uint64_t mArrivalNumber = 0;
  // So many tasks it has, and so many of them have ended done.
  uint64_t mTaskCount = 0;
  uint64_t mFinished = 0;
  // A task of it has failed.
  bool mHasFailures = false;
  // The highest run number given under the present epoch.
  RunNumber mLastRun;
  MonotonicTime mOverSince;
  std::vector<std::vector<StepState>> mOccurrences;
};

// TaskPlace is where the book keeps a task; all are null when its job, step or
// index is unknown.
struct TaskPlace
{
  JobEntry* mJob = nullptr;
  const StepSpec* mSpec = nullptr;
  StepTask* mTask = nullptr;
};

// JobBook is not synchronised. References to entries hold until Retire.
class JobBook
{
public:
  // Add takes in a job; a job that is known stays as it is. It returns the new
  // entry or null.
  JobEntry* Add(JobGraph aGraph);

  // Restore sets a job that was just added to its durable progress.
  void Restore(JobEntry& aJob, const JobRecord& aRecord);

  JobEntry* Find(const JobId& aId);
  const JobEntry* Find(const JobId& aId) const;

  // FindTask returns the task, or null when its job, step or index is unknown.
  StepTask* FindTask(const TaskRef& aTask);
  const StepTask* FindTask(const TaskRef& aTask) const;

  // Locate looks a task up once for all that is known of it.
  TaskPlace Locate(const TaskRef& aTask);

  // StepOf and SpecOf return the parts of a step that exists.
  StepState& StepOf(const StepRef& aStep);
  const StepSpec& SpecOf(const StepRef& aStep) const;

  // Place, Settle and Finish move a task between its phases and keep the
  // counts of its step. Place charges nothing.
  void Place(const TaskRef& aTask, const WorkerId& aWorker, RunNumber aRun);
  void Settle(const TaskRef& aTask);
  void Finish(const TaskRef& aTask);

  // Open returns the steps with waiting tasks whose turn has come, and those
  // of occurrences that are due by aNow, with their jobs.
  const std::map<OpenStep, JobEntry*>& Open() const { return mReadySteps; }
  void OpenDue(WallTime aNow);

  // Close takes the steps of a job that is over out of the open ones.
  void Close(JobEntry& aJob);

  // Retire forgets a job that is over.
  void Retire(const JobId& aId);

  // ToRecord returns the durable progress of a job; of one that is over, its
  // phase says all.
  JobRecord ToRecord(const JobEntry& aJob) const;

  // AllDone tells whether each task of the job has ended done.
  static bool AllDone(const JobEntry& aJob);

  // Waiting counts the jobs of a queue of which no task was started.
  size_t Waiting(const QueueId& aQueue) const;

  // Images returns the numbers of the images of all jobs.
  const ImageTable& Images() const { return mImages; }
  ImageTable& Images() { return mImages; }

  // All returns every job.
  const std::unordered_map<JobId, JobEntry>& All() const { return mJobs; }
  std::unordered_map<JobId, JobEntry>& All() { return mJobs; }

private:
  bool IsReady(const JobEntry& aJob, const StepRef& aStep) const;
  void UpdateWaitingCount(JobEntry& aJob);
  void AddIfReady(JobEntry& aJob, const StepRef& aStep);
  void AddReadySuccessors(JobEntry& aJob, const StepRef& aStep);

  ImageTable mImages;
  std::unordered_map<JobId, JobEntry> mJobs;
  std::map<OpenStep, JobEntry*> mReadySteps;
  std::set<JobId> mRecurring;
  std::map<QueueId, size_t> mWaiting;
  WallTime mCurrentTime;
  uint64_t mLastArrivalNumber = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_BOOK_H_
