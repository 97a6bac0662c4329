#include "bench/placement/world.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve::bench {
namespace {

const Site kSite{ "small", 3, 15, 20, 4 };

ScenarioFaults AllFaults()
{
  return ScenarioFaults{ "all", true, true, true, true, true, true };
}

} // namespace

TEST_GROUP(World){};

TEST(World, SameSeedGivesTheSameDecisions)
{
  for (const auto& policy : kPolicyKindNames.mRows) {
    const RunMetrics first = World(kSite, AllFaults(), policy.mValue, 3).Run();
    const RunMetrics again = World(kSite, AllFaults(), policy.mValue, 3).Run();
    const RunMetrics other = World(kSite, AllFaults(), policy.mValue, 4).Run();
    CHECK(first.mDecisionHash == again.mDecisionHash);
    CHECK(first.mLateRequests == again.mLateRequests);
    CHECK(first.mDecisionHash != other.mDecisionHash);
  }
}

TEST(World, CommitmentsHoldUnderEveryFaultAtOnce)
{
  for (uint64_t seed = 1; seed <= 5; seed++) {
    const RunMetrics figures =
      World(kSite, AllFaults(), PolicyKind::kLearned, seed).Run();
    LONGS_EQUAL(0, figures.mOvercommitments);
    CHECK(figures.mCompleted > 0);
    LONGS_EQUAL(0, figures.mFailed);
  }
}

} // namespace mulberryvalve::bench
