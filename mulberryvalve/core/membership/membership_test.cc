#include "mulberryvalve/core/membership/membership.h"

#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kSuspect{ 100 };
constexpr Milliseconds kDead{ 300 };
constexpr Milliseconds kForeign{ 1000 };
const DomainId kNorth("north");
const DomainId kSouth("south");

MonotonicTime At(int aMs)
{
  return MonotonicTime(Milliseconds(aMs));
}

WriterId Id(const std::string& aName, uint64_t aLife = 1)
{
  return WriterId{ InstanceId(aName), Incarnation(aLife) };
}

PeerStatus Digest(const std::string& aName,
                  uint64_t aSequence,
                  const DomainId& aDomain = kNorth,
                  uint64_t aLife = 1)
{
  PeerStatus digest;
  digest.mSender = Id(aName, aLife);
  digest.mDomain = aDomain;
  digest.mSequence = aSequence;
  digest.mReady = true;
  return digest;
}

Membership Make()
{
  MembershipOptions options;
  options.mSelf = Id("a");
  options.mDomain = kNorth;
  options.mConfiguredPeers = 2;
  options.mSuspectAfter = kSuspect;
  options.mDeadAfter = kDead;
  options.mForeignTakeoverAfter = kForeign;
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
    const auto owner = aMembers.Preferred(shard, aDomain, aNow);
    owners[shard.Text()] = owner ? owner->mInstance.Text() : "";
  }
  return owners;
}

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, IgnoresOlderIncarnationsAndSequences)
{
  Membership members = Make();
  CHECK(members.OnPeerStatus(Digest("b", 5, kNorth, 2), At(0)));
  CHECK_FALSE(members.OnPeerStatus(Digest("b", 5, kNorth, 2), At(1)));
  CHECK_FALSE(members.OnPeerStatus(Digest("b", 4, kNorth, 2), At(1)));
  CHECK_FALSE(members.OnPeerStatus(Digest("b", 9, kNorth, 1), At(1)));
  CHECK_FALSE(members.OnPeerStatus(Digest("a", 9, kNorth, 9), At(1)));
  CHECK(members.LastHeard(InstanceId("b")) == At(0));
  CHECK(members.OnPeerStatus(Digest("b", 1, kNorth, 3), At(2)));
  CHECK_FALSE(members.IsAlive(Id("b", 2), At(2)));
  CHECK(members.IsAlive(Id("b", 3), At(2)));
}

TEST(Membership, TurnsSuspectThenDeadAtStoredDeadlines)
{
  Membership members = Make();
  members.OnPeerStatus(Digest("b", 1), At(1000));
  CHECK(members.Live(At(1099)).at(1).mState == MemberState::kAlive);
  CHECK(members.Live(At(1100)).at(1).mState == MemberState::kSuspect);
  CHECK(members.IsAlive(Id("b"), At(1299)));
  CHECK_FALSE(members.IsAlive(Id("b"), At(1300)));
  CHECK_EQUAL(1u, members.Live(At(1300)).size());
}

TEST(Membership, BelievesNobodyDeadBeforeDeadAfterSinceItsStart)
{
  Membership members = Make();
  CHECK(members.IsAlive(Id("never-heard", 7), At(299)));
  CHECK_FALSE(members.IsAlive(Id("never-heard", 7), At(300)));
  CHECK_FALSE(members.IsAlive(Id("a", 0), At(0)));
}

TEST(Membership, CountsConfiguredPeers)
{
  Membership members = Make();
  members.OnPeerStatus(Digest("b", 1), At(0));
  CHECK_FALSE(members.AllPeersAlive(At(0)));
  members.OnPeerStatus(Digest("c", 1, kSouth), At(0));
  CHECK(members.AllPeersAlive(At(0)));
  CHECK_FALSE(members.AllPeersAlive(At(300)));
}

TEST(Membership, PrefersNobodyWhilePeersMayBeUnheard)
{
  Membership members = Make();
  CHECK_FALSE(members.Preferred(ShardId("s"), kNorth, At(299)));
  CHECK(members.Preferred(ShardId("s"), kNorth, At(300)) == Id("a"));
  members.OnPeerStatus(Digest("b", 1), At(10));
  members.OnPeerStatus(Digest("c", 1), At(10));
  CHECK(members.Preferred(ShardId("s"), kNorth, At(11)).has_value());
}

TEST(Membership, RebalanceMovesOnlyTheShardsOfTheMemberThatChanged)
{
  Membership members = Make();
  members.OnPeerStatus(Digest("b", 1), At(1000));
  members.OnPeerStatus(Digest("c", 1), At(1000));
  const auto before = Owners(members, kNorth, At(1000));
  members.OnPeerStatus(Digest("d", 1), At(1000));
  const auto after = Owners(members, kNorth, At(1000));
  int moved = 0;
  for (const auto& [shard, owner] : before) {
    if (after.at(shard) != owner) {
      CHECK_EQUAL(std::string("d"), after.at(shard));
      moved++;
    }
  }
  CHECK(moved > 45 && moved < 110);
  PeerStatus stopping = Digest("d", 2);
  stopping.mStopping = true;
  members.OnPeerStatus(stopping, At(1001));
  CHECK(before == Owners(members, kNorth, At(1001)));
}

TEST(Membership, PrefersMembersOfTheDomainUntilTakeover)
{
  Membership members = Make();
  CHECK_FALSE(members.Preferred(ShardId("s"), kSouth, At(999)));
  CHECK(members.Preferred(ShardId("s"), kSouth, At(1000)) == Id("a"));
  members.OnPeerStatus(Digest("z", 1, kSouth), At(1000));
  CHECK(members.Preferred(ShardId("s"), kSouth, At(1001)) == Id("z"));
  CHECK_FALSE(members.Preferred(ShardId("s"), kSouth, At(1999)));
  CHECK(members.Preferred(ShardId("s"), kSouth, At(2000)) == Id("a"));
  members.SetSelf(false, false);
  CHECK_FALSE(members.Preferred(ShardId("s"), kNorth, At(5000)));
}

TEST(Membership, SumsLoadAndLetsItExpire)
{
  Membership members = Make();
  PeerStatus first = Digest("b", 1);
  first.mLoad = { { WorkerId("w"), 3 } };
  PeerStatus second = Digest("c", 1);
  second.mLoad = { { WorkerId("w"), 4 } };
  members.OnPeerStatus(first, At(0));
  members.OnPeerStatus(second, At(50));
  CHECK_EQUAL(7u, members.LoadOf(WorkerId("w"), At(99)));
  CHECK_EQUAL(4u, members.LoadOf(WorkerId("w"), At(100)));
  CHECK_EQUAL(0u, members.LoadOf(WorkerId("w"), At(150)));
  CHECK_EQUAL(0u, members.LoadOf(WorkerId("other"), At(0)));
}

} // namespace mulberryvalve
