// Tests of owners that are confirmed by the group but can't do their work.
#include "mulberryvalve/adapters/system/seeded_random.h"
#include "mulberryvalve/app/jobs/faulty_log_fake.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"
#include "mulberryvalve/app/jobs/shard_groups_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint16_t kStuck = 1;
constexpr uint16_t kOther = 2;
constexpr Milliseconds kStallTimeout{ 300 };
// Number of failed calls to the group. Takes longer than any timeout after
// which an owner could give up.
constexpr size_t kOutageCalls = 60;

// The default delays divided by ten.
ShardBalancerDelays ShortDelays()
{
  const ShardBalancerDelays defaults;
  return ShardBalancerDelays{
    defaults.mDelayPerOwnedShard / 10, defaults.mLowCapacityDelay / 10,
    defaults.mMinOwnerAge / 10,        defaults.mHandOverTimeout / 10,
    defaults.mInitialBackoff / 10,     defaults.mKeepTimeout / 10
  };
}

// One member's connection to a group. All calls but Leave fail during an
// outage. Thread-safe.
class OutageGroup : public ShardGroup
{
public:
  OutageGroup(FakeShardGroups& aGroup, uint16_t aPort)
    : mMember(aGroup, aPort)
  {
  }

  void Begin()
  {
    MutexLock lock(mMutex);
    mIsOut = true;
  }

  // Ends the outage once aCalls calls have failed.
  void EndAfter(size_t aCalls)
  {
    MutexLock lock(mMutex);
    while (mFailed < aCalls) {
      mCond.Wait(mMutex);
    }
    mIsOut = false;
  }

  Result<GroupAssignment> Join(ShardNumber aShard, Generation aKnown) override
  {
    if (IsOut()) {
      return Fail(FailureKind::kLogUnavailable);
    }
    return mMember.Join(aShard, aKnown);
  }
  Result<GroupView> View(ShardNumber aShard) override
  {
    if (IsOut()) {
      return Fail(FailureKind::kLogUnavailable);
    }
    return mMember.View(aShard);
  }
  Result<void> Leave(ShardNumber aShard) override
  {
    return mMember.Leave(aShard);
  }

private:
  bool IsOut()
  {
    MutexLock lock(mMutex);
    mFailed += mIsOut ? 1 : 0;
    mCond.NotifyAll();
    return mIsOut;
  }

  FakeShardGroupsMember mMember;
  Mutex mMutex;
  CondVar mCond;
  bool mIsOut MV_GUARDED_BY(mMutex) = false;
  size_t mFailed MV_GUARDED_BY(mMutex) = 0;
};

// Two instances of one group. The one at kStuck uses a log whose calls can
// fail.
class InstancePair
{
public:
  InstancePair()
    : mFaulty(mLog)
  {
  }

  // Starts an instance.
  JobsInstance& Add(uint16_t aPort)
  {
    KeyedLog& log = aPort == kStuck ? static_cast<KeyedLog&>(mFaulty) : mLog;
    ShardMembershipOptions options = JobsInstance::OptionsAt(aPort, 1);
    options.mBalancerDelays = ShortDelays();
    options.mOwner.mStallTimeout = kStallTimeout;
    auto connection = std::make_unique<OutageGroup>(mGroup, aPort);
    mConnection = connection.get();
    auto instance =
      std::make_unique<JobsInstance>(log,
                                     mWorkers,
                                     std::move(connection),
                                     options,
                                     std::make_unique<SeededRandom>(aPort));
    instance->Start();
    mInstances.push_back(std::move(instance));
    return *mInstances.back();
  }

  // Waits until the instance at aPort holds the shard. Returns false on
  // timeout.
  bool AwaitOwner(uint16_t aPort)
  {
    const RealClock clock;
    const MonotonicTime until = clock.Now() + kTestTimeout;
    while (clock.Now() < until) {
      const auto owners = mGroup.Owners();
      if (!owners.empty() && owners.begin()->second == aPort) {
        return true;
      }
      mGroup.AwaitJoins(1);
    }
    return false;
  }

  FaultyLog& Faulty() { return mFaulty; }
  FakeShardGroups& Group() { return mGroup; }
  // Returns the group connection of the instance that was added last.
  OutageGroup& Connection() { return *mConnection; }

private:
  MemoryLog mLog;
  FaultyLog mFaulty;
  InstantWorker mWorkers;
  OutageGroup* mConnection = nullptr;
  FakeShardGroups mGroup{ AssignmentOrder::kOldestFirst };
  std::vector<std::unique_ptr<JobsInstance>> mInstances;
};

} // namespace

TEST_GROUP(StuckOwnerTest){};

// Guards against a claim that is retried forever because the log already holds
// another sequence number of its epoch.
TEST(StuckOwnerTest, AClaimThatFindsItsOwnEpochOnTheLogTakesAHigherOne)
{
  MemoryLog log;
  InstantWorker workers;
  const JobLogJson codec;
  const Epoch first(64);
  for (uint64_t sequence = 1; sequence <= 10; sequence++) {
    const AppendFence proof{ TopicPartition{ KeyedTopic::kProgress, 0 },
                             first,
                             sequence };
    CHECK(log
            .AppendFenced(proof,
                          { codec.Encode(OwnershipRecord{ first, "other" }) })
            .has_value());
  }
  JobsInstance instance(log, workers, 1);
  instance.Start();
  instance.Complete("a");
}

// Guards against an owner that retries a load, claim or append with a permanent
// failure forever while no other instance can own the shard.
TEST(StuckOwnerTest, AnOwnerWithPermanentFailuresHandsTheShardOver)
{
  for (const LogCall call : { LogCall::kNewest, LogCall::kAppendFenced }) {
    for (const FailureKind kind :
         { FailureKind::kMalformed, FailureKind::kTooLarge }) {
      InstancePair pair;
      pair.Faulty().FailCalls(call, kind);
      pair.Add(kStuck);
      CHECK(pair.AwaitOwner(kStuck));
      JobsInstance& other = pair.Add(kOther);
      other.Complete("a");
    }
  }
}

// Guards against an owner whose log calls fail for a reason that may pass,
// while it stays a member of the group.
TEST(StuckOwnerTest, AnOwnerWithoutProgressHandsTheShardOver)
{
  for (const LogCall call : { LogCall::kNewest, LogCall::kAppendFenced }) {
    InstancePair pair;
    pair.Faulty().FailCalls(call, FailureKind::kLogUnavailable);
    pair.Add(kStuck);
    CHECK(pair.AwaitOwner(kStuck));
    JobsInstance& other = pair.Add(kOther);
    other.Complete("a");
  }
}

// Guards against an owner that can no longer append after it has loaded the
// shard, while the log accepts appends of others.
TEST(StuckOwnerTest, AnOwnerThatCanNotAppendHandsTheShardOver)
{
  InstancePair pair;
  JobsInstance& stuck = pair.Add(kStuck);
  stuck.Complete("a");
  JobsInstance& other = pair.Add(kOther);
  pair.Faulty().FailCalls(LogCall::kAppendFenced, FailureKind::kLogUnavailable);
  bool completed = false;
  CHECK(other.Jobs()
          .Submit(SmallJob("b"), other.TimeAfter(kTestTimeout))
          .has_value());
  const MonotonicTime until = other.TimeAfter(kTestTimeout);
  while (!completed && other.TimeAfter(Milliseconds(0)) < until) {
    // The log still accepts what callers submit.
    CHECK(other.Jobs()
            .Submit(SmallJob("c"), other.TimeAfter(kTestTimeout))
            .has_value());
    const auto phase =
      other.Jobs().Phase(JobId("b"), other.TimeAfter(Milliseconds(300)));
    completed = phase && phase.value() == JobPhase::kCompleted;
  }
  CHECK(completed);
}

// Guards against giving up a shard during an outage of the store, in which its
// owner keeps the running tasks.
TEST(StuckOwnerTest, AnOwnerKeepsTheShardInAnOutage)
{
  InstancePair pair;
  JobsInstance& instance = pair.Add(kStuck);
  instance.Complete("a");
  const size_t changes = pair.Group().Changes();
  pair.Connection().Begin();
  pair.Faulty().FailCalls(LogCall::kAppendFenced, FailureKind::kLogUnavailable);
  CHECK(instance.Jobs()
          .Submit(SmallJob("b"), instance.TimeAfter(kTestTimeout))
          .has_value());
  pair.Connection().EndAfter(kOutageCalls);
  pair.Faulty().ClearFailures();
  CHECK(instance.Await("b", JobPhase::kCompleted));
  CHECK_EQUAL(changes, pair.Group().Changes());
}

} // namespace mulberryvalve
