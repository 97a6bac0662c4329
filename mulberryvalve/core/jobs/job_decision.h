// JobDecision: one decision of a shard's owner, for the process log.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_DECISION_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_DECISION_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/jobs/job_state.h"

#include <optional>
#include <string>

namespace mulberryvalve {

enum class DecisionKind
{
  kJobKnown,      // a job was taken in from the log
  kJobCancelled,  // its cancellation was taken in
  kJobOver,       // all tasks are done, or one failed too often
  kTaskPlaced,    // a start was ordered
  kStepWaits,     // tasks whose turn has come find no worker
  kTaskAdopted,   // a run of a former owner was found
  kTaskEnded,     // a worker listed an end
  kTaskLost,      // a run is on no list of its worker any more
  kTaskUnsettled, // a start or stop got no answer
  kTaskStopped,   // a stop was ordered
  kWorkerKnown,   // a worker answered with its lists for the first time
  kWorkerSilent,  // a worker did not answer
  kWorkerBack,    // it answers again
  kWorkerLapsed,  // all that ran there has ended for lack of renewal
  kWorkerReborn,  // it lives anew and knows nothing of before
  kWorkerAvoided, // it gets nothing new for a while
  kWorkerFenced,  // it obeys a newer owner
  kWorkerPaced,   // tasks that fill work at another speed there
  kTasksHeld,     // tasks wait for workers of a former owner, or no more
};

inline constexpr EnumTable<DecisionKind, 19> kDecisionKindNames{ { {
  { DecisionKind::kJobKnown, "job_known" },
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
  { DecisionKind::kWorkerReborn, "worker_reborn" },
  { DecisionKind::kWorkerAvoided, "worker_avoided" },
  { DecisionKind::kWorkerFenced, "worker_fenced" },
  { DecisionKind::kWorkerPaced, "worker_paced" },
  { DecisionKind::kTasksHeld, "tasks_held" },
} } };

// WaitCause is what most of the workers lack for a step that waits.
enum class WaitCause
{
  kNone,
  kFormerOwner, // workers that a former owner may still use have not answered
  kWorkers,     // they are unsure, avoided, leaving or do not suit
  kRoom,        // their room is committed
  kPressure,    // their services would miss a target
};

inline constexpr EnumTable<WaitCause, 5> kWaitCauseNames{ { {
  { WaitCause::kNone, "none" },
  { WaitCause::kFormerOwner, "former_owner" },
  { WaitCause::kWorkers, "workers" },
  { WaitCause::kRoom, "room" },
  { WaitCause::kPressure, "pressure" },
} } };

// JobDecision names what was decided, about which job or task and worker, and
// on what grounds. Fields that do not apply are empty.
struct JobDecision
{
  DecisionKind mKind = DecisionKind::kJobKnown;
  JobId mJob;
  std::optional<TaskRef> mTask;
  WorkerId mWorker;
  uint64_t mRun = 0;
  std::string mWhy;
  // Of kStepWaits.
  WaitCause mWaitCause = WaitCause::kNone;
  // Of kTaskEnded.
  EndKind mEnd = EndKind::kStopped;
  // Of kTasksHeld: how many they are, and how long after the claim there were
  // none any more.
  size_t mHeldTasks = 0;
  std::optional<Milliseconds> mHeldFor;
  // Of the first start of a job that this owner read itself: the time since.
  std::optional<Milliseconds> mWaited;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_DECISION_H_
