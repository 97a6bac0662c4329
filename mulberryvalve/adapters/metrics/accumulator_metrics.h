// AccumulatorMetrics: in-memory metrics, exported in the text exposition
// format.
#ifndef MULBERRYVALVE_ADAPTERS_METRICS_ACCUMULATOR_METRICS_H_
#define MULBERRYVALVE_ADAPTERS_METRICS_ACCUMULATOR_METRICS_H_

#include "mulberryvalve/adapters/metrics/timing_window.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/metrics.h"

#include <array>
#include <atomic>
#include <optional>
#include <string>

namespace mulberryvalve {

// AccumulatorMetrics keeps counters and timings in shards. Each thread uses
// one shard, which keeps lock contention low. Thread-safe.
class AccumulatorMetrics : public Metrics
{
public:
  // aClock must outlive this object.
  explicit AccumulatorMetrics(const Clock& aClock);

  // Add takes no lock.
  void Add(Counter aCounter, uint64_t aCount) override;

  // Set takes no lock.
  void Set(Gauge aGauge, int64_t aValue) override;

  // Record takes the lock of one timing in the shard of the calling thread.
  void Record(Timing aTiming, Microseconds aElapsed) override;

  // Exposition writes all metrics in the text exposition format. Each timing
  // is a summary whose quantiles cover the current and the previous window of
  // 30 s and are NaN without observations in them; `_sum` and `_count` cover
  // the lifetime of the process. Gauges `_mean` and `_max` cover the two
  // windows.
  std::string Exposition() const;

private:
  static constexpr size_t kShards = 16;

  // TimingState holds one timing in one shard. The current window ends when the
  // clock reaches mWindowEnd.
  struct TimingState
  {
    Mutex mMutex;
    uint64_t mCount MV_GUARDED_BY(mMutex) = 0;
    uint64_t mSumMicroseconds MV_GUARDED_BY(mMutex) = 0;
    MonotonicTime mWindowEnd MV_GUARDED_BY(mMutex);
    // Windows are created at their first observation, since most shards never
    // record most timings.
    std::optional<TimingWindow> mCurrentWindow MV_GUARDED_BY(mMutex);
    std::optional<TimingWindow> mPreviousWindow MV_GUARDED_BY(mMutex);
  };

  // Shard is cache-line aligned to avoid false sharing.
  struct alignas(64) Shard
  {
    std::array<std::atomic<uint64_t>, kCounterNames.mRows.size()> mCounters{};
    std::array<TimingState, kTimingNames.mRows.size()> mTimings;
  };

  // TimingTotals is one timing summed over all shards, with all its windows.
  struct TimingTotals
  {
    uint64_t mCount = 0;
    uint64_t mSumMicroseconds = 0;
    std::vector<TimingWindow> mWindows;
  };

  static size_t ThreadShard();
  static void RotateWindows(TimingState& aState, MonotonicTime aNow)
    MV_REQUIRES(aState.mMutex);
  TimingTotals Collect(size_t aTiming) const;
  void AppendTiming(std::string& aText, size_t aTiming) const;
  uint64_t CounterTotal(size_t aCounter) const;

  const Clock& mClock;
  std::array<std::atomic<int64_t>, kGaugeNames.mRows.size()> mGauges{};
  mutable std::array<Shard, kShards> mShards;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_METRICS_ACCUMULATOR_METRICS_H_
