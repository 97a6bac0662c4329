// Tests of shard assignment with several instances and one group per shard.
#include "mulberryvalve/adapters/system/seeded_random.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"
#include "mulberryvalve/app/jobs/shard_groups_fake.h"

#include "CppUTest/TestHarness.h"

#include <set>

namespace mulberryvalve {
namespace {

constexpr ShardNumber kShards = 4;
constexpr uint16_t kInstances = 6;
// The processor of an instance that should own a shard only if no larger one is
// there.
constexpr MilliCores kLowCapacity = kWholeCore / 8;
// Number of joins of all members without a change after which assignments count
// as stable. Takes longer than any delay or backoff of ShardBalancerDelays.
constexpr size_t kJoinsWithoutChange = 150;
// A member that joins and leaves again, and how many joins of the owner it
// stays for.
constexpr uint16_t kTemporaryMember = 9;
constexpr size_t kJoinsBeside = 3;
// More joins than the owner needs to claim the shard.
constexpr size_t kJoinsForClaim = 10;

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

// Several instances that share one log and one FakeShardGroups.
class FakeCluster
{
public:
  explicit FakeCluster(AssignmentOrder aOrder,
                       ShardNumber aShards = kShards,
                       ShardBalancerDelays aDelays = ShortDelays())
    : mShards(aShards)
    , mDelays(aDelays)
    , mGroup(aOrder)
  {
  }

  // Starts an instance at aPort.
  void Add(uint16_t aPort, MilliCores aProcessor = kWholeCore)
  {
    mGroup.SetProcessor(aPort, aProcessor);
    ShardMembershipOptions options = JobsInstance::OptionsAt(aPort, mShards);
    options.mBalancerDelays = mDelays;
    options.mSelf.mProcessor = aProcessor;
    auto instance = std::make_unique<JobsInstance>(
      mLog,
      mWorkers,
      std::make_unique<FakeShardGroupsMember>(mGroup, aPort),
      options,
      std::make_unique<SeededRandom>(aPort));
    instance->Start();
    mInstances[aPort] = std::move(instance);
  }

  // Disconnects an instance from the groups and destroys it.
  void Kill(uint16_t aPort)
  {
    mGroup.Disconnect(aPort);
    mInstances.erase(aPort);
  }

  // Waits until aCount instances own all shards and no group changes any more.
  // Returns false on timeout.
  bool AwaitOwners(size_t aCount)
  {
    const RealClock clock;
    const MonotonicTime until = clock.Now() + kTestTimeout;
    while (clock.Now() < until) {
      const size_t changes = mGroup.Changes();
      mGroup.AwaitJoins(kJoinsWithoutChange);
      if (mGroup.Changes() == changes && Owners().size() == aCount) {
        return true;
      }
    }
    return false;
  }

  // Returns the owners of the shards, or an empty set unless all shards are
  // owned.
  std::set<uint16_t> Owners() const
  {
    std::set<uint16_t> owners;
    const std::map<ShardNumber, uint16_t> rows = mGroup.Owners();
    for (const auto& [shard, owner] : rows) {
      owners.insert(owner);
    }
    return rows.size() == mShards ? owners : std::set<uint16_t>();
  }

  // Waits until shard 0 has been claimed by aCount owners, one after the other.
  // Returns false on timeout.
  bool AwaitClaims(size_t aCount)
  {
    const RealClock clock;
    const MonotonicTime until = clock.Now() + kTestTimeout;
    while (Claims() < aCount && clock.Now() < until) {
      mGroup.AwaitJoins(1);
    }
    return Claims() >= aCount;
  }

  size_t Claims() const
  {
    return mLog.CountEpochs(TopicPartition{ KeyedTopic::kProgress, 0 });
  }

  // Lets another member join the group of shard 0, and leave it after some
  // joins of its owner at aOwner. Then waits until the group is calm.
  void JoinAndLeaveBeside(uint16_t aOwner)
  {
    CHECK(mGroup.Join(kTemporaryMember, 0).has_value());
    CHECK(mGroup.AwaitJoinsOf(aOwner, kJoinsBeside, kTestTimeout));
    CHECK(mGroup.Leave(kTemporaryMember, 0).has_value());
    CHECK(mGroup.AwaitJoinsOf(aOwner, kJoinsForClaim, kTestTimeout));
  }

  FakeShardGroups& Group() { return mGroup; }

private:
  const ShardNumber mShards;
  const ShardBalancerDelays mDelays;
  MemoryLog mLog;
  InstantWorker mWorkers;
  FakeShardGroups mGroup;
  std::map<uint16_t, std::unique_ptr<JobsInstance>> mInstances;
};

} // namespace

TEST_GROUP(ShardMembershipManagerTest){};

// Guards against assignments that never become stable: with several shards,
// each join or leave of a member moved all shards.
TEST(ShardMembershipManagerTest, EachShardGetsItsOwnInstanceAndStaysThere)
{
  for (const AssignmentOrder order :
       { AssignmentOrder::kNewestFirst, AssignmentOrder::kOldestFirst }) {
    FakeCluster cluster(order);
    for (uint16_t port = 1; port <= kInstances; port++) {
      cluster.Add(port);
    }
    CHECK(cluster.AwaitOwners(kShards));
    const std::map<ShardNumber, uint16_t> before = cluster.Group().Owners();
    const size_t changes = cluster.Group().Changes();
    cluster.Group().AwaitJoins(kJoinsWithoutChange);
    CHECK(before == cluster.Group().Owners());
    CHECK_EQUAL(changes, cluster.Group().Changes());
  }
}

// Guards against moving the other shards when one owner dies.
TEST(ShardMembershipManagerTest, TheDeathOfAnOwnerMovesOnlyItsShard)
{
  FakeCluster cluster(AssignmentOrder::kOldestFirst);
  for (uint16_t port = 1; port <= kInstances; port++) {
    cluster.Add(port);
  }
  CHECK(cluster.AwaitOwners(kShards));
  const std::map<ShardNumber, uint16_t> before = cluster.Group().Owners();
  cluster.Kill(before.at(2));
  CHECK(cluster.AwaitOwners(kShards));
  for (const auto& [shard, owner] : cluster.Group().Owners()) {
    CHECK_EQUAL(shard != 2, before.at(shard) == owner);
  }
}

// Guards against an owner that keeps several shards forever because it started
// before all other instances.
TEST(ShardMembershipManagerTest, AnInstanceWithoutAShardReplacesAnOwnerOfTwo)
{
  for (const AssignmentOrder order :
       { AssignmentOrder::kNewestFirst, AssignmentOrder::kOldestFirst }) {
    FakeCluster cluster(order);
    cluster.Add(1);
    CHECK(cluster.AwaitOwners(1));
    for (uint16_t port = 2; port <= kInstances; port++) {
      cluster.Add(port);
    }
    CHECK(cluster.AwaitOwners(kShards));
  }
}

// Guards against an owner that leaves its group, and so has other instances
// join, because a member that came and went made the group reassign the shard.
TEST(ShardMembershipManagerTest, AnOwnerStaysAfterAnotherMemberJoinedAndLeft)
{
  FakeCluster cluster(AssignmentOrder::kOldestAfterOneEmptyJoin);
  cluster.Add(1);
  CHECK(cluster.AwaitOwners(1));
  const size_t changes = cluster.Group().Changes();
  CHECK(cluster.Group().Join(kTemporaryMember, 0).has_value());
  CHECK(cluster.Group().Leave(kTemporaryMember, 0).has_value());
  CHECK(cluster.AwaitOwners(1));
  CHECK_EQUAL(changes + 2, cluster.Group().Changes());
}

// Guards against a second ownership because a member that soon leaves moved the
// shard: its owner ended, and started anew under another epoch.
TEST(ShardMembershipManagerTest, AnOwnerKeepsItsEpochWhileAMemberComesAndGoes)
{
  for (const AssignmentOrder order :
       { AssignmentOrder::kNewestFirst,
         AssignmentOrder::kOldestFirst,
         AssignmentOrder::kOldestAfterOneEmptyJoin }) {
    FakeCluster cluster(order, 1, ShardBalancerDelays());
    cluster.Add(1);
    CHECK(cluster.AwaitClaims(1));
    const size_t changes = cluster.Group().Changes();
    cluster.JoinAndLeaveBeside(1);
    CHECK_EQUAL(1U, cluster.Claims());
    CHECK_EQUAL(changes + 2, cluster.Group().Changes());
    CHECK_EQUAL(1U, cluster.Group().Owners().at(0));
  }
}

// Guards against two ownerships after one loss: two members join at once, and
// the one that is given the shard loses it before it has claimed it.
TEST(ShardMembershipManagerTest, OneClaimFollowsALossAfterWhichTwoMembersJoin)
{
  constexpr uint16_t kNext = 2;
  FakeCluster cluster(AssignmentOrder::kNewestFirst, 1, ShardBalancerDelays());
  cluster.Add(1);
  CHECK(cluster.AwaitClaims(1));
  cluster.Add(kNext);
  cluster.Kill(1);
  CHECK(cluster.Group().AwaitJoinsOf(kNext, 1, kTestTimeout));
  cluster.JoinAndLeaveBeside(kNext);
  CHECK(cluster.AwaitClaims(2));
  CHECK_EQUAL(2U, cluster.Claims());
  CHECK_EQUAL(kNext, cluster.Group().Owners().at(0));
}

// Guards against an owner that keeps its shard from a better one.
TEST(ShardMembershipManagerTest, AWeakOwnerGivesWayWithoutKeepingTheShard)
{
  constexpr uint16_t kLarge = 2;
  for (const AssignmentOrder order :
       { AssignmentOrder::kNewestFirst, AssignmentOrder::kOldestFirst }) {
    ShardBalancerDelays delays = ShortDelays();
    delays.mKeepTimeout = kTestTimeout;
    FakeCluster cluster(order, 1, delays);
    cluster.Add(1, kLowCapacity);
    CHECK(cluster.AwaitClaims(1));
    cluster.Add(kLarge);
    CHECK(cluster.AwaitClaims(2));
    CHECK_EQUAL(kLarge, cluster.Group().Owners().at(0));
  }
}

// Guards against a member that the group never gives the shard to, because its
// owner keeps it.
TEST(ShardMembershipManagerTest, AnOwnerGivesWayToAMemberThatStays)
{
  FakeCluster cluster(AssignmentOrder::kNewestFirst, 1);
  cluster.Add(1);
  CHECK(cluster.AwaitClaims(1));
  CHECK(cluster.Group().Join(kTemporaryMember, 0).has_value());
  const RealClock clock;
  const MonotonicTime until = clock.Now() + kTestTimeout;
  while (cluster.Group().Owners().at(0) == 1 && clock.Now() < until) {
    cluster.Group().AwaitJoins(1);
  }
  CHECK_EQUAL(kTemporaryMember, cluster.Group().Owners().at(0));
}

// Guards against an owner with too little capacity while a larger instance is
// available: if both kinds start together, the small ones must own nothing.
TEST(ShardMembershipManagerTest, SmallInstancesLeaveTheShardsToLargerOnes)
{
  FakeCluster cluster(AssignmentOrder::kNewestFirst);
  for (uint16_t port = 1; port <= kInstances; port++) {
    cluster.Add(port + kInstances, kLowCapacity);
    cluster.Add(port);
  }
  CHECK(cluster.AwaitOwners(kShards));
  CHECK(*cluster.Owners().rbegin() <= kInstances);
  for (uint16_t port = 1; port <= kInstances; port++) {
    CHECK_EQUAL(0U, cluster.Group().Joins(port + kInstances));
  }
}

// Guards against shards without an owner if only small instances are left, and
// against small instances that stay owners after larger ones have started.
TEST(ShardMembershipManagerTest, SmallInstancesOwnShardsUntilLargerOnesStart)
{
  for (const AssignmentOrder order :
       { AssignmentOrder::kNewestFirst, AssignmentOrder::kOldestFirst }) {
    FakeCluster cluster(order);
    for (uint16_t port = 1; port <= kInstances; port++) {
      cluster.Add(port + kInstances, kLowCapacity);
    }
    CHECK(cluster.AwaitOwners(kShards));
    for (uint16_t port = 1; port <= kInstances; port++) {
      cluster.Add(port);
    }
    CHECK(cluster.AwaitOwners(kShards));
    CHECK(*cluster.Owners().rbegin() <= kInstances);
  }
}

} // namespace mulberryvalve
