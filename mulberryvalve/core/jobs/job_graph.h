// A job as its client submitted it: a graph of steps with dependencies.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_GRAPH_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_GRAPH_H_

#include "mulberryvalve/core/accounts/client_account.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/resources.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace mulberryvalve {

using QueueId = StrongId<struct QueueIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using ImageId = StrongId<struct ImageIdTag>;
using WorkerLabel = StrongId<struct WorkerLabelTag>;

// ImageNumber identifies an image within one process. Numbers are dense from 0,
// so that tables of image pairs can be indexed by them.
using ImageNumber = uint32_t;

// RunNumber orders the starts of one task: a later start has a higher number.
using RunNumber = StrongNumber<struct RunNumberTag>;

// WorkerIncarnation distinguishes the incarnations of a worker that keeps its
// id over restarts; zero means unknown.
using WorkerIncarnation = StrongNumber<struct BirthTag>;

// QueueRules are the configured properties of one queue.
struct QueueRules
{
  ServiceId mService;
  // Lower numbers are served first.
  int mPriority = 0;
  // A task that failed this many times fails its job; zero means no limit.
  int mMaxAttempts = 0;
  // A job's time objective is this percentage of its critical path ...
  int64_t mStretchPercent = 100;
  // ... plus this.
  Milliseconds mSlack{ 0 };
};

// StepSpec describes the identical tasks of one step.
struct StepSpec
{
  uint32_t mCount = 1;
  Resources mDemand;
  Milliseconds mEstimate{ 0 };
  // Indices of earlier steps whose tasks must all complete first.
  std::vector<uint32_t> mDependsOn;
  bool mCheckpointing = false;
  // Gang scheduling: no task works before all tasks are present, and they end
  // together.
  bool mGang = false;
  bool mSameRack = false;
  // Several copies of a task may run at the same time.
  bool mSpeculative = false;
  // Long-running: the tasks run until their job is cancelled.
  bool mLongRunning = false;
  // Best effort: the tasks use CPU that other tasks leave unused. Their CPU
  // demand does not count as committed on the worker.
  bool mBestEffort = false;
  WorkerLabel mRequiredLabel;
  RackId mDataRack;
  // Limit of tasks of the step on one worker; zero means no limit.
  uint32_t mMaxPerWorker = 0;
  ImageId mImage;
  // Assigned by the JobTable that holds the job.
  ImageNumber mImageNumber = 0;
  // The target for the tail latency of a long-running task that serves
  // requests; zero if there is none.
  Milliseconds mTailLatencyTarget{ 0 };
  // How many tasks of the step this scheduler may make unavailable at the same
  // time.
  uint32_t mMaxUnavailable = 0;

  // Committed returns the part of the demand that is deducted from the worker's
  // free capacity.
  Resources Committed() const
  {
    Resources committed = mDemand;
    committed.mCpuMillis = mBestEffort ? 0 : mDemand.mCpuMillis;
    return committed;
  }
};

// Recurrence repeats the steps of a job at a fixed interval.
struct Recurrence
{
  uint32_t mTimes = 0;
  WallTime mFirst;
  Milliseconds mInterval{ 0 };
};

// JobGraph is a value type; not synchronised.
struct JobGraph
{
  JobId mId;
  QueueId mQueue;
  // The rules of the queue when the job was accepted. They stay in force after
  // the queue is removed.
  QueueRules mRules;
  // The client account that submitted the job; empty if none is known. It stays
  // with the job when the account is removed.
  ClientAccountId mAccount;
  // Opaque to the scheduler; passed to the workers unchanged.
  std::string mSpecification;
  std::vector<StepSpec> mSteps;
  Recurrence mRecurrence;
  // When the job was accepted, by the clock of the accepting instance; zero if
  // unknown. Used for nothing but the order of waiting jobs.
  WallTime mAcceptedAt;

  // Occurrences returns how many times the steps run.
  uint32_t Occurrences() const
  {
    return mRecurrence.mTimes == 0 ? 1 : mRecurrence.mTimes;
  }

  // TasksPerOccurrence returns the number of tasks of all steps.
  uint64_t TasksPerOccurrence() const
  {
    uint64_t tasks = 0;
    for (const StepSpec& step : mSteps) {
      tasks += step.mCount;
    }
    return tasks;
  }
};

// StepRef identifies one step of one occurrence of a job.
struct StepRef
{
  JobId mJob;
  uint32_t mOccurrence = 0;
  uint32_t mStep = 0;

  friend bool operator<(const StepRef& aLeft, const StepRef& aRight)
  {
    return std::tie(aLeft.mJob, aLeft.mOccurrence, aLeft.mStep) <
           std::tie(aRight.mJob, aRight.mOccurrence, aRight.mStep);
  }
  friend bool operator==(const StepRef& aLeft, const StepRef& aRight)
  {
    return std::tie(aLeft.mJob, aLeft.mOccurrence, aLeft.mStep) ==
           std::tie(aRight.mJob, aRight.mOccurrence, aRight.mStep);
  }
};

// TaskRef identifies one task.
struct TaskRef
{
  StepRef mStep;
  uint32_t mIndex = 0;

  friend bool operator<(const TaskRef& aLeft, const TaskRef& aRight)
  {
    return std::tie(aLeft.mStep, aLeft.mIndex) <
           std::tie(aRight.mStep, aRight.mIndex);
  }
  friend bool operator==(const TaskRef& aLeft, const TaskRef& aRight)
  {
    return aLeft.mStep == aRight.mStep && aLeft.mIndex == aRight.mIndex;
  }

  // Text returns the task in the form used in log lines.
  std::string Text() const
  {
    return mStep.mJob.Text() + "." + std::to_string(mStep.mOccurrence) + "." +
           std::to_string(mStep.mStep) + "." + std::to_string(mIndex);
  }
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_GRAPH_H_
