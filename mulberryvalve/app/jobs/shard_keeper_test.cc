// Who owns which shard, with several instances and a group a shard.
#include "mulberryvalve/adapters/system/seeded_random.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"

#include "CppUTest/TestHarness.h"

#include <set>

namespace mulberryvalve {
namespace {

constexpr ShardNumber kShards = 4;
constexpr uint16_t kInstances = 6;
// The processor of an instance that is to own a shard only when no other does.
constexpr MilliCores kLowCapacity = kWholeCore / 8;
// Joins of all members in a row without a change: longer than each time in
// which an instance holds back.
constexpr size_t kJoinsWithoutChange = 150;

// ShortDelays are those of ShardBalancerDelays, a tenth as long.
ShardBalancerDelays ShortDelays()
{
  const ShardBalancerDelays whole;
  return ShardBalancerDelays{ whole.mDelayPerOwnedShard / 10,
                              whole.mLowCapacityDelay / 10,
                              whole.mMinOwnerAge / 10,
                              whole.mHandOverTimeout / 10,
                              whole.mInitialBackoff / 10 };
}

// FakeCluster is instances on one log and one FakeShardGroups.
class FakeCluster
{
public:
  explicit FakeCluster(AssignmentOrder aOrder)
    : mGroup(aOrder)
  {
  }

  // Add starts an instance at aPort.
  void Add(uint16_t aPort, MilliCores aProcessor = kWholeCore)
  {
    mGroup.SetProcessor(aPort, aProcessor);
    ShardKeeperOptions options = JobsInstance::OptionsAt(aPort, kShards);
    options.mBalancerDelays = ShortDelays();
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

  // Kill ends an instance without a word to the group's other members.
  void Kill(uint16_t aPort)
  {
    mGroup.Disconnect(aPort);
    mInstances.erase(aPort);
  }

  // AwaitOwners waits until aCount instances own the shards, and nothing
  // changes any more; false when time is up.
  bool AwaitOwners(size_t aCount)
  {
    const RealClock clock;
    const MonotonicTime until = clock.Now() + kPatience;
    while (clock.Now() < until) {
      const size_t changes = mGroup.Changes();
      mGroup.AwaitJoins(kJoinsWithoutChange);
      if (mGroup.Changes() == changes && Owners().size() == aCount) {
        return true;
      }
    }
    return false;
  }

  // Owners returns who owns a shard, if all are owned.
  std::set<uint16_t> Owners() const
  {
    std::set<uint16_t> owners;
    const std::map<ShardNumber, uint16_t> rows = mGroup.Owners();
    for (const auto& [shard, owner] : rows) {
      owners.insert(owner);
    }
    return rows.size() == kShards ? owners : std::set<uint16_t>();
  }

  FakeShardGroups& Group() { return mGroup; }

private:
  MemoryLog mLog;
  InstantWorker mWorkers;
  FakeShardGroups mGroup;
  std::map<uint16_t, std::unique_ptr<JobsInstance>> mInstances;
};

} // namespace

TEST_GROUP(ShardMembershipManagerTest){};

// Guards against a group that never settles: with several shards, members that
// joined and left moved all shards again and again.
TEST(ShardMembershipManagerTest, EachShardGetsAnInstanceOfItsOwnAndStays)
{
  for (const AssignmentOrder order :
       { AssignmentOrder::kNewestFirst, AssignmentOrder::kOldestFirst }) {
    FakeCluster fleet(order);
    for (uint16_t port = 1; port <= kInstances; port++) {
      fleet.Add(port);
    }
    CHECK(fleet.AwaitOwners(kShards));
    const std::map<ShardNumber, uint16_t> before = fleet.Group().Owners();
    const size_t changes = fleet.Group().Changes();
    fleet.Group().AwaitJoins(kJoinsWithoutChange);
    CHECK(before == fleet.Group().Owners());
    CHECK_EQUAL(changes, fleet.Group().Changes());
  }
}

// Guards against the move of other shards when one of the owners dies.
TEST(ShardMembershipManagerTest, OneOwnersDeathMovesItsShardOnly)
{
  FakeCluster fleet(AssignmentOrder::kOldestFirst);
  for (uint16_t port = 1; port <= kInstances; port++) {
    fleet.Add(port);
  }
  CHECK(fleet.AwaitOwners(kShards));
  const std::map<ShardNumber, uint16_t> before = fleet.Group().Owners();
  fleet.Kill(before.at(2));
  CHECK(fleet.AwaitOwners(kShards));
  for (const auto& [shard, owner] : fleet.Group().Owners()) {
    CHECK_EQUAL(shard != 2, before.at(shard) == owner);
  }
}

// Guards against an owner that keeps several shards for good because it started
// before all others.
TEST(ShardMembershipManagerTest, AnInstanceWithoutAShardRelievesAnOwnerOfTwo)
{
  for (const AssignmentOrder order :
       { AssignmentOrder::kNewestFirst, AssignmentOrder::kOldestFirst }) {
    FakeCluster fleet(order);
    fleet.Add(1);
    CHECK(fleet.AwaitOwners(1));
    for (uint16_t port = 2; port <= kInstances; port++) {
      fleet.Add(port);
    }
    CHECK(fleet.AwaitOwners(kShards));
  }
}

// Guards against an owner that leaves, and has others bid for its shard,
// because a member that came and went made the group deal the shard anew.
TEST(ShardMembershipManagerTest, AnOwnerStaysWhenAnotherMemberHasComeAndGone)
{
  FakeCluster fleet(AssignmentOrder::kOldestAfterOneEmptyJoin);
  fleet.Add(1);
  CHECK(fleet.AwaitOwners(1));
  const size_t changes = fleet.Group().Changes();
  constexpr uint16_t kVisitor = 9;
  CHECK(fleet.Group().Join(kVisitor, 0).has_value());
  CHECK(fleet.Group().Leave(kVisitor, 0).has_value());
  CHECK(fleet.AwaitOwners(1));
  CHECK_EQUAL(changes + 2, fleet.Group().Changes());
}

// Guards against an owner that can't carry its shard while an instance that can
// is there: of two kinds that start together the weak ones own nothing.
TEST(ShardMembershipManagerTest, WeakInstancesLeaveTheShardsToCapableOnes)
{
  FakeCluster fleet(AssignmentOrder::kNewestFirst);
  for (uint16_t port = 1; port <= kInstances; port++) {
    fleet.Add(port + kInstances, kLowCapacity);
    fleet.Add(port);
  }
  CHECK(fleet.AwaitOwners(kShards));
  CHECK(*fleet.Owners().rbegin() <= kInstances);
  for (uint16_t port = 1; port <= kInstances; port++) {
    CHECK_EQUAL(0U, fleet.Group().Joins(port + kInstances));
  }
}

// Guards against shards without an owner where only weak instances are left,
// and against those staying owners once a capable one has come.
TEST(ShardMembershipManagerTest, WeakInstancesOwnUntilCapableOnesCome)
{
  for (const AssignmentOrder order :
       { AssignmentOrder::kNewestFirst, AssignmentOrder::kOldestFirst }) {
    FakeCluster fleet(order);
    for (uint16_t port = 1; port <= kInstances; port++) {
      fleet.Add(port + kInstances, kLowCapacity);
    }
    CHECK(fleet.AwaitOwners(kShards));
    for (uint16_t port = 1; port <= kInstances; port++) {
      fleet.Add(port);
    }
    CHECK(fleet.AwaitOwners(kShards));
    CHECK(*fleet.Owners().rbegin() <= kInstances);
  }
}

} // namespace mulberryvalve
