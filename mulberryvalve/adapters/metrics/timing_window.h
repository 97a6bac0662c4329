// TimingWindow: statistics of one timing over one time window, computed with
// Boost.Accumulators. Summarize merges several windows.
#ifndef MULBERRYVALVE_ADAPTERS_METRICS_TIMING_WINDOW_H_
#define MULBERRYVALVE_ADAPTERS_METRICS_TIMING_WINDOW_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace mulberryvalve {

// WeightedValue represents mWeight observations of approximately mValue.
struct WeightedValue
{
  double mValue = 0;
  double mWeight = 0;
};

// TimingSummary describes the observations of the merged windows. The values
// are in microseconds and NaN when mCount is 0.
struct TimingSummary
{
  uint64_t mCount = 0;
  double mMean = 0;
  double mMax = 0;
  double mP50 = 0;
  double mP99 = 0;
  double mP999 = 0;
};

// TimingWindow keeps count, mean, minimum, maximum and the largest observations
// exactly, and estimates the quantiles below those with the extended P-square
// algorithm. Not thread-safe. A window that was moved from may only be assigned
// to or destroyed.
class TimingWindow
{
public:
  TimingWindow();
  ~TimingWindow();
  TimingWindow(const TimingWindow& aOther);
  TimingWindow(TimingWindow&& aOther) noexcept;
  TimingWindow& operator=(TimingWindow aOther) noexcept;

  // Add records one observation in microseconds.
  void Add(double aMicroseconds);

  // Count returns the number of observations.
  uint64_t Count() const;

  // Mean returns the mean observation. The window must not be empty.
  double Mean() const;

  // Max returns the largest observation. The window must not be empty.
  double Max() const;

  // AppendValues appends to aValues weighted values that represent all
  // observations: each one while they are few, otherwise the largest ones and
  // values interpolated between estimated quantiles for the others.
  void AppendValues(std::vector<WeightedValue>& aValues) const;

private:
  // Defined in the source file: its headers are costly to compile.
  struct Accumulators;

  void AppendBody(std::vector<WeightedValue>& aValues, double aTailMin) const;

  std::unique_ptr<Accumulators> mAccumulators;
};

// Summarize merges aWindows, for example those of several shards.
TimingSummary Summarize(const std::vector<TimingWindow>& aWindows);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_METRICS_TIMING_WINDOW_H_
