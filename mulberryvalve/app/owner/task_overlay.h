// TaskOverlay: what an owner has under way for a task beyond the ledger.
#ifndef MULBERRYVALVE_APP_OWNER_TASK_OVERLAY_H_
#define MULBERRYVALVE_APP_OWNER_TASK_OVERLAY_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/resources.h"

namespace mulberryvalve {

// TaskOverlay is lost with the process; nothing rests on it but that the same
// owner does not act twice.
struct TaskOverlay
{
  // The attempt that the command fields below speak of.
  Attempt mAttempt;
  // A record of the task is on its way to the log.
  bool mProposed = false;
  // The offset from which on the record is folded; zero while unknown.
  Offset mProposedAt;
  // The worker charged by a proposed assignment, and with how much.
  WorkerId mProposedWorker;
  Resources mProposedCharge;
  // A command for the task is queued or under way.
  bool mCommandUnderWay = false;
  // A start was sent; it can take effect until mStartEffectiveUntil.
  bool mStartSent = false;
  MonotonicTime mStartEffectiveUntil;
  // The lease was stopped for certain.
  bool mStopped = false;
  // The newest checkpoint that the worker told of.
  CheckpointId mCheckpoint;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_OWNER_TASK_OVERLAY_H_
