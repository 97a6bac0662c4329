#include "tests/schedules/history.h"

#include <functional>

#include "CppUTest/TestHarness.h"

using namespace schedules;

namespace {

History ValidHistory()
{
  History good;
  good.mCapacity["w"] = ResourceAmount{ 4, 4, 1 };
  good.mCapacity["x"] = ResourceAmount{ 4, 4, 1 };
  good.mDemand["t"] = ResourceAmount{ 3, 1, 0 };
  good.mDemand["u"] = ResourceAmount{ 1, 1, 1 };
  good.mRuns = { Run{ "t", 1, "w", "d", 0, 100, false, true },
                 Run{ "t", 2, "x", "d", 100, 200, true, false, 250 },
                 Run{ "u", 1, "w", "d", 50, 150, true, false, 160 } };
  good.mAccepted = { "t", "u" };
  good.mDomainRecords = { DomainRecord{ "d", true, 4, 0, 1000, "one" },
                          DomainRecord{ "d", false, 5, 0, 2000, "two" },
                          DomainRecord{
                            "d", false, 9, 4, 5'000'000, "three" } };
  good.mBundleRecords = { BundleRecord{ false, 1, 0, 1 },
                          BundleRecord{ true, 1, 0, 2 },
                          BundleRecord{ false, 3, 0, 3 } };
  good.mOperatorReplies = { OperatorReply{ "one", true },
                            OperatorReply{ "two", false } };
  good.mSamples = { Sample{ "i", 0, {}, false },
                    Sample{ "i", 1, { { "d", 9 } }, true } };
  return good;
}

struct Row
{
  const char* mFinding;
  std::function<void(History&)> mCorrupt;
};

const Row kRows[] = {
  { "1: overcommitted", [](History& aH) { aH.mDemand["u"].mCpu = 2; } },
  { "1: overcommitted", [](History& aH) { aH.mDemand["u"].mMemory = 4; } },
  { "1: overcommitted",
    [](History& aH) { aH.mDemand["t"].mAccelerators = 1; } },
  { "2: ", [](History& aH) { aH.mRuns[1].mBegin = 99; } },
  { "3: started twice", [](History& aH) { aH.mRuns[1].mAttempt = 1; } },
  { "3: an older attempt", [](History& aH) { aH.mRuns[0].mAttempt = 5; } },
  { "3: resumed after its end",
    [](History& aH) {
      aH.mRuns.push_back(Run{ "u", 2, "w", "d", 300, 310 });
    } },
  { "3: lost", [](History& aH) { aH.mAccepted.push_back("v"); } },
  { "3: lost", [](History& aH) { aH.mRuns[2].mEndDurableAt = INT64_MAX; } },
  { "4: ",
    [](History& aH) {
      aH.mRuns.push_back(Run{ "u", 0, "w", "d", 2'600'000, 2'700'000 });
    } },
  { "10: bundle reverted", [](History& aH) { aH.mSamples[0].mBundle = 2; } },
  { "10: domain reverted",
    [](History& aH) { aH.mSamples[0].mDomains["d"] = 11; } },
  { "10: not converged", [](History& aH) { aH.mSamples[1].mBundle = 2; } },
  { "10: not converged",
    [](History& aH) { aH.mSamples[1].mDomains["d"] = 5; } },
  { "10: told",
    [](History& aH) { aH.mOperatorReplies[0].mReportedApplied = false; } },
  { "10: told",
    [](History& aH) { aH.mOperatorReplies[1].mReportedApplied = true; } },
};

} // namespace

TEST_GROUP(Checker){};

TEST(Checker, PassesValidHistory)
{
  for (const std::string& finding : CheckHistory(ValidHistory())) {
    FAIL(finding.c_str());
  }
}

TEST(Checker, FindsEachKindOfViolation)
{
  for (const Row& row : kRows) {
    History bad = ValidHistory();
    row.mCorrupt(bad);
    std::string all;
    for (const std::string& finding : CheckHistory(bad)) {
      all += finding + "\n";
    }
    CHECK_TEXT(all.find(row.mFinding) != std::string::npos, row.mFinding);
  }
}
