#include "mulberryvalve/core/jobs/load_trend.h"

#include <algorithm>
#include <cmath>

namespace mulberryvalve {
namespace {

// The time after which a report counts for 1/e. Shorter than the time in which
// loads swing, longer than the interval of the reports of one task.
constexpr double kMemorySeconds = 1.0;
// Fewer reports than this, by weight, give no estimate.
constexpr double kMinWeight = 3.0;
// Loads that swing by half of their mean within 10 s change by less than half
// of this; a steeper slope is noise.
constexpr double kMaxSlopePerSecond = 0.2;
// Loads are from 0 to 1. An estimate is above zero, so that it may be divided
// by.
constexpr double kMinTrendLoad = 0.05;
constexpr double kMaxLoad = 1.0;
// In square seconds. The differences of reports that arrived within about 0.2 s
// are those between tasks, not a trend.
constexpr double kMinTrendVariance = 0.01;

double SecondsBetween(MonotonicTime aFrom, MonotonicTime aTo)
{
  return std::chrono::duration<double>(aTo - aFrom).count();
}

} // namespace

void LoadTrend::Add(double aLoad, double aWeight, MonotonicTime aNow)
{
  Decay(aNow);
  mWeight += aWeight;
  mLoads += aWeight * aLoad;
}

std::optional<double> LoadTrend::LoadAt(MonotonicTime aTime) const
{
  if (mWeight < kMinWeight) {
    return std::nullopt;
  }
  const double meanTime = mTimes / mWeight;
  const double meanLoad = mLoads / mWeight;
  const double variance = mSquaredTimes / mWeight - meanTime * meanTime;
  const double covariance = mProducts / mWeight - meanTime * meanLoad;
  const double slope = variance < kMinTrendVariance
                         ? 0
                         : std::clamp(covariance / variance,
                                      -kMaxSlopePerSecond,
                                      kMaxSlopePerSecond);
  const double seconds = SecondsBetween(mSince, aTime);
  return std::clamp(
    meanLoad + slope * (seconds - meanTime), kMinTrendLoad, kMaxLoad);
}

// Moves the origin of time to aNow, so that a new report is at time zero, and
// lets the reports so far count for less.
void LoadTrend::Decay(MonotonicTime aNow)
{
  const double elapsed = SecondsBetween(mSince, aNow);
  const double factor =
    mWeight == 0 ? 0 : std::exp(-std::max(0.0, elapsed) / kMemorySeconds);
  mSquaredTimes += -2 * elapsed * mTimes + elapsed * elapsed * mWeight;
  mProducts -= elapsed * mLoads;
  mTimes -= elapsed * mWeight;
  mWeight *= factor;
  mTimes *= factor;
  mSquaredTimes *= factor;
  mLoads *= factor;
  mProducts *= factor;
  mSince = aNow;
}

} // namespace mulberryvalve
