// How JobShard handles the reports of workers, and workers that don't answer.
#include "mulberryvalve/core/jobs/job_shard.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace mulberryvalve {
namespace {

// A worker that fails this many tasks of different jobs in a row is suspected.
constexpr int kFailuresToAvoid = 4;
// How many run numbers to remember per task. The ends of older runs became
// durable long ago, so no worker reports them any more.
constexpr size_t kMaxCountedRuns = 8;
constexpr Milliseconds kInitialAvoidance{ 1500 };
constexpr int kMaxAvoidanceDoublings = 3;
// The stop of a run that is not wanted is repeated at this interval.
constexpr Milliseconds kUnwantedStopInterval{ 1000 };

} // namespace

std::optional<HoldOrder> JobShard::NextHold(const WorkerId& aWorker,
                                            bool aMayRenew,
                                            MonotonicTime aNow)
{
  WorkerRoom* workerState = mWorkers.Find(aWorker);
  if (workerState == nullptr) {
    return std::nullopt;
  }
  return mWorkers.NextHold(*workerState, mOptions.mEpoch, aMayRenew, aNow);
}

void JobShard::OnHold(const HoldOrder& aOrder,
                      const HoldReply& aReply,
                      MonotonicTime aSentAt,
                      MonotonicTime aNow)
{
  WorkerRoom* workerState = mWorkers.Find(aOrder.mWorker);
  if (workerState == nullptr) {
    return;
  }
  if (aReply.mOutcome == OrderOutcome::kFenced) {
    mIsFenced = true;
    LogWorkerDecision(DecisionKind::kWorkerFenced, aOrder.mWorker, "hold");
    return;
  }
  const bool isGone = aReply.mOutcome == OrderOutcome::kGone;
  if (isGone && aOrder.mEndpoint != workerState->mFacts.mEndpoint) {
    return; // the worker has moved from this address
  }
  if (aReply.mOutcome != OrderOutcome::kAccepted) {
    OnWorkerSilent(*workerState, aReply.mOutcome);
    if (isGone) {
      // The worker's process has ended, and with it everything that ran there.
      ReleaseAllTasks(
        *workerState, "another worker answers at its address", aNow);
      mInheritedWorkers.MarkIdle(aOrder.mWorker, aNow);
      mNeedsPlacement = true;
    }
    return;
  }
  const Birth birth = aReply.mReading.mBirth;
  if (birth < workerState->mBirth) {
    return; // sent before the worker restarted
  }
  if (workerState->mBirth < birth) {
    if (workerState->mBirth != Birth()) {
      ResetIncarnation(*workerState, birth, aNow);
    }
    workerState->mBirth = birth;
  }
  if (workerState->mSilent) {
    mWorkers.SetSilent(*workerState, false);
    RevokeHandoverNote(*workerState);
    LogWorkerDecision(DecisionKind::kWorkerBack, aOrder.mWorker, "answers");
  }
  mWorkers.OnReading(*workerState, aReply.mReading, aNow);
  ProcessReport(*workerState, aReply, aSentAt, aNow);
  if (!workerState->mInventoried) {
    workerState->mInventoried = true;
    mWorkers.InheritLease(*workerState, aNow);
    mWorkers.NoteChange(*workerState);
    RevokeHandoverNote(*workerState);
    mNeedsPlacement = true;
    mInheritedWorkers.Remove(aOrder.mWorker);
    LogWorkerDecision(DecisionKind::kWorkerKnown,
                      aOrder.mWorker,
                      std::to_string(aReply.mRunning.size()) + " running");
  }
}

void JobShard::ProcessReport(WorkerRoom& aWorker,
                             const HoldReply& aReply,
                             MonotonicTime aSentAt,
                             MonotonicTime aNow)
{
  const auto placementInputs = [&aWorker] {
    return std::make_tuple(aWorker.mForeign.mCpuMillis,
                           aWorker.mForeign.mMemoryMb,
                           aWorker.mForeign.mAccelerators,
                           aWorker.mForeignUnknown,
                           aWorker.mPace.mPercent,
                           aWorker.mPace.mRatioPercent,
                           aWorker.mBearablePressure);
  };
  const auto before = placementInputs();
  for (const EndedRow& row : aReply.mEnded) {
    ProcessEnd(aWorker, row, aNow);
  }
  aWorker.mForeign = Resources();
  aWorker.mForeignUnknown = false;
  aWorker.mForeignRuns.clear();
  std::vector<ReportedRun> running;
  running.reserve(aReply.mRunning.size());
  for (const RunningRow& row : aReply.mRunning) {
    running.push_back(ReportedRun{ row, mBook.Locate(row.mTask) });
    ProcessRunning(aWorker, running.back(), aNow);
  }
  ReleaseMissingTasks(aWorker, running, aSentAt);
  UpdatePacing(aWorker, running, aSentAt, aNow);
  if (aWorker.mWaitNoted && !aWorker.RunsNothing()) {
    RevokeHandoverNote(aWorker);
  }
  if (placementInputs() != before) {
    mWorkers.NoteChange(aWorker);
  }
}

void JobShard::ProcessEnd(WorkerRoom& aWorker,
                          const EndedRow& aRow,
                          MonotonicTime aNow)
{
  if (aRow.mNumber <= aWorker.mTaken) {
    return;
  }
  aWorker.mTaken = aRow.mNumber;
  aWorker.mEndsNotDurable[aRow.mNumber] = aRow.mTask;
  const TaskPlace place = mBook.Locate(aRow.mTask);
  if (place.mTask == nullptr) {
    return;
  }
  StepTask* task = place.mTask;
  const JobId& id = aRow.mTask.mStep.mJob;
  const bool isCurrentRun = IsPlaced(task->mPhase) &&
                            task->mWorker == aWorker.mFacts.mId &&
                            task->mRun == aRow.mRun;
  if (!task->HasCounted(aRow.mRun)) {
    // The record of a finished job names no runs, so a successor can't tell
    // whether their ends were counted.
    if (isCurrentRun || !IsOver(place.mJob->mPhase)) {
      LogEnd(aRow, aWorker.mFacts.mId);
    }
    RecordEnd(place, aRow, aWorker.mFacts.mId);
    mDirtyJobs.insert(id);
    TrackWorkerFailures(aWorker, aRow, aNow);
  }
  if (isCurrentRun) {
    LearnRunTime(place, aRow, aNow);
    ReleaseTask(aRow.mTask);
  }
  if (aRow.mHow == EndKind::kDone) {
    FinishTask(aRow.mTask);
    FinishGang(aRow.mTask, aNow);
  }
  UpdateJobPhase(*place.mJob, aNow);
}

void JobShard::LogEnd(const EndedRow& aRow, const WorkerId& aWorker)
{
  JobDecision ended =
    MakeTaskDecision(DecisionKind::kTaskEnded,
                     aRow.mTask,
                     aWorker,
                     aRow.mRun,
                     std::string(kEndKindNames.Name(aRow.mHow)));
  ended.mEnd = aRow.mHow;
  LogDecision(std::move(ended));
}

void JobShard::RecordEnd(const TaskPlace& aPlace,
                         const EndedRow& aRow,
                         const WorkerId& aWorker)
{
  StepTask& task = *aPlace.mTask;
  task.mCounted.push_back(aRow.mRun);
  if (task.mCounted.size() > kMaxCountedRuns) {
    task.mCounted.erase(task.mCounted.begin());
  }
  if (aRow.mHow == EndKind::kFailed) {
    task.mFailures++;
    task.mFailedAt = aWorker;
    aPlace.mJob->mHasFailures = true;
  }
  if (aRow.mCheckpoint.Empty()) {
    return;
  }
  task.mCheckpoint = aRow.mCheckpoint;
  const StepRef& step = aRow.mTask.mStep;
  if (aPlace.mSpec->mGang) {
    // A gang's checkpoint covers all members, which must restart from the same
    // one.
    for (StepTask& member : mBook.StepOf(step).mTasks) {
      member.mCheckpoint = aRow.mCheckpoint;
    }
  }
}

// Ignores runs that began from a checkpoint or were slowed down by an order,
// since they say little about the run time of the task.
void JobShard::LearnRunTime(const TaskPlace& aPlace,
                            const EndedRow& aRow,
                            MonotonicTime aNow)
{
  const StepTask& task = *aPlace.mTask;
  const bool ranInFull = task.mStartedAt != MonotonicTime() &&
                         task.mCheckpoint.Empty() &&
                         task.mPacePercent == kFullPace;
  if (aRow.mHow != EndKind::kDone || !ranInFull) {
    return;
  }
  mRunTimes.Learn(
    aPlace.mJob->mGraph.mQueue,
    aPlace.mSpec->mEstimate,
    std::chrono::duration_cast<Milliseconds>(aNow - task.mStartedAt));
}

void JobShard::TrackWorkerFailures(WorkerRoom& aWorker,
                                   const EndedRow& aRow,
                                   MonotonicTime aNow)
{
  if (aRow.mHow == EndKind::kDone) {
    aWorker.mFailuresInRow = 0;
  }
  if (aRow.mHow != EndKind::kFailed) {
    return;
  }
  aWorker.mFailuresInRow++;
  if (aWorker.mFailuresInRow < kFailuresToAvoid) {
    return;
  }
  const int doublings =
    std::min(aWorker.mFailuresInRow - kFailuresToAvoid, kMaxAvoidanceDoublings);
  AvoidWorker(
    aWorker, aNow + kInitialAvoidance * (1 << doublings), "fails all");
}

void JobShard::FinishTask(const TaskRef& aTask)
{
  const StepTask* task = mBook.FindTask(aTask);
  if (task->mDone || mBook.SpecOf(aTask.mStep).mLasting) {
    return;
  }
  mBook.Finish(aTask);
  mNeedsPlacement = true;
  if (IsPlaced(task->mPhase) && task->mPhase != TaskPhase::kStopping) {
    OrderStop(aTask, "another run completed");
  }
}

void JobShard::FinishGang(const TaskRef& aTask, MonotonicTime aNow)
{
  if (!mBook.SpecOf(aTask.mStep).mGang) {
    return;
  }
  const size_t members = mBook.StepOf(aTask.mStep).mTasks.size();
  for (uint32_t index = 0; index < members; index++) {
    const TaskRef member{ aTask.mStep, index };
    mBook.Finish(member);
    // The members of a gang end together. A stop is sent if one is still
    // reported after this interval.
    mResendStopAt.emplace(member, aNow + kUnwantedStopInterval);
  }
}

void JobShard::UpdateJobPhase(JobEntry& aJob, MonotonicTime aNow)
{
  if (IsOver(aJob.mPhase)) {
    return;
  }
  if (JobBook::AllDone(aJob)) {
    EndJob(aJob, JobPhase::kCompleted, aNow);
    return;
  }
  const int limit = RulesOf(aJob).mMaxAttempts;
  if (limit <= 0 || !aJob.mHasFailures) {
    return;
  }
  for (uint32_t number = 0; number < aJob.mOccurrences.size(); number++) {
    for (uint32_t step = 0; step < aJob.mGraph.mSteps.size(); step++) {
      const StepSpec& spec = aJob.mGraph.mSteps[step];
      if (spec.mLasting) {
        continue;
      }
      int gangFailures = 0;
      for (const StepTask& task : aJob.mOccurrences[number][step].mTasks) {
        gangFailures += task.mFailures;
        const int failures = spec.mGang ? gangFailures : task.mFailures;
        if (!task.mDone && failures >= limit) {
          EndJob(aJob, JobPhase::kFailed, aNow);
          return;
        }
      }
    }
  }
}

void JobShard::EndJob(JobEntry& aJob, JobPhase aPhase, MonotonicTime aNow)
{
  const JobId& id = aJob.mGraph.mId;
  aJob.mPhase = aPhase;
  aJob.mOverSince = aNow;
  mBook.Close(aJob);
  mDirtyJobs.insert(id);
  LogJobDecision(
    DecisionKind::kJobOver, id, std::string(kJobPhaseNames.Name(aPhase)));
  for (uint32_t number = 0; number < aJob.mOccurrences.size(); number++) {
    for (uint32_t step = 0; step < aJob.mGraph.mSteps.size(); step++) {
      const auto& tasks = aJob.mOccurrences[number][step].mTasks;
      for (uint32_t index = 0; index < tasks.size(); index++) {
        if (IsPlaced(tasks[index].mPhase)) {
          OrderStop(TaskRef{ { id, number, step }, index }, "its job ended");
        }
      }
    }
  }
}

void JobShard::ProcessRunning(WorkerRoom& aWorker,
                              const ReportedRun& aRun,
                              MonotonicTime aNow)
{
  const RunningRow& row = aRun.mRow;
  StepTask* task = aRun.mPlace.mTask;
  const WorkerId& id = aWorker.mFacts.mId;
  if (task != nullptr && IsPlaced(task->mPhase) && task->mWorker == id &&
      task->mRun == row.mRun) {
    if (task->mPhase == TaskPhase::kUnsettled) {
      task->mPhase = TaskPhase::kRunning;
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
                         !task->HasCounted(row.mRun);
  if (adoptable) {
    LogDecision(DecisionKind::kTaskAdopted, row.mTask, id, row.mRun, "listed");
    mBook.Place(row.mTask, id, row.mRun);
    task->mPhase = TaskPhase::kRunning;
    task->mAnsweredAt = aNow;
    mWorkers.Charge(aWorker, row.mTask, *aRun.mPlace.mSpec);
    return;
  }
  // A run that is being stopped uses resources until it is no longer reported.
  aWorker.mForeignRuns.insert(row.mTask);
  if (task == nullptr) {
    aWorker.mForeignUnknown = true;
  } else {
    aWorker.mForeign += aRun.mPlace.mSpec->Committed();
  }
  MonotonicTime& nextStopAt =
    mUnwantedStopAt[UnwantedRun{ row.mTask, row.mRun, id }];
  if (nextStopAt <= aNow) {
    nextStopAt = aNow + kUnwantedStopInterval;
    LogDecision(
      DecisionKind::kTaskStopped, row.mTask, id, row.mRun, "not wanted");
    QueueStop(row.mTask, row.mRun, aWorker);
  }
}

// Usually the report has every task that is charged to the worker, and nothing
// needs to be searched.
void JobShard::ReleaseMissingTasks(WorkerRoom& aWorker,
                                   const std::vector<ReportedRun>& aRunning,
                                   MonotonicTime aSentAt)
{
  const uint64_t number = ++mLastReportNumber;
  size_t reportedCount = 0;
  for (const ReportedRun& run : aRunning) {
    StepTask* task = run.mPlace.mTask;
    if (task == nullptr || task->mListNumber == number) {
      continue;
    }
    task->mListNumber = number;
    const bool charged =
      IsPlaced(task->mPhase) && task->mWorker == aWorker.mFacts.mId;
    reportedCount += charged ? 1 : 0;
  }
  if (reportedCount == aWorker.mTasks.size()) {
    return;
  }
  const std::vector<TaskRef> charged(aWorker.mTasks.begin(),
                                     aWorker.mTasks.end());
  for (const TaskRef& ref : charged) {
    const StepTask* task = mBook.FindTask(ref);
    const bool answered = task->mPhase == TaskPhase::kRunning ||
                          task->mPhase == TaskPhase::kStopping;
    if (answered && task->mAnsweredAt != MonotonicTime() &&
        task->mAnsweredAt < aSentAt && task->mListNumber != number) {
      LogDecision(DecisionKind::kTaskLost,
                  ref,
                  aWorker.mFacts.mId,
                  task->mRun,
                  std::string(kTaskPhaseNames.Name(task->mPhase)) +
                    ", missing from the worker's report");
      ReleaseTask(ref);
    }
  }
}

void JobShard::OnWorkerSilent(WorkerRoom& aWorker, OrderOutcome aOutcome)
{
  if (aWorker.mSilent) {
    return;
  }
  mWorkers.SetSilent(aWorker, true);
  mWindow.GiveUp(aWorker.mStartsUnderWay - aWorker.mStartsGivenUp);
  aWorker.mStartsGivenUp = aWorker.mStartsUnderWay;
  LogWorkerDecision(DecisionKind::kWorkerSilent,
                    aWorker.mFacts.mId,
                    std::string(kOrderOutcomeNames.Name(aOutcome)));
}

void JobShard::ResetIncarnation(WorkerRoom& aWorker,
                                Birth aBirth,
                                MonotonicTime aNow)
{
  LogWorkerDecision(
    DecisionKind::kWorkerReborn, aWorker.mFacts.mId, "its incarnation changed");
  ReleaseAllTasks(aWorker, "its worker was born anew", aNow);
  aWorker.mBirth = aBirth;
  aWorker.mTaken = EndNumber();
  aWorker.mDurable = EndNumber();
  aWorker.mClock.reset();
  aWorker.mLeaseUntil = WorkerTime();
  aWorker.mInventoried = false;
  // The restarted process knows no fencing token, so a superseded owner could
  // use it until the new birth is on the log.
  aWorker.mRecorded = false;
  aWorker.mFailuresInRow = 0;
  aWorker.mForeign = Resources();
  aWorker.mForeignUnknown = false;
  aWorker.mEndsNotDurable.clear();
  mWorkers.NoteChange(aWorker);
  mDirtyWorkers.insert(aWorker.mFacts.mId);
}

// Everything on the worker had ended by aEndedBy. A successor may have noticed
// that and started the tasks again, so starting them here takes a proof of
// ownership at that time or later.
void JobShard::ReleaseAllTasks(WorkerRoom& aWorker,
                               const char* aWhy,
                               MonotonicTime aEndedBy)
{
  const std::vector<TaskRef> charged(aWorker.mTasks.begin(),
                                     aWorker.mTasks.end());
  for (const TaskRef& ref : charged) {
    StepTask* task = mBook.FindTask(ref);
    LogDecision(
      DecisionKind::kTaskLost, ref, aWorker.mFacts.mId, task->mRun, aWhy);
    task->mNeedsProofOf = aEndedBy;
    ReleaseTask(ref);
  }
  aWorker.mForeignRuns.clear();
}

// A successor may have renewed the leases of an unresponsive worker, so a lease
// counts as expired only if nobody else had claimed the shard by its end.
void JobShard::ReleaseExpiredWorkers(const OwnershipProof& aProof,
                                     MonotonicTime aNow)
{
  for (const WorkerId& id : mWorkers.Silent()) {
    WorkerRoom& workerState = *mWorkers.Find(id);
    if (workerState.mTasks.empty() || aNow < workerState.mLapsesAt ||
        aProof.mProvedAt < workerState.mLapsesAt ||
        mInheritedWorkers.MayRunTasks(id)) {
      continue;
    }
    LogWorkerDecision(
      DecisionKind::kWorkerLapsed, id, "no answer until its leases expired");
    ReleaseAllTasks(workerState, "its lease expired", workerState.mLapsesAt);
  }
}

} // namespace mulberryvalve
