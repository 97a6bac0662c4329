#include "mulberryvalve/app/jobs/shard_count_resolver.h"

#include "mulberryvalve/app/jobs/jobs_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr MilliCores kLarge = 500;
constexpr MilliCores kSmall = 69;
constexpr TopicPartition kPlace{ KeyedTopic::kShardCount, 0 };

class SteppedClock : public Clock
{
public:
  MonotonicTime Now() const override { return mNow; }
  WallTime WallNow() const override { return WallTime{ 1 }; }
  MonotonicTime mNow{ std::chrono::seconds(1) };
};

class CountedWorkers : public WorkerFeed
{
public:
  Result<std::vector<WorkerInfo>> Next() override
  {
    return std::vector<WorkerInfo>(mCount);
  }
  size_t mCount = 0;
};

// One instance that starts together with the others.
class StartingInstance
{
public:
  StartingInstance(KeyedLog& aLog, const Clock& aClock, MilliCores aProcessor)
    : mResolver(aProcessor,
                ShardCountPorts{ aLog, mWorkers, mLayout, aClock, mEvents })
  {
    mLayout.Put(ClusterLayout{ kLarge });
  }

  CountedWorkers mWorkers;
  LayoutView mLayout;
  SilentEvents mEvents;
  ShardCountResolver mResolver;
};

} // namespace

TEST_GROUP(ShardCountResolver)
{
  MemoryLog mLog;
  SteppedClock mClock;

  // Attempts at the interval for aTime, and returns the last result.
  std::optional<uint32_t> AttemptFor(StartingInstance & aInstance,
                                     Milliseconds aTime)
  {
    const MonotonicTime until = mClock.mNow + aTime;
    std::optional<uint32_t> count;
    while (!count && mClock.mNow < until) {
      mClock.mNow += ShardCountResolver::kInterval;
      count = aInstance.mResolver.Attempt();
    }
    return count;
  }
};

TEST(ShardCountResolver, OwnersAreAsManyAsTheirProcessorsNeed)
{
  struct Row
  {
    size_t mWorkers;
    MilliCores mLargest;
    uint32_t mShards;
  };
  const Row rows[] = {
    { 0, 500, 1 },    { 48, 100, 1 },     { 66, 250, 1 },   { 490, 500, 1 },
    { 700, 500, 1 },  { 701, 500, 2 },    { 1100, 500, 2 }, { 1100, 1000, 1 },
    { 1100, 250, 4 }, { 23000, 500, 16 }, { 10, 1, 10 },
  };
  for (const Row& row : rows) {
    CHECK_EQUAL(row.mShards, ShardCountFor(row.mWorkers, row.mLargest));
  }
}

// Guards against a number that is fixed while the workers of a large cluster
// are still publishing themselves.
TEST(ShardCountResolver, TheNumberIsRecordedOnceTheWorkersAreThere)
{
  StartingInstance instance(mLog, mClock, kLarge);
  instance.mWorkers.mCount = 30;
  CHECK_FALSE(AttemptFor(instance, Milliseconds(2400)).has_value());
  instance.mWorkers.mCount = 800;
  CHECK_FALSE(AttemptFor(instance, Milliseconds(400)).has_value());
  instance.mWorkers.mCount = 1100;
  CHECK_FALSE(AttemptFor(instance, Milliseconds(200)).has_value());
  CHECK_EQUAL(2U, AttemptFor(instance, Milliseconds(1000)).value());
}

// Instances that see different numbers of workers must not deal by different
// numbers of shards: one would not find the jobs of the other.
TEST(ShardCountResolver, AllInstancesGetTheFirstNumber)
{
  StartingInstance first(mLog, mClock, kLarge);
  StartingInstance second(mLog, mClock, kLarge);
  first.mWorkers.mCount = 1100;
  second.mWorkers.mCount = 300;
  CHECK_EQUAL(2U, AttemptFor(first, Milliseconds(5000)).value());
  CHECK_EQUAL(2U, AttemptFor(second, Milliseconds(5000)).value());
}

// The second instance looked before the first one wrote, and writes after it.
TEST(ShardCountResolver, ALaterProposalChangesNothing)
{
  StartingInstance instance(mLog, mClock, kLarge);
  instance.mWorkers.mCount = 1100;
  CHECK_EQUAL(2U, AttemptFor(instance, Milliseconds(5000)).value());
  const AppendFence sameFence{ kPlace, Epoch(1), 1 };
  CHECK(
    mLog.AppendFenced(sameFence, { KeyedEntry{ "shards", "7" } }).has_value());
  CHECK_EQUAL(2U, AttemptFor(instance, Milliseconds(200)).value());
}

TEST(ShardCountResolver, ALostAnswerIsSettledByReading)
{
  StartingInstance instance(mLog, mClock, kLarge);
  instance.mWorkers.mCount = 1100;
  CHECK_FALSE(AttemptFor(instance, Milliseconds(2400)).has_value());
  mLog.FailNext({ AppendFault::kAnswerLost });
  CHECK_EQUAL(2U, AttemptFor(instance, Milliseconds(1000)).value());
  CHECK_EQUAL(1U, mLog.CountAppends(KeyedTopic::kShardCount));
}

TEST(ShardCountResolver, ASmallInstanceWaitsForALargeOne)
{
  StartingInstance small(mLog, mClock, kSmall);
  StartingInstance large(mLog, mClock, kLarge);
  small.mWorkers.mCount = 1100;
  large.mWorkers.mCount = 1100;
  CHECK_FALSE(AttemptFor(small, Milliseconds(9000)).has_value());
  CHECK(AttemptFor(large, Milliseconds(1000)).has_value());
  CHECK_EQUAL(2U, AttemptFor(small, Milliseconds(200)).value());
}

TEST(ShardCountResolver, AClusterWithoutWorkersStartsInTheEnd)
{
  StartingInstance instance(mLog, mClock, kLarge);
  CHECK_FALSE(AttemptFor(instance, Milliseconds(7800)).has_value());
  CHECK_EQUAL(1U, AttemptFor(instance, Milliseconds(400)).value());
}

TEST(ShardCountResolver, ARestartedInstanceTakesTheRecordedNumber)
{
  {
    StartingInstance first(mLog, mClock, kLarge);
    first.mWorkers.mCount = 1100;
    CHECK(AttemptFor(first, Milliseconds(5000)).has_value());
  }
  StartingInstance restarted(mLog, mClock, kLarge);
  restarted.mWorkers.mCount = 10;
  CHECK_EQUAL(2U, AttemptFor(restarted, Milliseconds(200)).value());
}

} // namespace mulberryvalve
