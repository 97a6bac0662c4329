// The order of waiting steps by the cost to callers, as tables and under loads
// of more jobs than there is capacity.
#include "mulberryvalve/core/jobs/caller_cost_policy.h"
#include "mulberryvalve/core/jobs/queueing_load_fake.h"

#include "CppUTest/TestHarness.h"

#include <string>
#include <vector>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kObjective{ 2000 };
// Outside the slice in which aged jobs are served first, and inside it.
const MonotonicTime kUsualTime(Milliseconds(1373 * 1000 + 500));
const MonotonicTime kAgedTime(Milliseconds(1373 * 1000 + 100));

WaitingStep Step(uint64_t aArrival,
                 int aPriority,
                 int64_t aWork,
                 Milliseconds aWaited,
                 MonotonicTime aNow = kUsualTime)
{
  WaitingStep step;
  step.mStep.mArrivalNumber = aArrival;
  step.mPriority = aPriority;
  step.mRemainingWork = aWork;
  step.mAcceptedAt = aNow - aWaited;
  step.mDueAt = step.mAcceptedAt;
  step.mObjectiveAt = step.mAcceptedAt + kObjective;
  return step;
}

std::string OrderOf(std::vector<WaitingStep> aSteps,
                    MonotonicTime aNow = kUsualTime)
{
  CallerCostPolicy().Sort(aSteps, aNow);
  std::string order;
  for (const WaitingStep& step : aSteps) {
    order += std::to_string(step.mStep.mArrivalNumber) + " ";
  }
  return order;
}

void PrintResult(const char* aPolicy, const QueueingResult& aResult)
{
  for (const auto& [kind, outcomes] : aResult.mByKind) {
    UT_PRINT(StringFromFormat(
               "%s: %s in time %d late %d lost %d longest %d ms "
               "unfinished %d",
               aPolicy,
               kind.c_str(),
               outcomes.mInTime,
               outcomes.mLate,
               outcomes.mLost,
               static_cast<int>(aResult.mLongestByKind.at(kind).count()),
               aResult.mUnfinishedByKind.at(kind))
               .asCharString());
  }
}

// LoadComparison plays one load under both orders.
struct LoadComparison
{
  explicit LoadComparison(QueueingLoad aLoad)
    : mLeastWork(SimulateLoad(aLoad, LeastRemainingWorkPolicy(), kSeed, kSeeds))
    , mCallerCost(SimulateLoad(aLoad, CallerCostPolicy(), kSeed, kSeeds))
  {
    PrintResult("least work", mLeastWork);
    PrintResult("caller cost", mCallerCost);
    CHECK_EQUAL(0, mLeastWork.mViolations);
    CHECK_EQUAL(0, mCallerCost.mViolations);
  }

  // Fails if callers have over a tenth less of the jobs of a kind than with
  // least work.
  void CheckNoKindLosesATenth() const
  {
    for (const auto& [kind, outcomes] : mLeastWork.mByKind) {
      CHECK(mCallerCost.mByKind.at(kind).Worth() * 10 >= outcomes.Worth() * 9);
    }
  }

  // One seed has as few as eight jobs of a kind, so that one late job would
  // decide.
  static constexpr uint32_t kSeed = 1;
  static constexpr uint32_t kSeeds = 4;

  QueueingResult mLeastWork;
  QueueingResult mCallerCost;
};

} // namespace

TEST_GROUP(CallerCostPolicyTest){};

// Guards against jobs of use that are put off, and against capacity for jobs
// that cannot end in time to be of use.
TEST(CallerCostPolicyTest, GainDependsOnWaitAndRemainingChain)
{
  struct Row
  {
    int mWaitedMs;
    int mChainMs;
    int mObjectiveMs;
    bool mIsLongRunning;
    CallerGain mExpected;
  };
  const std::vector<Row> rows = {
    { 0, 1000, 2000, false, CallerGain::kUse },
    { 3000, 1000, 2000, false, CallerGain::kUse },
    { 5000, 1000, 2000, false, CallerGain::kUse },
    { 5001, 1000, 2000, false, CallerGain::kNone },
    { 6000, 0, 2000, false, CallerGain::kUse },
    { 0, 6001, 2000, false, CallerGain::kNone },
    { 15999, 1000, 2000, false, CallerGain::kNone },
    { 16000, 1000, 2000, false, CallerGain::kAged },
    { 4, 0, 1, false, CallerGain::kNone },
    { 7999, 0, 1, false, CallerGain::kNone },
    { 8000, 0, 1, false, CallerGain::kAged },
    { 4, 0, 0, false, CallerGain::kNone },
    { 100000, 0, 0, true, CallerGain::kUse },
  };
  for (const Row& row : rows) {
    WaitingStep step = Step(1, 0, 1, Milliseconds(row.mWaitedMs));
    step.mObjectiveAt = step.mAcceptedAt + Milliseconds(row.mObjectiveMs);
    step.mRemainingChain = Milliseconds(row.mChainMs);
    step.mIsLongRunning = row.mIsLongRunning;
    STRCMP_EQUAL(kCallerGainNames.Name(row.mExpected).data(),
                 kCallerGainNames.Name(GainOf(step, kUsualTime)).data());
  }
}

// Guards against a later occurrence of a recurring job that counts as waiting
// since the job was accepted.
TEST(CallerCostPolicyTest, WaitCountsFromTheDueTime)
{
  WaitingStep step = Step(1, 0, 1, Milliseconds(100000));
  step.mDueAt = kUsualTime;
  step.mRemainingChain = Milliseconds(1000);
  CHECK(CallerGain::kUse == GainOf(step, kUsualTime));
}

TEST(CallerCostPolicyTest, JobsOfUseAreOrderedByPriorityThenWork)
{
  STRCMP_EQUAL("3 2 1 4 ",
               OrderOf({ Step(1, 0, 30, Milliseconds(10)),
                         Step(2, 0, 20, Milliseconds(0)),
                         Step(3, 0, 10, Milliseconds(0)),
                         Step(4, 2, 1, Milliseconds(5000)) })
                 .c_str());
}

// Guards against jobs past use that take capacity from jobs of use of a lower
// priority, and against starting many of them without ending one.
TEST(CallerCostPolicyTest, JobsPastUseComeLastOldestFirst)
{
  STRCMP_EQUAL("4 1 3 2 ",
               OrderOf({ Step(1, 2, 99, Milliseconds(9000)),
                         Step(2, 0, 1, Milliseconds(7000)),
                         Step(3, 1, 50, Milliseconds(8000)),
                         Step(4, 2, 1000, Milliseconds(0)) })
                 .c_str());
}

// Guards against a job that is put off for good once it is past use.
TEST(CallerCostPolicyTest, AgedJobsAreServedLikeJobsOfUse)
{
  STRCMP_EQUAL("3 1 2 ",
               OrderOf({ Step(1, 0, 50, Milliseconds(16000)),
                         Step(2, 0, 1, Milliseconds(15000)),
                         Step(3, 0, 10, Milliseconds(0)) })
                 .c_str());
}

// Guards against a large job or a low priority that waits forever behind a
// lasting load, and against aged jobs that take more than a tenth of the time.
TEST(CallerCostPolicyTest, AgedJobsGoFirstInATenthOfTheTime)
{
  const auto orderAt = [](MonotonicTime aNow) {
    return OrderOf({ Step(1, 0, 50, Milliseconds(16000), aNow),
                     Step(2, 2, 90, Milliseconds(17000), aNow),
                     Step(3, 0, 10, Milliseconds(0), aNow) },
                   aNow);
  };
  STRCMP_EQUAL("2 1 3 ", orderAt(kAgedTime).c_str());
  int first = 0;
  constexpr int samples = 10000;
  for (int number = 0; number < samples; number++) {
    first += orderAt(kUsualTime + Milliseconds(number)) == "2 1 3 " ? 1 : 0;
  }
  CHECK(first * 10 < samples * 11 / 10);
  CHECK(first * 10 > samples * 9 / 10);
}

// Load: all workers are unreachable for 14 s, and most of the backlog is past
// use. Guards against serving it before jobs that are of use.
TEST(CallerCostPolicyTest, BacklogPastUseDoesNotDelayJobsOfUse)
{
  const LoadComparison load(QueueingLoad::kBacklogPastUse);
  load.CheckNoKindLosesATenth();
  CHECK(load.mCallerCost.mAll.Worth() > load.mLeastWork.mAll.Worth());
  CHECK(load.mCallerCost.mAll.mLost < load.mLeastWork.mAll.mLost);
}

// Load: small jobs need nearly all capacity for a minute. Guards against large
// jobs that are not served until the small ones end.
TEST(CallerCostPolicyTest, LargeJobsBehindManySmallOnesDoNotStarve)
{
  const LoadComparison load(QueueingLoad::kLargeBehindSmall);
  load.CheckNoKindLosesATenth();
  // The last large job arrives 30 s before the last small one.
  CHECK(load.mCallerCost.mLongestByKind.at("large") < Milliseconds(30000));
}

// Load: counter jobs alone need more than the capacity. Guards against batch
// that is not served until they end; the cost to counter jobs is bounded.
TEST(CallerCostPolicyTest, LowPriorityBehindALastingOneDoesNotStarve)
{
  const LoadComparison load(QueueingLoad::kTwoPriorities);
  load.CheckNoKindLosesATenth();
  CHECK(load.mCallerCost.mUnfinishedByKind.at("batch") <
        load.mLeastWork.mUnfinishedByKind.at("batch"));
  // The last batch job arrives 55 s before the last counter job.
  CHECK(load.mCallerCost.mUnfinishedByKind.at("batch") * 10 <=
        load.mCallerCost.mByKind.at("batch").Total());
}

// Load: jobs that can never be of use. Guards against serving them first.
TEST(CallerCostPolicyTest, HopelessJobsDoNotDelayJobsOfUse)
{
  const LoadComparison load(QueueingLoad::kHopelessJobs);
  load.CheckNoKindLosesATenth();
  CHECK(load.mCallerCost.mByKind.at("batch").Worth() >
        load.mLeastWork.mByKind.at("batch").Worth());
  CHECK_EQUAL(0, load.mCallerCost.mUnfinishedByKind.at("hopeless"));
}

// Loads: bursts, a failure domain lost, one account's flood. Guards against an
// order that is worse than least work where nothing is past use for long.
TEST(CallerCostPolicyTest, NoKindLosesATenthUnderTheOtherLoads)
{
  for (const QueueingLoad load : { QueueingLoad::kBatchBurst,
                                   QueueingLoad::kCounterBurst,
                                   QueueingLoad::kDomainGone,
                                   QueueingLoad::kAccountFlood,
                                   QueueingLoad::kFloodWithoutAccounts }) {
    UT_PRINT(kQueueingLoadNames.Name(load).data());
    LoadComparison(load).CheckNoKindLosesATenth();
  }
}

} // namespace mulberryvalve
