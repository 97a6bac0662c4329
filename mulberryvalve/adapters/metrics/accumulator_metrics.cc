#include "mulberryvalve/adapters/metrics/accumulator_metrics.h"

#include "mulberryvalve/core/base/enum_table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kWindowLength{ 30000 };
constexpr std::string_view kNamePrefix = "mulberryvalve_";

enum class MetricType
{
  kCounter,
  kGauge,
  kSummary,
};

constexpr EnumTable<MetricType, 3> kMetricTypeNames{ { {
  { MetricType::kCounter, "counter" },
  { MetricType::kGauge, "gauge" },
  { MetricType::kSummary, "summary" },
} } };

// FormatNumber formats aValue for the exposition format.
std::string FormatNumber(double aValue)
{
  if (std::isnan(aValue)) {
    return "NaN";
  }
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.10g", aValue);
  return text.data();
}

void AppendHeader(std::string& aText,
                  const std::string& aName,
                  std::string_view aHelp,
                  MetricType aType)
{
  aText += "# HELP " + aName + " ";
  aText += aHelp;
  aText += "\n# TYPE " + aName + " ";
  aText += kMetricTypeNames.Name(aType);
  aText += "\n";
}

void AppendSample(std::string& aText,
                  const std::string& aName,
                  const std::string& aValue)
{
  aText += aName + " " + aValue + "\n";
}

std::string FullName(std::string_view aName)
{
  return std::string(kNamePrefix) + std::string(aName);
}

} // namespace

AccumulatorMetrics::AccumulatorMetrics(const Clock& aClock)
  : mClock(aClock)
{
}

void AccumulatorMetrics::Add(Counter aCounter, uint64_t aCount)
{
  mShards[ThreadShard()].mCounters[static_cast<size_t>(aCounter)].fetch_add(
    aCount, std::memory_order_relaxed);
}

void AccumulatorMetrics::Set(Gauge aGauge, int64_t aValue)
{
  mGauges[static_cast<size_t>(aGauge)].store(aValue, std::memory_order_relaxed);
}

void AccumulatorMetrics::Record(Timing aTiming, Microseconds aElapsed)
{
  const int64_t elapsed = std::max<int64_t>(0, aElapsed.count());
  const MonotonicTime now = mClock.Now();
  TimingState& state =
    mShards[ThreadShard()].mTimings[static_cast<size_t>(aTiming)];
  MutexLock lock(state.mMutex);
  RotateWindows(state, now);
  state.mCount++;
  state.mSumMicroseconds += static_cast<uint64_t>(elapsed);
  if (!state.mCurrentWindow) {
    state.mCurrentWindow.emplace();
  }
  state.mCurrentWindow->Add(static_cast<double>(elapsed));
}

std::string AccumulatorMetrics::Exposition() const
{
  std::string text;
  for (size_t i = 0; i < kCounterNames.mRows.size(); i++) {
    const auto& row = kCounterNames.mRows[i];
    const std::string name = FullName(row.mName);
    AppendHeader(text, name, row.mHelp, MetricType::kCounter);
    AppendSample(text, name, std::to_string(CounterTotal(i)));
  }
  for (size_t i = 0; i < kGaugeNames.mRows.size(); i++) {
    const auto& row = kGaugeNames.mRows[i];
    const std::string name = FullName(row.mName);
    AppendHeader(text, name, row.mHelp, MetricType::kGauge);
    AppendSample(text, name, std::to_string(mGauges[i].load()));
  }
  for (size_t i = 0; i < kTimingNames.mRows.size(); i++) {
    AppendTiming(text, i);
  }
  return text;
}

// ThreadShard returns the shard of the calling thread. Shards are assigned
// round-robin at each thread's first call.
size_t AccumulatorMetrics::ThreadShard()
{
  static std::atomic<size_t> next{ 0 };
  thread_local const size_t shard = next.fetch_add(1) % kShards;
  return shard;
}

// RotateWindows starts a new window when the current one has ended. If a whole
// further window has passed since then, the previous window is empty too.
void AccumulatorMetrics::RotateWindows(TimingState& aState, MonotonicTime aNow)
{
  if (aNow < aState.mWindowEnd) {
    return;
  }
  const bool isNextWindow = aNow < aState.mWindowEnd + kWindowLength;
  aState.mPreviousWindow.reset();
  if (isNextWindow) {
    std::swap(aState.mPreviousWindow, aState.mCurrentWindow);
  }
  aState.mCurrentWindow.reset();
  aState.mWindowEnd = aNow + kWindowLength;
}

AccumulatorMetrics::TimingTotals AccumulatorMetrics::Collect(
  size_t aTiming) const
{
  const MonotonicTime now = mClock.Now();
  TimingTotals totals;
  for (auto& shard : mShards) {
    TimingState& state = shard.mTimings[aTiming];
    MutexLock lock(state.mMutex);
    RotateWindows(state, now);
    totals.mCount += state.mCount;
    totals.mSumMicroseconds += state.mSumMicroseconds;
    for (const auto* window :
         { &state.mCurrentWindow, &state.mPreviousWindow }) {
      if (window->has_value()) {
        totals.mWindows.push_back(**window);
      }
    }
  }
  return totals;
}

void AccumulatorMetrics::AppendTiming(std::string& aText, size_t aTiming) const
{
  const auto& row = kTimingNames.mRows[aTiming];
  const std::string name = FullName(row.mName);
  const TimingTotals totals = Collect(aTiming);
  const TimingSummary summary = Summarize(totals.mWindows);
  AppendHeader(aText, name, row.mHelp, MetricType::kSummary);
  AppendSample(aText, name + "{quantile=\"0.5\"}", FormatNumber(summary.mP50));
  AppendSample(aText, name + "{quantile=\"0.99\"}", FormatNumber(summary.mP99));
  AppendSample(
    aText, name + "{quantile=\"0.999\"}", FormatNumber(summary.mP999));
  AppendSample(aText, name + "_sum", std::to_string(totals.mSumMicroseconds));
  AppendSample(aText, name + "_count", std::to_string(totals.mCount));
  const std::string help(row.mHelp);
  AppendHeader(aText, name + "_mean", help + ", mean", MetricType::kGauge);
  AppendSample(aText, name + "_mean", FormatNumber(summary.mMean));
  AppendHeader(aText, name + "_max", help + ", maximum", MetricType::kGauge);
  AppendSample(aText, name + "_max", FormatNumber(summary.mMax));
}

uint64_t AccumulatorMetrics::CounterTotal(size_t aCounter) const
{
  uint64_t total = 0;
  for (const auto& shard : mShards) {
    total += shard.mCounters[aCounter].load(std::memory_order_relaxed);
  }
  return total;
}

} // namespace mulberryvalve
