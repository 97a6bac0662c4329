// TailLatencyGuard: throttles batch tasks on workers whose request latency is
// too high, evicts them when throttling is not enough, and lifts throttles when
// the latency has recovered.
#ifndef MULBERRYVALVE_CORE_COLOCATION_TAIL_LATENCY_GUARD_H_
#define MULBERRYVALVE_CORE_COLOCATION_TAIL_LATENCY_GUARD_H_

#include "mulberryvalve/core/colocation/usage_tracker.h"

#include <functional>
#include <map>
#include <optional>

namespace mulberryvalve {

// TailGuardOptions are the thresholds, as multiples of the p99 target.
struct TailGuardOptions
{
  double mHighTailRatio = 1.1;
  double mLowTailRatio = 0.95;
  int mHighReportsToAct = 2;
  int mLowReportsToRelax = 3;
  // Batch tasks are left alone when they contribute less than this share of the
  // tail ratio.
  double mMinBatchShare = 0.1;
  // The time window that the p99 in a report covers.
  Milliseconds mReportWindow{ 2000 };
};

enum class TailGuardActionKind
{
  kThrottle,
  kUnthrottle,
  kEvict,
};

inline constexpr EnumTable<TailGuardActionKind, 3> kTailGuardActionKindNames{
  { {
    { TailGuardActionKind::kThrottle, "throttle" },
    { TailGuardActionKind::kUnthrottle, "unthrottle" },
    { TailGuardActionKind::kEvict, "evict" },
  } }
};

// TailGuardAction is an action on one task. mReportTakenAt identifies the
// report that it is based on.
struct TailGuardAction
{
  TailGuardActionKind mKind = TailGuardActionKind::kThrottle;
  WorkerId mWorker;
  TaskId mTask;
  Attempt mAttempt;
  WorkerTime mReportTakenAt;
};

// TailLatencyGuard acts at most once per report. After an action it ignores
// reports whose window began before the action. Watchers are never throttled or
// evicted. The model must outlive the guard. Not thread-safe.
class TailLatencyGuard
{
public:
  TailLatencyGuard(TailGuardOptions aOptions, const InterferenceModel& aModel);

  // Decide returns the action for aWorker at aNow, if any. aMayEvict is called
  // once before an eviction and counts it against the rate limit.
  // aThrottlePercent is the speed that a throttled task is left with.
  std::optional<TailGuardAction> Decide(const WorkerId& aWorker,
                                        const WorkerUsage& aUsage,
                                        MonotonicTime aNow,
                                        int aThrottlePercent,
                                        const std::function<bool()>& aMayEvict);

private:
  struct State
  {
    WorkerTime mLastReport;
    WorkerTime mIgnoreReportsBefore;
    int mConsecutiveHigh = 0;
    int mConsecutiveLow = 0;
  };

  const ObservedTask* FindThrottleTarget(const WorkerUsage& aUsage) const;
  const ObservedTask* FindEvictionTarget(const WorkerUsage& aUsage) const;
  const ObservedTask* FindUnthrottleTarget(const WorkerUsage& aUsage,
                                           int aPercent) const;
  double BatchTailContribution(const WorkerUsage& aUsage) const;

  TailGuardOptions mOptions;
  const InterferenceModel& mModel;
  std::map<WorkerId, State> mStates;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_TAIL_LATENCY_GUARD_H_
