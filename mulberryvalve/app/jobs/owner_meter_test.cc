// What an owner tells of its delays.
#include "mulberryvalve/app/jobs/owner_meter.h"

#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// RecordingMetrics keeps what was recorded. For one thread.
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
  RecordingMetrics times;
  OwnerDelayMetrics meter(times, kBegin);
  meter.Observe(OwnerDelay::kPass, Milliseconds(3));
  meter.Observe(OwnerDelay::kPass, Milliseconds(9));
  meter.Observe(OwnerDelay::kPass, Milliseconds(5));
  CHECK_FALSE(meter.Report(kBegin + Milliseconds(900)).has_value());
  CHECK_EQUAL(0U, times.mTimes.size());
  CHECK_FALSE(meter.Report(kBegin + Milliseconds(1000)).has_value());
  CHECK_EQUAL(1U, times.mTimes.size());
  CHECK_EQUAL(1U, times.mTimes[Timing::kPassUs].size());
  CHECK_EQUAL(9000, times.mTimes[Timing::kPassUs][0].count());
}

// An owner that is behind says so once a second, however often it is asked,
// and no more once it has caught up.
TEST(OwnerDelayMetricsTest, AnOwnerThatIsBehindSaysSoOnceASecond)
{
  RecordingMetrics times;
  OwnerDelayMetrics meter(times, kBegin);
  size_t lines = 0;
  for (int ms = 0; ms < 3000; ms += 10) {
    meter.Observe(OwnerDelay::kProofAge, Milliseconds(ms));
    const auto line = meter.Report(kBegin + Milliseconds(ms));
    lines += line.has_value() ? 1 : 0;
    if (line) {
      STRCMP_EQUAL(std::to_string(ms).c_str(),
                   ValueOf(*line, "proof_age_ms").c_str());
      STRCMP_EQUAL("0", ValueOf(*line, "pass_ms").c_str());
    }
  }
  CHECK_EQUAL(2U, lines);
  meter.Report(kBegin + Milliseconds(4000));
  meter.Observe(OwnerDelay::kProofAge, Milliseconds(300));
  CHECK_FALSE(meter.Report(kBegin + Milliseconds(5000)).has_value());
}

TEST(OwnerDelayMetricsTest, TheAccountSaysSinceWhenThereWasNoProof)
{
  RecordingMetrics times;
  const OwnerDelayMetrics meter(times, kBegin);
  const auto account = meter.OwnershipFields(kBegin + Milliseconds(5000),
                                             kBegin + Milliseconds(3800));
  STRCMP_EQUAL("5000", ValueOf(account, "owned_ms").c_str());
  STRCMP_EQUAL("1200", ValueOf(account, "proof_age_ms").c_str());
  CHECK(!ValueOf(account, "processor_ms").empty());
}

} // namespace mulberryvalve
