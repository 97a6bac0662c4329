#include "mulberryvalve/adapters/metrics/accumulator_metrics.h"

#include <algorithm>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace mulberryvalve;

namespace {

class ManualClock : public Clock
{
public:
  MonotonicTime Now() const override { return mNow; }
  WallTime WallNow() const override { return {}; }
  MonotonicTime mNow{ Milliseconds(1000000) };
};

// CheckHasLine checks that aText contains aLine as a whole line.
void CheckHasLine(const std::string& aText, const std::string& aLine)
{
  STRCMP_CONTAINS(("\n" + aLine + "\n").c_str(), ("\n" + aText).c_str());
}

} // namespace

TEST_GROUP(AccumulatorMetrics)
{
  ManualClock mClock;
  AccumulatorMetrics mMetrics{ mClock };
};

TEST(AccumulatorMetrics, ExposesCountersAndGaugesWithHelpAndType)
{
  mMetrics.Add(Counter::kRequestsAnswered, 2);
  mMetrics.Add(Counter::kRequestsAnswered, 3);
  mMetrics.Set(Gauge::kPeersLive, 4);
  mMetrics.Set(Gauge::kPeersLive, -1);
  const std::string text = mMetrics.Exposition();
  CheckHasLine(text, "# TYPE mulberryvalve_requests_answered counter");
  CheckHasLine(text, "mulberryvalve_requests_answered 5");
  CheckHasLine(text, "# TYPE mulberryvalve_peers_live gauge");
  CheckHasLine(text, "# HELP mulberryvalve_peers_live Peers counted as live");
  CheckHasLine(text, "mulberryvalve_peers_live -1");
  CheckHasLine(text, "mulberryvalve_log_reads 0");
}

TEST(AccumulatorMetrics, EmptySummaryIsNaN)
{
  const std::string text = mMetrics.Exposition();
  CheckHasLine(text, "# TYPE mulberryvalve_sync_us summary");
  CheckHasLine(text, "mulberryvalve_sync_us{quantile=\"0.99\"} NaN");
  CheckHasLine(text, "mulberryvalve_sync_us_count 0");
}

TEST(AccumulatorMetrics, QuantilesOfFewObservationsAreExact)
{
  for (int i = 100; i >= 1; i--) {
    mMetrics.Record(Timing::kRequestUs, Microseconds(i));
  }
  mMetrics.Record(Timing::kAppendUs, Microseconds(-5));
  const std::string text = mMetrics.Exposition();
  CheckHasLine(text, "mulberryvalve_request_us{quantile=\"0.5\"} 50");
  CheckHasLine(text, "mulberryvalve_request_us{quantile=\"0.99\"} 99");
  CheckHasLine(text, "mulberryvalve_request_us{quantile=\"0.999\"} 100");
  CheckHasLine(text, "mulberryvalve_request_us_sum 5050");
  CheckHasLine(text, "mulberryvalve_request_us_count 100");
  CheckHasLine(text, "mulberryvalve_request_us_mean 50.5");
  CheckHasLine(text, "mulberryvalve_request_us_max 100");
  CheckHasLine(text, "mulberryvalve_append_us_sum 0");
}

TEST(AccumulatorMetrics, WindowsRotateButTotalsAccumulate)
{
  mMetrics.Record(Timing::kRequestUs, Microseconds(900));
  mClock.mNow += Milliseconds(31000);
  mMetrics.Record(Timing::kRequestUs, Microseconds(7));
  CheckHasLine(mMetrics.Exposition(), "mulberryvalve_request_us_max 900");
  mClock.mNow += Milliseconds(31000);
  CheckHasLine(mMetrics.Exposition(), "mulberryvalve_request_us_max 7");
  mClock.mNow += Milliseconds(61000);
  const std::string text = mMetrics.Exposition();
  CheckHasLine(text, "mulberryvalve_request_us{quantile=\"0.5\"} NaN");
  CheckHasLine(text, "mulberryvalve_request_us_sum 907");
  CheckHasLine(text, "mulberryvalve_request_us_count 2");
}

TEST(AccumulatorMetrics, CountsAllConcurrentUpdates)
{
  constexpr int kThreads = 20;
  constexpr int kCalls = 2000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; i++) {
    threads.emplace_back([this] {
      for (int call = 0; call < kCalls; call++) {
        mMetrics.Add(Counter::kLogReads, 1);
        mMetrics.Record(Timing::kSyncUs, Microseconds(1));
      }
    });
  }
  CHECK(!mMetrics.Exposition().empty());
  for (auto& thread : threads) {
    thread.join();
  }
  const std::string text = mMetrics.Exposition();
  CheckHasLine(text, "mulberryvalve_log_reads 40000");
  CheckHasLine(text, "mulberryvalve_sync_us_count 40000");
  CheckHasLine(text, "mulberryvalve_sync_us_sum 40000");
}

TEST(AccumulatorMetrics, MergedQuantilesAreWithinTolerance)
{
  constexpr size_t kWindows = 4;
  const struct
  {
    size_t mObservations;
    double mTolerance50;
    double mTolerance99;
    double mTolerance999;
  } rows[] = { { 4000, 0.02, 0.001, 0.001 },
               { 80000, 0.02, 0.01, 0.001 },
               { 1600000, 0.02, 0.02, 0.02 } };
  for (const auto& row : rows) {
    std::mt19937_64 engine(11);
    std::exponential_distribution<double> latencies(1.0 / 1000);
    std::vector<TimingWindow> windows(kWindows);
    std::vector<double> all(row.mObservations);
    for (size_t i = 0; i < all.size(); i++) {
      all[i] = latencies(engine);
      windows[i % kWindows].Add(all[i]);
    }
    std::sort(all.begin(), all.end());
    const auto checkQuantile =
      [&](double aProbability, double aMeasured, double aTolerance) {
        const auto rank = aProbability * static_cast<double>(all.size());
        const double expected = all[static_cast<size_t>(rank) - 1];
        DOUBLES_EQUAL(expected, aMeasured, aTolerance * expected);
      };
    const TimingSummary summary = Summarize(windows);
    LONGS_EQUAL(all.size(), summary.mCount);
    checkQuantile(0.5, summary.mP50, row.mTolerance50);
    checkQuantile(0.99, summary.mP99, row.mTolerance99);
    checkQuantile(0.999, summary.mP999, row.mTolerance999);
    DOUBLES_EQUAL(all.back(), summary.mMax, 0);
  }
}
