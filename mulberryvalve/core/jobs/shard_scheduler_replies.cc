// How ShardScheduler handles the replies to its orders.
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <string>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kAvoidRefusing{ 500 };
constexpr Milliseconds kAvoidUnhealthy{ 1500 };

} // namespace

void ShardScheduler::OnOrder(const TaskOrder& aOrder,
                             const OrderReply& aReply,
                             MonotonicTime aNow)
{
  WorkerEntry* worker = mWorkers.Find(aOrder.mWorker);
  if (aOrder.mKind == OrderKind::kStart && worker != nullptr) {
    OnStartAnswered(*worker, aOrder.mDecidedAt, aNow);
  }
  const bool isOfFormerStay = worker == nullptr
                                ? mRoom.Workers().HasLeft(aOrder.mWorker)
                                : aOrder.mEpoch < TokenFor(*worker);
  if (aReply.mOutcome == OrderOutcome::kFenced && isOfFormerStay) {
    return; // it follows the owners of the shard that it was moved to
  }
  if (aReply.mOutcome == OrderOutcome::kFenced) {
    mIsFenced = true;
    mDecisions.AddWorker(DecisionKind::kWorkerFenced, aOrder.mWorker, "order");
    return;
  }
  // Otherwise the reading is of another worker, which answers at the address.
  if (worker != nullptr && aReply.mOutcome != OrderOutcome::kGone) {
    LearnIncarnation(*worker, aReply.mReading.mWorkerIncarnation, aNow);
    if (aReply.mReading.mWorkerIncarnation == WorkerIncarnation() &&
        mWorkers.IsClockOfLaterIncarnation(
          *worker, aReply.mReading, aOrder.mDecidedAt)) {
      OnUnnamedIncarnation(*worker);
    }
    if (aReply.mReading.mWorkerIncarnation == worker->mWorkerIncarnation) {
      mWorkers.OnClockReading(*worker, aReply.mReading, aNow);
    }
  }
  const TaskProgress* task = mJobTable.FindTask(aOrder.mTask);
  const bool isCurrentRun = task != nullptr && IsPlaced(task->mPhase) &&
                            task->mWorker == aOrder.mWorker &&
                            task->mRun == aOrder.mRun;
  if (!isCurrentRun) {
    return;
  }
  if (aOrder.mKind == OrderKind::kStart) {
    OnStartOutcome(aOrder, aReply, aNow);
  } else if (aOrder.mKind == OrderKind::kStop) {
    OnStopOutcome(aOrder, aReply.mOutcome, aNow);
  } else if (aReply.mOutcome != OrderOutcome::kAccepted) {
    // The worker's next report triggers another pace order.
    mJobTable.FindTask(aOrder.mTask)->mPacePercent = 0;
  }
}

// Starts on a worker that stopped answering were already taken out of the
// window, and a worker is removed only after that.
void ShardScheduler::OnStartAnswered(WorkerEntry& aWorker,
                                     MonotonicTime aDecidedAt,
                                     MonotonicTime aNow)
{
  if (aWorker.mStartsInFlight == 0) {
    return;
  }
  aWorker.mStartsInFlight--;
  if (aWorker.mStartsWrittenOff > 0) {
    aWorker.mStartsWrittenOff--;
    return;
  }
  mWindow.OnAnswered(aDecidedAt, aNow);
}

void ShardScheduler::OnStartOutcome(const TaskOrder& aOrder,
                                    const OrderReply& aReply,
                                    MonotonicTime aNow)
{
  TaskProgress& task = *mJobTable.FindTask(aOrder.mTask);
  WorkerEntry* worker = mWorkers.Find(aOrder.mWorker);
  const OrderOutcome outcome = aReply.mOutcome;
  const bool mayHaveStarted =
    outcome == OrderOutcome::kAccepted || outcome == OrderOutcome::kUnknown;
  const bool hasRestarted =
    worker != nullptr &&
    (aOrder.mWorkerIncarnation < worker->mWorkerIncarnation || !worker->mClock);
  if (mayHaveStarted && hasRestarted) {
    mWorkers.OnStartOfFormerIncarnation(*worker, aNow);
  }
  if (outcome == OrderOutcome::kAccepted) {
    OnStartAccepted(aOrder, aReply.mReading.mWorkerIncarnation, aNow);
    return;
  }
  if (outcome == OrderOutcome::kUnknown) {
    mDecisions.AddTask(DecisionKind::kTaskUnsettled,
                       aOrder.mTask,
                       aOrder.mWorker,
                       aOrder.mRun,
                       "its start got no reply");
    if (task.mPhase == TaskPhase::kStarting) {
      task.mPhase = TaskPhase::kUnsettled;
      mJobTable.TakeBackStart(aOrder.mTask.mStep.mJob);
      mResendStopAt[aOrder.mTask] = aNow + kStopResendInterval;
    }
    if (worker != nullptr) {
      AvoidWorker(*worker, aNow + kAvoidUnhealthy, "a start got no reply");
    }
    return;
  }
  // Either the worker will never start this run, or the run was started by an
  // earlier message. The worker's next report shows which.
  if (outcome != OrderOutcome::kOutdated) {
    mJobTable.TakeBackStart(aOrder.mTask.mStep.mJob);
  }
  if (worker != nullptr) {
    const bool unhealthy = outcome == OrderOutcome::kUnhealthy;
    AvoidWorker(*worker,
                aNow + (unhealthy ? kAvoidUnhealthy : kAvoidRefusing),
                kOrderOutcomeNames.Name(outcome).data());
  }
  mDecisions.AddTask(DecisionKind::kTaskLost,
                     aOrder.mTask,
                     aOrder.mWorker,
                     aOrder.mRun,
                     std::string(kOrderOutcomeNames.Name(outcome)));
  ReleaseTask(aOrder.mTask);
}

// aIncarnation is the one that accepted the start, or zero if the answer does
// not tell; then the next report decides whether the task runs.
void ShardScheduler::OnStartAccepted(const TaskOrder& aOrder,
                                     WorkerIncarnation aIncarnation,
                                     MonotonicTime aNow)
{
  TaskProgress& task = *mJobTable.FindTask(aOrder.mTask);
  WorkerEntry* worker = mWorkers.Find(aOrder.mWorker);
  if (task.mRunsIn == WorkerIncarnation()) {
    task.mRunsIn = aIncarnation;
  }
  if (worker != nullptr && task.mRunsIn != WorkerIncarnation() &&
      task.mRunsIn < worker->mWorkerIncarnation) {
    ReleaseLostTask(aOrder.mTask, "its worker has restarted", aNow);
    return;
  }
  if (task.mPhase != TaskPhase::kStarting) {
    return;
  }
  task.mPhase = TaskPhase::kRunning;
  task.mAnsweredAt = aNow;
  task.mStartedAt = aNow;
  if (worker != nullptr) {
    QueuePaceOrder(*worker, aOrder.mTask, mJobTable.Locate(aOrder.mTask));
  }
}

void ShardScheduler::OnStopOutcome(const TaskOrder& aOrder,
                                   OrderOutcome aOutcome,
                                   MonotonicTime aNow)
{
  TaskProgress& task = *mJobTable.FindTask(aOrder.mTask);
  if (aOutcome != OrderOutcome::kAccepted) {
    return; // ResendStops sends it again
  }
  task.mPhase = TaskPhase::kStopping;
  if (task.mAnsweredAt == MonotonicTime()) {
    task.mAnsweredAt = aNow;
  }
}

} // namespace mulberryvalve
