// ShardScheduler: what the ends of runs mean for tasks, gangs and jobs.
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <algorithm>
#include <string>
#include <utility>
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
// A lasting task must run again within a few seconds, so one that can run
// nowhere else tries such a worker at this interval.
constexpr Milliseconds kRetryInterval{ 3000 };
// Workers that fail all fail within this time as a rule.
constexpr Milliseconds kTrialTime{ 2000 };
// The members of a gang end together. One that is still reported after this
// time is stopped.
constexpr Milliseconds kGangEndDelay{ 1000 };

} // namespace

bool ShardScheduler::IsJobKnown(const TaskRef& aTask) const
{
  return mJobTable.Find(aTask.mStep.mJob) != nullptr;
}

void ShardScheduler::ProcessEnd(WorkerEntry& aWorker,
                                const RunEndReport& aRow,
                                MonotonicTime aNow)
{
  if (aRow.mNumber <= aWorker.mLastProcessedEnd) {
    return;
  }
  aWorker.mLastProcessedEnd = aRow.mNumber;
  aWorker.mNonDurableEnds[aRow.mNumber] = aRow.mTask;
  if (!IsJobKnown(aRow.mTask) && mUnreadJobs.MayBeUnread(aNow)) {
    mUnreadJobs.KeepEnd(aWorker.mInfo.mId, aRow, aNow);
    return;
  }
  ApplyEnd(aWorker, aRow, aNow);
}

void ShardScheduler::ApplyEnd(WorkerEntry& aWorker,
                              const RunEndReport& aRow,
                              MonotonicTime aNow)
{
  const TaskLookup place = mJobTable.Locate(aRow.mTask);
  if (place.mTask == nullptr) {
    return;
  }
  mHeldTasks.OnRunEnded(aRow);
  TaskProgress* task = place.mTask;
  const JobId& id = aRow.mTask.mStep.mJob;
  const bool isCurrentRun = IsPlaced(task->mPhase) &&
                            task->mWorker == aWorker.mInfo.mId &&
                            task->mRun == aRow.mRun;
  if (!task->HasProcessedEnd(aRow.mRun)) {
    // The record of a finished job names no runs, so a successor can't tell
    // whether their ends were counted.
    if (isCurrentRun || !IsOver(place.mJob->mPhase)) {
      LogEnd(aRow, aWorker.mInfo.mId);
    }
    RecordEnd(place, aRow, aWorker.mInfo.mId);
    mDirtyJobs.insert(id);
    mJobTable.MarkDirty(aRow.mTask);
    TrackWorkerFailures(aWorker, aRow, aNow);
  }
  if (isCurrentRun && task->mPhase == TaskPhase::kUnsettled) {
    mJobTable.MarkStarted(id);
  }
  if (isCurrentRun) {
    LearnRunTime(place, aRow, aNow);
    ReleaseTask(aRow.mTask);
  }
  if (aRow.mEndKind == EndKind::kDone) {
    FinishTask(aRow.mTask);
    FinishGang(aRow.mTask, aNow);
  }
  UpdateJobPhase(*place.mJob, aNow);
}

void ShardScheduler::LogEnd(const RunEndReport& aRow, const WorkerId& aWorker)
{
  JobDecision ended =
    TaskDecision(DecisionKind::kTaskEnded,
                 aRow.mTask,
                 aWorker,
                 aRow.mRun,
                 std::string(kEndKindNames.Name(aRow.mEndKind)));
  ended.mEnd = aRow.mEndKind;
  mDecisions.Add(std::move(ended));
}

void ShardScheduler::RecordEnd(const TaskLookup& aPlace,
                               const RunEndReport& aRow,
                               const WorkerId& aWorker)
{
  TaskProgress& task = *aPlace.mTask;
  task.mProcessedEnds.push_back(aRow.mRun);
  if (task.mProcessedEnds.size() > kMaxCountedRuns) {
    task.mProcessedEnds.erase(task.mProcessedEnds.begin());
  }
  if (aRow.mEndKind == EndKind::kFailed) {
    task.mFailures++;
    task.mLastFailedWorker = aWorker;
    const bool isLimited =
      !aPlace.mSpec->mLongRunning && RulesOf(*aPlace.mJob).mMaxAttempts > 0;
    if (aPlace.mSpec->mGang && isLimited) {
      mJobTable.StepOf(aRow.mTask.mStep)
        .mFailedGangRuns.emplace(aRow.mRun, aRow.mTask.mIndex);
    }
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
    std::vector<TaskProgress>& members = mJobTable.StepOf(step).mTasks;
    for (uint32_t index = 0; index < members.size(); index++) {
      members[index].mCheckpoint = aRow.mCheckpoint;
      mJobTable.MarkDirty(TaskRef{ step, index });
    }
  }
}

// Ignores runs that began from a checkpoint or were slowed down by an order,
// since they say little about the run time of the task.
void ShardScheduler::LearnRunTime(const TaskLookup& aPlace,
                                  const RunEndReport& aRow,
                                  MonotonicTime aNow)
{
  const TaskProgress& task = *aPlace.mTask;
  const bool ranInFull = task.mStartedAt != MonotonicTime() &&
                         task.mCheckpoint.Empty() &&
                         task.mPacePercent == kFullPace;
  if (aRow.mEndKind != EndKind::kDone || !ranInFull) {
    return;
  }
  mRunTimes.Learn(
    aPlace.mJob->mGraph.mQueue,
    aPlace.mSpec->mEstimate,
    std::chrono::duration_cast<Milliseconds>(aNow - task.mStartedAt));
}

void ShardScheduler::TrackWorkerFailures(WorkerEntry& aWorker,
                                         const RunEndReport& aRow,
                                         MonotonicTime aNow)
{
  if (aRow.mEndKind == EndKind::kDone) {
    EndTrial(aWorker, aNow);
  }
  // Runs that fail while the worker is avoided began before that, so they are
  // the same evidence.
  if (aRow.mEndKind != EndKind::kFailed || aNow < aWorker.mCountFailuresFrom) {
    return;
  }
  aWorker.mFailuresInRow++;
  if (aWorker.mFailuresInRow < kFailuresToAvoid) {
    return;
  }
  const int doublings =
    std::min(aWorker.mFailuresInRow - kFailuresToAvoid, kMaxAvoidanceDoublings);
  const Milliseconds avoidance = kInitialAvoidance * (1 << doublings);
  aWorker.mCountFailuresFrom = aNow + std::min(avoidance, kRetryInterval);
  const MonotonicTime retryAt =
    std::max(aWorker.mRetryAt, aWorker.mCountFailuresFrom);
  AvoidWorker(aWorker, aNow + avoidance, "fails all");
  aWorker.mRetryAt = retryAt;
  aWorker.mTrialUntil.reset();
}

// After a start on a worker that failed all before: it gets no more until that
// task is done or has run for a while.
void ShardScheduler::BeginTrial(WorkerEntry& aWorker, MonotonicTime aNow)
{
  if (aWorker.mFailuresInRow < kFailuresToAvoid || aWorker.mTrialUntil) {
    return;
  }
  aWorker.mTrialUntil = aNow + kTrialTime;
  AvoidWorker(aWorker, *aWorker.mTrialUntil, "one task tries it");
}

void ShardScheduler::EndTrial(WorkerEntry& aWorker, MonotonicTime aNow)
{
  aWorker.mFailuresInRow = 0;
  const bool isOnTrial =
    aWorker.mTrialUntil && aWorker.mAvoidUntil <= *aWorker.mTrialUntil;
  if (isOnTrial) {
    aWorker.mAvoidUntil = std::min(aWorker.mAvoidUntil, aNow);
    aWorker.mRetryAt = aWorker.mAvoidUntil;
    mWorkers.MarkChanged(aWorker);
  }
  aWorker.mTrialUntil.reset();
}

void ShardScheduler::FinishTask(const TaskRef& aTask)
{
  const TaskProgress* task = mJobTable.FindTask(aTask);
  if (task->mDone || mJobTable.SpecOf(aTask.mStep).mLongRunning) {
    return;
  }
  mJobTable.Finish(aTask);
  mDirtyJobs.insert(aTask.mStep.mJob);
  mJobTable.MarkDirty(aTask);
  mNeedsPlacement = true;
  if (IsPlaced(task->mPhase) && task->mPhase != TaskPhase::kStopping) {
    OrderStop(aTask, "another run completed");
  }
}

void ShardScheduler::FinishGang(const TaskRef& aTask, MonotonicTime aNow)
{
  const StepSpec& spec = mJobTable.SpecOf(aTask.mStep);
  if (!spec.mGang || spec.mLongRunning) {
    return;
  }
  const size_t members = mJobTable.StepOf(aTask.mStep).mTasks.size();
  for (uint32_t index = 0; index < members; index++) {
    const TaskRef member{ aTask.mStep, index };
    mJobTable.Finish(member);
    mJobTable.MarkDirty(member);
    mResendStopAt.emplace(member, aNow + kGangEndDelay);
  }
}

void ShardScheduler::UpdateJobPhase(JobEntry& aJob, MonotonicTime aNow)
{
  if (IsOver(aJob.mPhase)) {
    return;
  }
  if (JobTable::AllDone(aJob)) {
    EndJob(aJob, JobPhase::kCompleted, aNow);
    return;
  }
  const int limit = RulesOf(aJob).mMaxAttempts;
  if (limit <= 0 || !aJob.mHasFailures) {
    return;
  }
  for (const auto& [occurrence, steps] : aJob.mOccurrences) {
    for (uint32_t step = 0; step < steps.size(); step++) {
      const StepSpec& spec = aJob.mGraph.mSteps[step];
      if (spec.mLongRunning) {
        continue;
      }
      const std::vector<TaskProgress>& tasks = steps[step].mTasks;
      for (uint32_t index = 0; index < tasks.size(); index++) {
        if (!tasks[index].mDone &&
            JobTable::FailedAttempts(steps[step], index) >= limit) {
          EndJob(aJob, JobPhase::kFailed, aNow);
          return;
        }
      }
    }
  }
}

void ShardScheduler::EndJob(JobEntry& aJob, JobPhase aPhase, MonotonicTime aNow)
{
  const JobId& id = aJob.mGraph.mId;
  aJob.mPhase = aPhase;
  aJob.mFinishedAt = aNow;
  mRetention.Extend(id, aNow);
  mJobTable.RemoveReadySteps(aJob);
  mDirtyJobs.insert(id);
  mJobTable.MarkPhaseDirty(aJob);
  mDecisions.AddJob(
    DecisionKind::kJobOver, id, std::string(kJobPhaseNames.Name(aPhase)));
  for (const auto& [occurrence, steps] : aJob.mOccurrences) {
    for (uint32_t step = 0; step < steps.size(); step++) {
      const auto& tasks = steps[step].mTasks;
      for (uint32_t index = 0; index < tasks.size(); index++) {
        if (IsPlaced(tasks[index].mPhase)) {
          OrderStop(TaskRef{ { id, occurrence, step }, index },
                    "its job ended");
        }
      }
    }
  }
}

} // namespace mulberryvalve
