#include "mulberryvalve/core/membership/membership.h"

#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kSuspectAfter{ 100 };
constexpr Milliseconds kDeadAfter{ 300 };
constexpr Milliseconds kForeignTakeover{ 1000 };
const DomainId kNorth("north");
const DomainId kSouth("south");

MonotonicTime At(int aMs)
{
  return MonotonicTime(Milliseconds(aMs));
}

WriterId MakeWriter(const std::string& aName, uint64_t aIncarnation = 1)
{
  return WriterId{ InstanceId(aName), Incarnation(aIncarnation) };
}

PeerStatus MakeStatus(const std::string& aName,
                      uint64_t aSequence,
                      const DomainId& aDomain = kNorth,
                      uint64_t aIncarnation = 1)
{
  PeerStatus status;
  status.mSender = MakeWriter(aName, aIncarnation);
  status.mDomain = aDomain;
  status.mSequence = aSequence;
  status.mReady = true;
  return status;
}

Membership MakeMembership()
{
  MembershipOptions options;
  options.mSelf = MakeWriter("a");
  options.mDomain = kNorth;
  options.mConfiguredPeers = 2;
  options.mSuspectAfter = kSuspectAfter;
  options.mDeadAfter = kDeadAfter;
  options.mForeignTakeoverAfter = kForeignTakeover;
  Membership members(options, At(0));
  members.SetSelf(true, false);
  return members;
}

std::map<std::string, std::string> Owners(const Membership& aMembers,
                                          const DomainId& aDomain,
                                          MonotonicTime aNow)
{
  std::map<std::string, std::string> owners;
  for (int i = 0; i < 300; i++) {
    const ShardId shard(aDomain.Text() + "/" + std::to_string(i));
    const auto owner = aMembers.PreferredOwner(shard, aDomain, aNow);
    owners[shard.Text()] = owner ? owner->mInstance.Text() : "";
  }
  return owners;
}

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, IgnoresStaleIncarnationsAndSequences)
{
  Membership members = MakeMembership();
  CHECK(members.OnPeerStatus(MakeStatus("b", 5, kNorth, 2), At(0)));
  CHECK_FALSE(members.OnPeerStatus(MakeStatus("b", 5, kNorth, 2), At(1)));
  CHECK_FALSE(members.OnPeerStatus(MakeStatus("b", 4, kNorth, 2), At(1)));
  CHECK_FALSE(members.OnPeerStatus(MakeStatus("b", 9, kNorth, 1), At(1)));
  CHECK_FALSE(members.OnPeerStatus(MakeStatus("a", 9, kNorth, 9), At(1)));
  CHECK(members.LastHeard(InstanceId("b")) == At(0));
  CHECK(members.OnPeerStatus(MakeStatus("b", 1, kNorth, 3), At(2)));
  CHECK_FALSE(members.IsAlive(MakeWriter("b", 2), At(2)));
  CHECK(members.IsAlive(MakeWriter("b", 3), At(2)));
}

TEST(Membership, BecomesSuspectThenDeadAtStoredDeadlines)
{
  Membership members = MakeMembership();
  members.OnPeerStatus(MakeStatus("b", 1), At(1000));
  CHECK(members.Live(At(1099)).at(1).mState == MemberState::kAlive);
  CHECK(members.Live(At(1100)).at(1).mState == MemberState::kSuspect);
  CHECK(members.IsAlive(MakeWriter("b"), At(1299)));
  CHECK_FALSE(members.IsAlive(MakeWriter("b"), At(1300)));
  CHECK_EQUAL(1u, members.Live(At(1300)).size());
}

TEST(Membership, TreatsUndiscoveredPeersAsAliveUntilDeadAfter)
{
  Membership members = MakeMembership();
  CHECK(members.IsAlive(MakeWriter("never-heard", 7), At(299)));
  CHECK_FALSE(members.IsAlive(MakeWriter("never-heard", 7), At(300)));
  CHECK_FALSE(members.IsAlive(MakeWriter("a", 0), At(0)));
}

TEST(Membership, CountsConfiguredPeers)
{
  Membership members = MakeMembership();
  members.OnPeerStatus(MakeStatus("b", 1), At(0));
  CHECK_FALSE(members.AllPeersAlive(At(0)));
  members.OnPeerStatus(MakeStatus("c", 1, kSouth), At(0));
  CHECK(members.AllPeersAlive(At(0)));
  CHECK_FALSE(members.AllPeersAlive(At(300)));
}

TEST(Membership, HasNoPreferredOwnerWhilePeersMayBeUndiscovered)
{
  Membership members = MakeMembership();
  CHECK_FALSE(members.PreferredOwner(ShardId("s"), kNorth, At(299)));
  CHECK(members.PreferredOwner(ShardId("s"), kNorth, At(300)) ==
        MakeWriter("a"));
  members.OnPeerStatus(MakeStatus("b", 1), At(10));
  members.OnPeerStatus(MakeStatus("c", 1), At(10));
  CHECK(members.PreferredOwner(ShardId("s"), kNorth, At(11)).has_value());
}

TEST(Membership, RebalancingMovesOnlyShardsOfTheChangedMember)
{
  Membership members = MakeMembership();
  members.OnPeerStatus(MakeStatus("b", 1), At(1000));
  members.OnPeerStatus(MakeStatus("c", 1), At(1000));
  const auto before = Owners(members, kNorth, At(1000));
  members.OnPeerStatus(MakeStatus("d", 1), At(1000));
  const auto after = Owners(members, kNorth, At(1000));
  int moved = 0;
  for (const auto& [shard, owner] : before) {
    if (after.at(shard) != owner) {
      CHECK_EQUAL(std::string("d"), after.at(shard));
      moved++;
    }
  }
  CHECK(moved > 45 && moved < 110);
  PeerStatus stopping = MakeStatus("d", 2);
  stopping.mStopping = true;
  members.OnPeerStatus(stopping, At(1001));
  CHECK(before == Owners(members, kNorth, At(1001)));
}

TEST(Membership, PrefersOwnersOfTheDomainUntilForeignTakeover)
{
  Membership members = MakeMembership();
  CHECK_FALSE(members.PreferredOwner(ShardId("s"), kSouth, At(999)));
  CHECK(members.PreferredOwner(ShardId("s"), kSouth, At(1000)) ==
        MakeWriter("a"));
  members.OnPeerStatus(MakeStatus("z", 1, kSouth), At(1000));
  CHECK(members.PreferredOwner(ShardId("s"), kSouth, At(1001)) ==
        MakeWriter("z"));
  CHECK_FALSE(members.PreferredOwner(ShardId("s"), kSouth, At(1999)));
  CHECK(members.PreferredOwner(ShardId("s"), kSouth, At(2000)) ==
        MakeWriter("a"));
  members.SetSelf(false, false);
  CHECK_FALSE(members.PreferredOwner(ShardId("s"), kNorth, At(5000)));
}

TEST(Membership, SumsPeerLoadUntilItExpires)
{
  Membership members = MakeMembership();
  PeerStatus first = MakeStatus("b", 1);
  first.mLoad = { { WorkerId("w"), 3 } };
  PeerStatus second = MakeStatus("c", 1);
  second.mLoad = { { WorkerId("w"), 4 } };
  members.OnPeerStatus(first, At(0));
  members.OnPeerStatus(second, At(50));
  CHECK_EQUAL(7u, members.LoadOf(WorkerId("w"), At(99)));
  CHECK_EQUAL(4u, members.LoadOf(WorkerId("w"), At(100)));
  CHECK_EQUAL(0u, members.LoadOf(WorkerId("w"), At(150)));
  CHECK_EQUAL(0u, members.LoadOf(WorkerId("other"), At(0)));
}

} // namespace mulberryvalve
