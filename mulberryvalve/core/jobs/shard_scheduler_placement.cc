// Placement: how ShardScheduler chooses workers for waiting tasks, and which
// starts, stops and pace changes it orders.
#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// How long before a worker may leave its checkpointing tasks are stopped. A
// stop and its reply take less.
constexpr Milliseconds kEvacuateBeforeLeaving{ 1500 };
// How long a worker is reserved after its best-effort tasks were told to stop.
// A stop and the report that confirms it take less.
constexpr Milliseconds kLongRunningReservation{ 2500 };
// How often steps that found no worker are retried when nothing has changed.
constexpr Milliseconds kPlacementRetryInterval{ 100 };
// A paused pass that is older than this is sorted again when it resumes.
constexpr Milliseconds kResortInterval{ 100 };
// Separates the run numbers of an epoch from those of all earlier epochs.
constexpr uint64_t kRunNumbersPerEpoch = 1 << 14;

} // namespace

std::vector<TaskOrder> ShardScheduler::Decide(const OwnershipProof& aProof,
                                              MonotonicTime aNow,
                                              WallTime aWallTime)
{
  mWallTime = aWallTime;
  ReleaseExpiredWorkers(aProof, aNow);
  mProvedAt = std::max(mProvedAt, aProof.mProvedAt);
  mWorkers.OnOwnershipRecorded(aProof.mRecordedAt);
  ResendStops(aNow);
  ShortenInheritedWaits();
  // Inherited waits end only with proof of ownership, since a successor may
  // have renewed the leases of the worker.
  mInheritedWorkers.ExpireWaits(mProvedAt);
  ForgetSettledWorkers();
  RemoveEndedClaims(aNow);
  RemoveGoneWorkers(aNow);
  RefreshHandoverNotes(aNow);
  EvacuateLeavingWorkers(aNow);
  mRoom.Update(aNow);
  const bool mayStart = aProof.mMayStart && mWorkers.MayStart(aNow);
  HandleHeldStarts(mayStart, aNow);
  mJobTable.AddDueSteps(aWallTime);
  if (!mayStart) {
    AbortPass();
  } else if (mWindow.IsFull()) {
    mWindow.OnStartDeferred();
  } else if (mPass.HasNext() || mNeedsPlacement || aNow >= mRetryPlacementAt) {
    if (aNow >= mRetryPlacementAt &&
        mPressureVersion != mInterference.Version()) {
      mPressureVersion = mInterference.Version();
      mSearch.ForgetBestEffortRefusals();
    }
    mRetryPlacementAt = aNow + kPlacementRetryInterval;
    RunPlacement(aNow);
    if (mHeldStarts.AreRecordsOverdue()) {
      SendStarts(aNow);
    }
  }
  ReportHeldTasks(aNow);
  for (JobDecision& change : mAccounts.TakeChanges(aNow)) {
    mDecisions.Add(std::move(change));
  }
  for (TaskOrder& order : mPendingOrders) {
    order.mDecidedAt = aNow;
  }
  return std::exchange(mPendingOrders, {});
}

void ShardScheduler::AbortPass()
{
  if (mPass.HasNext()) {
    mPass = PlacementPass();
    mNeedsPlacement = true;
  }
}

bool ShardScheduler::IsStillNeeded(const TaskOrder& aOrder,
                                   MonotonicTime aNow) const
{
  if (aOrder.mKind != OrderKind::kStart) {
    return true;
  }
  const WorkerEntry* worker = mWorkers.Find(aOrder.mWorker);
  if (worker == nullptr || worker->mSilent || !mWorkers.MayStart(aNow) ||
      aOrder.mWorkerIncarnation != worker->mWorkerIncarnation) {
    return false;
  }
  const TaskProgress* task = mJobTable.FindTask(aOrder.mTask);
  return task != nullptr && task->mPhase == TaskPhase::kStarting &&
         task->mWorker == aOrder.mWorker && task->mRun == aOrder.mRun &&
         IsOwnershipProvedFor(*mJobTable.Find(aOrder.mTask.mStep.mJob), aNow);
}

void ShardScheduler::ApplyWorkerChanges(MonotonicTime aNow)
{
  const std::vector<WorkerEntry*> changed = mWorkers.TakeChanged();
  mUsage.OnWorkersChanged(changed, mWorkers);
  mSearch.BeginPass(changed, aNow);
}

void ShardScheduler::RunPlacement(MonotonicTime aNow)
{
  ApplyWorkerChanges(aNow);
  const bool wasPaused = std::exchange(mIsPassPaused, false);
  if (wasPaused && aNow >= mPass.BegunAt() + kResortInterval) {
    AbortPass();
  }
  if (!mPass.HasNext()) {
    BeginPass(aNow);
  }
  const size_t checkLimit =
    mSearch.EvaluationCount() + kMaxWorkersCheckedPerDecide;
  while (mPass.HasNext() && mSearch.EvaluationCount() < checkLimit &&
         !mIsPassPaused) {
    mSearch.AddEvaluations(1);
    const auto open = mJobTable.ReadySteps().find(mPass.Next().mStep);
    if (open != mJobTable.ReadySteps().end()) {
      PlaceStep(*open->second, open->first, aNow);
    }
  }
  for (const WorkerId& id : std::exchange(mPreempted, {})) {
    StopBestEffortTasks(*mWorkers.Find(id), "preempted by a lasting task");
  }
}

void ShardScheduler::BeginPass(MonotonicTime aNow)
{
  mNeedsPlacement = false;
  mIsMostlyUnused = mUsage.HasSpareCapacity();
  mAccounts.BeginPass(mJobTable, aNow);
  std::vector<WaitingStep> open = CollectWaitingSteps(aNow);
  mPolicies.mOrder.Sort(open, aNow);
  mPass = PlacementPass(std::move(open), aNow);
}

// Suspends the rest of the pass until more starts have been answered.
void ShardScheduler::PausePass()
{
  mWindow.OnStartDeferred();
  mPass.PutBack();
  mIsPassPaused = true;
}

void ShardScheduler::PlaceStep(JobEntry& aJob,
                               ReadyStepKey aStep,
                               MonotonicTime aNow)
{
  const StepSpec& spec = aJob.mGraph.mSteps[aStep.mStep];
  StepState& step = aJob.mOccurrences.at(aStep.mOccurrence)[aStep.mStep];
  if (step.mWaitingSince == MonotonicTime()) {
    step.mWaitingSince = aNow;
  }
  const bool hasWaited = HasWaitedTooLong(aJob, step, aNow);
  if (aNow >= NextWaitLogAt(step)) {
    LogWaitReason(aJob, StepRefOf(aJob, aStep), aNow);
  }
  const bool isOverdue = mHeldStarts.AreRecordsOverdue();
  const ServiceId& service = RulesOf(aJob).mService;
  if (mPass.Refused().Covers(service, spec, hasWaited, std::nullopt)) {
    step.mRefusedAt = aNow;
    return;
  }
  if (IsJobBlocked(aJob, aNow) || (isOverdue && !MayStartUnrecorded(spec)) ||
      !mAccounts.MayStart(aJob, spec)) {
    return;
  }
  if (mWindow.IsFull()) {
    PausePass();
    return;
  }
  const StepRef stepRef = StepRefOf(aJob, aStep);
  if (spec.mGang) {
    PlaceGang(aJob, stepRef, aNow);
    return;
  }
  // Without records, the tasks of a bucket share their search for workers.
  const uint32_t groups = isOverdue ? kStartBuckets : 1;
  for (uint32_t first = 0; first < groups; first++) {
    if (!PlaceTasks(aJob, stepRef, first, groups, aNow)) {
      return;
    }
  }
}

// Places the tasks of a step whose indexes are aFirst and then every aInterval.
// Returns false if the pass is paused.
bool ShardScheduler::PlaceTasks(JobEntry& aJob,
                                const StepRef& aStep,
                                uint32_t aFirst,
                                uint32_t aInterval,
                                MonotonicTime aNow)
{
  const StepSpec& spec = mJobTable.SpecOf(aStep);
  const ServiceId& service = RulesOf(aJob).mService;
  const bool hasWaited = HasWaitedTooLong(aJob, mJobTable.StepOf(aStep), aNow);
  std::optional<size_t> bucket;
  if (mHeldStarts.AreRecordsOverdue()) {
    bucket = BucketOf(TaskRef{ aStep, aFirst });
    if (mPass.Refused().Covers(service, spec, hasWaited, bucket)) {
      return true;
    }
  }
  for (uint32_t index = aFirst; index < spec.mCount; index += aInterval) {
    const TaskRef ref{ aStep, index };
    const bool mayPlace = CanPlace(aJob, ref);
    if (mayPlace && mWindow.IsFull()) {
      PausePass();
      return false;
    }
    if (mayPlace && !mAccounts.MayStart(aJob, spec)) {
      return true;
    }
    if (mayPlace && !PlaceTask(aJob, ref, aNow)) {
      mPass.Refused().Add(service, spec, hasWaited, bucket);
      mJobTable.StepOf(aStep).mRefusedAt = aNow;
      return true;
    }
  }
  return true;
}

// Returns whether a task is waiting and certainly runs nowhere.
bool ShardScheduler::CanPlace(const JobEntry& aJob, const TaskRef& aTask) const
{
  const TaskProgress& task =
    aJob.mOccurrences.at(aTask.mStep.mOccurrence)[aTask.mStep.mStep]
      .mTasks[aTask.mIndex];
  return task.mPhase == TaskPhase::kWaiting &&
         task.mMinOwnershipProofTime <= mProvedAt &&
         !IsTaskBlocked(aJob, aTask);
}

bool ShardScheduler::PlaceTask(JobEntry& aJob,
                               const TaskRef& aTask,
                               MonotonicTime aNow)
{
  PlacementQuery query = MakePlacementQuery(aJob, aTask.mStep, aNow);
  if (!query.mStep.mLongRunning) {
    query.mLastFailedWorker = mJobTable.FindTask(aTask)->mLastFailedWorker;
  }
  if (mHeldStarts.AreRecordsOverdue()) {
    query.mBucket = BucketOf(aTask);
  }
  WorkerEntry* worker = mSearch.Choose(query, aTask.mStep);
  if (worker == nullptr) {
    if (!query.mBucket) {
      mSearch.RememberRefusal(query, aTask.mStep);
    }
    if (query.mStep.mLongRunning) {
      worker = mSearch.ChooseAvoided(query);
    }
  }
  if (worker == nullptr) {
    if (query.mStep.mLongRunning) {
      PreemptForLongRunning(aJob, aTask.mStep, aNow);
    }
    return false;
  }
  OrderStart(aJob, aTask, *worker, NextRunNumber(aJob), aNow);
  return true;
}

// Chooses the worker whose best-effort tasks are stopped after this pass: the
// one that has fewest of them, among the workers that would have room for a
// long-running task without them. Within a pass no room may be freed.
void ShardScheduler::PreemptForLongRunning(const JobEntry& aJob,
                                           const StepRef& aStep,
                                           MonotonicTime aNow)
{
  const PlacementQuery query = MakePlacementQuery(aJob, aStep, aNow);
  mSearch.AddEvaluations(mWorkers.All().size());
  WorkerEntry* best = nullptr;
  for (auto& [id, worker] : mWorkers.All()) {
    const bool isReserved = aNow < worker.mReservedForLongRunningUntil;
    if (!CanPlaceAfterEviction(query, worker) || isReserved) {
      continue;
    }
    if (best == nullptr || worker.mBestEffortTasks < best->mBestEffortTasks) {
      best = &worker;
    }
  }
  if (best != nullptr) {
    best->mReservedForLongRunningUntil = aNow + kLongRunningReservation;
    mWorkers.MarkChanged(*best);
    mPreempted.push_back(best->mInfo.mId);
  }
}

void ShardScheduler::StopBestEffortTasks(const WorkerEntry& aWorker,
                                         const std::string& aWhy)
{
  const std::vector<TaskRef> tasks(aWorker.mTasks.begin(),
                                   aWorker.mTasks.end());
  for (const TaskRef& ref : tasks) {
    if (mJobTable.SpecOf(ref.mStep).mBestEffort) {
      OrderStop(ref, aWhy);
    }
  }
}

void ShardScheduler::OrderStop(const TaskRef& aTask, const std::string& aWhy)
{
  TaskProgress* task = mJobTable.FindTask(aTask);
  if (!IsPlaced(task->mPhase) || task->mPhase == TaskPhase::kStopping) {
    return;
  }
  if (mHeldStarts.Find(aTask) != nullptr) {
    DropHeldStart(aTask, aWhy.c_str());
    return;
  }
  mDecisions.AddTask(
    DecisionKind::kTaskStopped, aTask, task->mWorker, task->mRun, aWhy);
  task->mPhase = TaskPhase::kStopping;
  task->mAnsweredAt = MonotonicTime();
  mResendStopAt[aTask] = MonotonicTime();
}

TaskOrder ShardScheduler::MakeOrder(OrderKind aKind,
                                    const TaskRef& aTask,
                                    RunNumber aRun,
                                    const WorkerEntry& aWorker) const
{
  TaskOrder order;
  order.mKind = aKind;
  order.mTask = aTask;
  order.mRun = aRun;
  order.mWorker = aWorker.mInfo.mId;
  order.mEndpoint = aWorker.mInfo.mEndpoint;
  order.mWorkerIncarnation = aWorker.mWorkerIncarnation;
  order.mEpoch = TokenFor(aWorker);
  return order;
}

// Returns the fencing token of calls to a worker.
Epoch ShardScheduler::TokenFor(const WorkerEntry& aWorker) const
{
  return Epoch(mOptions.mEpoch.Value() + aWorker.mTokenBase);
}

void ShardScheduler::QueueStop(const TaskRef& aTask,
                               RunNumber aRun,
                               const WorkerEntry& aWorker)
{
  mPendingOrders.push_back(MakeOrder(OrderKind::kStop, aTask, aRun, aWorker));
}

void ShardScheduler::ResendStops(MonotonicTime aNow)
{
  for (auto entry = mResendStopAt.begin(); entry != mResendStopAt.end();) {
    const TaskProgress* task = mJobTable.FindTask(entry->first);
    if (task == nullptr || !IsPlaced(task->mPhase)) {
      entry = mResendStopAt.erase(entry);
      continue;
    }
    const WorkerEntry* worker = mWorkers.Find(task->mWorker);
    if (entry->second <= aNow && worker != nullptr && !worker->mSilent) {
      entry->second = aNow + kStopResendInterval;
      QueueStop(entry->first, task->mRun, *worker);
    }
    ++entry;
  }
}

void ShardScheduler::EvacuateLeavingWorkers(MonotonicTime aNow)
{
  for (const WorkerId& id : mWorkers.Leaving()) {
    const WorkerEntry& worker = *mWorkers.Find(id);
    if (worker.mSilent) {
      continue;
    }
    const bool isLeavingSoon =
      worker.mLeavesAt && *worker.mLeavesAt - kEvacuateBeforeLeaving <= aNow;
    const std::vector<TaskRef> tasks(worker.mTasks.begin(),
                                     worker.mTasks.end());
    for (const TaskRef& ref : tasks) {
      const StepSpec& spec = mJobTable.SpecOf(ref.mStep);
      if (spec.mLongRunning || (isLeavingSoon && spec.mCheckpointing)) {
        OrderStop(ref, "its worker is leaving");
      }
    }
  }
}

// Ownership needs a recent proof, since a successor may have claimed the shard
// before this owner read the job.
bool ShardScheduler::IsOwnershipProvedFor(const JobEntry& aJob,
                                          MonotonicTime aNow) const
{
  return aJob.mReadAt <= mProvedAt ||
         aNow < mProvedAt + mOptions.mNewJobProofLimit;
}

RunNumber ShardScheduler::NextRunNumber(JobEntry& aJob)
{
  const RunNumber first(mOptions.mEpoch.Value() * kRunNumbersPerEpoch);
  aJob.mLastRun = std::max(aJob.mLastRun, first).Next();
  return aJob.mLastRun;
}

} // namespace mulberryvalve
