#include "mulberryvalve/core/requests/random_fake.h"
#include "mulberryvalve/core/requests/upstream_health.h"
#include "mulberryvalve/core/requests/upstream_policy.h"

#include <memory>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Microseconds kElapsed{ 1000 };

MonotonicTime At(int64_t aMilliseconds)
{
  return MonotonicTime(Milliseconds(aMilliseconds));
}

} // namespace

TEST_GROUP(UpstreamHealth)
{
  UpstreamHealth mHealth;

  void Repeat(AttemptResult aResult, int aTimes, int64_t aAt)
  {
    for (int i = 0; i < aTimes; i++) {
      mHealth.OnResult(aResult, kElapsed, At(aAt));
    }
  }
};

TEST(UpstreamHealth, FastFailuresEjectAndOneProbeRestores)
{
  Repeat(AttemptResult::kSuccess, 50, 0);
  Repeat(AttemptResult::kError, 6, 1);
  CHECK(mHealth.IsEjected(0, At(2)));
  CHECK_FALSE(mHealth.IsEjected(0, At(1001)));
  CHECK(mHealth.IsEjected(1, At(1001)));
  Repeat(AttemptResult::kError, 1, 1002);
  CHECK(mHealth.IsEjected(0, At(3001)));
  CHECK_FALSE(mHealth.IsEjected(0, At(3002)));
  Repeat(AttemptResult::kSuccess, 1, 3003);
  CHECK_FALSE(mHealth.IsEjected(5, At(3003)));
}

TEST(UpstreamHealth, TwoConsecutiveLossesEject)
{
  Repeat(AttemptResult::kLost, 1, 0);
  CHECK_FALSE(mHealth.IsEjected(0, At(0)));
  Repeat(AttemptResult::kLost, 1, 0);
  CHECK(mHealth.IsEjected(0, At(0)));
}

TEST(UpstreamHealth, RefusalsPauseAndDrainingExpires)
{
  Repeat(AttemptResult::kRefused, 100, 0);
  CHECK_FALSE(mHealth.IsEjected(0, At(0)));
  CHECK_FALSE(mHealth.AcceptsAttempts(At(4)));
  CHECK(mHealth.AcceptsAttempts(At(5)));
  mHealth.OnDraining(At(10));
  CHECK_FALSE(mHealth.AcceptsAttempts(At(5009)));
  CHECK(mHealth.AcceptsAttempts(At(5010)));
}

TEST_GROUP(UpstreamPolicy)
{
  RandomFake mRandom{ 5 };

  static std::vector<UpstreamView> Views()
  {
    std::vector<UpstreamView> views(4);
    for (UpstreamView& view : views) {
      view.mSlots = 8;
    }
    return views;
  }
};

TEST(UpstreamPolicy, NoPolicyChoosesAnUnavailableUpstream)
{
  std::vector<std::unique_ptr<UpstreamPolicy>> policies;
  policies.push_back(std::make_unique<RandomPolicy>());
  policies.push_back(std::make_unique<RoundRobinPolicy>());
  policies.push_back(std::make_unique<LeastInFlightPolicy>());
  policies.push_back(std::make_unique<AdaptiveTwoChoicesPolicy>());
  policies.push_back(std::make_unique<LowestCostPolicy>());
  for (const auto& policy : policies) {
    auto views = Views();
    for (size_t changed : { 1, 3, 0, 2 }) {
      views[changed].mAvailable = false;
      for (int i = 0; i < 50; i++) {
        const auto chosen = policy->Choose(views, At(0), mRandom);
        CHECK(changed == 2 ? !chosen : views[*chosen].mAvailable);
      }
    }
  }
}

TEST(UpstreamPolicy, LowestCostWeighsLatencyUseAndErrors)
{
  struct Row
  {
    UpstreamView mView;
    bool mChosen;
  };
  UpstreamView slow;
  slow.mLatency = Microseconds(4000);
  UpstreamView busy;
  busy.mRemoteInFlight = 3;
  UpstreamView failing;
  failing.mLatency = Microseconds(500);
  failing.mErrorRate = 0.5;
  UpstreamView fast;
  fast.mLatency = Microseconds(500);
  const Row rows[] = {
    { slow, false }, { busy, false }, { failing, false }, { fast, true }
  };
  for (const Row& row : rows) {
    std::vector<UpstreamView> views(2);
    views[0].mLatency = Microseconds(1000);
    views[1] = row.mView;
    CHECK((LowestCostPolicy().Choose(views, At(0), mRandom) == 1U) ==
          row.mChosen);
  }
}

TEST(UpstreamPolicy, TwoChoicesWidensUnderLoad)
{
  AdaptiveTwoChoicesPolicy policy;
  auto views = Views();
  for (int i = 0; i < 20; i++) {
    UNSIGNED_LONGS_EQUAL(0, *policy.Choose(views, At(0), mRandom));
  }
  views[0].mRemoteInFlight = 6;
  bool choseAnother = false;
  for (int i = 0; i < 50; i++) {
    choseAnother = choseAnother || *policy.Choose(views, At(0), mRandom) != 0;
  }
  CHECK(choseAnother);
}

} // namespace mulberryvalve
