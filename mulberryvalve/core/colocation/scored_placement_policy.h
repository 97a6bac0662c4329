// ScoredPlacementPolicy: selects the worker where a task is expected to cause
// and to suffer the least interference.
#ifndef MULBERRYVALVE_CORE_COLOCATION_SCORED_PLACEMENT_POLICY_H_
#define MULBERRYVALVE_CORE_COLOCATION_SCORED_PLACEMENT_POLICY_H_

#include "mulberryvalve/core/colocation/usage_tracker.h"
#include "mulberryvalve/core/placement/placement_policy.h"

#include <vector>

namespace mulberryvalve {

// ScoreOptions are the weights of the parts of a score.
struct ScoreOptions
{
  size_t mMaxCandidates = 12;
  double mTailWeight = 1.0;
  double mSlowdownWeight = 1.0;
  double mCpuOverflowWeight = 4.0;
  double mStaleUsageCost = 0.3;
  double mSameRackCost = 0.05;
  double mSameWorkerCost = 0.1;
  double mFragmentationWeight = 0.5;
  double mCheckpointWeight = 0.2;
  // A batch task waits instead of being placed where the expected tail ratio
  // exceeds this value.
  double mPostponeAboveTailRatio = 1.6;
  // The extra weight of the task's own contribution in that comparison.
  double mOwnTailFactor = 4.0;
};

// ScoredPlacementPolicy scores a bounded number of workers with enough free
// resources, sampled by a hash of the task, so that its cost does not grow with
// the pool. The model, the estimates and the usage must outlive the policy. Not
// thread-safe.
class ScoredPlacementPolicy : public PlacementPolicy
{
public:
  ScoredPlacementPolicy(ScoreOptions aOptions,
                        InterferenceModel& aModel,
                        const TaskClassEstimates& aClassEstimates,
                        const UsageTracker& aUsage);

  // SetContext sets the time before which unchanged reports are stale, and
  // whether tasks of one job are spread over racks.
  void SetContext(MonotonicTime aStaleBefore, bool aSpreadRacks);

  PlacementChoice Choose(const TaskEntry& aTask,
                         const WorkerPool& aPool) override;

private:
  struct ScoredWorker
  {
    CandidateScore mScore;
    double mTail = 0;
  };

  ScoredWorker ScoreWorker(const TaskEntry& aTask,
                           const WorkerPool& aPool,
                           const PooledWorker& aWorker);
  double SpreadCost(const TaskEntry& aTask,
                    const WorkerPool& aPool,
                    const PooledWorker& aWorker) const;
  ClassCores ExpectedCores(const TaskDemand& aDemand);

  ScoreOptions mOptions;
  InterferenceModel& mModel;
  const TaskClassEstimates& mClassEstimates;
  const UsageTracker& mUsage;
  MonotonicTime mStaleBefore = MonotonicTime::min();
  bool mSpreadRacks = true;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_SCORED_PLACEMENT_POLICY_H_
