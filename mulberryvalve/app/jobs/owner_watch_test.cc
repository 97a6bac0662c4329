// What an owner tells of what it does and of the failures that it meets.
#include "mulberryvalve/app/jobs/fault_tally.h"
#include "mulberryvalve/app/jobs/owner_watch.h"

#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// RecordingMetrics keeps the last value of each metric. For one thread.
class RecordingMetrics : public Metrics
{
public:
  void Add(Counter aCounter, uint64_t aCount) override
  {
    mCounts[aCounter] += aCount;
  }
  void Set(Gauge aGauge, int64_t aValue) override { mGauges[aGauge] = aValue; }
  void Record(Timing aTiming, Microseconds aElapsed) override
  {
    mTimes[aTiming] = aElapsed;
  }
  std::map<Counter, uint64_t> mCounts;
  std::map<Gauge, int64_t> mGauges;
  std::map<Timing, Microseconds> mTimes;
};

std::string ValueOf(const std::vector<EventField>& aFields,
                    std::string_view aKey)
{
  for (const EventField& field : aFields) {
    if (field.mKey == aKey) {
      return field.mValue;
    }
  }
  return "";
}

const MonotonicTime kBegin(std::chrono::seconds(1000));

MonotonicTime After(int aMilliseconds)
{
  return kBegin + Milliseconds(aMilliseconds);
}

} // namespace

TEST_GROUP(OwnerWatchdogTest){};

TEST(OwnerWatchdogTest, AnOwnerThatDecidesEachTenthOfASecondSaysNothing)
{
  RecordingMetrics metrics;
  OwnerWatchdog watchdog(metrics, kBegin);
  for (int ms = 0; ms < 5000; ms += 100) {
    watchdog.Begin(OwnerActivity::kDeciding, After(ms));
    watchdog.End(OwnerActivity::kDeciding, After(ms + 20));
    CHECK_FALSE(watchdog.Report(After(ms + 20)).has_value());
  }
  CHECK_EQUAL(0, metrics.mGauges[Gauge::kDecisionAgeMs]);
}

// Guards against an owner that waits for the log without a word of what for.
TEST(OwnerWatchdogTest, AnAppendBeyondItsBoundIsToldOnceASecond)
{
  RecordingMetrics metrics;
  OwnerWatchdog watchdog(metrics, kBegin);
  watchdog.Begin(OwnerActivity::kAppending, After(500));
  watchdog.RecordAppend(LogCallSize{ 7, 900 });
  size_t lines = 0;
  for (int ms = 500; ms < 3500; ms += 100) {
    watchdog.Begin(OwnerActivity::kDeciding, After(ms));
    watchdog.End(OwnerActivity::kDeciding, After(ms));
    watchdog.RecordFailure(OwnerActivity::kAppending, FailureKind::kMalformed);
    const auto line = watchdog.Report(After(ms));
    if (line && lines++ == 0) {
      STRCMP_EQUAL("appending", ValueOf(*line, "activity").c_str());
      STRCMP_EQUAL("1000", ValueOf(*line, "activity_ms").c_str());
      STRCMP_EQUAL("malformed", ValueOf(*line, "kind").c_str());
      STRCMP_EQUAL("11", ValueOf(*line, "failures").c_str());
      STRCMP_EQUAL("0", ValueOf(*line, "decision_age_ms").c_str());
      STRCMP_EQUAL("1500", ValueOf(*line, "durable_age_ms").c_str());
      STRCMP_EQUAL("7", ValueOf(*line, "append_records").c_str());
      STRCMP_EQUAL("900", ValueOf(*line, "append_bytes").c_str());
    }
  }
  CHECK_EQUAL(2U, lines);
  watchdog.End(OwnerActivity::kAppending, After(3500));
  CHECK_FALSE(watchdog.Report(After(4000)).has_value());
  CHECK_EQUAL(500, metrics.mGauges[Gauge::kDurableAgeMs]);
  CHECK_EQUAL(3000000, metrics.mTimes[Timing::kProgressAppendUs].count());
  CHECK_EQUAL(900U, metrics.mCounts[Counter::kLogAppendBytes]);
}

TEST(OwnerWatchdogTest, AnOwnerThatDoesNothingIsToldToo)
{
  RecordingMetrics metrics;
  OwnerWatchdog watchdog(metrics, kBegin);
  watchdog.Begin(OwnerActivity::kDeciding, After(100));
  watchdog.End(OwnerActivity::kDeciding, After(200));
  const auto line = watchdog.Report(After(1900));
  CHECK(line.has_value());
  STRCMP_EQUAL("nothing", ValueOf(*line, "activity").c_str());
  STRCMP_EQUAL("1700", ValueOf(*line, "activity_ms").c_str());
  STRCMP_EQUAL("1700", ValueOf(*line, "decision_age_ms").c_str());
}

TEST(OwnerWatchdogTest, TheActivityThatBeganFirstIsTold)
{
  RecordingMetrics metrics;
  OwnerWatchdog watchdog(metrics, kBegin);
  watchdog.Begin(OwnerActivity::kDeciding, After(100));
  watchdog.Begin(OwnerActivity::kAppending, After(200));
  const auto line = watchdog.Report(After(2000));
  CHECK(line.has_value());
  STRCMP_EQUAL("deciding", ValueOf(*line, "activity").c_str());
}

TEST(OwnerWatchdogTest, AVolumeIsKeysAndValues)
{
  const LogCallSize volume =
    SizeOf({ KeyedEntry{ "ab", "cde" }, KeyedEntry{ "f", std::nullopt } });
  CHECK_EQUAL(2U, volume.mRecords);
  CHECK_EQUAL(6U, volume.mBytes);
}

// Guards against a shard that is given up as soon as an outage is over: the
// group must have answered for as long as nothing advanced.
TEST(OwnerWatchdogTest, AnOutageDoesNotCountAsBeingStuck)
{
  constexpr Milliseconds kLimit{ 6000 };
  RecordingMetrics metrics;
  OwnerWatchdog watchdog(metrics, kBegin);
  watchdog.OnGroupReply(After(0));
  watchdog.Begin(OwnerActivity::kLoading, After(100));
  watchdog.RecordFailure(OwnerActivity::kLoading, FailureKind::kLogAnswerLost);
  for (int ms = 9000; ms < 15000; ms += 350) {
    watchdog.OnGroupReply(After(ms));
    CHECK_FALSE(watchdog.IsStuck(After(ms), kLimit));
  }
  watchdog.OnGroupReply(After(15000));
  CHECK(watchdog.IsStuck(After(15000), kLimit));
  watchdog.End(OwnerActivity::kLoading, After(15100));
  CHECK_FALSE(watchdog.IsStuck(After(16000), kLimit));
}

// Guards against a change of owner that helps nobody, since the log takes
// appends from no one.
TEST(OwnerWatchdogTest, AnAppendIsStuckOnlyWhileTheLogTakesWhatOthersWrite)
{
  constexpr Milliseconds kLimit{ 6000 };
  RecordingMetrics metrics;
  OwnerWatchdog watchdog(metrics, kBegin);
  watchdog.Begin(OwnerActivity::kAppending, After(0));
  watchdog.RecordFailure(OwnerActivity::kAppending,
                         FailureKind::kLogUnavailable);
  for (int ms = 0; ms <= 7000; ms += 350) {
    watchdog.OnGroupReply(After(ms));
  }
  CHECK_FALSE(watchdog.IsStuck(After(7000), kLimit));
  watchdog.OnForeignWrite(After(6900));
  CHECK(watchdog.IsStuck(After(7000), kLimit));
}

// Guards against a line for each try of a call that fails for long, and against
// failures that no line counts.
TEST(OwnerWatchdogTest, RepeatedFailuresAreToldOnceASecondAndAllCounted)
{
  FailureLogLimiter limiter;
  uint64_t told = 0;
  size_t lines = 0;
  for (int ms = 0; ms < 3000; ms += 150) {
    const auto line = limiter.Observe(
      "claim", Fail(FailureKind::kLogUnavailable, "append"), After(ms));
    lines += line ? 1 : 0;
    told += line ? line->mTimes : 0;
  }
  CHECK_EQUAL(3U, lines);
  CHECK(limiter.Observe("claim", Fail(FailureKind::kConflict), After(3000))
          .has_value());
  for (const FailureSummary& line : limiter.TakeRemaining()) {
    STRCMP_EQUAL("claim", line.mWhat.c_str());
    told += line.mTimes;
  }
  CHECK_EQUAL(20U, told);
  CHECK_EQUAL(0U, limiter.TakeRemaining().size());
}

TEST(OwnerWatchdogTest, WhatCameAfterTheLastLineIsDueASecondLater)
{
  FailureLogLimiter limiter;
  CHECK(limiter.Observe("load", Fail(FailureKind::kMalformed), After(0))
          .has_value());
  CHECK_FALSE(limiter.Observe("load", Fail(FailureKind::kMalformed), After(200))
                .has_value());
  CHECK_EQUAL(0U, limiter.TakeDue(After(900)).size());
  const std::vector<FailureSummary> due = limiter.TakeDue(After(1000));
  CHECK_EQUAL(1U, due.size());
  CHECK_EQUAL(1U, due[0].mTimes);
  CHECK_EQUAL(0U, limiter.TakeDue(After(5000)).size());
}

} // namespace mulberryvalve
