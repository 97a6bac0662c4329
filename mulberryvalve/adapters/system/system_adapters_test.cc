#include "mulberryvalve/adapters/system/seeded_random.h"
#include "mulberryvalve/adapters/system/steady_clock.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryvalve;

TEST_GROUP(SystemAdapters){};

TEST(SystemAdapters, NowNeverGoesBack)
{
  const SteadyClock clock;
  const auto first = clock.Now();
  CHECK(first <= clock.Now());
  CHECK(first > MonotonicTime());
}

TEST(SystemAdapters, WallNowIsAfterTheYear2020)
{
  CHECK(SteadyClock().WallNow().mMilliseconds > 1577836800000);
}

TEST(SystemAdapters, SameSeedGivesSameSequence)
{
  SeededRandom left(7);
  SeededRandom right(7);
  for (int i = 0; i < 100; i++) {
    CHECK(left.Below(1000000) == right.Below(1000000));
  }
}

TEST(SystemAdapters, SystemSeedsDiffer)
{
  SeededRandom left(0);
  SeededRandom right(0);
  CHECK(left.Below(UINT64_MAX) != right.Below(UINT64_MAX));
}

TEST(SystemAdapters, BelowReturnsEveryValueInRange)
{
  SeededRandom random(3);
  bool returned[3] = {};
  for (int i = 0; i < 200; i++) {
    const uint64_t number = random.Below(3);
    CHECK(number < 3);
    returned[number] = true;
  }
  CHECK(returned[0] && returned[1] && returned[2]);
  CHECK(random.Below(1) == 0);
}
