#include "mulberryvalve/core/placement/baseline_policies.h"

#include <utility>

namespace mulberryvalve {
namespace {

using Filter = std::function<bool(const PooledWorker&)>;

// Selects a worker by free CPU among all workers. aSign is 1 for the least free
// CPU and -1 for the most.
PlacementChoice ScanByFreeCpu(const TaskEntry& aTask,
                              const WorkerPool& aPool,
                              int aSign,
                              const Filter& aFilter)
{
  PlacementChoice choice;
  int64_t best = 0;
  for (const PooledWorker& worker : aPool.All()) {
    if (!worker.Fits(aTask.mDemand->mResources) || !aFilter(worker)) {
      continue;
    }
    const int64_t cost = aSign * worker.Free().mCpuMillis;
    if (!choice.mWorker || cost < best) {
      choice.mWorker = worker.mSpec.mId;
      best = cost;
    }
  }
  return choice;
}

bool AcceptAny(const PooledWorker&)
{
  return true;
}

} // namespace

PlacementChoice FirstFitPolicy::Choose(const TaskEntry& aTask,
                                       const WorkerPool& aPool)
{
  PlacementChoice choice;
  const auto index = aPool.NextFit(aTask.mDemand->mResources, 0);
  if (index) {
    choice.mWorker = aPool.At(*index).mSpec.mId;
  }
  return choice;
}

PlacementChoice LeastLoadedPolicy::Choose(const TaskEntry& aTask,
                                          const WorkerPool& aPool)
{
  return ScanByFreeCpu(aTask, aPool, -1, AcceptAny);
}

PlacementChoice BestFitPolicy::Choose(const TaskEntry& aTask,
                                      const WorkerPool& aPool)
{
  return ScanByFreeCpu(aTask, aPool, 1, AcceptAny);
}

TwoChoicesPlacementPolicy::TwoChoicesPlacementPolicy(AdvisoryLoad aLoad)
  : mLoad(std::move(aLoad))
{
}

PlacementChoice TwoChoicesPlacementPolicy::Choose(const TaskEntry& aTask,
                                                  const WorkerPool& aPool)
{
  PlacementChoice choice;
  double best = 0;
  for (uint64_t draw = 0; draw < 2 && aPool.Size() > 0; draw++) {
    const auto index = aPool.NextFit(aTask.mDemand->mResources,
                                     PlacementSeed(aTask, draw) % aPool.Size());
    if (!index) {
      break;
    }
    const WorkerId& worker = aPool.At(*index).mSpec.mId;
    const double load = mLoad(worker);
    if (!choice.mWorker || load < best) {
      choice.mWorker = worker;
      best = load;
    }
  }
  return choice;
}

SeparateBatchPolicy::SeparateBatchPolicy(
  std::function<bool(const WorkerSpec&)> aIsBatchWorker)
  : mIsBatchWorker(std::move(aIsBatchWorker))
{
}

PlacementChoice SeparateBatchPolicy::Choose(const TaskEntry& aTask,
                                            const WorkerPool& aPool)
{
  const bool batch = aTask.mDemand->mKind == TaskKind::kBatch;
  return ScanByFreeCpu(aTask, aPool, -1, [&](const PooledWorker& aWorker) {
    return mIsBatchWorker(aWorker.mSpec) == batch;
  });
}

} // namespace mulberryvalve
