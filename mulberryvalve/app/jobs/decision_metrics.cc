#include "mulberryvalve/app/jobs/decision_metrics.h"

namespace mulberryvalve {

void DecisionMetrics::Count(const JobDecision& aDecision) const
{
  switch (aDecision.mKind) {
    case DecisionKind::kTaskPlaced:
      mMetrics.Add(Counter::kTasksAssigned, 1);
      break;
    case DecisionKind::kJobCopyRead:
      mMetrics.Add(Counter::kJobCopiesRead, 1);
      break;
    case DecisionKind::kTaskEnded:
      CountEnd(aDecision.mEnd);
      break;
    case DecisionKind::kTaskLost:
      mMetrics.Add(Counter::kTasksLost, 1);
      break;
    case DecisionKind::kTaskStopped:
      mMetrics.Add(Counter::kTasksEvicted, 1);
      break;
    case DecisionKind::kTaskAdopted:
      mMetrics.Add(Counter::kTasksAdopted, 1);
      break;
    case DecisionKind::kStepWaits:
      CountWait(aDecision.mWaitCause);
      break;
    case DecisionKind::kWorkerSilent:
      mMetrics.Add(Counter::kWorkersSilent, 1);
      break;
    case DecisionKind::kWorkerGiven:
      mMetrics.Add(Counter::kWorkersGiven, 1);
      break;
    case DecisionKind::kWorkerTaken:
      mMetrics.Add(Counter::kWorkersTaken, 1);
      break;
    case DecisionKind::kStartUnrecorded:
      mMetrics.Add(Counter::kStartsUnrecorded, 1);
      break;
    case DecisionKind::kTasksHeld:
      mMetrics.Add(Counter::kTasksHeldBack, aDecision.mHeldTasks);
      break;
    default:
      break;
  }
  if (aDecision.mHeldFor) {
    mMetrics.Record(Timing::kHeldBackUs, *aDecision.mHeldFor);
  }
  if (aDecision.mWaited) {
    mMetrics.Record(Timing::kFirstStartUs, *aDecision.mWaited);
  }
}

void DecisionMetrics::CountWait(WaitCause aCause) const
{
  switch (aCause) {
    case WaitCause::kNone:
      break;
    case WaitCause::kFormerOwner:
      mMetrics.Add(Counter::kWaitsForFormerOwner, 1);
      break;
    case WaitCause::kWorkers:
      mMetrics.Add(Counter::kWaitsForWorkers, 1);
      break;
    case WaitCause::kRoom:
      mMetrics.Add(Counter::kWaitsForRoom, 1);
      break;
    case WaitCause::kPressure:
      mMetrics.Add(Counter::kWaitsForPressure, 1);
      break;
    case WaitCause::kAccountLimit:
      mMetrics.Add(Counter::kWaitsForAccount, 1);
      break;
  }
}

void DecisionMetrics::CountEnd(EndKind aKind) const
{
  if (aKind == EndKind::kDone) {
    mMetrics.Add(Counter::kTasksCompleted, 1);
  } else if (aKind == EndKind::kFailed) {
    mMetrics.Add(Counter::kTasksFailed, 1);
  }
}

} // namespace mulberryvalve
