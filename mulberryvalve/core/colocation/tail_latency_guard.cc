#include "mulberryvalve/core/colocation/tail_latency_guard.h"

#include <algorithm>
#include <tuple>

namespace mulberryvalve {
namespace {

constexpr int kFullSpeed = 100;

bool IsBatch(const ObservedTask& aTask)
{
  return aTask.mKind == TaskKind::kBatch;
}

} // namespace

TailLatencyGuard::TailLatencyGuard(TailGuardOptions aOptions,
                                   const InterferenceModel& aModel)
  : mOptions(aOptions)
  , mModel(aModel)
{
}

std::optional<TailGuardAction> TailLatencyGuard::Decide(
  const WorkerId& aWorker,
  const WorkerUsage& aUsage,
  MonotonicTime aNow,
  int aThrottlePercent,
  const std::function<bool()>& aMayEvict)
{
  State& state = mStates[aWorker];
  const int64_t taken = aUsage.mTakenAt.mMilliseconds;
  if (taken == state.mLastReport.mMilliseconds ||
      taken < state.mIgnoreReportsBefore.mMilliseconds) {
    return std::nullopt;
  }
  state.mLastReport = aUsage.mTakenAt;
  const bool over = aUsage.mSmoothedTailRatio > mOptions.mHighTailRatio;
  const bool under = aUsage.mSmoothedTailRatio < mOptions.mLowTailRatio;
  state.mConsecutiveHigh = over ? state.mConsecutiveHigh + 1 : 0;
  state.mConsecutiveLow = under ? state.mConsecutiveLow + 1 : 0;

  const ObservedTask* target = nullptr;
  TailGuardActionKind kind = TailGuardActionKind::kThrottle;
  if (state.mConsecutiveHigh >= mOptions.mHighReportsToAct &&
      BatchTailContribution(aUsage) >
        mOptions.mMinBatchShare * aUsage.mSmoothedTailRatio) {
    target = FindThrottleTarget(aUsage);
    if (target == nullptr) {
      kind = TailGuardActionKind::kEvict;
      target = FindEvictionTarget(aUsage);
      target = target != nullptr && aMayEvict() ? target : nullptr;
    }
  } else if (state.mConsecutiveLow >= mOptions.mLowReportsToRelax) {
    kind = TailGuardActionKind::kUnthrottle;
    target = FindUnthrottleTarget(aUsage, aThrottlePercent);
  }
  if (target == nullptr) {
    return std::nullopt;
  }
  state.mConsecutiveHigh = 0;
  state.mConsecutiveLow = 0;
  state.mIgnoreReportsBefore = WorkerTime{ aUsage.ClockAt(aNow).mMilliseconds +
                                           mOptions.mReportWindow.count() };
  return TailGuardAction{
    kind, aWorker, target->mTask, target->mAttempt, aUsage.mTakenAt
  };
}

double TailLatencyGuard::BatchTailContribution(const WorkerUsage& aUsage) const
{
  double tail = 0;
  for (const ObservedTask& task : aUsage.mRunning) {
    if (IsBatch(task)) {
      tail += mModel.TailWeight(aUsage.mBusyShare, task.mClass) * task.mCores;
    }
  }
  return tail;
}

// Returns the batch task at full speed that contributes most to the tail ratio,
// or null.
const ObservedTask* TailLatencyGuard::FindThrottleTarget(
  const WorkerUsage& aUsage) const
{
  const ObservedTask* heaviest = nullptr;
  double largest = 0;
  for (const ObservedTask& task : aUsage.mRunning) {
    if (!IsBatch(task) || task.mThrottlePercent < kFullSpeed) {
      continue;
    }
    const double tail =
      mModel.TailWeight(aUsage.mBusyShare, task.mClass) * task.mCores;
    if (heaviest == nullptr || tail > largest) {
      heaviest = &task;
      largest = tail;
    }
  }
  return heaviest;
}

// Returns the batch task of the lowest priority with the least unsaved
// progress, or null.
const ObservedTask* TailLatencyGuard::FindEvictionTarget(
  const WorkerUsage& aUsage) const
{
  const ObservedTask* victim = nullptr;
  for (const ObservedTask& task : aUsage.mRunning) {
    if (!IsBatch(task)) {
      continue;
    }
    const auto cost = std::make_tuple(-static_cast<int>(task.mPriority),
                                      task.UnsavedProgress());
    if (victim == nullptr ||
        cost < std::make_tuple(-static_cast<int>(victim->mPriority),
                               victim->UnsavedProgress())) {
      victim = &task;
    }
  }
  return victim;
}

// Returns the throttled task that would add least to the tail ratio at full
// speed, or null if the ratio would then be too high.
const ObservedTask* TailLatencyGuard::FindUnthrottleTarget(
  const WorkerUsage& aUsage,
  int aPercent) const
{
  const ObservedTask* lightest = nullptr;
  double smallestIncrease = 0;
  for (const ObservedTask& task : aUsage.mRunning) {
    if (!IsBatch(task) || task.mThrottlePercent >= kFullSpeed) {
      continue;
    }
    const double increase = mModel.TailWeight(aUsage.mBusyShare, task.mClass) *
                            task.mCores *
                            (double(kFullSpeed) / std::max(1, aPercent) - 1);
    if (lightest == nullptr || increase < smallestIncrease) {
      lightest = &task;
      smallestIncrease = increase;
    }
  }
  const bool fits =
    aUsage.mSmoothedTailRatio + smallestIncrease < mOptions.mHighTailRatio;
  return fits ? lightest : nullptr;
}

} // namespace mulberryvalve
