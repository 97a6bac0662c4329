// AccumulatorMetrics: metrics in memory, read as a text exposition.
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
// one shard, so that threads seldom meet at a lock. Thread-safe.
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
  // is a summary whose quantiles cover the present and the previous window of
  // 30 s, NaN when nothing was observed in them; `_sum` and `_count` cover the
  // life of the process. Gauges `_mean` and `_max` cover the two windows.
  std::string Exposition() const;

private:
  static constexpr size_t kShards = 16;

  // TimingState is one timing in one shard. The present window ends when the
  // clock reaches mWindowEnd.
  struct TimingState
  {
    Mutex mMutex;
    uint64_t mCount MV_GUARDED_BY(mMutex) = 0;
    uint64_t mSumMicroseconds MV_GUARDED_BY(mMutex) = 0;
    MonotonicTime mWindowEnd MV_GUARDED_BY(mMutex);
    // Without a value nothing was observed: most threads never observe most
    // timings.
    std::optional<TimingWindow> mPresent MV_GUARDED_BY(mMutex);
    std::optional<TimingWindow> mPrevious MV_GUARDED_BY(mMutex);
  };

  // Shard is aligned so that two shards share no cache line.
  struct alignas(64) Shard
  {
    std::array<std::atomic<uint64_t>, kCounterNames.mRows.size()> mCounters{};
    std::array<TimingState, kTimingNames.mRows.size()> mTimings;
  };

  // TimingTotals is what Collect reads of one timing in all shards.
  struct TimingTotals
  {
    uint64_t mCount = 0;
    uint64_t mSumMicroseconds = 0;
    std::vector<TimingWindow> mWindows;
  };

  static size_t ThreadShard();
  static void Rotate(TimingState& aState, MonotonicTime aNow)
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
