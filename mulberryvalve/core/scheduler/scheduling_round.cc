#include "mulberryvalve/core/scheduler/scheduling_round.h"

#include "mulberryvalve/core/scheduler/preemption.h"
#include "mulberryvalve/core/scheduler/waiting_order.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace mulberryvalve {
namespace {

class SchedulingRound
{
public:
  explicit SchedulingRound(const SchedulingRoundView& aView)
    : mView(aView)
    , mColocation(aView.mColocation)
  {
  }

  SchedulingRoundPlan Plan()
  {
    if (mColocation != nullptr) {
      mColocation->BeginRound(
        mView.mPool, mView.mShardState, mView.mMoveTargets, mView.mNow);
    }
    StopCancelledTasks();
    ManageAssignedTasks();
    if (mView.mDomainOut) {
      HandOverWaiting();
      return std::move(mPlan);
    }
    ApplyTailActions();
    PlaceWaiting();
    return std::move(mPlan);
  }

private:
  bool RecordLimitReached() const
  {
    return mPlan.mRecords.size() >= mView.mOptions.mMaxRecords;
  }

  void AddCommand(TaskCommandKind aKind,
                  const TaskEntry& aTask,
                  int aPercent = 100)
  {
    const bool alreadyGiven =
      mView.mCommandPending && mView.mCommandPending(aTask, aKind);
    if (!alreadyGiven && mPlan.mCommands.size() < mView.mOptions.mMaxCommands) {
      mPlan.mCommands.push_back(TaskCommand{
        aKind, aTask.mId, aTask.mAttempt, aTask.mWorker, aPercent });
    }
  }

  // Counts one action against its rate limit, or against the limit of the round
  // when there are no rate limits.
  bool Admit(RateLimitedAction aAction,
             size_t& aCountInRound,
             size_t aMaxInRound)
  {
    if (aCountInRound >= aMaxInRound ||
        (mColocation != nullptr && !mColocation->Admit(aAction, mView.mNow))) {
      return false;
    }
    aCountInRound++;
    return true;
  }

  void StopCancelledTasks()
  {
    for (const TaskId& id : mView.mShardState.TasksToCancel()) {
      const TaskEntry* task = mView.mShardState.FindTask(id);
      if (RecordLimitReached()) {
        return;
      }
      if (mView.mHasPendingAction(id)) {
        continue;
      }
      if (HoldsCapacity(task->mState)) {
        AddCommand(TaskCommandKind::kStopCancelled, *task);
      } else {
        mPlan.mRecords.push_back(TaskCancelled{ id });
      }
    }
  }

  void ManageAssignedTasks()
  {
    std::vector<const TaskEntry*> displaced;
    for (const auto& [worker, tasks] : mView.mShardState.TasksByWorker()) {
      const PooledWorker* pooled = mView.mPool.Find(worker);
      const bool leaving =
        pooled != nullptr && pooled->mSpec.mState == WorkerState::kLeaving;
      for (const TaskId& id : tasks) {
        const TaskEntry* task = mView.mShardState.FindTask(id);
        if (mView.mHasPendingAction(id) || task->mCancelRequested) {
          continue;
        }
        if (task->mState == TaskState::kCheckpointing) {
          AddCommand(TaskCommandKind::kCheckpointAndStop, *task);
        } else if (mView.mDomainOut || leaving) {
          displaced.push_back(task);
        } else if (task->mState == TaskState::kAssigned &&
                   task->mEpoch == mView.mEpoch) {
          AddCommand(TaskCommandKind::kStart, *task);
        }
      }
    }
    EvictDisplaced(std::move(displaced));
  }

  // Evicts tasks from a leaving worker or domain at the rate of moves, watchers
  // and urgent tasks first.
  void EvictDisplaced(std::vector<const TaskEntry*> aTasks)
  {
    const auto keyOf = [](const TaskEntry* aTask) {
      return std::make_tuple(aTask->mDemand->mKind == TaskKind::kBatch,
                             aTask->mDemand->mPriority,
                             aTask->mWaitingSince);
    };
    std::stable_sort(aTasks.begin(),
                     aTasks.end(),
                     [&](const TaskEntry* aLeft, const TaskEntry* aRight) {
                       return keyOf(aLeft) < keyOf(aRight);
                     });
    size_t moves = 0;
    const EvictionCause cause = mView.mDomainOut
                                  ? EvictionCause::kDomainOut
                                  : EvictionCause::kWorkerLeaving;
    for (const TaskEntry* task : aTasks) {
      if (RecordLimitReached() ||
          !Admit(RateLimitedAction::kMove, moves, mView.mOptions.mMaxMoves)) {
        return;
      }
      Evict(*task, cause, std::nullopt);
    }
  }

  void Evict(const TaskEntry& aTask,
             EvictionCause aCause,
             std::optional<WorkerTime> aReport)
  {
    mPlan.mRecords.push_back(
      TaskCheckpointing{ aTask.mId, aTask.mAttempt, aCause });
    mEvictedInRound.insert(aTask.mId);
    Decision decision;
    decision.mKind = DecisionKind::kEvicted;
    decision.mCause = aCause;
    decision.mReportTakenAt = aReport;
    RecordDecision(aTask, std::move(decision));
  }

  void RecordDecision(const TaskEntry& aTask, Decision aDecision)
  {
    if (mColocation == nullptr) {
      return;
    }
    aDecision.mAt = mView.mNow;
    aDecision.mAttempt = aTask.mAttempt;
    aDecision.mWorker = aTask.mWorker;
    mColocation->OnDecided(aTask.mId, std::move(aDecision));
  }

  void HandOverWaiting()
  {
    size_t moves = 0;
    for (const WaitingKey& key : mView.mShardState.Waiting()) {
      const TaskEntry* task = mView.mShardState.FindTask(std::get<TaskId>(key));
      if (RecordLimitReached() || mView.mMoveTargets.empty()) {
        return;
      }
      if (mView.mHasPendingAction(task->mId) || task->mCancelRequested) {
        continue;
      }
      if (!Admit(RateLimitedAction::kMove, moves, mView.mOptions.mMaxMoves)) {
        return;
      }
      HandOver(*task, mView.mMoveTargets);
    }
  }

  void HandOver(const TaskEntry& aTask, const std::vector<ShardId>& aTargets)
  {
    const size_t pick = std::hash<TaskId>()(aTask.mId) + aTask.mHandover;
    mPlan.mRecords.push_back(
      TaskHandedOver{ aTask.mId, aTargets[pick % aTargets.size()] });
    Decision decision;
    decision.mKind = DecisionKind::kHandedOver;
    decision.mCause = aTask.mEvictionCause;
    RecordDecision(aTask, std::move(decision));
  }

  void ApplyTailActions()
  {
    if (mColocation == nullptr) {
      return;
    }
    const auto percent =
      static_cast<int>(mColocation->InForce().mLimits.mThrottlePercent);
    for (const TailGuardAction& action :
         mColocation->DecideTailActions(mView.mNow)) {
      const TaskEntry* task = mView.mShardState.FindTask(action.mTask);
      if (task == nullptr || task->mState != TaskState::kRunning ||
          task->mAttempt != action.mAttempt ||
          mView.mHasPendingAction(task->mId)) {
        continue;
      }
      if (action.mKind == TailGuardActionKind::kEvict) {
        Evict(*task, EvictionCause::kInterference, action.mReportTakenAt);
        continue;
      }
      const bool throttle = action.mKind == TailGuardActionKind::kThrottle;
      AddCommand(TaskCommandKind::kThrottle, *task, throttle ? percent : 100);
      Decision decision;
      decision.mKind =
        throttle ? DecisionKind::kThrottled : DecisionKind::kUnthrottled;
      decision.mThrottlePercent = throttle ? percent : 100;
      decision.mReportTakenAt = action.mReportTakenAt;
      RecordDecision(*task, std::move(decision));
    }
  }

  void PlaceWaiting()
  {
    const std::vector<WaitingTask> tasks =
      SelectWaitingTasks(mView.mShardState,
                         mColocation,
                         mView.mNow,
                         mView.mOptions.mMaxTasksPerQueue);
    for (const WaitingTask& waiting : tasks) {
      if (RecordLimitReached() ||
          mBlockedShapes.size() > mView.mOptions.mMaxUnplacedShapes) {
        return;
      }
      const TaskEntry& task = *waiting.mTask;
      if (mView.mHasPendingAction(task.mId) || task.mCancelRequested ||
          !mConsidered.insert(task.mId).second) {
        continue;
      }
      if (mColocation != nullptr &&
          mColocation->IsRetryDelayed(task.mId, mView.mNow)) {
        continue;
      }
      const auto blocked = mBlockedShapes.find(ShapeOf(*task.mDemand));
      if (blocked != mBlockedShapes.end()) {
        HandleBlocked(task, blocked->second);
        continue;
      }
      if (!TryPlace(waiting)) {
        return;
      }
    }
  }

  // Returns false when no more tasks may start in this round.
  bool TryPlace(const WaitingTask& aWaiting)
  {
    const TaskEntry& task = *aWaiting.mTask;
    if (ExceedsQuota(*task.mDemand)) {
      MarkBlocked(task, PlacementConstraint::kTeamQuota);
      return true;
    }
    PlacementChoice choice = mView.mPolicy.Choose(task, mView.mPool);
    const bool wait = choice.mPostponed && !aWaiting.mIsAged;
    if (!choice.mWorker || wait) {
      Preempt(task, wait);
      MarkBlocked(task,
                  wait ? PlacementConstraint::kInterference
                       : PlacementConstraint::kNone);
      return true;
    }
    if (!Admit(
          RateLimitedAction::kStart, mStarts, mView.mOptions.mMaxRecords)) {
      return false;
    }
    const WorkerId worker = *choice.mWorker;
    mView.mPool.ChargeTask(worker, task);
    mPlan.mRecords.push_back(
      TaskAssigned{ task.mId, task.mAttempt.Next(), worker });
    if (mColocation != nullptr) {
      if (mColocation->IsQuarantined(worker)) {
        mView.mPool.SetQuarantined(worker);
      }
      mColocation->OnPlaced(
        task, std::move(choice), aWaiting.mIsAged, mView.mNow);
    }
    return true;
  }

  bool ExceedsQuota(const TaskDemand& aDemand) const
  {
    const Resources* quota = mColocation == nullptr
                               ? nullptr
                               : mColocation->ShardQuotaOf(aDemand.mTeam);
    return quota != nullptr &&
           !(mView.mPool.TeamCharge(aDemand.mTeam) + aDemand.mResources)
              .FitsIn(*quota);
  }

  void MarkBlocked(const TaskEntry& aTask, PlacementConstraint aConstraint)
  {
    std::optional<Diagnosis> impossible;
    if (mColocation != nullptr) {
      impossible =
        mColocation->OnUnplaced(aTask, mView.mPool, aConstraint, mView.mNow);
    }
    const auto entry =
      mBlockedShapes.emplace(ShapeOf(*aTask.mDemand), std::move(impossible))
        .first;
    HandleBlocked(aTask, entry->second);
  }

  void HandleBlocked(const TaskEntry& aTask,
                     const std::optional<Diagnosis>& aImpossible)
  {
    if (aImpossible) {
      mPlan.mRecords.push_back(
        TaskImpossible{ aTask.mId, ReasonText(*aImpossible) });
      Decision decision;
      decision.mKind = DecisionKind::kImpossible;
      decision.mConstraintCounts = aImpossible->mConstraintCounts;
      decision.mNearest = aImpossible->mNearest;
      RecordDecision(aTask, std::move(decision));
      return;
    }
    if (mColocation != nullptr && aTask.mHandover > 0 &&
        !mColocation->ReturnedTargets().empty() &&
        Admit(RateLimitedAction::kMove, mMoves, mView.mOptions.mMaxMoves)) {
      HandOver(aTask, mColocation->ReturnedTargets());
    }
  }

  // Preempts other tasks for an urgent one. aPostponed is true when a worker
  // has room but the placement was postponed.
  void Preempt(const TaskEntry& aTask, bool aPostponed)
  {
    if (mColocation == nullptr || aPostponed ||
        mColocation->BasePriority(*aTask.mDemand) != Priority::kUrgent ||
        mPreemptions >= mView.mOptions.mMaxPreemptions ||
        !mColocation->TryStartPreemption(aTask.mId, mView.mNow)) {
      return;
    }
    mPreemptions++;
    const std::function<bool(const TaskId&)> busy = [&](const TaskId& aId) {
      return mView.mHasPendingAction(aId) || mEvictedInRound.count(aId) != 0;
    };
    const PreemptionView view{ mView.mPool, *mColocation, busy };
    for (const TaskEntry* victim : FindPreemptionVictims(view, aTask)) {
      if (RecordLimitReached() ||
          !mColocation->Admit(RateLimitedAction::kEviction, mView.mNow)) {
        return;
      }
      Evict(*victim, EvictionCause::kPriority, std::nullopt);
    }
  }

  const SchedulingRoundView& mView;
  ColocationController* mColocation;
  SchedulingRoundPlan mPlan;
  std::map<DemandShape, std::optional<Diagnosis>> mBlockedShapes;
  std::set<TaskId> mConsidered;
  std::set<TaskId> mEvictedInRound;
  size_t mStarts = 0;
  size_t mMoves = 0;
  size_t mPreemptions = 0;
};

} // namespace

SchedulingRoundPlan PlanSchedulingRound(const SchedulingRoundView& aView)
{
  return SchedulingRound(aView).Plan();
}

} // namespace mulberryvalve
