// Tests of the delays that a shard's owner reports.
#include "mulberryvalve/app/jobs/owner_delay_metrics.h"

#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// Keeps all recorded timings. Not thread-safe.
class RecordingMetrics : public Metrics
{
public:
  void Add(Counter, uint64_t) override {}
  void Set(Gauge, int64_t) override {}
  void Record(Timing aTiming, Microseconds aElapsed) override
  {
    mTimes[aTiming].push_back(aElapsed);
  }
  std::map<Timing, std::vector<Microseconds>> mTimes;
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

} // namespace

TEST_GROUP(OwnerDelayMetricsTest){};

TEST(OwnerDelayMetricsTest, TheLongestDelayOfASecondIsRecordedOnce)
{
  RecordingMetrics metrics;
  OwnerDelayMetrics delays(metrics, kBegin);
  delays.Observe(OwnerDelay::kPass, Milliseconds(3));
  delays.Observe(OwnerDelay::kPass, Milliseconds(9));
  delays.Observe(OwnerDelay::kPass, Milliseconds(5));
  CHECK_FALSE(delays.Report(kBegin + Milliseconds(900)).has_value());
  CHECK_EQUAL(0U, metrics.mTimes.size());
  CHECK_FALSE(delays.Report(kBegin + Milliseconds(1000)).has_value());
  CHECK_EQUAL(1U, metrics.mTimes.size());
  CHECK_EQUAL(1U, metrics.mTimes[Timing::kPassUs].size());
  CHECK_EQUAL(9000, metrics.mTimes[Timing::kPassUs][0].count());
}

// An owner that is behind logs it once a second however often Report is called,
// and no more once it has caught up.
TEST(OwnerDelayMetricsTest, AnOwnerThatIsBehindIsReportedOnceASecond)
{
  RecordingMetrics metrics;
  OwnerDelayMetrics delays(metrics, kBegin);
  size_t events = 0;
  for (int ms = 0; ms < 3000; ms += 10) {
    delays.Observe(OwnerDelay::kProofAge, Milliseconds(ms));
    const auto event = delays.Report(kBegin + Milliseconds(ms));
    events += event.has_value() ? 1 : 0;
    if (event) {
      STRCMP_EQUAL(std::to_string(ms).c_str(),
                   ValueOf(*event, "proof_age_ms").c_str());
      STRCMP_EQUAL("0", ValueOf(*event, "pass_ms").c_str());
    }
  }
  CHECK_EQUAL(2U, events);
  delays.Report(kBegin + Milliseconds(4000));
  delays.Observe(OwnerDelay::kProofAge, Milliseconds(300));
  CHECK_FALSE(delays.Report(kBegin + Milliseconds(5000)).has_value());
}

TEST(OwnerDelayMetricsTest, OwnershipFieldsHaveTheAgeOfTheLastProof)
{
  RecordingMetrics metrics;
  const OwnerDelayMetrics delays(metrics, kBegin);
  const auto account = delays.OwnershipFields(kBegin + Milliseconds(5000),
                                              kBegin + Milliseconds(3800));
  STRCMP_EQUAL("5000", ValueOf(account, "owned_ms").c_str());
  STRCMP_EQUAL("1200", ValueOf(account, "proof_age_ms").c_str());
  CHECK(!ValueOf(account, "processor_ms").empty());
}

} // namespace mulberryvalve
