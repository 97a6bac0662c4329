// JobGraph: a job made of steps that depend on each other, as its caller handed
// it in.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_GRAPH_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_GRAPH_H_

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

// ImageNumber stands for an image within one process, so that pairs of images
// are found by index. Numbers are dense from 0.
using ImageNumber = uint32_t;

// RunNumber orders the starts of one task; a later start has a higher one.
using RunNumber = StrongNumber<struct RunNumberTag>;

// QueueRules are what the configuration says of one queue.
struct QueueRules
{
  ServiceId mService;
  // The lowest number is served first.
  int mPriority = 0;
  // A task that failed this often fails its job; zero means no limit.
  int mMaxAttempts = 0;
  // The objective is this many hundredths of the longest chain of work ...
  int64_t mStretchPercent = 100;
  // ... and this much more.
  Milliseconds mSlack{ 0 };
};

// StepSpec describes the equal tasks of one step.
struct StepSpec
{
  uint32_t mCount = 1;
  Resources mDemand;
  Milliseconds mEstimate{ 0 };
  // Earlier steps whose tasks must all be done first.
  std::vector<uint32_t> mAfter;
  bool mCheckpointing = false;
  // All tasks must be present before any works, and they end together.
  bool mGang = false;
  bool mSameRack = false;
  // Copies of a task may run at the same time.
  bool mSpeculative = false;
  // The tasks run until their job is cancelled.
  bool mLasting = false;
  // The tasks use what other tasks leave over; their processor share is not
  // part of what a worker has committed.
  bool mFills = false;
  WorkerLabel mRequiredLabel;
  RackId mDataRack;
  // At most this many tasks on one worker; zero means no limit.
  uint32_t mMaxPerWorker = 0;
  ImageId mImage;
  // Given by the book that the job is in.
  ImageNumber mImageNumber = 0;
  // The limit of the tail of the response times that a lasting task's own
  // users see; zero when there is none.
  Milliseconds mTailTarget{ 0 };
  // How many tasks may be away at a time because of this scheduler.
  uint32_t mMayMiss = 0;

  // Committed returns what a task takes of its worker's room.
  Resources Committed() const
  {
    Resources committed = mDemand;
    committed.mCpuMillis = mFills ? 0 : mDemand.mCpuMillis;
    return committed;
  }
};

// Recurrence repeats the steps of a job at fixed times.
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
  // The rules at the time when the job was accepted; they hold on when the
  // queue is removed.
  QueueRules mRules;
  // Handed to the workers as it is.
  std::string mSpecification;
  std::vector<StepSpec> mSteps;
  Recurrence mRecurrence;
  // When it was accepted, by the clock of the instance that took it; zero when
  // that is not known. Only the order of what waits depends on it.
  WallTime mAcceptedAt;

  // Occurrences returns how often the steps run.
  uint32_t Occurrences() const
  {
    return mRecurrence.mTimes == 0 ? 1 : mRecurrence.mTimes;
  }
};

// StepRef names one step of one occurrence.
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

// TaskRef names one task.
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

  // Text names the task in log lines.
  std::string Text() const
  {
    return mStep.mJob.Text() + "." + std::to_string(mStep.mOccurrence) + "." +
           std::to_string(mStep.mStep) + "." + std::to_string(mIndex);
  }
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_GRAPH_H_
