#include "mulberryvalve/core/colocation/colocation_controller.h"

#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

MonotonicTime At(int aMs)
{
  return MonotonicTime(Milliseconds(1000000 + aMs));
}

WorkerId MakeWorkerId(int aNumber)
{
  return WorkerId("w" + std::to_string(aNumber));
}

// MakeUsage of a worker with one task, of class 0, and a request p99 of aTail
// times the target, reported at aTaken.
WorkerUsage MakeUsage(int64_t aTaken, double aTail, int aThrottle, int aNow)
{
  WorkerUsage usage;
  usage.mReceivedAt = At(aNow);
  usage.mChangedAt = At(aNow);
  usage.mClock = WorkerTime{ aNow };
  usage.mTakenAt = WorkerTime{ aTaken };
  usage.mTailRatio = aTail;
  usage.mSmoothedTailRatio = aTail;
  ObservedTask task;
  task.mTask = TaskId("t");
  task.mAttempt = Attempt(1);
  task.mCores = 4;
  task.mThrottlePercent = aThrottle;
  usage.mRunning.push_back(task);
  return usage;
}

} // namespace

TEST_GROUP(QuarantineCases){};

TEST(QuarantineCases, ComparesWorkersWithTheirPeers)
{
  struct Case
  {
    const char* mName;
    bool mOthersSucceed;
    int mFailures;
    bool mQuarantined;
  };
  const Case kCases[] = {
    { "fails what others finish", true, 3, true },
    { "too few failures", true, 2, false },
    { "the class fails everywhere", false, 10, false },
  };
  for (const Case& testCase : kCases) {
    Quarantine quarantine({});
    for (int other = 1; other < 10; other++) {
      for (int repeat = 0; repeat < 4; repeat++) {
        quarantine.OnOutcome(
          MakeWorkerId(other), 0, testCase.mOthersSucceed, At(0));
      }
    }
    for (int failure = 0; failure < testCase.mFailures; failure++) {
      quarantine.OnOutcome(MakeWorkerId(0), 0, false, At(0));
    }
    CHECK_EQUAL_TEXT(testCase.mQuarantined,
                     quarantine.IsExcluded(MakeWorkerId(0), At(1)),
                     testCase.mName);
    LONGS_EQUAL_TEXT(
      testCase.mQuarantined ? 1 : 0, quarantine.Size(), testCase.mName);
  }
}

TEST(QuarantineCases, ProbesWithOneTaskAndReturnsAfterSuccess)
{
  Quarantine quarantine({});
  quarantine.OnOutcome(MakeWorkerId(1), 0, true, At(0));
  for (int failure = 0; failure < 3; failure++) {
    quarantine.OnOutcome(MakeWorkerId(0), 0, false, At(0));
  }
  CHECK_TRUE(quarantine.IsExcluded(MakeWorkerId(0), At(4999)));
  CHECK_FALSE(quarantine.IsExcluded(MakeWorkerId(0), At(5000)));
  quarantine.OnPlaced(MakeWorkerId(0), At(5000));
  CHECK_TRUE(quarantine.IsExcluded(MakeWorkerId(0), At(5001)));
  quarantine.OnOutcome(MakeWorkerId(0), 0, false, At(6000));
  CHECK_TRUE(quarantine.IsExcluded(MakeWorkerId(0), At(15999)));
  CHECK_FALSE(quarantine.IsExcluded(MakeWorkerId(0), At(16000)));
  quarantine.OnOutcome(MakeWorkerId(0), 0, true, At(17000));
  CHECK_FALSE(quarantine.IsQuarantined(MakeWorkerId(0)));
}

TEST_GROUP(TailGuardCases)
{
  InterferenceModel mModel;
  TailGuardOptions mOptions;
  int mEvictions = 0;

  void setup() override
  {
    for (int repeat = 0; repeat < 200; repeat++) {
      mModel.ObserveRequests(0.1, 1.5, { { 0, 4.0 } });
      mModel.ObserveRequests(0.1, 0.3, {});
    }
  }

  std::string Decide(TailLatencyGuard & aGuard, const WorkerUsage& aUsage)
  {
    const auto action =
      aGuard.Decide(MakeWorkerId(0), aUsage, aUsage.mReceivedAt, 30, [&] {
        mEvictions++;
        return true;
      });
    return action ? std::string(kTailGuardActionKindNames.Name(action->mKind))
                  : "none";
  }
};

TEST(TailGuardCases, ActsOncePerReportAndIgnoresOlderReports)
{
  struct Step
  {
    int mTaken;
    double mTail;
    int mThrottle;
    int mNow;
    const char* mAction;
  };
  const Step kSteps[] = {
    { 100, 3, 100, 2100, "none" },      { 600, 3, 100, 2600, "none" },
    { 1100, 3, 100, 3100, "throttle" }, { 1100, 3, 30, 3200, "none" },
    { 3100, 3, 30, 5100, "none" },      { 5000, 3, 30, 7000, "none" },
    { 5200, 3, 30, 7200, "none" },      { 5700, 3, 30, 7700, "none" },
    { 6200, 3, 30, 8200, "evict" },     { 6200, 3, 30, 9000, "none" },
  };
  mOptions.mHighReportsToAct = 3;
  TailLatencyGuard guard(mOptions, mModel);
  for (const Step& step : kSteps) {
    CHECK_EQUAL_TEXT(
      std::string(step.mAction),
      Decide(guard,
             MakeUsage(step.mTaken, step.mTail, step.mThrottle, step.mNow)),
      std::to_string(step.mTaken).c_str());
  }
  LONGS_EQUAL(1, mEvictions);
}

TEST(TailGuardCases, DoesNothingBetweenTheThresholds)
{
  TailLatencyGuard guard(mOptions, mModel);
  for (int report = 1; report < 50; report++) {
    const double between =
      (mOptions.mHighTailRatio + mOptions.mLowTailRatio) / 2;
    const int now = report * 500;
    STRCMP_EQUAL(
      "none", Decide(guard, MakeUsage(now, between, 30, now + 2000)).c_str());
  }
}

TEST(TailGuardCases, NeverTargetsWatchers)
{
  TailLatencyGuard guard(mOptions, mModel);
  for (int report = 1; report < 50; report++) {
    WorkerUsage usage = MakeUsage(report * 500, 5, 100, report * 500 + 2000);
    usage.mRunning[0].mKind = TaskKind::kWatcher;
    STRCMP_EQUAL("none", Decide(guard, usage).c_str());
  }
}

TEST_GROUP(Learning){};

TEST(Learning, LearnsWhichClassInterferes)
{
  InterferenceModel model;
  const ClassIndex quiet = model.IndexOf(TaskClass("quiet"));
  const ClassIndex noisy = model.IndexOf(TaskClass("noisy"));
  for (int repeat = 0; repeat < 400; repeat++) {
    const double cores = 1 + repeat % 4;
    model.ObserveRequests(0.1, 0.4, { { quiet, cores } });
    model.ObserveRequests(
      0.1, 0.4 + 0.1 * cores, { { noisy, cores }, { quiet, 2.0 } });
  }
  CHECK(model.TailWeight(0.1, noisy) > 0.07);
  CHECK(model.TailWeight(0.1, quiet) < 0.02);
  CHECK(model.PredictTail(0.1, { { noisy, 4 } }) >
        model.PredictTail(0.1, { { quiet, 4 } }) + 0.2);
}

TEST(Learning, RateIsBoundedAfterAPause)
{
  RateLimit rate;
  int admitted = 0;
  for (int ms = 0; ms < 10000; ms += 10) {
    admitted += rate.TryAcquire(At(ms), 20) ? 1 : 0;
  }
  CHECK(admitted >= 200 && admitted <= 220);
  int burst = 0;
  while (rate.TryAcquire(At(60000), 20)) {
    burst++;
  }
  CHECK(burst >= 19 && burst <= 21);
}

} // namespace mulberryvalve
