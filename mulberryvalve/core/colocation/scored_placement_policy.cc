#include "mulberryvalve/core/colocation/scored_placement_policy.h"

#include <algorithm>
#include <cmath>

namespace mulberryvalve {
namespace {

constexpr double kMillisPerCore = 1000.0;
// The tail ratio below which an increase costs nothing.
constexpr double kTailSlack = 0.5;
constexpr double kLongRunMs = 60000.0;

double RemainingShare(int64_t aFree, int64_t aUsed, int64_t aCapacity)
{
  return aCapacity <= 0 ? 0.0 : double(aFree - aUsed) / double(aCapacity);
}

} // namespace

ScoredPlacementPolicy::ScoredPlacementPolicy(
  ScoreOptions aOptions,
  InterferenceModel& aModel,
  const TaskClassEstimates& aClassEstimates,
  const UsageTracker& aUsage)
  : mOptions(aOptions)
  , mModel(aModel)
  , mClassEstimates(aClassEstimates)
  , mUsage(aUsage)
{
}

void ScoredPlacementPolicy::SetContext(MonotonicTime aStaleBefore,
                                       bool aSpreadRacks)
{
  mStaleBefore = aStaleBefore;
  mSpreadRacks = aSpreadRacks;
}

PlacementChoice ScoredPlacementPolicy::Choose(const TaskEntry& aTask,
                                              const WorkerPool& aPool)
{
  PlacementChoice choice;
  if (aPool.Size() == 0) {
    return choice;
  }
  std::vector<size_t> tried;
  std::optional<ScoredWorker> best;
  for (size_t draw = 0; draw < mOptions.mMaxCandidates; draw++) {
    const auto poolIndex = aPool.NextFit(
      aTask.mDemand->mResources, PlacementSeed(aTask, draw) % aPool.Size());
    if (!poolIndex) {
      break;
    }
    if (std::find(tried.begin(), tried.end(), *poolIndex) != tried.end()) {
      continue;
    }
    tried.push_back(*poolIndex);
    const ScoredWorker scored = ScoreWorker(aTask, aPool, aPool.At(*poolIndex));
    choice.mCandidates.push_back(scored.mScore);
    if (!best || scored.mScore.Total() < best->mScore.Total()) {
      best = scored;
    }
  }
  if (best) {
    choice.mWorker = best->mScore.mWorker;
    choice.mPostponed = aTask.mDemand->mKind == TaskKind::kBatch &&
                        best->mTail > mOptions.mPostponeAboveTailRatio;
  }
  return choice;
}

ClassCores ScoredPlacementPolicy::ExpectedCores(const TaskDemand& aDemand)
{
  const ClassIndex index = mModel.IndexOf(aDemand.mClass);
  const double declared =
    static_cast<double>(aDemand.mResources.mCpuMillis) / kMillisPerCore;
  return ClassCores{ index, mClassEstimates.PredictCores(index, declared) };
}

ScoredPlacementPolicy::ScoredWorker ScoredPlacementPolicy::ScoreWorker(
  const TaskEntry& aTask,
  const WorkerPool& aPool,
  const PooledWorker& aWorker)
{
  const WorkerUsage* usage = mUsage.Find(aWorker.mSpec.mId);
  const bool hasFreshUsage = usage != nullptr && !usage->IsStale(mStaleBefore);
  const double busy = usage == nullptr ? 0.0 : usage->mBusyShare;
  const ClassCores own = ExpectedCores(*aTask.mDemand);
  double cores = own.mCores;
  double othersSlowdown = 0;
  double ownSlowdown = 0;
  double before = mModel.BaseTail(busy);
  for (const TaskEntry* task : aWorker.mTasks) {
    const ClassCores other = ExpectedCores(*task->mDemand);
    cores += other.mCores;
    before += mModel.TailContribution(busy, other);
    othersSlowdown += mModel.PredictSlowdown(other.mClass, own);
    ownSlowdown += mModel.PredictSlowdown(own.mClass, other);
  }
  const double ownTail = mModel.TailContribution(busy, own);
  double after = before + ownTail;
  // Half of the measured tail ratio beyond the prediction is added.
  after +=
    hasFreshUsage ? std::max(0.0, usage->mSmoothedTailRatio - before) / 2 : 0.0;
  const double capacity =
    static_cast<double>(aWorker.mSpec.mCapacity.mCpuMillis) / kMillisPerCore;
  const double overflow = std::max(0.0, cores / capacity - 1);

  ScoredWorker scored;
  const double postponeTail = after + mOptions.mOwnTailFactor * ownTail;
  scored.mTail = busy > 0 || !hasFreshUsage ? postponeTail : 0.0;
  CandidateScore& score = scored.mScore;
  score.mWorker = aWorker.mSpec.mId;
  const double excess = std::max(0.0, after - kTailSlack);
  score.mInterference =
    mOptions.mTailWeight * (ownTail + excess * excess) +
    mOptions.mSlowdownWeight * (ownSlowdown + othersSlowdown) +
    mOptions.mCpuOverflowWeight * overflow +
    (hasFreshUsage ? 0.0 : mOptions.mStaleUsageCost);
  score.mSpread = SpreadCost(aTask, aPool, aWorker);
  const Resources free = aWorker.Free();
  const Resources& use = aTask.mDemand->mResources;
  const Resources& all = aWorker.mSpec.mCapacity;
  score.mFragmentation =
    mOptions.mFragmentationWeight *
    std::abs(RemainingShare(free.mCpuMillis, use.mCpuMillis, all.mCpuMillis) -
             RemainingShare(free.mMemoryMb, use.mMemoryMb, all.mMemoryMb));
  const auto runMs =
    static_cast<double>(mClassEstimates.PredictRunTime(own.mClass).count());
  score.mCheckpoint =
    mOptions.mCheckpointWeight * excess * std::min(1.0, runMs / kLongRunMs);
  return scored;
}

double ScoredPlacementPolicy::SpreadCost(const TaskEntry& aTask,
                                         const WorkerPool& aPool,
                                         const PooledWorker& aWorker) const
{
  if (!mSpreadRacks) {
    return 0.0;
  }
  const bool watcher = aTask.mDemand->mKind == TaskKind::kWatcher;
  const double scale = watcher ? 10.0 : 1.0;
  const int onRack = aPool.TasksOnRack(aWorker.mSpec.mRack, aTask.mJob);
  const auto onWorker = std::count_if(
    aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const TaskEntry* aOther) {
      return aOther->mDemand == aTask.mDemand;
    });
  return scale * (mOptions.mSameRackCost * onRack +
                  mOptions.mSameWorkerCost * static_cast<double>(onWorker));
}

} // namespace mulberryvalve
