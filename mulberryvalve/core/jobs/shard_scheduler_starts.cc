// Starts: how ShardScheduler assigns tasks to workers, and when it sends what
// it has assigned. A start is sent once the log names its worker, so that a
// successor knows where every task may be.
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mulberryvalve {
namespace {

// A start that may not go out without its record is given up after this, so
// that others can use its room. Longer than a slow log takes.
constexpr Milliseconds kMaxHold{ 2000 };

} // namespace

// Gives a waiting task to a worker, which the log is to name.
void ShardScheduler::AssignTask(const TaskRef& aTask,
                                WorkerEntry& aWorker,
                                RunNumber aRun)
{
  if (mJobTable.Assign(aTask, aWorker.mInfo.mId, aRun)) {
    mDirtyJobs.insert(aTask.mStep.mJob);
  }
  const StepSpec& spec = mJobTable.SpecOf(aTask.mStep);
  mWorkers.Charge(aWorker, aTask, spec);
  aWorker.mIdleSince.reset();
  mAccounts.Charge(*mJobTable.Find(aTask.mStep.mJob), spec);
}

void ShardScheduler::OrderStart(JobEntry& aJob,
                                const TaskRef& aTask,
                                WorkerEntry& aWorker,
                                RunNumber aRun,
                                MonotonicTime aNow)
{
  const StepSpec& spec = mJobTable.SpecOf(aTask.mStep);
  if (!aWorker.mClock) {
    return;
  }
  const bool first = !aJob.HasStarted() && !aJob.mMayHaveFormerRuns &&
                     !mHeldStarts.HasAnyOf(aJob.mGraph.mId);
  const bool isTolerated =
    HasWaitedTooLong(aJob, mJobTable.StepOf(aTask.mStep), aNow);
  AssignTask(aTask, aWorker, aRun);
  BeginTrial(aWorker, aNow);
  mJobTable.FindTask(aTask)->mIgnoresPressureLimit = isTolerated;
  if (spec.mBestEffort) {
    aWorker.mBestEffortChangedAt = aNow;
  }
  TaskOrder order = MakeOrder(OrderKind::kStart, aTask, aRun, aWorker);
  order.mSpecification = aJob.mGraph.mSpecification;
  order.mCheckpoint = mJobTable.FindTask(aTask)->mCheckpoint;
  mHeldStarts.Add(std::move(order), MayStartUnrecorded(spec), aNow);
  mWindow.OnOrdered();
  JobDecision decision = TaskDecision(
    DecisionKind::kTaskPlaced,
    aTask,
    aWorker.mInfo.mId,
    aRun,
    "free cpu " + std::to_string(aWorker.FreeCapacity().mCpuMillis) +
      ", filling " + std::to_string(aWorker.mBestEffortTasks) + ", lasting " +
      std::to_string(aWorker.mLongRunning));
  if (first) {
    decision.mWaited =
      std::chrono::duration_cast<Milliseconds>(aNow - aJob.mReadAt);
  }
  mDecisions.Add(std::move(decision));
}

AppendDemand ShardScheduler::NeededAppend() const
{
  const bool hasChanges = !mDirtyJobs.empty() || !mDirtyWorkers.empty() ||
                          !mRemovedWorkers.empty() || mRoom.HasMoves() ||
                          mRetention.HasOffIntake() || !mEndedClaims.empty();
  if (!hasChanges) {
    return AppendDemand::kNone;
  }
  return mHeldStarts.HasUnrecorded() ? AppendDemand::kStarts
                                     : AppendDemand::kChanges;
}

// Sends the held starts that may go out now, and drops those that can't be sent
// any more or that have waited too long.
void ShardScheduler::HandleHeldStarts(bool aMayStart, MonotonicTime aNow)
{
  if (!aMayStart) {
    return;
  }
  if (mHeldStarts.UpdateOverdue(aNow)) {
    AbortPass();
    mNeedsPlacement = true;
  }
  SendStarts(aNow);
  if (!mHeldStarts.AreRecordsOverdue()) {
    return;
  }
  for (const HeldStart& start :
       mHeldStarts.Select([&](const HeldStart& aStart) {
         return aStart.mMayStartUnrecorded ||
                aStart.mHeldSince + kMaxHold < aNow ||
                !IsStartPossible(aStart.mOrder, aNow);
       })) {
    DropHeldStart(start.mOrder.mTask, "the log takes no record of it");
  }
}

// Sends the held starts that are recorded or that need no record now, unless
// their worker or job has changed.
void ShardScheduler::SendStarts(MonotonicTime aNow)
{
  const bool canSend =
    mHeldStarts.HasRecorded() || mHeldStarts.AreRecordsOverdue();
  if (!canSend || mHeldStarts.Empty()) {
    return;
  }
  std::vector<HeldStart> starts = mHeldStarts.Select(
    [this](const HeldStart& aStart) { return MaySend(aStart); });
  for (const HeldStart& start : starts) {
    if (!IsStartPossible(start.mOrder, aNow)) {
      DropHeldStart(start.mOrder.mTask, "its worker or its job has changed");
    }
  }
  for (HeldStart& start : starts) {
    SendStart(std::move(start.mOrder), aNow);
  }
}

// Sends a start unless it was dropped. Its lease begins when it is sent.
void ShardScheduler::SendStart(TaskOrder aOrder, MonotonicTime aNow)
{
  const HeldStart* held = mHeldStarts.Find(aOrder.mTask);
  if (held == nullptr) {
    return;
  }
  const bool isRecorded = held->mIsRecorded;
  WorkerEntry& worker = *mWorkers.Find(aOrder.mWorker);
  const std::optional<WorkerTime> leaseEnd =
    mWorkers.LeaseForStart(worker, aNow);
  if (!leaseEnd) {
    DropHeldStart(aOrder.mTask, "the clock of its worker is not known");
    return;
  }
  mHeldStarts.Remove(aOrder.mTask);
  if (!isRecorded) {
    mUnrecordedStarts.OnSent(
      aOrder.mTask, aOrder.mWorker, mJobTable.PartOf(aOrder.mTask));
    mDecisions.AddTask(DecisionKind::kStartUnrecorded,
                       aOrder.mTask,
                       aOrder.mWorker,
                       aOrder.mRun,
                       "the log takes no records");
  }
  mJobTable.MarkStarted(aOrder.mTask.mStep.mJob);
  aOrder.mUntil = *leaseEnd;
  worker.mStartsInFlight++;
  mPendingOrders.push_back(std::move(aOrder));
}

// The members of a gang are sent together.
bool ShardScheduler::MaySend(const HeldStart& aStart) const
{
  const TaskOrder& order = aStart.mOrder;
  if (mHeldStarts.AreRecordsOverdue() && aStart.mMayStartUnrecorded &&
      MayStartUnrecorded(order.mTask, order.mWorker)) {
    return true;
  }
  return aStart.mIsRecorded && (!mJobTable.SpecOf(order.mTask.mStep).mGang ||
                                mHeldStarts.IsStepRecorded(order.mTask.mStep));
}

// Returns whether a held start can still be sent, apart from its record.
bool ShardScheduler::IsStartPossible(const TaskOrder& aOrder,
                                     MonotonicTime aNow) const
{
  if (!IsStillNeeded(aOrder, aNow) || mJobTable.FindTask(aOrder.mTask)->mDone) {
    return false;
  }
  const WorkerEntry& worker = *mWorkers.Find(aOrder.mWorker);
  return worker.mListed && worker.mInfo.mState == WorkerState::kLive &&
         worker.mHasReportedRuns && worker.MayBeUsed() &&
         !worker.mHasHandoverNote && IsPermitted(aOrder, worker.mInfo);
}

// Returns whether the configuration allows a start where it was decided, which
// may have changed since.
bool ShardScheduler::IsPermitted(const TaskOrder& aOrder,
                                 const WorkerInfo& aWorker) const
{
  const JobEntry& job = *mJobTable.Find(aOrder.mTask.mStep.mJob);
  return mConfig.mExcludedDomains.count(aWorker.mDomain) == 0 &&
         RulesOf(job).mService == aWorker.mService;
}

// Takes a task whose start was not sent off its worker, and with it the other
// members of its gang. Does nothing if its start is not held.
void ShardScheduler::DropHeldStart(const TaskRef& aTask, const char* aWhy)
{
  const HeldStart* start = mHeldStarts.Find(aTask);
  if (start == nullptr) {
    return;
  }
  mDecisions.AddTask(DecisionKind::kTaskStopped,
                     aTask,
                     start->mOrder.mWorker,
                     start->mOrder.mRun,
                     std::string("not sent, ") + aWhy);
  ReleaseTask(aTask);
  const JobEntry& job = *mJobTable.Find(aTask.mStep.mJob);
  if (!job.mGraph.mSteps[aTask.mStep.mStep].mGang) {
    return;
  }
  for (const HeldStart& member :
       mHeldStarts.Select([&](const HeldStart& aStart) {
         return aStart.mOrder.mTask.mStep == aTask.mStep;
       })) {
    mDecisions.AddTask(DecisionKind::kTaskStopped,
                       member.mOrder.mTask,
                       member.mOrder.mWorker,
                       member.mOrder.mRun,
                       "not sent, another member of its gang was not");
    ReleaseTask(member.mOrder.mTask);
  }
}

// A worker that gets no more starts now gets none of those that are held.
void ShardScheduler::DropHeldStartsOn(const WorkerEntry& aWorker,
                                      const char* aWhy)
{
  for (const HeldStart& start :
       mHeldStarts.Select([&](const HeldStart& aStart) {
         return aStart.mOrder.mWorker == aWorker.mInfo.mId;
       })) {
    DropHeldStart(start.mOrder.mTask, aWhy);
  }
}

// Forgets the inherited workers that are settled by now: records that are
// written from now on don't name them any more.
void ShardScheduler::ForgetSettledWorkers()
{
  for (const auto& [worker, tasks] : mInheritedWorkers.TakeSettled()) {
    for (const TaskRef& ref : tasks) {
      TaskProgress* task = mJobTable.FindTask(ref);
      if (task == nullptr) {
        continue;
      }
      std::vector<WorkerId>& former = task->mFormerWorkers;
      former.erase(std::remove(former.begin(), former.end(), worker),
                   former.end());
    }
  }
}

// Registers the workers on which aRecord says that a task may run. Those that
// can't run it any more are not named again.
void ShardScheduler::RestorePossibleWorkers(const JobEntry& aJob,
                                            const TaskRecord& aRecord)
{
  const TaskRef ref{ { aJob.mGraph.mId, aRecord.mOccurrence, aRecord.mStep },
                     aRecord.mIndex };
  TaskProgress* task = mJobTable.FindTask(ref);
  if (task == nullptr) {
    return;
  }
  task->mFormerWorkers.clear();
  if (task->mDone || IsOver(aJob.mPhase)) {
    return;
  }
  for (const WorkerId& worker : aRecord.mPossibleWorkers) {
    if (mInheritedWorkers.AddRecordedTask(worker, ref)) {
      task->mFormerWorkers.push_back(worker);
    }
  }
}

} // namespace mulberryvalve
