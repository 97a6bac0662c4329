// Baseline policies: common placement policies, as a baseline for benchmarks of
// the scored policy.
#ifndef MULBERRYVALVE_CORE_PLACEMENT_BASELINE_POLICIES_H_
#define MULBERRYVALVE_CORE_PLACEMENT_BASELINE_POLICIES_H_

#include "mulberryvalve/core/placement/placement_policy.h"

#include <functional>
#include <memory>

namespace mulberryvalve {

// FirstFitPolicy selects the first worker that the task fits on.
class FirstFitPolicy : public PlacementPolicy
{
public:
  PlacementChoice Choose(const TaskEntry& aTask,
                         const WorkerPool& aPool) override;
};

// LeastLoadedPolicy selects the worker with the most free CPU.
class LeastLoadedPolicy : public PlacementPolicy
{
public:
  PlacementChoice Choose(const TaskEntry& aTask,
                         const WorkerPool& aPool) override;
};

// BestFitPolicy selects the worker with the least free CPU that the task fits
// on.
class BestFitPolicy : public PlacementPolicy
{
public:
  PlacementChoice Choose(const TaskEntry& aTask,
                         const WorkerPool& aPool) override;
};

// AdvisoryLoad returns the last reported load of a worker, which may be
// outdated.
using AdvisoryLoad = std::function<double(const WorkerId&)>;

// TwoChoicesPlacementPolicy samples two workers that the task fits on and
// selects the one with the lower advisory load, as in the document
// "DurabilityRouting".
class TwoChoicesPlacementPolicy : public PlacementPolicy
{
public:
  explicit TwoChoicesPlacementPolicy(AdvisoryLoad aLoad);

  PlacementChoice Choose(const TaskEntry& aTask,
                         const WorkerPool& aPool) override;

private:
  AdvisoryLoad mLoad;
};

// SeparateBatchPolicy runs batch tasks only on workers for which aIsBatchWorker
// is true, and all other tasks only on the rest.
class SeparateBatchPolicy : public PlacementPolicy
{
public:
  explicit SeparateBatchPolicy(
    std::function<bool(const WorkerSpec&)> aIsBatchWorker);

  PlacementChoice Choose(const TaskEntry& aTask,
                         const WorkerPool& aPool) override;

private:
  std::function<bool(const WorkerSpec&)> mIsBatchWorker;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_PLACEMENT_BASELINE_POLICIES_H_
