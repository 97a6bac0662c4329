#include "mulberryvalve/core/colocation/colocation_controller.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr size_t kMaxSettled = 4096;
constexpr size_t kMaxDelayed = 4096;
constexpr size_t kMaxShapes = 256;
constexpr size_t kMaxCandidatesKept = 4;
constexpr uint32_t kMaxBackoffDoublings = 6;

// Drops expired entries once aMap has reached its size limit.
void DropExpired(std::unordered_map<TaskId, MonotonicTime>& aMap,
                 MonotonicTime aNow)
{
  if (aMap.size() < kMaxDelayed) {
    return;
  }
  for (auto entry = aMap.begin(); entry != aMap.end();) {
    entry = entry->second <= aNow ? aMap.erase(entry) : std::next(entry);
  }
}

} // namespace

ColocationController::ColocationController(ColocationOptions aOptions)
  : mOptions(aOptions)
  , mUsage(mModel, mClassEstimates)
  , mPolicy(aOptions.mScore, mModel, mClassEstimates, mUsage)
  , mGuard(aOptions.mGuard, mModel)
  , mQuarantine(aOptions.mQuarantine)
{
}

void ColocationController::OnReply(const WorkerSpec& aWorker,
                                   const SyncReply& aReply,
                                   const ShardStateMachine& aShardState,
                                   MonotonicTime aNow)
{
  mUsage.OnReply(
    aWorker, aReply, aShardState, mBundle.mPlacement.mRequestP99, aNow);
}

void ColocationController::OnRecordsProposed(
  const ShardStateMachine& aShardState,
  const std::vector<Record>& aRecords,
  MonotonicTime aNow)
{
  for (const Record& record : aRecords) {
    if (const auto* finished = std::get_if<TaskFinished>(&record)) {
      const TaskEntry* task = aShardState.FindTask(finished->mTask);
      if (task != nullptr && task->mAttempt == finished->mAttempt) {
        OnOutcome(*task, finished->mState == TaskState::kCompleted, aNow);
      }
    }
    const auto* evicted = std::get_if<TaskEvicted>(&record);
    if (evicted != nullptr &&
        evicted->mCause == EvictionCause::kAttemptFailed) {
      const TaskEntry* task = aShardState.FindTask(evicted->mTask);
      if (task != nullptr && task->mAttempt == evicted->mAttempt) {
        OnOutcome(*task, false, aNow);
      }
    }
  }
}

bool ColocationController::CheckAndMarkSettled(const TaskEntry& aTask)
{
  const LeaseId lease = MakeLeaseId(aTask.mId, aTask.mAttempt);
  if (!mSettled.insert(lease).second) {
    return true;
  }
  mSettledOrder.push_back(lease);
  if (mSettledOrder.size() > kMaxSettled) {
    mSettled.erase(mSettledOrder.front());
    mSettledOrder.pop_front();
  }
  return false;
}

void ColocationController::OnOutcome(const TaskEntry& aTask,
                                     bool aSucceeded,
                                     MonotonicTime aNow)
{
  if (CheckAndMarkSettled(aTask)) {
    return;
  }
  const ClassIndex index = mModel.IndexOf(aTask.mDemand->mClass);
  mQuarantine.OnOutcome(aTask.mWorker, index, aSucceeded, aNow);
  if (aSucceeded) {
    const ObservedTask* seen = mUsage.FindTask(aTask.mWorker, aTask.mId);
    if (seen != nullptr) {
      mClassEstimates.RecordRunTime(index, seen->mProgress);
    }
    return;
  }
  const uint32_t doublings = std::min(aTask.mFailures, kMaxBackoffDoublings);
  DropExpired(mRetryNotBefore, aNow);
  mRetryNotBefore[aTask.mId] =
    aNow + std::min(mOptions.mBaseRetryDelay * (1 << doublings),
                    mOptions.mMaxRetryDelay);
}

void ColocationController::BeginRound(WorkerPool& aPool,
                                      const ShardStateMachine& aShardState,
                                      const std::vector<ShardId>& aTargets,
                                      MonotonicTime aNow)
{
  mWaitingAge.OnRound(
    aShardState.Folded(), aNow, mBundle.mPriorities.mAgingStep);
  mPolicy.SetContext(aNow - mOptions.mStaleAfter,
                     mBundle.mPlacement.mSpreadRacks);
  for (const WorkerId& worker : mQuarantine.ExcludedWorkers(aNow)) {
    aPool.SetQuarantined(worker);
  }
  UpdateReturnedTargets(aTargets, aNow);
}

void ColocationController::UpdateReturnedTargets(
  const std::vector<ShardId>& aTargets,
  MonotonicTime aNow)
{
  std::map<ShardId, MonotonicTime> present;
  mReturnedTargets.clear();
  for (const ShardId& shard : aTargets) {
    const auto known = mReturnedUntil.find(shard);
    const bool isNew = known == mReturnedUntil.end() && mHasTargets;
    const MonotonicTime until =
      isNew ? aNow + mOptions.mReturnedTargetWindow
            : (known == mReturnedUntil.end() ? MonotonicTime::min()
                                             : known->second);
    present[shard] = until;
    if (aNow < until) {
      mReturnedTargets.push_back(shard);
    }
  }
  mReturnedUntil = std::move(present);
  mHasTargets = true;
}

std::vector<TailGuardAction> ColocationController::DecideTailActions(
  MonotonicTime aNow)
{
  std::vector<TailGuardAction> actions;
  const auto mayEvict = [&] {
    return Admit(RateLimitedAction::kEviction, aNow);
  };
  for (const auto& [worker, usage] : mUsage.All()) {
    const auto action =
      mGuard.Decide(worker,
                    usage,
                    aNow,
                    static_cast<int>(mBundle.mLimits.mThrottlePercent),
                    mayEvict);
    if (action) {
      actions.push_back(*action);
    }
  }
  return actions;
}

bool ColocationController::Admit(RateLimitedAction aAction, MonotonicTime aNow)
{
  const Limits& limits = mBundle.mLimits;
  const int64_t rate =
    aAction == RateLimitedAction::kStart      ? limits.mStartsPerSecond
    : aAction == RateLimitedAction::kEviction ? limits.mEvictionsPerSecond
                                              : limits.mMovesPerSecond;
  const double share = static_cast<double>(rate) / mOptions.mShardsInDomain;
  return mRates[static_cast<size_t>(aAction)].TryAcquire(aNow, share);
}

bool ColocationController::IsRetryDelayed(const TaskId& aTask,
                                          MonotonicTime aNow) const
{
  const auto found = mRetryNotBefore.find(aTask);
  return found != mRetryNotBefore.end() && aNow < found->second;
}

Priority ColocationController::BasePriority(const TaskDemand& aDemand) const
{
  const auto team = mBundle.mTeams.find(aDemand.mTeam);
  return team == mBundle.mTeams.end()
           ? aDemand.mPriority
           : std::max(aDemand.mPriority, team->second.mHighestPriority);
}

Priority ColocationController::EffectivePriority(const TaskEntry& aTask,
                                                 MonotonicTime aNow) const
{
  const int base = static_cast<int>(BasePriority(*aTask.mDemand));
  const int steps = mWaitingAge.WholeSteps(
    aTask.mWaitingSince, aNow, mBundle.mPriorities.mAgingStep);
  return static_cast<Priority>(std::max(0, base - steps));
}

const Resources* ColocationController::ShardQuotaOf(const TeamId& aTeam) const
{
  const auto team = mBundle.mTeams.find(aTeam);
  if (team == mBundle.mTeams.end()) {
    return nullptr;
  }
  const Resources& teamQuota = team->second.mResources;
  const int64_t shards = mOptions.mShardsInDomain;
  mQuotaShare = Resources{ teamQuota.mCpuMillis / shards,
                           teamQuota.mMemoryMb / shards,
                           teamQuota.mAccelerators / shards };
  return &mQuotaShare;
}

void ColocationController::OnPlaced(const TaskEntry& aTask,
                                    PlacementChoice aChoice,
                                    bool aAged,
                                    MonotonicTime aNow)
{
  mPlacedSinceAged = aAged ? 0 : mPlacedSinceAged + 1;
  mQuarantine.OnPlaced(*aChoice.mWorker, aNow);
  mStateByShape.erase(ShapeOf(*aTask.mDemand));
  std::sort(aChoice.mCandidates.begin(),
            aChoice.mCandidates.end(),
            [](const CandidateScore& aLeft, const CandidateScore& aRight) {
              return aLeft.Total() < aRight.Total();
            });
  aChoice.mCandidates.resize(
    std::min(aChoice.mCandidates.size(), kMaxCandidatesKept));
  Decision decision;
  decision.mKind = DecisionKind::kPlaced;
  decision.mAt = aNow;
  decision.mAttempt = aTask.mAttempt.Next();
  decision.mWorker = *aChoice.mWorker;
  decision.mCandidates = std::move(aChoice.mCandidates);
  mDecisionHistory.Add(aTask.mId, std::move(decision));
}

std::optional<Diagnosis> ColocationController::OnUnplaced(
  const TaskEntry& aTask,
  const WorkerPool& aPool,
  PlacementConstraint aConstraint,
  MonotonicTime aNow)
{
  const DemandShape shape = ShapeOf(*aTask.mDemand);
  if (mStateByShape.size() >= kMaxShapes && mStateByShape.count(shape) == 0) {
    mStateByShape.erase(mStateByShape.begin());
  }
  ShapeState& state = mStateByShape[shape];
  if (aNow < state.mDiagnosedAt + mOptions.mDiagnosisInterval) {
    return std::nullopt;
  }
  state.mDiagnosedAt = aNow;
  state.mDiagnosis = Diagnose(
    aTask.mDemand->mResources, aPool, ShardQuotaOf(aTask.mDemand->mTeam));
  state.mDecision.mAt = aNow;
  state.mDecision.mConstraintCounts = state.mDiagnosis.mConstraintCounts;
  state.mDecision.mNearest = state.mDiagnosis.mNearest;
  if (aConstraint != PlacementConstraint::kNone) {
    state.mDecision.mConstraintCounts.push_back(
      ConstraintCount{ aConstraint, static_cast<uint32_t>(aPool.Size()) });
  }
  if (state.mDiagnosis.mPossible) {
    state.mImpossibleSince = MonotonicTime::max();
    return std::nullopt;
  }
  state.mImpossibleSince = std::min(state.mImpossibleSince, aNow);
  const bool confirmed =
    aNow >= state.mImpossibleSince + mOptions.mImpossibleAfter;
  if (!confirmed) {
    return std::nullopt;
  }
  state.mDiagnosedAt = MonotonicTime::min();
  return state.mDiagnosis;
}

bool ColocationController::TryStartPreemption(const TaskId& aTask,
                                              MonotonicTime aNow)
{
  MonotonicTime& nextAllowed = mNextPreemptionAt[aTask];
  if (aNow < nextAllowed) {
    return false;
  }
  nextAllowed = aNow + mOptions.mPreemptionInterval;
  DropExpired(mNextPreemptionAt, aNow);
  return true;
}

void ColocationController::OnDecided(const TaskId& aTask, Decision aDecision)
{
  mDecisionHistory.Add(aTask, std::move(aDecision));
}

Milliseconds ColocationController::UnsavedProgressOf(const WorkerId& aWorker,
                                                     const TaskId& aTask) const
{
  const ObservedTask* seen = mUsage.FindTask(aWorker, aTask);
  return seen == nullptr ? Milliseconds(0) : seen->UnsavedProgress();
}

Explanation ColocationController::Explain(const TaskEntry& aTask) const
{
  Explanation explanation = mDecisionHistory.Explain(aTask.mId);
  const bool waits =
    aTask.mState == TaskState::kQueued || aTask.mState == TaskState::kEvicted;
  const auto shape = mStateByShape.find(ShapeOf(*aTask.mDemand));
  if (waits && shape != mStateByShape.end()) {
    explanation.mDecisions.push_back(shape->second.mDecision);
  }
  return explanation;
}

} // namespace mulberryvalve
