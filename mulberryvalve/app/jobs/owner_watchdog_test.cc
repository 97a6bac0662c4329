// Tests of the activities and failures that a shard's owner reports.
#include "mulberryvalve/app/jobs/failure_log_limiter.h"
#include "mulberryvalve/app/jobs/owner_watchdog.h"

#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// Keeps the last value of each metric. Not thread-safe.
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

TEST(OwnerWatchdogTest, AnOwnerThatDecidesInTimeIsNotReported)
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

// Guards against an owner that waits for the log without logging what it waits
// for.
TEST(OwnerWatchdogTest, ASlowAppendIsReportedOnceASecond)
{
  RecordingMetrics metrics;
  OwnerWatchdog watchdog(metrics, kBegin);
  watchdog.Begin(OwnerActivity::kAppending, After(500));
  watchdog.RecordAppend(LogCallSize{ 7, 900 });
  size_t events = 0;
  for (int ms = 500; ms < 3500; ms += 100) {
    watchdog.Begin(OwnerActivity::kDeciding, After(ms));
    watchdog.End(OwnerActivity::kDeciding, After(ms));
    watchdog.RecordFailure(OwnerActivity::kAppending, FailureKind::kMalformed);
    const auto event = watchdog.Report(After(ms));
    if (event && events++ == 0) {
      STRCMP_EQUAL("appending", ValueOf(*event, "activity").c_str());
      STRCMP_EQUAL("1000", ValueOf(*event, "activity_ms").c_str());
      STRCMP_EQUAL("malformed", ValueOf(*event, "kind").c_str());
      STRCMP_EQUAL("11", ValueOf(*event, "failures").c_str());
      STRCMP_EQUAL("0", ValueOf(*event, "decision_age_ms").c_str());
      STRCMP_EQUAL("1500", ValueOf(*event, "durable_age_ms").c_str());
      STRCMP_EQUAL("7", ValueOf(*event, "append_records").c_str());
      STRCMP_EQUAL("900", ValueOf(*event, "append_bytes").c_str());
    }
  }
  CHECK_EQUAL(2U, events);
  watchdog.End(OwnerActivity::kAppending, After(3500));
  CHECK_FALSE(watchdog.Report(After(4000)).has_value());
  CHECK_EQUAL(500, metrics.mGauges[Gauge::kDurableAgeMs]);
  CHECK_EQUAL(3000000, metrics.mTimes[Timing::kProgressAppendUs].count());
  CHECK_EQUAL(900U, metrics.mCounts[Counter::kLogAppendBytes]);
}

TEST(OwnerWatchdogTest, AnIdleOwnerIsReported)
{
  RecordingMetrics metrics;
  OwnerWatchdog watchdog(metrics, kBegin);
  watchdog.Begin(OwnerActivity::kDeciding, After(100));
  watchdog.End(OwnerActivity::kDeciding, After(200));
  const auto event = watchdog.Report(After(1900));
  CHECK(event.has_value());
  STRCMP_EQUAL("nothing", ValueOf(*event, "activity").c_str());
  STRCMP_EQUAL("1700", ValueOf(*event, "activity_ms").c_str());
  STRCMP_EQUAL("1700", ValueOf(*event, "decision_age_ms").c_str());
}

TEST(OwnerWatchdogTest, TheActivityThatBeganFirstIsReported)
{
  RecordingMetrics metrics;
  OwnerWatchdog watchdog(metrics, kBegin);
  watchdog.Begin(OwnerActivity::kDeciding, After(100));
  watchdog.Begin(OwnerActivity::kAppending, After(200));
  const auto event = watchdog.Report(After(2000));
  CHECK(event.has_value());
  STRCMP_EQUAL("deciding", ValueOf(*event, "activity").c_str());
}

TEST(OwnerWatchdogTest, TheSizeOfACallIsItsKeysAndValues)
{
  const LogCallSize size =
    SizeOf({ KeyedEntry{ "ab", "cde" }, KeyedEntry{ "f", std::nullopt } });
  CHECK_EQUAL(2U, size.mRecords);
  CHECK_EQUAL(6U, size.mBytes);
}

// Guards against giving up a shard as soon as an outage is over: the group must
// have answered for as long as there was no progress.
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

// Guards against a change of owner that helps nobody because the log accepts
// appends from no one.
TEST(OwnerWatchdogTest, AnAppendIsStuckOnlyWhileTheLogAcceptsOtherWriters)
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

// Guards against logging every attempt of a call that keeps failing, and
// against failures that are in no logged count.
TEST(OwnerWatchdogTest, RepeatedFailuresAreLoggedOnceASecondAndAllCounted)
{
  FailureLogLimiter limiter;
  uint64_t logged = 0;
  size_t events = 0;
  for (int ms = 0; ms < 3000; ms += 150) {
    const auto event = limiter.Observe(
      "claim", Fail(FailureKind::kLogUnavailable, "append"), After(ms));
    events += event ? 1 : 0;
    logged += event ? event->mTimes : 0;
  }
  CHECK_EQUAL(3U, events);
  CHECK(limiter.Observe("claim", Fail(FailureKind::kConflict), After(3000))
          .has_value());
  for (const FailureSummary& event : limiter.TakeRemaining()) {
    STRCMP_EQUAL("claim", event.mCall.c_str());
    logged += event.mTimes;
  }
  CHECK_EQUAL(20U, logged);
  CHECK_EQUAL(0U, limiter.TakeRemaining().size());
}

TEST(OwnerWatchdogTest, FailuresAfterTheLastSummaryAreDueASecondLater)
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
