// What ShardScheduler concludes of the tasks on a worker that restarts, falls
// silent, or is gone.
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <string>
#include <vector>

namespace mulberryvalve {

// An answer of a worker whose restart is not known yet shows its new
// incarnation.
void ShardScheduler::LearnIncarnation(WorkerEntry& aWorker,
                                      WorkerIncarnation aIncarnation,
                                      MonotonicTime aNow)
{
  if (!(aWorker.mWorkerIncarnation < aIncarnation)) {
    return;
  }
  if (aWorker.mWorkerIncarnation == WorkerIncarnation()) {
    aWorker.mWorkerIncarnation = aIncarnation;
  } else {
    ResetIncarnation(aWorker, aIncarnation, aNow);
  }
}

// An answer shows that the worker has restarted, though not as which
// incarnation. It is used again once a report tells that; until then the lease
// of each start that was sent there is taken for the longest one.
void ShardScheduler::OnUnnamedIncarnation(WorkerEntry& aWorker)
{
  mDecisions.AddWorker(
    DecisionKind::kWorkerRestarted, aWorker.mInfo.mId, "its clock began anew");
  DropHeldStartsOn(aWorker, "its worker has restarted");
  aWorker.mClock.reset();
  aWorker.mHasReportedRuns = false;
  mWorkers.MarkChanged(aWorker);
}

void ShardScheduler::OnWorkerSilent(WorkerEntry& aWorker, OrderOutcome aOutcome)
{
  if (aWorker.mSilent) {
    return;
  }
  mWorkers.SetSilent(aWorker, true);
  DropHeldStartsOn(aWorker, "its worker does not answer");
  mWindow.WriteOff(aWorker.mStartsInFlight - aWorker.mStartsWrittenOff);
  aWorker.mStartsWrittenOff = aWorker.mStartsInFlight;
  mDecisions.AddWorker(DecisionKind::kWorkerSilent,
                       aWorker.mInfo.mId,
                       std::string(kOrderOutcomeNames.Name(aOutcome)));
}

void ShardScheduler::ResetIncarnation(WorkerEntry& aWorker,
                                      WorkerIncarnation aBirth,
                                      MonotonicTime aNow)
{
  mDecisions.AddWorker(DecisionKind::kWorkerRestarted,
                       aWorker.mInfo.mId,
                       "its incarnation changed");
  aWorker.mWorkerIncarnation = aBirth;
  DropHeldStartsOn(aWorker, "its worker has restarted");
  ReleaseTasksOfFormerIncarnation(aWorker, aNow);
  aWorker.mLastProcessedEnd = EndNumber();
  aWorker.mLastDurableEnd = EndNumber();
  aWorker.mClock.reset();
  aWorker.mLeaseUntil = WorkerTime();
  aWorker.mHasReportedRuns = false;
  // The restarted process knows no fencing token, so a superseded owner could
  // use it until the new incarnation is on the log.
  aWorker.mRecorded = false;
  aWorker.mFailuresInRow = 0;
  aWorker.mCountFailuresFrom = MonotonicTime();
  aWorker.mTrialUntil.reset();
  aWorker.mForeignDemand = Resources();
  aWorker.mForeignDemandUnknown = false;
  aWorker.mNonDurableEnds.clear();
  mWorkers.MarkChanged(aWorker);
  mDirtyWorkers.insert(aWorker.mInfo.mId);
  mUnreadJobs.ForgetWorker(aWorker.mInfo.mId);
}

// A restart ends what ran in the former incarnation. The new one may have
// accepted starts that were sent before the restart was known: a task that is
// not known to run in either stays charged until an answer or the first report
// of the new one shows where it runs.
void ShardScheduler::ReleaseTasksOfFormerIncarnation(WorkerEntry& aWorker,
                                                     MonotonicTime aNow)
{
  const std::vector<TaskRef> charged(aWorker.mTasks.begin(),
                                     aWorker.mTasks.end());
  for (const TaskRef& ref : charged) {
    const WorkerIncarnation runsIn = mJobTable.FindTask(ref)->mRunsIn;
    if (runsIn == WorkerIncarnation()) {
      mWorkers.OnStartOfFormerIncarnation(aWorker, aNow);
    } else if (runsIn < aWorker.mWorkerIncarnation) {
      ReleaseLostTask(ref, "its worker was born anew", aNow);
    }
  }
  aWorker.mForeignRuns.clear();
}

// The task had ended by aEndedBy. A successor may have noticed
// that and started the task again, so starting it here takes a proof of
// ownership at that time or later.
void ShardScheduler::ReleaseLostTask(const TaskRef& aTask,
                                     const char* aWhy,
                                     MonotonicTime aEndedBy)
{
  TaskProgress* task = mJobTable.FindTask(aTask);
  mDecisions.AddTask(
    DecisionKind::kTaskLost, aTask, task->mWorker, task->mRun, aWhy);
  task->mMinOwnershipProofTime = aEndedBy;
  ReleaseTask(aTask);
}

// Everything on the worker had ended by aEndedBy.
void ShardScheduler::ReleaseAllTasks(WorkerEntry& aWorker,
                                     const char* aWhy,
                                     MonotonicTime aEndedBy)
{
  const std::vector<TaskRef> charged(aWorker.mTasks.begin(),
                                     aWorker.mTasks.end());
  for (const TaskRef& ref : charged) {
    ReleaseLostTask(ref, aWhy, aEndedBy);
  }
  aWorker.mForeignRuns.clear();
  // Nor is a run of an unread job left there.
  mUnreadJobs.KeepRuns(aWorker.mInfo.mId, {}, aEndedBy);
}

// A successor may have renewed the leases of an unresponsive worker, so a lease
// counts as expired only if nobody else had claimed the shard by its end.
void ShardScheduler::ReleaseExpiredWorkers(const OwnershipProof& aProof,
                                           MonotonicTime aNow)
{
  for (const WorkerId& id : mWorkers.Silent()) {
    WorkerEntry& workerState = *mWorkers.Find(id);
    if (workerState.mTasks.empty() || aNow < workerState.mLeasesExpiredAt ||
        aProof.mProvedAt < workerState.mLeasesExpiredAt ||
        mInheritedWorkers.MayRunTasks(id)) {
      continue;
    }
    mDecisions.AddWorker(
      DecisionKind::kWorkerLapsed, id, "no answer until its leases expired");
    ReleaseAllTasks(
      workerState, "its lease expired", workerState.mLeasesExpiredAt);
  }
}

} // namespace mulberryvalve
