// Placement: how JobShard chooses workers for waiting tasks, and which starts,
// stops and pace changes it orders.
#include "mulberryvalve/core/jobs/job_shard.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// How long before a worker may leave its checkpointing tasks are stopped. A
// stop and its reply take less.
constexpr Milliseconds kEvacuateBeforeLeaving{ 1500 };
// How long a worker is reserved after its filling tasks were told to stop. A
// stop and the report that confirms it take less.
constexpr Milliseconds kLastingReservation{ 2500 };
// How often steps that found no worker are retried when nothing has changed.
constexpr Milliseconds kPlacementRetryInterval{ 100 };
// A paused pass that is older than this is sorted again when it resumes.
constexpr Milliseconds kResortInterval{ 100 };
// Separates the run numbers of an epoch from those of all earlier epochs.
constexpr uint64_t kRunNumbersPerEpoch = 1 << 14;

} // namespace

std::vector<TaskOrder> JobShard::Decide(const OwnershipProof& aProof,
                                        MonotonicTime aNow,
                                        WallTime aWallTime)
{
  mWallTime = aWallTime;
  ReleaseExpiredWorkers(aProof, aNow);
  mProvedAt = std::max(mProvedAt, aProof.mProvedAt);
  ResendStops(aNow);
  // Inherited waits end only with proof of ownership, since a successor may
  // have renewed the leases of the worker.
  mInheritedWorkers.ExpireWaits(mProvedAt);
  RemoveGoneWorkers(aNow);
  RefreshHandoverNotes(aNow);
  EvacuateLeavingWorkers(aNow);
  mBook.OpenDue(aWallTime);
  if (!aProof.mMayStart) {
    AbortPass();
  } else if (mWindow.IsFull()) {
    mWindow.OnHeldBack();
  } else if (mPass.IsUnderWay() || mNeedsPlacement ||
             aNow >= mRetryPlacementAt) {
    if (aNow >= mRetryPlacementAt &&
        mPressureVersion != mInterference.Version()) {
      mPressureVersion = mInterference.Version();
      mSearch.ForgetPressure();
    }
    mRetryPlacementAt = aNow + kPlacementRetryInterval;
    RunPlacement(aNow);
  }
  ReportBlockedTasks(aNow);
  for (TaskOrder& order : mPendingOrders) {
    order.mDecidedAt = aNow;
  }
  return std::exchange(mPendingOrders, {});
}

void JobShard::AbortPass()
{
  if (mPass.IsUnderWay()) {
    mPass = PlacementPass();
    mNeedsPlacement = true;
  }
}

bool JobShard::IsWanted(const TaskOrder& aOrder, MonotonicTime aNow) const
{
  if (aOrder.mKind != OrderKind::kStart) {
    return true;
  }
  const WorkerRoom* worker = mWorkers.Find(aOrder.mWorker);
  if (worker == nullptr || worker->mSilent) {
    return false;
  }
  const StepTask* task = mBook.FindTask(aOrder.mTask);
  return task != nullptr && task->mPhase == TaskPhase::kStarting &&
         task->mWorker == aOrder.mWorker && task->mRun == aOrder.mRun &&
         IsOwnershipProvedFor(*mBook.Find(aOrder.mTask.mStep.mJob), aNow);
}

void JobShard::ApplyWorkerChanges(MonotonicTime aNow)
{
  const std::vector<WorkerRoom*> changed = mWorkers.TakeChanged();
  mUsage.OnChanges(changed, mWorkers);
  mSearch.BeginPass(changed, aNow);
}

void JobShard::RunPlacement(MonotonicTime aNow)
{
  ApplyWorkerChanges(aNow);
  const bool wasPaused = std::exchange(mIsPassPaused, false);
  if (wasPaused && aNow >= mPass.BegunAt() + kResortInterval) {
    AbortPass();
  }
  if (!mPass.IsUnderWay()) {
    BeginPass(aNow);
  }
  const size_t checkLimit = mSearch.Looks() + kLooksPerDecide;
  while (mPass.IsUnderWay() && mSearch.Looks() < checkLimit && !mIsPassPaused) {
    mSearch.CountLooks(1);
    const auto open = mBook.Open().find(mPass.Next().mStep);
    if (open != mBook.Open().end()) {
      PlaceStep(*open->second, open->first, aNow);
    }
  }
}

void JobShard::BeginPass(MonotonicTime aNow)
{
  mNeedsPlacement = false;
  mIsMostlyUnused = mUsage.MostIsUnused();
  std::vector<WaitingStep> open = CollectWaitingSteps(aNow);
  mPolicies.mOrder.Sort(open, aNow);
  mPass = PlacementPass(std::move(open), aNow);
}

// Suspends the rest of the pass until more starts have been answered.
void JobShard::PausePass()
{
  mWindow.OnHeldBack();
  mPass.PutBack();
  mIsPassPaused = true;
}

void JobShard::PlaceStep(JobEntry& aJob, OpenStep aStep, MonotonicTime aNow)
{
  const StepSpec& spec = aJob.mGraph.mSteps[aStep.mStep];
  StepState& step = aJob.mOccurrences[aStep.mOccurrence][aStep.mStep];
  if (step.mWaitingSince == MonotonicTime()) {
    step.mWaitingSince = aNow;
  }
  const bool hasWaited = HasWaitedTooLong(aJob, step, aNow);
  if (aNow >= NextWaitLogAt(step)) {
    LogWaitReason(aJob, StepRefOf(aJob, aStep), aNow);
  }
  if (IsJobBlocked(aJob, aNow) || mPass.Refused().Covers(spec, hasWaited)) {
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
  for (uint32_t index = 0; index < spec.mCount; index++) {
    const TaskRef ref{ stepRef, index };
    const bool mayPlace = MayPlace(ref, step.mTasks[index]);
    if (mayPlace && mWindow.IsFull()) {
      PausePass();
      return;
    }
    if (mayPlace && !PlaceTask(aJob, ref, aNow)) {
      mPass.Refused().Add(spec, hasWaited);
      return;
    }
  }
}

// Returns whether a task is waiting and certainly runs nowhere.
bool JobShard::MayPlace(const TaskRef& aRef, const StepTask& aTask) const
{
  return aTask.mPhase == TaskPhase::kWaiting &&
         !mInheritedWorkers.BlocksTask(aRef) &&
         aTask.mNeedsProofOf <= mProvedAt;
}

bool JobShard::PlaceTask(JobEntry& aJob,
                         const TaskRef& aTask,
                         MonotonicTime aNow)
{
  PlacementQuery query = MakePlacementQuery(aJob, aTask.mStep, aNow);
  if (!query.mStep.mLasting) {
    query.mFailedAt = mBook.FindTask(aTask)->mFailedAt;
  }
  WorkerRoom* worker = mSearch.Choose(query, aTask.mStep);
  if (worker == nullptr) {
    mSearch.RememberRefusal(query, aTask.mStep);
    if (mBook.SpecOf(aTask.mStep).mLasting) {
      PreemptForLasting(aJob, aTask.mStep, aNow);
    }
    return false;
  }
  OrderStart(aJob, aTask, *worker, NextRunNumber(aJob), aNow);
  return true;
}

// Starts all members of a gang or none, and only once no member of an earlier
// run can be left.
void JobShard::PlaceGang(JobEntry& aJob,
                         const StepRef& aStep,
                         MonotonicTime aNow)
{
  const StepSpec& spec = mBook.SpecOf(aStep);
  StepState& step = mBook.StepOf(aStep);
  for (uint32_t index = 0; index < spec.mCount; index++) {
    if (!MayPlace(TaskRef{ aStep, index }, step.mTasks[index])) {
      return;
    }
  }
  std::vector<WorkerRoom*> chosen;
  for (uint32_t index = 0; index < spec.mCount; index++) {
    const PlacementQuery query = MakePlacementQuery(aJob, aStep, aNow);
    WorkerRoom* worker = mSearch.Choose(query, aStep);
    if (worker == nullptr) {
      if (chosen.empty()) {
        mSearch.RememberRefusal(query, aStep);
      }
      break;
    }
    mWorkers.Charge(*worker, TaskRef{ aStep, index }, spec);
    step.mSiblings[worker->mFacts.mId]++;
    chosen.push_back(worker);
  }
  for (uint32_t index = 0; index < chosen.size(); index++) {
    mWorkers.Release(*chosen[index], TaskRef{ aStep, index }, spec);
  }
  step.mSiblings.clear();
  ApplyWorkerChanges(aNow);
  if (chosen.size() < spec.mCount) {
    return;
  }
  const RunNumber run = NextRunNumber(aJob);
  for (uint32_t index = 0; index < spec.mCount; index++) {
    OrderStart(aJob, TaskRef{ aStep, index }, *chosen[index], run, aNow);
  }
}

PlacementQuery JobShard::MakePlacementQuery(const JobEntry& aJob,
                                            const StepRef& aStep,
                                            MonotonicTime aNow)
{
  const StepSpec& spec = mBook.SpecOf(aStep);
  const StepState& step = mBook.StepOf(aStep);
  RackId onlyRack;
  if (spec.mSameRack && !step.mSiblings.empty()) {
    const WorkerRoom* first = mWorkers.Find(step.mSiblings.begin()->first);
    onlyRack = first == nullptr ? RackId() : first->mFacts.mRack;
  }
  return PlacementQuery{ spec,
                         RulesOf(aJob).mService,
                         step.mSiblings,
                         mInterference,
                         mConfig.mDomainsOut,
                         onlyRack,
                         WorkerId(),
                         HasWaitedTooLong(aJob, step, aNow),
                         aNow };
}

// Stops the filling tasks on the worker that has fewest of them, among the
// workers that would have room for a lasting task without them.
void JobShard::PreemptForLasting(const JobEntry& aJob,
                                 const StepRef& aStep,
                                 MonotonicTime aNow)
{
  const PlacementQuery query = MakePlacementQuery(aJob, aStep, aNow);
  mSearch.CountLooks(mWorkers.All().size());
  WorkerRoom* best = nullptr;
  for (auto& [id, worker] : mWorkers.All()) {
    const bool isReserved = aNow < worker.mKeptForLastingUntil;
    if (!MayPlaceWithoutFilling(query, worker) || isReserved) {
      continue;
    }
    if (best == nullptr || worker.mFilling < best->mFilling) {
      best = &worker;
    }
  }
  if (best != nullptr) {
    best->mKeptForLastingUntil = aNow + kLastingReservation;
    mWorkers.NoteChange(*best);
    StopFillingTasks(*best, "preempted by a lasting task");
  }
}

void JobShard::StopFillingTasks(const WorkerRoom& aWorker,
                                const std::string& aWhy)
{
  const std::vector<TaskRef> tasks(aWorker.mTasks.begin(),
                                   aWorker.mTasks.end());
  for (const TaskRef& ref : tasks) {
    if (mBook.SpecOf(ref.mStep).mFills) {
      OrderStop(ref, aWhy);
    }
  }
}

void JobShard::OrderStart(JobEntry& aJob,
                          const TaskRef& aTask,
                          WorkerRoom& aWorker,
                          RunNumber aRun,
                          MonotonicTime aNow)
{
  const StepSpec& spec = mBook.SpecOf(aTask.mStep);
  const std::optional<WorkerTime> leaseEnd =
    mWorkers.LeaseForStart(aWorker, aNow);
  if (!leaseEnd) {
    return;
  }
  const bool first = !aJob.mBegun && !aJob.mInherited;
  const bool isTolerated =
    HasWaitedTooLong(aJob, mBook.StepOf(aTask.mStep), aNow);
  mBook.Place(aTask, aWorker.mFacts.mId, aRun);
  mBook.FindTask(aTask)->mIsTolerated = isTolerated;
  mWorkers.Charge(aWorker, aTask, spec);
  if (spec.mFills) {
    aWorker.mFillingSince = aNow;
  }
  TaskOrder order = MakeOrder(OrderKind::kStart, aTask, aRun, aWorker);
  order.mUntil = *leaseEnd;
  order.mSpecification = aJob.mGraph.mSpecification;
  order.mCheckpoint = mBook.FindTask(aTask)->mCheckpoint;
  mPendingOrders.push_back(std::move(order));
  mWindow.OnOrdered();
  aWorker.mStartsUnderWay++;
  JobDecision decision =
    MakeTaskDecision(DecisionKind::kTaskPlaced,
                     aTask,
                     aWorker.mFacts.mId,
                     aRun,
                     "free cpu " + std::to_string(aWorker.Room().mCpuMillis) +
                       ", filling " + std::to_string(aWorker.mFilling) +
                       ", lasting " + std::to_string(aWorker.mLasting));
  if (first) {
    decision.mWaited =
      std::chrono::duration_cast<Milliseconds>(aNow - aJob.mKnownAt);
  }
  LogDecision(std::move(decision));
}

void JobShard::OrderStop(const TaskRef& aTask, const std::string& aWhy)
{
  StepTask* task = mBook.FindTask(aTask);
  if (!IsPlaced(task->mPhase) || task->mPhase == TaskPhase::kStopping) {
    return;
  }
  LogDecision(
    DecisionKind::kTaskStopped, aTask, task->mWorker, task->mRun, aWhy);
  task->mPhase = TaskPhase::kStopping;
  task->mAnsweredAt = MonotonicTime();
  mResendStopAt[aTask] = MonotonicTime();
}

TaskOrder JobShard::MakeOrder(OrderKind aKind,
                              const TaskRef& aTask,
                              RunNumber aRun,
                              const WorkerRoom& aWorker) const
{
  TaskOrder order;
  order.mKind = aKind;
  order.mTask = aTask;
  order.mRun = aRun;
  order.mWorker = aWorker.mFacts.mId;
  order.mEndpoint = aWorker.mFacts.mEndpoint;
  order.mEpoch = mOptions.mEpoch;
  return order;
}

void JobShard::QueueStop(const TaskRef& aTask,
                         RunNumber aRun,
                         const WorkerRoom& aWorker)
{
  mPendingOrders.push_back(MakeOrder(OrderKind::kStop, aTask, aRun, aWorker));
}

void JobShard::ResendStops(MonotonicTime aNow)
{
  for (auto entry = mResendStopAt.begin(); entry != mResendStopAt.end();) {
    const StepTask* task = mBook.FindTask(entry->first);
    if (task == nullptr || !IsPlaced(task->mPhase)) {
      entry = mResendStopAt.erase(entry);
      continue;
    }
    const WorkerRoom* worker = mWorkers.Find(task->mWorker);
    if (entry->second <= aNow && worker != nullptr && !worker->mSilent) {
      entry->second = aNow + kStopResendInterval;
      QueueStop(entry->first, task->mRun, *worker);
    }
    ++entry;
  }
}

void JobShard::EvacuateLeavingWorkers(MonotonicTime aNow)
{
  for (const WorkerId& id : mWorkers.Leaving()) {
    const WorkerRoom& worker = *mWorkers.Find(id);
    if (worker.mSilent) {
      continue;
    }
    const bool isLeavingSoon =
      worker.mLeavesAt && *worker.mLeavesAt - kEvacuateBeforeLeaving <= aNow;
    for (const TaskRef& ref : worker.mTasks) {
      const StepSpec& spec = mBook.SpecOf(ref.mStep);
      if (spec.mLasting || (isLeavingSoon && spec.mCheckpointing)) {
        OrderStop(ref, "its worker is leaving");
      }
    }
  }
}

// Ownership needs a recent proof, since a successor may have claimed the shard
// before this owner read the job.
bool JobShard::IsOwnershipProvedFor(const JobEntry& aJob,
                                    MonotonicTime aNow) const
{
  return aJob.mKnownAt <= mProvedAt ||
         aNow < mProvedAt + mOptions.mNewJobProofLimit;
}

RunNumber JobShard::NextRunNumber(JobEntry& aJob)
{
  const RunNumber first(mOptions.mEpoch.Value() * kRunNumbersPerEpoch);
  aJob.mLastRun = std::max(aJob.mLastRun, first).Next();
  return aJob.mLastRun;
}

} // namespace mulberryvalve
