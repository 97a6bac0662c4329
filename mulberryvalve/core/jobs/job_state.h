// States of jobs and tasks, and the part of them that is durable.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_STATE_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_STATE_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_graph.h"

#include <algorithm>
#include <iterator>
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

// IsOver returns whether aPhase is final.
constexpr bool IsOver(JobPhase aPhase)
{
  return aPhase == JobPhase::kCompleted || aPhase == JobPhase::kFailed ||
         aPhase == JobPhase::kCancelled;
}

// TaskPhase is the owner's view of a task. In the phases kStarting to kStopping
// the task occupies capacity of its worker.
enum class TaskPhase
{
  kWaiting,
  kStarting,  // a start was sent and not answered yet
  kRunning,   // the worker confirmed that it runs
  kUnsettled, // the start was not answered; it may run now or later
  kStopping,  // a stop was sent; its end is not reported yet
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

// IsPlaced returns whether a task in aPhase occupies capacity of a worker.
constexpr bool IsPlaced(TaskPhase aPhase)
{
  return aPhase != TaskPhase::kWaiting && aPhase != TaskPhase::kDone;
}

// EndKind is how a run ended, as reported by its worker.
enum class EndKind
{
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken, // another member of its gang ended
  kAlone,  // timed out waiting for the other members of its gang
};

inline constexpr EnumTable<EndKind, 6> kEndKindNames{ { {
  { EndKind::kDone, "done" },
  { EndKind::kFailed, "failed" },
  { EndKind::kStopped, "stopped" },
  { EndKind::kLapsed, "lapsed" },
  { EndKind::kBroken, "broken" },
  { EndKind::kAlone, "alone" },
} } };

// TaskProgress is the owner's state of one task. TaskRecord is the durable part
// of it.
struct TaskProgress
{
  TaskPhase mPhase = TaskPhase::kWaiting;
  WorkerId mWorker;
  RunNumber mRun;
  // The task has completed; any run of it that is left is stopped.
  bool mDone = false;
  // Runs whose end was processed. A worker may report an end again after a
  // change of owner, also late; it must not be counted twice.
  std::vector<RunNumber> mProcessedEnds;
  int mFailures = 0;
  // The worker on which the task failed last; empty if this owner does not
  // know.
  WorkerId mLastFailedWorker;
  CheckpointId mCheckpoint;
  // Workers that former owners recorded for the task and that have not been
  // settled: a run of it may be left there.
  std::vector<WorkerId> mFormerWorkers;
  // When the worker reported that the task started; zero if this owner did not
  // receive that report.
  MonotonicTime mStartedAt;
  // The incarnation of the worker that is known to run the task, with which the
  // run ends; zero while it is not known which one does.
  WorkerIncarnation mRunsIn;
  // When the worker's last answer about the task arrived. Run lists requested
  // after this time reflect it.
  MonotonicTime mAnsweredAt;
  // The task may be restarted only with a proof of ownership of this time or
  // later.
  MonotonicTime mMinOwnershipProofTime;
  // Number of the last of its worker's run lists that contained the task.
  uint64_t mListNumber = 0;
  // The task was placed in spite of the pressure it puts on serving tasks,
  // because it had waited long. It is throttled there instead of being moved.
  bool mIgnoresPressureLimit = false;
  // The pace, in percent of full speed, that the task was last told to run at.
  int mPacePercent = 100;

  // HasProcessedEnd returns whether the end of aRun was processed.
  bool HasProcessedEnd(RunNumber aRun) const
  {
    return std::find(mProcessedEnds.begin(), mProcessedEnds.end(), aRun) !=
           mProcessedEnds.end();
  }
};

// TaskRecord is the durable state of a task. Only tasks whose state differs
// from that at submission have one.
struct TaskRecord
{
  uint32_t mOccurrence = 0;
  uint32_t mStep = 0;
  uint32_t mIndex = 0;
  bool mDone = false;
  int mFailures = 0;
  std::vector<RunNumber> mProcessedEnds;
  CheckpointId mCheckpoint;
  // The workers on which a run of the task may be. A start is sent only to a
  // worker that is recorded here; unrecorded_starts.h has the one exception.
  std::vector<WorkerId> mPossibleWorkers{};
  // The runs of a gang whose first failure that was processed is that of this
  // member.
  std::vector<RunNumber> mFailedGangRuns{};
};

// The tasks of a job in one record, which keeps the record far below the
// largest that the log accepts.
inline constexpr uint64_t kTasksPerRecord = 256;

// JobRecord is a part of the durable progress of one job. Part N covers the
// tasks N * kTasksPerRecord and on, counted over all occurrences and steps, so
// that a task is always in the same part. The phase of the job is that of part
// 0; the other parts are void once it is final.
struct JobRecord
{
  JobId mId;
  JobPhase mPhase = JobPhase::kQueued;
  std::vector<TaskRecord> mTasks;
  uint32_t mPart = 0;
};

// MergePart adds another part of the same job to aRecord, whose mPart becomes
// the highest one.
inline void MergePart(JobRecord& aRecord, JobRecord aPart)
{
  if (aPart.mPart == 0) {
    aRecord.mPhase = aPart.mPhase;
  }
  aRecord.mId = aPart.mId;
  aRecord.mPart = std::max(aRecord.mPart, aPart.mPart);
  std::move(aPart.mTasks.begin(),
            aPart.mTasks.end(),
            std::back_inserter(aRecord.mTasks));
}

// RetiredJob is a job whose progress is to be removed, and its number of parts.
struct RetiredJob
{
  JobId mId;
  uint32_t mParts = 1;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_STATE_H_
