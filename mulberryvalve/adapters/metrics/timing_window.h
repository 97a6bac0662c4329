// TimingWindow: statistics of one timing over one time window, computed with
// Boost.Accumulators. Summarize merges several windows.
#ifndef MULBERRYVALVE_ADAPTERS_METRICS_TIMING_WINDOW_H_
#define MULBERRYVALVE_ADAPTERS_METRICS_TIMING_WINDOW_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail.hpp>
#include <cstdint>
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
// algorithm. Not thread-safe.
class TimingWindow
{
public:
  TimingWindow();

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
  using Accumulators = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
      boost::accumulators::tag::count,
      boost::accumulators::tag::mean,
      boost::accumulators::tag::min,
      boost::accumulators::tag::max,
      boost::accumulators::tag::tail<boost::accumulators::right>,
      boost::accumulators::tag::extended_p_square>>;

  void AppendBody(std::vector<WeightedValue>& aValues, double aTailMin) const;

  Accumulators mAccumulators;
};

// Summarize merges aWindows, for example those of several shards.
TimingSummary Summarize(const std::vector<TimingWindow>& aWindows);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_METRICS_TIMING_WINDOW_H_
