// The states of jobs and tasks, and what of them is durable.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_STATE_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_STATE_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_graph.h"

#include <algorithm>
#include <vector>

namespace mulberryvalve {

enum class JobPhase
{
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

inline constexpr EnumTable<JobPhase, 5> kJobPhaseNames{ { {
  { JobPhase::kQueued, "queued" },
  { JobPhase::kRunning, "running" },
  { JobPhase::kCompleted, "completed" },
  { JobPhase::kFailed, "failed" },
  { JobPhase::kCancelled, "cancelled" },
} } };

// IsOver tells whether a job in aPhase changes no more.
constexpr bool IsOver(JobPhase aPhase)
{
  return aPhase == JobPhase::kCompleted || aPhase == JobPhase::kFailed ||
         aPhase == JobPhase::kCancelled;
}

// TaskPhase is what the owner believes of a task. All phases from kStarting to
// kStopping charge the task's worker.
enum class TaskPhase
{
  kWaiting,
  kStarting,  // a start was ordered and has no answer yet
  kRunning,   // the worker said that it runs
  kUnsettled, // a start got no answer; it may run, or may run later
  kStopping,  // a stop was ordered; the end is not listed yet
  kDone,
};

inline constexpr EnumTable<TaskPhase, 6> kTaskPhaseNames{ { {
  { TaskPhase::kWaiting, "waiting" },
  { TaskPhase::kStarting, "starting" },
  { TaskPhase::kRunning, "running" },
  { TaskPhase::kUnsettled, "unsettled" },
  { TaskPhase::kStopping, "stopping" },
  { TaskPhase::kDone, "done" },
} } };

// IsPlaced tells whether a task in aPhase is charged to a worker.
constexpr bool IsPlaced(TaskPhase aPhase)
{
  return aPhase != TaskPhase::kWaiting && aPhase != TaskPhase::kDone;
}

// EndKind is how a run ended, as its worker lists it.
enum class EndKind
{
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken, // another member of its gang ended
  kAlone,  // it waited too long for the other members of its gang
};

inline constexpr EnumTable<EndKind, 6> kEndKindNames{ { {
  { EndKind::kDone, "done" },
  { EndKind::kFailed, "failed" },
  { EndKind::kStopped, "stopped" },
  { EndKind::kLapsed, "lapsed" },
  { EndKind::kBroken, "broken" },
  { EndKind::kAlone, "alone" },
} } };

// StepTask is one task as its owner sees it. What is durable of it is in
// TaskRecord.
struct StepTask
{
  TaskPhase mPhase = TaskPhase::kWaiting;
  WorkerId mWorker;
  RunNumber mRun;
  // It has ended done; a run that is left of it is stopped.
  bool mDone = false;
  // The runs whose end was taken in; an end that is listed again by a worker
  // after a change of owner is not counted twice, and may be heard of late.
  std::vector<RunNumber> mCounted;
  int mFailures = 0;
  // Where it failed last, as far as this owner knows.
  WorkerId mFailedAt;
  CheckpointId mCheckpoint;
  // When the worker said that it begins; zero when this owner has not heard
  // that itself.
  MonotonicTime mStartedAt;
  // Since when the worker's lists are certain to reflect the last answer.
  MonotonicTime mAnsweredAt;
  // It is started again only with a proof of ownership of this time or later.
  MonotonicTime mNeedsProofOf;
  // The list in which a worker named it last.
  uint64_t mListNumber = 0;
  // It was placed where it presses on services, since it had waited; it is
  // paced there, not moved.
  bool mIsTolerated = false;
  // How much of its speed the task was told to work at.
  int mPacePercent = 100;

  // HasCounted tells whether the end of a run was taken in.
  bool HasCounted(RunNumber aRun) const
  {
    return std::find(mCounted.begin(), mCounted.end(), aRun) != mCounted.end();
  }
};

// TaskRecord is the durable part of a task that is not as it was handed in.
struct TaskRecord
{
  uint32_t mOccurrence = 0;
  uint32_t mStep = 0;
  uint32_t mIndex = 0;
  bool mDone = false;
  int mFailures = 0;
  std::vector<RunNumber> mCounted;
  CheckpointId mCheckpoint;
};

// JobRecord is the durable progress of one job.
struct JobRecord
{
  JobId mId;
  JobPhase mPhase = JobPhase::kQueued;
  std::vector<TaskRecord> mTasks;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_STATE_H_
