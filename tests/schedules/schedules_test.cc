#include "tests/schedules/schedule.h"
#include "tests/support/setting.h"

#include <cstdio>

#include "CppUTest/TestHarness.h"

using namespace schedules;

namespace {

constexpr uint64_t kSeedsPerPart = 100'000;

// Prints the violations in the schedule of aSeed and returns their number.
size_t PrintFindings(uint64_t aSeed, const History& aHistory)
{
  const std::vector<std::string> findings = CheckHistory(aHistory);
  for (const std::string& finding : findings) {
    std::printf("seed %llu: %s\n",
                static_cast<unsigned long long>(aSeed),
                finding.c_str());
  }
  return findings.size();
}

} // namespace

TEST_GROUP(Schedules){};

struct DisabledMechanismRow
{
  const char* mName;
  DisabledMechanism mDisabled;
};

const DisabledMechanismRow kDisabledMechanisms[] = {
  { "no takeover wait", DisabledMechanism::kNoTakeoverWait },
  { "no epoch fence in the fold", DisabledMechanism::kNoEpochFence },
  { "blind append with a new sequence", DisabledMechanism::kNoReadBack },
  { "no staleness deadline", DisabledMechanism::kNoStaleness },
  { "no inventory", DisabledMechanism::kNoInventory },
  { "no end of a lease", DisabledMechanism::kNoLeaseEnd },
  { "no deadline of a start", DisabledMechanism::kNoStartDeadline },
};

// Each disabled mechanism has to be detected within this many schedules.
constexpr uint64_t kDetectionSeeds = 10000;

// MULBERRYVALVE_SCHEDULES is the number of seeds, MULBERRYVALVE_PART selects a
// separate range of seeds, and MULBERRYVALVE_SEED runs a single seed.
TEST(Schedules, KeepThePromises)
{
  const uint64_t one = mulberryvalve::SettingOr("MULBERRYVALVE_SEED", 0);
  const uint64_t count =
    mulberryvalve::SettingOr("MULBERRYVALVE_SCHEDULES", 40);
  const uint64_t part = mulberryvalve::SettingOr("MULBERRYVALVE_PART", 0);
  const uint64_t first = one != 0 ? one : part * kSeedsPerPart + 1;
  const uint64_t last = one != 0 ? one : first + count - 1;
  size_t findings = 0;
  size_t runs = 0;
  size_t accepted = 0;
  for (uint64_t seed = first; seed <= last; seed++) {
    const History history = RunSchedule(seed, DisabledMechanism::kNone);
    findings += PrintFindings(seed, history);
    runs += history.mRuns.size();
    accepted += history.mAccepted.size();
  }
  std::printf("%llu schedules, %zu accepted tasks, %zu runs, %zu findings\n",
              static_cast<unsigned long long>(last - first + 1),
              accepted,
              runs,
              findings);
  LONGS_EQUAL(0, findings);
}

// The commit window bounds the append rate of an owner at any load.
TEST(Schedules, AppendsAreBounded)
{
  constexpr int64_t kMostAppendsPerSecond = 30;
  for (const int64_t rate : { 10, 100, 1000 }) {
    const AppendLoad load = MeasureAppends(rate);
    std::printf("%lld starts/s offered: %lld started in 10 s, %lld appends/s, "
                "%lld records an append\n",
                static_cast<long long>(rate),
                static_cast<long long>(load.mStarts),
                static_cast<long long>(load.mAppendsPerSecond),
                static_cast<long long>(load.mRecordsPerAppend));
    CHECK(load.mAppendsPerSecond <= kMostAppendsPerSecond);
  }
}

// Verifies the checker: with any one mechanism disabled, the same schedules
// have to violate a guarantee.
TEST(Schedules, FindBrokenPolicies)
{
  std::string missed;
  for (const DisabledMechanismRow& row : kDisabledMechanisms) {
    uint64_t seed = 1;
    std::vector<std::string> findings;
    while (findings.empty() && seed <= kDetectionSeeds) {
      findings = CheckHistory(RunSchedule(seed++, row.mDisabled));
    }
    std::printf("%s, seed %llu: %s\n",
                row.mName,
                static_cast<unsigned long long>(seed - 1),
                findings.empty() ? "not found" : findings.front().c_str());
    missed += findings.empty() ? std::string(row.mName) + "; " : "";
  }
  STRCMP_EQUAL("", missed.c_str());
}
