// How ShardScheduler handles the reports of workers.
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace mulberryvalve {
namespace {

// The stop of a run that is not wanted is repeated at this interval.
constexpr Milliseconds kUnwantedStopInterval{ 1000 };

} // namespace

std::optional<RenewalRequest> ShardScheduler::NextRenewal(
  const WorkerId& aWorker,
  bool aMayRenew,
  MonotonicTime aNow)
{
  WorkerEntry* workerState = mWorkers.Find(aWorker);
  if (workerState == nullptr) {
    return std::nullopt;
  }
  UseUnrecordedIfAllowed(*workerState);
  return mWorkers.NextRenewal(
    *workerState, TokenFor(*workerState), aMayRenew, aNow);
}

void ShardScheduler::OnRenewalReply(const RenewalRequest& aOrder,
                                    const RenewalReply& aReply,
                                    MonotonicTime aSentAt,
                                    MonotonicTime aNow)
{
  WorkerEntry* workerState = mWorkers.Find(aOrder.mWorker);
  if (workerState == nullptr) {
    return;
  }
  if (aReply.mOutcome == OrderOutcome::kFenced &&
      aOrder.mEpoch < TokenFor(*workerState)) {
    return; // sent before the worker was moved away and back
  }
  if (aReply.mOutcome == OrderOutcome::kFenced) {
    mIsFenced = true;
    mDecisions.AddWorker(DecisionKind::kWorkerFenced, aOrder.mWorker, "hold");
    return;
  }
  const bool isGone = aReply.mOutcome == OrderOutcome::kGone;
  if (isGone && aOrder.mEndpoint != workerState->mInfo.mEndpoint) {
    return; // the worker has moved from this address
  }
  if (aReply.mOutcome != OrderOutcome::kAccepted) {
    OnWorkerSilent(*workerState, aReply.mOutcome);
    if (isGone) {
      // The worker's process has ended, and with it everything that ran there.
      ReleaseAllTasks(
        *workerState, "another worker answers at its address", aNow);
      mInheritedWorkers.MarkIdle(aOrder.mWorker, aNow);
      mHeldTasks.OnGone(aOrder.mWorker, aNow);
      mNeedsPlacement = true;
    }
    return;
  }
  const WorkerIncarnation birth = aReply.mReading.mWorkerIncarnation;
  if (birth < workerState->mWorkerIncarnation) {
    return; // sent before the worker restarted
  }
  LearnIncarnation(*workerState, birth, aNow);
  if (workerState->mSilent) {
    mWorkers.SetSilent(*workerState, false);
    RevokeHandoverNote(*workerState);
    mDecisions.AddWorker(DecisionKind::kWorkerBack, aOrder.mWorker, "answers");
  }
  DeclareUse(*workerState);
  mWorkers.OnClockReading(*workerState, aReply.mReading, aNow);
  ProcessReport(*workerState, aReply, aSentAt, aNow);
  if (aReply.mMayOmitEnds) {
    // The ends that are not listed yet may be of any inherited task.
    mInheritedWorkers.Postpone(aOrder.mWorker,
                               mWorkers.EndOfLeaseRequestedBy(aNow));
    mHeldTasks.OnEndsOmitted(aOrder.mWorker);
    return;
  }
  if (!workerState->mHasReportedRuns) {
    workerState->mHasReportedRuns = true;
    mWorkers.InheritLease(*workerState, aNow);
    mWorkers.MarkChanged(*workerState);
    RevokeHandoverNote(*workerState);
    mNeedsPlacement = true;
    mInheritedWorkers.Remove(aOrder.mWorker);
    mHeldTasks.OnAnswered(aOrder.mWorker, aNow);
    mDecisions.AddWorker(DecisionKind::kWorkerKnown,
                         aOrder.mWorker,
                         std::to_string(aReply.mRunning.size()) + " running");
  }
}

void ShardScheduler::ProcessReport(WorkerEntry& aWorker,
                                   const RenewalReply& aReply,
                                   MonotonicTime aSentAt,
                                   MonotonicTime aNow)
{
  const auto placementInputs = [&aWorker] {
    return std::make_tuple(aWorker.mForeignDemand.mCpuMillis,
                           aWorker.mForeignDemand.mMemoryMb,
                           aWorker.mForeignDemand.mAccelerators,
                           aWorker.mForeignDemandUnknown,
                           aWorker.mPace.mPercent,
                           aWorker.mPace.mTailPercentOfTarget,
                           aWorker.mTolerablePressure,
                           aWorker.mTolerableSoon);
  };
  const auto before = placementInputs();
  for (const RunEndReport& row : aReply.mEnded) {
    ProcessEnd(aWorker, row, aNow);
  }
  aWorker.mForeignDemand = Resources();
  aWorker.mForeignDemandUnknown = false;
  aWorker.mForeignRuns.clear();
  std::vector<ReportedRun> running;
  std::vector<RunReport> unknown;
  running.reserve(aReply.mRunning.size());
  for (const RunReport& row : aReply.mRunning) {
    running.push_back(ReportedRun{ row, mJobTable.Locate(row.mTask) });
    ProcessRunning(aWorker, running.back(), aNow);
    if (!IsJobKnown(row.mTask)) {
      unknown.push_back(row);
    }
  }
  const WorkerId& id = aWorker.mInfo.mId;
  for (const RunReport& row :
       mUnreadJobs.KeepRuns(id, std::move(unknown), aNow)) {
    StopUnwantedRun(aWorker, row, aNow);
  }
  if (!aReply.mMayOmitEnds) {
    ReleaseMissingTasks(aWorker, running, aSentAt);
  }
  UpdatePacing(aWorker, running, aSentAt, aNow);
  if (aWorker.mNoteLimitsWait && !aWorker.HasNoRuns()) {
    RevokeHandoverNote(aWorker);
  }
  if (placementInputs() != before) {
    mWorkers.MarkChanged(aWorker);
  }
}

// Processes what workers reported of a job before it was read.
void ShardScheduler::ApplyKeptReports(JobEntry& aJob, MonotonicTime aNow)
{
  const UnreadJobs::KeptReports kept = mUnreadJobs.Take(aJob.mGraph.mId);
  if (kept.mEnds.empty() && kept.mRuns.empty()) {
    return;
  }
  aJob.mMayHaveFormerRuns = true;
  for (const UnreadJobs::KeptEnd& end : kept.mEnds) {
    if (WorkerEntry* worker = mWorkers.Find(end.mWorker)) {
      ApplyEnd(*worker, end.mRow, aNow);
    }
  }
  for (const UnreadJobs::KeptRun& run : kept.mRuns) {
    if (WorkerEntry* worker = mWorkers.Find(run.mWorker)) {
      const TaskLookup place = mJobTable.Locate(run.mRow.mTask);
      ProcessRunning(*worker, ReportedRun{ run.mRow, place }, aNow);
    }
  }
}

// Returns the number of the last end of a worker that may be acknowledged once
// the progress is durable.
EndNumber ShardScheduler::LastSettledEnd(const WorkerEntry& aWorker) const
{
  const auto unsettled = mUnreadJobs.FirstEnd(aWorker.mInfo.mId);
  return unsettled ? EndNumber(unsettled->Value() - 1)
                   : aWorker.mLastProcessedEnd;
}

void ShardScheduler::ProcessRunning(WorkerEntry& aWorker,
                                    const ReportedRun& aRun,
                                    MonotonicTime aNow)
{
  const RunReport& row = aRun.mRow;
  TaskProgress* task = aRun.mPlace.mTask;
  const WorkerId& id = aWorker.mInfo.mId;
  if (task != nullptr && IsPlaced(task->mPhase) && task->mWorker == id &&
      task->mRun == row.mRun) {
    task->mRunsIn = aWorker.mWorkerIncarnation;
    if (task->mPhase == TaskPhase::kUnsettled) {
      task->mPhase = TaskPhase::kRunning;
      mJobTable.MarkStarted(row.mTask.mStep.mJob);
      task->mAnsweredAt = aNow;
      mResendStopAt.erase(row.mTask);
    }
    if (!row.mCheckpoint.Empty()) {
      task->mCheckpoint = row.mCheckpoint;
    }
    return;
  }
  const bool adoptable = task != nullptr && !IsOver(aRun.mPlace.mJob->mPhase) &&
                         task->mPhase == TaskPhase::kWaiting &&
                         !aWorker.mIsGiven && !task->HasProcessedEnd(row.mRun);
  if (adoptable) {
    mDecisions.AddTask(
      DecisionKind::kTaskAdopted, row.mTask, id, row.mRun, "listed");
    AssignTask(row.mTask, aWorker, row.mRun);
    mJobTable.MarkStarted(row.mTask.mStep.mJob);
    task->mPhase = TaskPhase::kRunning;
    task->mRunsIn = aWorker.mWorkerIncarnation;
    task->mAnsweredAt = aNow;
    return;
  }
  // A run that is being stopped uses resources until it is no longer reported.
  aWorker.mForeignRuns.insert(row.mTask);
  if (task == nullptr) {
    aWorker.mForeignDemandUnknown = true;
  } else {
    aWorker.mForeignDemand += aRun.mPlace.mSpec->Committed();
  }
  if (IsJobKnown(row.mTask)) {
    StopUnwantedRun(aWorker, row, aNow);
  }
}

void ShardScheduler::StopUnwantedRun(const WorkerEntry& aWorker,
                                     const RunReport& aRow,
                                     MonotonicTime aNow)
{
  const WorkerId& id = aWorker.mInfo.mId;
  MonotonicTime& nextStopAt =
    mUnwantedStopAt[UnwantedRun{ aRow.mTask, aRow.mRun, id }];
  if (nextStopAt <= aNow) {
    nextStopAt = aNow + kUnwantedStopInterval;
    mDecisions.AddTask(
      DecisionKind::kTaskStopped, aRow.mTask, id, aRow.mRun, "not wanted");
    QueueStop(aRow.mTask, aRow.mRun, aWorker);
  }
}

// Usually the report has every task that is charged to the worker, and nothing
// needs to be searched.
void ShardScheduler::ReleaseMissingTasks(
  WorkerEntry& aWorker,
  const std::vector<ReportedRun>& aRunning,
  MonotonicTime aSentAt)
{
  const uint64_t number = ++mLastReportNumber;
  size_t reportedCount = 0;
  for (const ReportedRun& run : aRunning) {
    TaskProgress* task = run.mPlace.mTask;
    if (task == nullptr || task->mListNumber == number) {
      continue;
    }
    task->mListNumber = number;
    const bool charged =
      IsPlaced(task->mPhase) && task->mWorker == aWorker.mInfo.mId;
    reportedCount += charged ? 1 : 0;
  }
  if (reportedCount == aWorker.mTasks.size()) {
    return;
  }
  const std::vector<TaskRef> charged(aWorker.mTasks.begin(),
                                     aWorker.mTasks.end());
  for (const TaskRef& ref : charged) {
    const TaskProgress* task = mJobTable.FindTask(ref);
    const bool answered = task->mPhase == TaskPhase::kRunning ||
                          task->mPhase == TaskPhase::kStopping;
    if (answered && task->mAnsweredAt != MonotonicTime() &&
        task->mAnsweredAt < aSentAt && task->mListNumber != number) {
      mDecisions.AddTask(DecisionKind::kTaskLost,
                         ref,
                         aWorker.mInfo.mId,
                         task->mRun,
                         std::string(kTaskPhaseNames.Name(task->mPhase)) +
                           ", missing from the worker's report");
      ReleaseTask(ref);
    }
  }
}

} // namespace mulberryvalve
