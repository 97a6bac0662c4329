// The load that is expected of a serving job, from the reports of its tasks.
#include "mulberryvalve/core/jobs/load_trend.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

namespace mulberryvalve {
namespace {

constexpr int kReportIntervalMs = 500;

MonotonicTime At(int aMilliseconds)
{
  return MonotonicTime(std::chrono::seconds(1000)) +
         Milliseconds(aMilliseconds);
}

// Adds the reports of aTasks tasks from aFromMs until aToMs, each every 500 ms
// and evenly distributed.
void Report(LoadTrend& aTrend,
            int aTasks,
            int aFromMs,
            int aToMs,
            const std::function<double(int)>& aLoadAt)
{
  for (int now = aFromMs; now <= aToMs; now += kReportIntervalMs / aTasks) {
    aTrend.Add(aLoadAt(now), 1, At(now));
  }
}

} // namespace

TEST_GROUP(LoadTrendTest){};

// Guards against errors of the weighted fit, which is exact for lines, and
// against estimates outside of the possible loads.
TEST(LoadTrendTest, ExtrapolatesLines)
{
  struct Row
  {
    double mLoadAtEnd;
    double mSlopePerSecond;
    double mExpectedNow;
    double mExpectedInASecond;
  };
  const Row rows[] = {
    { 0.5, 0, 0.5, 0.5 },        { 0.5, 0.06, 0.5, 0.56 },
    { 0.5, -0.06, 0.5, 0.44 },   { 0.98, 0.06, 0.98, 1 },
    { 0.08, -0.06, 0.08, 0.05 }, { 0, 0, 0.05, 0.05 },
  };
  for (const Row& row : rows) {
    LoadTrend trend;
    Report(trend, 4, 0, 5000, [&](int aNow) {
      return row.mLoadAtEnd + row.mSlopePerSecond * (aNow - 5000) / 1000;
    });
    DOUBLES_EQUAL(row.mExpectedNow, trend.LoadAt(At(5000)).value(), 1e-6);
    DOUBLES_EQUAL(row.mExpectedInASecond, trend.LoadAt(At(6000)).value(), 1e-6);
  }
}

// Guards against a step of the load that is extrapolated without a bound.
TEST(LoadTrendTest, SlopeIsBounded)
{
  LoadTrend trend;
  Report(trend, 4, 0, 2000, [](int aNow) { return 0.1 + 0.3 * aNow / 1000; });
  const double now = trend.LoadAt(At(2000)).value();
  const double later = trend.LoadAt(At(2500)).value();
  DOUBLES_EQUAL(0.1, later - now, 1e-6);
}

// The load of a job swings between 0.3 and 0.6 within 10 s. Guards against an
// estimate that lags behind: the weighted mean, without the slope, is off by up
// to 0.09. The rest of the error is the curvature of the load, at its extremes.
TEST(LoadTrendTest, PredictsASwingOneSecondAhead)
{
  const auto load = [](int aNow) {
    constexpr double kPi = 3.14159265358979;
    return 0.45 + 0.15 * std::sin(2 * kPi * aNow / 20000);
  };
  LoadTrend trend;
  double worst = 0;
  for (int now = 0; now < 60000; now += 100) {
    trend.Add(load(now), 1, At(now));
    if (now >= 5000) {
      worst = std::max(
        worst,
        std::abs(trend.LoadAt(At(now + 1000)).value() - load(now + 1000)));
    }
  }
  CHECK(worst < 0.055);
}

// Guards against estimates from too few reports, or from reports that count for
// too little, and against divisions by zero.
TEST(LoadTrendTest, FewReportsGiveNothing)
{
  struct Row
  {
    int mReports;
    int mIntervalMs;
    double mWeight;
    bool mIsKnown;
  };
  const Row rows[] = {
    { 0, 0, 1, false },      { 1, 0, 1, false },       { 2, 0, 1, false },
    { 3, 0, 1, true },       { 3, 100, 1, false },     { 4, 100, 1, true },
    { 3, 0, 0.5, false },    { 6, 0, 0.5, true },      { 100, 1000, 1, false },
    { 100, 5000, 1, false }, { 100, 300, 1, true },    { 3, 900000, 1, false },
    { 100, 500, 1, false },  { 100, 100, 0.1, false },
  };
  for (const Row& row : rows) {
    LoadTrend trend;
    int now = 0;
    for (int number = 0; number < row.mReports; number++) {
      now = number * row.mIntervalMs;
      trend.Add(0.5, row.mWeight, At(now));
    }
    const auto load = trend.LoadAt(At(now + 1000));
    CHECK_EQUAL(row.mIsKnown, load.has_value());
    DOUBLES_EQUAL(0.5, load.value_or(0.5), 1e-6);
  }
}

// Guards against a load that stays after it has changed, and against NaN after
// a silence in which all reports lose their weight.
TEST(LoadTrendTest, OldReportsCountForLess)
{
  struct Row
  {
    int mSilenceMs;
    int mReports;
    double mLow;
    double mHigh;
  };
  // The load was 0.8 and is 0.4 since the silence.
  const Row rows[] = {
    { 100, 1, 0.7, 0.8 },        { 100, 40, 0.3, 0.42 },
    { 3000, 4, 0.3, 0.55 },      { 20000, 4, 0.399, 0.401 },
    { 700000, 4, 0.399, 0.401 }, { 2000000, 4, 0.399, 0.401 },
  };
  for (const Row& row : rows) {
    LoadTrend trend;
    Report(trend, 5, 0, 5000, [](int) { return 0.8; });
    int now = 5000 + row.mSilenceMs;
    for (int number = 0; number < row.mReports; number++) {
      trend.Add(0.4, 1, At(now));
      now += 100;
    }
    const double load = trend.LoadAt(At(now - 100)).value();
    CHECK(load >= row.mLow);
    CHECK(load <= row.mHigh);
  }
}

// Guards against a slope that is the difference between two tasks: reports that
// arrive at almost the same time tell no trend.
TEST(LoadTrendTest, ReportsAtTheSameTimeTellNoTrend)
{
  LoadTrend trend;
  trend.Add(0.4, 1, At(0));
  trend.Add(0.5, 1, At(1));
  trend.Add(0.6, 1, At(5));
  trend.Add(0.7, 1, At(10));
  DOUBLES_EQUAL(0.55, trend.LoadAt(At(1010)).value(), 0.01);
}

// Twelve tasks report loads that are off by up to 0.1 in either direction.
// Guards against a fit that follows the noise.
TEST(LoadTrendTest, NoiseOfManyTasksIsAveraged)
{
  std::minstd_rand random(7);
  const auto noise = [&random] {
    return 0.2 * (static_cast<double>(random() % 1000) / 1000 - 0.5);
  };
  LoadTrend trend;
  double worst = 0;
  double sum = 0;
  int count = 0;
  for (int now = 0; now < 60000; now += kReportIntervalMs / 12) {
    trend.Add(0.5 + noise(), 1, At(now));
    if (now >= 5000) {
      const double error = trend.LoadAt(At(now + 1000)).value() - 0.5;
      worst = std::max(worst, std::abs(error));
      sum += error;
      count++;
    }
  }
  CHECK(worst < 0.08);
  CHECK(std::abs(sum / count) < 0.01);
}

} // namespace mulberryvalve
