// One decision of a shard's owner, reported in the process log.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_DECISION_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_DECISION_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/jobs/inherited_wait.h"
#include "mulberryvalve/core/jobs/job_state.h"

#include <optional>
#include <string>

namespace mulberryvalve {

enum class DecisionKind
{
  kJobKnown,        // a job was read from the log
  kJobCopyRead,     // a copy of the record of a job that is over was read
  kJobCancelled,    // the cancellation of a job was read
  kJobOver,         // all tasks completed, or one failed too often
  kTaskPlaced,      // a start was sent
  kStepWaits,       // no worker was found for tasks that are ready
  kTaskAdopted,     // a run started by a former owner was found
  kTaskEnded,       // a worker reported the end of a run
  kTaskLost,        // a run is missing from its worker's lists
  kTaskUnsettled,   // a start or stop was not answered
  kTaskStopped,     // a stop was sent
  kWorkerKnown,     // a worker sent its run lists for the first time
  kWorkerSilent,    // a worker did not answer
  kWorkerBack,      // a silent worker answers again
  kWorkerLapsed,    // the leases of all runs there have expired
  kWorkerRestarted, // it restarted and lost its state
  kWorkerAvoided,   // it gets no new tasks for a while
  kWorkerFenced,    // it follows a newer owner
  kWorkerPaced,     // the pace of its best-effort tasks changed
  kTasksHeld, // tasks wait for a former owner's workers, or stopped waiting
  kWorkerReleased,   // the wait for a former owner's worker has ended
  kStartUnrecorded,  // a start was sent before the log named its worker
  kAccountLimited,   // tasks of a client account wait for its limit
  kAccountUnlimited, // none do any more
  kWorkerGiven,      // it is moved to another shard
  kWorkerTaken,      // it was moved here from another shard
};

inline constexpr EnumTable<DecisionKind, 26> kDecisionKindNames{ { {
  { DecisionKind::kJobKnown, "job_known" },
  { DecisionKind::kJobCopyRead, "job_copy_read" },
  { DecisionKind::kJobCancelled, "job_cancelled" },
  { DecisionKind::kJobOver, "job_over" },
  { DecisionKind::kTaskPlaced, "task_placed" },
  { DecisionKind::kStepWaits, "step_waits" },
  { DecisionKind::kTaskAdopted, "task_adopted" },
  { DecisionKind::kTaskEnded, "task_ended" },
  { DecisionKind::kTaskLost, "task_lost" },
  { DecisionKind::kTaskUnsettled, "task_unsettled" },
  { DecisionKind::kTaskStopped, "task_stopped" },
  { DecisionKind::kWorkerKnown, "worker_known" },
  { DecisionKind::kWorkerSilent, "worker_silent" },
  { DecisionKind::kWorkerBack, "worker_back" },
  { DecisionKind::kWorkerLapsed, "worker_lapsed" },
  { DecisionKind::kWorkerRestarted, "worker_reborn" },
  { DecisionKind::kWorkerAvoided, "worker_avoided" },
  { DecisionKind::kWorkerFenced, "worker_fenced" },
  { DecisionKind::kWorkerPaced, "worker_paced" },
  { DecisionKind::kTasksHeld, "tasks_held" },
  { DecisionKind::kWorkerReleased, "worker_released" },
  { DecisionKind::kStartUnrecorded, "start_unrecorded" },
  { DecisionKind::kAccountLimited, "account_limited" },
  { DecisionKind::kAccountUnlimited, "account_unlimited" },
  { DecisionKind::kWorkerGiven, "worker_given" },
  { DecisionKind::kWorkerTaken, "worker_taken" },
} } };

// WaitCause is the most frequent reason why workers are ruled out for a waiting
// step.
enum class WaitCause
{
  kNone,
  kFormerOwner, // workers a former owner may still use have not answered
  kWorkers,  // their state is unknown, or they are avoided, leaving or unsuited
  kRoom,     // they have no free capacity
  kPressure, // their serving tasks would miss a latency target
  kAccountLimit, // the client account has as much running as it may
};

inline constexpr EnumTable<WaitCause, 6> kWaitCauseNames{ { {
  { WaitCause::kNone, "none" },
  { WaitCause::kFormerOwner, "former_owner" },
  { WaitCause::kWorkers, "workers" },
  { WaitCause::kRoom, "room" },
  { WaitCause::kPressure, "pressure" },
  { WaitCause::kAccountLimit, "account_limit" },
} } };

// JobDecision states what was decided, for which job, task and worker, and why.
// Fields that do not apply are empty.
struct JobDecision
{
  DecisionKind mKind = DecisionKind::kJobKnown;
  JobId mJob;
  std::optional<TaskRef> mTask;
  WorkerId mWorker;
  uint64_t mRun = 0;
  std::string mReason;
  // For kStepWaits.
  WaitCause mWaitCause = WaitCause::kNone;
  // For kTaskEnded.
  EndKind mEnd = EndKind::kStopped;
  // For kTasksHeld: how many tasks wait, and how long after this owner claimed
  // the shard the last of them stopped waiting.
  size_t mHeldTasks = 0;
  std::optional<Milliseconds> mHeldFor;
  // For kTasksHeld while tasks wait.
  std::optional<HeldTaskCounts> mHeldCounts;
  // For kWorkerReleased.
  std::optional<EndedWait> mEndedWait;
  // For the first start of a job that this owner read from the log itself: the
  // time since it read the job.
  std::optional<Milliseconds> mWaited;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_DECISION_H_
