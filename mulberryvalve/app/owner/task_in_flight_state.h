// TaskInFlightState: an owner's pending records and commands for one task.
#ifndef MULBERRYVALVE_APP_OWNER_TASK_IN_FLIGHT_STATE_H_
#define MULBERRYVALVE_APP_OWNER_TASK_IN_FLIGHT_STATE_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/resources.h"

namespace mulberryvalve {

// TaskInFlightState is not persisted. It only keeps the same owner from
// repeating an action that has not yet reached the shard's state machine.
struct TaskInFlightState
{
  // The attempt that the command fields below refer to.
  Attempt mAttempt;
  // A record about the task was submitted and is not yet applied.
  bool mProposed = false;
  // The offset of that record, or zero while it is unknown.
  Offset mProposedAt;
  // The worker and the resources charged to it by a pending assignment.
  WorkerId mProposedWorker;
  Resources mProposedCharge;
  // A command for the task is queued or running.
  bool mCommandInFlight = false;
  // A start command was sent. It can take effect until mStartEffectiveUntil.
  bool mStartSent = false;
  MonotonicTime mStartEffectiveUntil;
  // The worker confirmed that the lease was stopped.
  bool mStopped = false;
  // The newest checkpoint that the worker reported.
  CheckpointId mCheckpoint;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_OWNER_TASK_IN_FLIGHT_STATE_H_
