#include "mulberryvalve/app/jobs/held_task_metrics.h"

#include <algorithm>
#include <array>

namespace mulberryvalve {
namespace {

// In the order of WaitRelease.
constexpr std::array<Counter, kWaitReleaseNames.mRows.size()> kReleaseCounters{
  Counter::kFormerWorkersAnswered,
  Counter::kFormerWorkersExpired,
  Counter::kFormerWorkersGone,
  Counter::kFormerWorkersShortened,
};

} // namespace

void HeldTaskMetrics::Observe(ShardNumber aShard,
                              Epoch aEpoch,
                              const HeldTaskStats& aStats)
{
  CountReleases(aStats);
  MutexLock lock(mMutex);
  if (aStats.mTasks > 0) {
    mHolding[{ aShard, aEpoch }] = aStats;
  } else {
    mHolding.erase({ aShard, aEpoch });
  }
  SetGauges();
}

void HeldTaskMetrics::OnOwnershipOver(ShardNumber aShard, Epoch aEpoch)
{
  MutexLock lock(mMutex);
  mHolding.erase({ aShard, aEpoch });
  SetGauges();
}

void HeldTaskMetrics::CountReleases(const HeldTaskStats& aStats) const
{
  for (size_t index = 0; index < kReleaseCounters.size(); index++) {
    if (aStats.mReleases[index] > 0) {
      mMetrics.Add(kReleaseCounters[index], aStats.mReleases[index]);
    }
  }
}

void HeldTaskMetrics::SetGauges() const
{
  int64_t tasks = 0;
  int64_t workers = 0;
  Milliseconds longest{ 0 };
  for (const auto& [ownership, stats] : mHolding) {
    tasks += static_cast<int64_t>(stats.mTasks);
    workers += static_cast<int64_t>(stats.mWorkers);
    longest = std::max(longest, stats.mLongestWait);
  }
  mMetrics.Set(Gauge::kTasksHeldNow, tasks);
  mMetrics.Set(Gauge::kFormerWorkersAwaited, workers);
  mMetrics.Set(Gauge::kHeldForAtMostMs, longest.count());
}

} // namespace mulberryvalve
