// Explanation: why a task waits, where it was placed and why it was moved, as
// decided by the current owner of its shard.
#ifndef MULBERRYVALVE_CORE_COLOCATION_EXPLANATION_H_
#define MULBERRYVALVE_CORE_COLOCATION_EXPLANATION_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/placement/placement_policy.h"
#include "mulberryvalve/core/records/record.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// DecisionKind is the kind of a scheduling decision for a task.
enum class DecisionKind
{
  kPlaced,
  kWaits,
  kEvicted,
  kThrottled,
  kUnthrottled,
  kImpossible,
  kHandedOver,
};

inline constexpr EnumTable<DecisionKind, 7> kDecisionKindNames{ { {
  { DecisionKind::kPlaced, "placed" },
  { DecisionKind::kWaits, "waits" },
  { DecisionKind::kEvicted, "evicted" },
  { DecisionKind::kThrottled, "throttled" },
  { DecisionKind::kUnthrottled, "unthrottled" },
  { DecisionKind::kImpossible, "impossible" },
  { DecisionKind::kHandedOver, "handed_over" },
} } };

// PlacementConstraint is a constraint that keeps a task from being placed.
enum class PlacementConstraint
{
  kNone,
  kProcessor,
  kMemory,
  kAccelerators,
  kUnreachable,
  kQuarantined,
  kLeaving,
  kTeamQuota,
  kRetryDelay,
  kStartRate,
  kInterference,
};

inline constexpr EnumTable<PlacementConstraint, 11> kPlacementConstraintNames{
  { {
    { PlacementConstraint::kNone, "none" },
    { PlacementConstraint::kProcessor, "processor" },
    { PlacementConstraint::kMemory, "memory" },
    { PlacementConstraint::kAccelerators, "accelerators" },
    { PlacementConstraint::kUnreachable, "unreachable" },
    { PlacementConstraint::kQuarantined, "quarantined" },
    { PlacementConstraint::kLeaving, "leaving" },
    { PlacementConstraint::kTeamQuota, "team_quota" },
    { PlacementConstraint::kRetryDelay, "retry_delay" },
    { PlacementConstraint::kStartRate, "start_rate" },
    { PlacementConstraint::kInterference, "interference" },
  } }
};

// ConstraintCount is the number of workers that one constraint excludes.
struct ConstraintCount
{
  PlacementConstraint mConstraint = PlacementConstraint::kNone;
  uint32_t mWorkers = 0;
};

// Decision is one entry of a task's explanation. mReportTakenAt identifies the
// usage report, by the worker's clock, that an eviction or a throttle is based
// on.
struct Decision
{
  DecisionKind mKind = DecisionKind::kWaits;
  MonotonicTime mAt;
  Attempt mAttempt;
  WorkerId mWorker;
  std::vector<CandidateScore> mCandidates;
  std::vector<ConstraintCount> mConstraintCounts;
  // The workers that lack the least for the task.
  std::vector<WorkerId> mNearest;
  std::optional<EvictionCause> mCause;
  std::optional<WorkerTime> mReportTakenAt;
  int mThrottlePercent = 100;
};

// Explanation holds the last decisions for a task, oldest first.
struct Explanation
{
  TaskId mTask;
  std::vector<Decision> mDecisions;
};

// DecisionHistory stores the decisions for a bounded number of tasks. The task
// that was added first is dropped first. Not thread-safe.
class DecisionHistory
{
public:
  // Add appends a decision. A decision with the same kind, attempt and worker
  // as the last one replaces it.
  void Add(const TaskId& aTask, Decision aDecision)
  {
    const auto [entry, added] = mTasks.try_emplace(aTask);
    if (added) {
      mOrder.push_back(aTask);
    }
    std::vector<Decision>& known = entry->second;
    const bool repeats = !known.empty() &&
                         known.back().mKind == aDecision.mKind &&
                         known.back().mAttempt == aDecision.mAttempt &&
                         known.back().mWorker == aDecision.mWorker;
    if (repeats) {
      known.back() = std::move(aDecision);
    } else {
      if (known.size() >= kMaxDecisions) {
        known.erase(known.begin());
      }
      known.push_back(std::move(aDecision));
    }
    if (mOrder.size() > kMaxTasks) {
      mTasks.erase(mOrder.front());
      mOrder.pop_front();
    }
  }

  // Explain returns the stored decisions for aTask, which may be none.
  Explanation Explain(const TaskId& aTask) const
  {
    const auto found = mTasks.find(aTask);
    return { aTask,
             found == mTasks.end() ? std::vector<Decision>() : found->second };
  }

private:
  static constexpr size_t kMaxTasks = 1024;
  static constexpr size_t kMaxDecisions = 6;

  std::unordered_map<TaskId, std::vector<Decision>> mTasks;
  std::deque<TaskId> mOrder;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_EXPLANATION_H_
