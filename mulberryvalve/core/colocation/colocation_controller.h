// ColocationController: what the owner of a shard learns about its workers and
// task classes, the placement policy that uses it, and the rate limits on the
// owner's actions.
#ifndef MULBERRYVALVE_CORE_COLOCATION_COLOCATION_CONTROLLER_H_
#define MULBERRYVALVE_CORE_COLOCATION_COLOCATION_CONTROLLER_H_

#include "mulberryvalve/core/bundle/bundle.h"
#include "mulberryvalve/core/colocation/demand_shape.h"
#include "mulberryvalve/core/colocation/diagnosis.h"
#include "mulberryvalve/core/colocation/explanation.h"
#include "mulberryvalve/core/colocation/quarantine.h"
#include "mulberryvalve/core/colocation/rate_limit.h"
#include "mulberryvalve/core/colocation/scored_placement_policy.h"
#include "mulberryvalve/core/colocation/tail_latency_guard.h"
#include "mulberryvalve/core/colocation/waiting_age_estimator.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mulberryvalve {

// ColocationOptions configure the learning and the limits of a shard owner.
struct ColocationOptions
{
  Milliseconds mStaleAfter{ 5000 };
  Milliseconds mImpossibleAfter{ 30000 };
  Milliseconds mDiagnosisInterval{ 1000 };
  Milliseconds mPreemptionInterval{ 4000 };
  Milliseconds mReturnedTargetWindow{ 60000 };
  Milliseconds mBaseRetryDelay{ 1000 };
  Milliseconds mMaxRetryDelay{ 60000 };
  // Number of shard owners in the failure domain. The domain's limits are
  // divided evenly between them.
  int mShardsInDomain = 1;
  QuarantineOptions mQuarantine;
  ScoreOptions mScore;
  TailGuardOptions mGuard;
};

// RateLimitedAction is an action with a rate limit in the bundle.
enum class RateLimitedAction
{
  kStart,
  kEviction,
  kMove,
};

inline constexpr EnumTable<RateLimitedAction, 3> kRateLimitedActionNames{ { {
  { RateLimitedAction::kStart, "start" },
  { RateLimitedAction::kEviction, "eviction" },
  { RateLimitedAction::kMove, "move" },
} } };

// ColocationController keeps its state in memory only. No guarantee depends on
// it, and a new owner starts learning again. Not thread-safe.
class ColocationController
{
public:
  explicit ColocationController(ColocationOptions aOptions);

  // Policy returns the placement policy that uses the learned state.
  PlacementPolicy& Policy() { return mPolicy; }

  // OnBundle makes aBundle the active configuration.
  void OnBundle(const Bundle& aBundle) { mBundle = aBundle; }

  // OnReply processes an inventory of aWorker that was received at aNow.
  void OnReply(const WorkerSpec& aWorker,
               const SyncReply& aReply,
               const ShardStateMachine& aShardState,
               MonotonicTime aNow);

  // OnRecordsProposed processes the records that were proposed after an
  // inventory. An attempt whose outcome was processed before has no effect.
  void OnRecordsProposed(const ShardStateMachine& aShardState,
                         const std::vector<Record>& aRecords,
                         MonotonicTime aNow);

  // BeginRound prepares aPool and the policy for a scheduling round at aNow.
  // aTargets are the shards that tasks may be handed over to.
  void BeginRound(WorkerPool& aPool,
                  const ShardStateMachine& aShardState,
                  const std::vector<ShardId>& aTargets,
                  MonotonicTime aNow);

  // DecideTailActions returns the throttles and evictions that the tail latency
  // of requests calls for at aNow. Evictions count against their rate limit.
  std::vector<TailGuardAction> DecideTailActions(MonotonicTime aNow);

  // Admit counts one action against the rate limit in the bundle. Returns false
  // when the action has to wait.
  bool Admit(RateLimitedAction aAction, MonotonicTime aNow);

  // IsRetryDelayed returns true while aTask backs off after a failed attempt.
  bool IsRetryDelayed(const TaskId& aTask, MonotonicTime aNow) const;

  // EffectivePriority returns aTask's priority for scheduling: its base
  // priority raised by one level for each aging step that it has waited.
  Priority EffectivePriority(const TaskEntry& aTask, MonotonicTime aNow) const;

  // BasePriority returns the priority of aDemand, capped by the highest
  // priority that its team may use.
  Priority BasePriority(const TaskDemand& aDemand) const;

  // ShardQuotaOf returns this shard's share of the team's quota, or null when
  // the bundle sets none. Valid until the next call.
  const Resources* ShardQuotaOf(const TeamId& aTeam) const;

  // PreferAgedTask returns true when an aged task goes first among tasks of
  // equal priority. After every few placements of other tasks one aged task
  // gets its turn.
  bool PreferAgedTask() const { return mPlacedSinceAged >= kUnagedPerAged; }

  // OnPlaced records a placement and the candidates that were considered.
  void OnPlaced(const TaskEntry& aTask,
                PlacementChoice aChoice,
                bool aAged,
                MonotonicTime aNow);

  // OnUnplaced records that tasks of aTask's shape cannot be placed now.
  // aConstraint is the reason if it is not kNone. Returns a diagnosis when the
  // shape can never be placed and this has been so for mImpossibleAfter.
  std::optional<Diagnosis> OnUnplaced(const TaskEntry& aTask,
                                      const WorkerPool& aPool,
                                      PlacementConstraint aConstraint,
                                      MonotonicTime aNow);

  // TryStartPreemption returns true when other tasks may be preempted for aTask
  // now, and starts the interval before the next preemption for it.
  bool TryStartPreemption(const TaskId& aTask, MonotonicTime aNow);

  // OnDecided stores a decision for Explain.
  void OnDecided(const TaskId& aTask, Decision aDecision);

  // UnsavedProgressOf returns the progress that would be lost if aTask were
  // stopped without a checkpoint.
  Milliseconds UnsavedProgressOf(const WorkerId& aWorker,
                                 const TaskId& aTask) const;

  // ReturnedTargets returns the handover targets that became available again
  // within mReturnedTargetWindow.
  const std::vector<ShardId>& ReturnedTargets() const
  {
    return mReturnedTargets;
  }

  // QueueCursor returns the position where the next scan of the priority's
  // queue continues.
  WaitingKey& QueueCursor(Priority aPriority)
  {
    return mCursors[static_cast<size_t>(aPriority)];
  }

  // Explain returns the stored decisions for aTask, oldest first.
  Explanation Explain(const TaskEntry& aTask) const;

  // IsQuarantined returns true when aWorker is quarantined, whether or not a
  // probe is due.
  bool IsQuarantined(const WorkerId& aWorker) const
  {
    return mQuarantine.IsQuarantined(aWorker);
  }

  // Quarantined returns the number of quarantined workers.
  size_t Quarantined() const { return mQuarantine.Size(); }

  // InForce returns the active bundle.
  const Bundle& InForce() const { return mBundle; }

private:
  static constexpr int kUnagedPerAged = 3;

  struct ShapeState
  {
    MonotonicTime mImpossibleSince = MonotonicTime::max();
    MonotonicTime mDiagnosedAt = MonotonicTime::min();
    Diagnosis mDiagnosis;
    Decision mDecision;
  };

  void OnOutcome(const TaskEntry& aTask, bool aSucceeded, MonotonicTime aNow);
  bool CheckAndMarkSettled(const TaskEntry& aTask);
  void UpdateReturnedTargets(const std::vector<ShardId>& aTargets,
                             MonotonicTime aNow);

  ColocationOptions mOptions;
  Bundle mBundle;
  InterferenceModel mModel;
  TaskClassEstimates mClassEstimates;
  UsageTracker mUsage;
  ScoredPlacementPolicy mPolicy;
  TailLatencyGuard mGuard;
  Quarantine mQuarantine;
  WaitingAgeEstimator mWaitingAge;
  std::array<RateLimit, kRateLimitedActionNames.mRows.size()> mRates;
  std::unordered_map<TaskId, MonotonicTime> mRetryNotBefore;
  std::unordered_map<TaskId, MonotonicTime> mNextPreemptionAt;
  std::unordered_set<LeaseId> mSettled;
  std::deque<LeaseId> mSettledOrder;
  std::map<DemandShape, ShapeState> mStateByShape;
  std::map<ShardId, MonotonicTime> mReturnedUntil;
  std::vector<ShardId> mReturnedTargets;
  bool mHasTargets = false;
  std::array<WaitingKey, kPriorityNames.mRows.size()> mCursors;
  DecisionHistory mDecisionHistory;
  int mPlacedSinceAged = 0;
  mutable Resources mQuotaShare;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_COLOCATION_CONTROLLER_H_
