#include "mulberryvalve/adapters/metrics/timing_window.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail.hpp>
#include <cstddef>
#include <limits>
#include <utility>

namespace mulberryvalve {
namespace {

namespace acc = boost::accumulators;

constexpr size_t kTailSize = 256;
constexpr size_t kValuesPerInterval = 32;
constexpr std::array<double, 9> kBodyProbabilities{ 0.1,  0.25,  0.5,
                                                    0.75, 0.9,   0.97,
                                                    0.99, 0.995, 0.999 };

// QuantilePoint is a point of the cumulative distribution: a fraction
// mProbability of the observations is at most mValue.
struct QuantilePoint
{
  double mProbability = 0;
  double mValue = 0;
};

// AppendInterval appends equally spaced values between two quantile points.
// They represent the observations there: aCount times the difference of the
// probabilities.
void AppendInterval(std::vector<WeightedValue>& aValues,
                    const QuantilePoint& aLow,
                    const QuantilePoint& aHigh,
                    double aCount)
{
  const double weight =
    aCount * (aHigh.mProbability - aLow.mProbability) / kValuesPerInterval;
  for (size_t i = 0; i < kValuesPerInterval; i++) {
    const double fraction = (static_cast<double>(i) + 0.5) / kValuesPerInterval;
    const double value = aLow.mValue + fraction * (aHigh.mValue - aLow.mValue);
    aValues.push_back({ value, weight });
  }
}

// WeightedQuantile returns the smallest value such that values up to it have at
// least the weight aProbability * aTotal. aValues must be sorted and not empty.
double WeightedQuantile(const std::vector<WeightedValue>& aValues,
                        double aTotal,
                        double aProbability)
{
  const double rank = aProbability * aTotal;
  double cumulativeWeight = 0;
  for (const auto& value : aValues) {
    cumulativeWeight += value.mWeight;
    if (cumulativeWeight >= rank) {
      return value.mValue;
    }
  }
  return aValues.back().mValue;
}

} // namespace

struct TimingWindow::Accumulators
{
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::mean,
                                  acc::tag::min,
                                  acc::tag::max,
                                  acc::tag::tail<acc::right>,
                                  acc::tag::extended_p_square>>
    mSet{ acc::tag::tail<acc::right>::cache_size = kTailSize,
          acc::extended_p_square_probabilities = kBodyProbabilities };
};

TimingWindow::TimingWindow()
  : mAccumulators(std::make_unique<Accumulators>())
{
}

TimingWindow::~TimingWindow() = default;

TimingWindow::TimingWindow(const TimingWindow& aOther)
  : mAccumulators(std::make_unique<Accumulators>(*aOther.mAccumulators))
{
}

TimingWindow::TimingWindow(TimingWindow&& aOther) noexcept = default;

TimingWindow& TimingWindow::operator=(TimingWindow aOther) noexcept
{
  std::swap(mAccumulators, aOther.mAccumulators);
  return *this;
}

void TimingWindow::Add(double aMicroseconds)
{
  mAccumulators->mSet(aMicroseconds);
}

uint64_t TimingWindow::Count() const
{
  return acc::count(mAccumulators->mSet);
}

double TimingWindow::Mean() const
{
  return acc::mean(mAccumulators->mSet);
}

double TimingWindow::Max() const
{
  return acc::max(mAccumulators->mSet);
}

// AppendBody interpolates between the estimated quantiles, from the minimum to
// aTailMin, the smallest value of the exactly kept tail.
void TimingWindow::AppendBody(std::vector<WeightedValue>& aValues,
                              double aTailMin) const
{
  const auto count = static_cast<double>(Count());
  const auto estimates = acc::extended_p_square(mAccumulators->mSet);
  const QuantilePoint tailStart{ 1 - static_cast<double>(kTailSize) / count,
                                 aTailMin };
  QuantilePoint low{ 0, acc::min(mAccumulators->mSet) };
  for (size_t i = 0; i < kBodyProbabilities.size(); i++) {
    const double estimate = estimates[static_cast<std::ptrdiff_t>(i)];
    const QuantilePoint high{ kBodyProbabilities[i],
                              std::min(estimate, aTailMin) };
    if (high.mProbability >= tailStart.mProbability) {
      break;
    }
    AppendInterval(aValues, low, high, count);
    low = high;
  }
  AppendInterval(aValues, low, tailStart, count);
}

void TimingWindow::AppendValues(std::vector<WeightedValue>& aValues) const
{
  double tailMin = std::numeric_limits<double>::infinity();
  for (const double value : acc::tail(mAccumulators->mSet)) {
    aValues.push_back({ value, 1 });
    tailMin = std::min(tailMin, value);
  }
  if (Count() > kTailSize) {
    AppendBody(aValues, tailMin);
  }
}

TimingSummary Summarize(const std::vector<TimingWindow>& aWindows)
{
  TimingSummary summary;
  std::vector<WeightedValue> values;
  double sum = 0;
  for (const auto& window : aWindows) {
    if (window.Count() > 0) {
      summary.mCount += window.Count();
      sum += window.Mean() * static_cast<double>(window.Count());
      summary.mMax = std::max(summary.mMax, window.Max());
      window.AppendValues(values);
    }
  }
  if (values.empty()) {
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    return { 0, notANumber, notANumber, notANumber, notANumber, notANumber };
  }
  std::sort(values.begin(),
            values.end(),
            [](const WeightedValue& aLeft, const WeightedValue& aRight) {
              return aLeft.mValue < aRight.mValue;
            });
  const auto total = static_cast<double>(summary.mCount);
  summary.mMean = sum / total;
  summary.mP50 = WeightedQuantile(values, total, 0.5);
  summary.mP99 = WeightedQuantile(values, total, 0.99);
  summary.mP999 = WeightedQuantile(values, total, 0.999);
  return summary;
}

} // namespace mulberryvalve
