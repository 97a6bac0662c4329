// Membership: which instances are alive, who is preferred as a shard's owner,
// and how much of each worker the other instances use, all from digests.
#ifndef MULBERRYVALVE_CORE_MEMBERSHIP_MEMBERSHIP_H_
#define MULBERRYVALVE_CORE_MEMBERSHIP_MEMBERSHIP_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/worker.h"
#include "mulberryvalve/core/records/record.h"
#include "mulberryvalve/ports/out/peer_port.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// MemberState tells how recently an instance was heard.
enum class MemberState
{
  kAlive,
  kSuspect,
  kDead,
};

inline constexpr EnumTable<MemberState, 3> kMemberStateNames{ { {
  { MemberState::kAlive, "alive" },
  { MemberState::kSuspect, "suspect" },
  { MemberState::kDead, "dead" },
} } };

// MembershipOptions are the settings of Membership. All intervals must be
// positive and mSuspectAfter <= mDeadAfter <= mForeignTakeoverAfter.
struct MembershipOptions
{
  WriterId mSelf;
  DomainId mDomain;
  Endpoint mCallerEndpoint;
  size_t mConfiguredPeers = 0;
  Milliseconds mSuspectAfter{ 1500 };
  Milliseconds mDeadAfter{ 4000 };
  Milliseconds mForeignTakeoverAfter{ 30000 };
};

// Member is one instance as its newest digest describes it.
struct Member
{
  WriterId mId;
  DomainId mDomain;
  Endpoint mCallerEndpoint;
  bool mReady = false;
  bool mStopping = false;
  MemberState mState = MemberState::kAlive;
};

// Membership holds the newest digest of each peer with the deadlines that
// follow from its arrival. It reads no clock: every question takes the present
// time. Not synchronised.
//
//   Membership members(options, clock.Now());
//   members.SetSelf(true, false);
//   members.OnPeerStatus(digest, clock.Now());
//   auto owner = members.Preferred(shard, domain, clock.Now());
class Membership
{
public:
  // Membership starts with no peer heard. aStart is the time at which this
  // process started; until dead-after has passed since then, every peer that
  // was not heard counts as alive.
  Membership(MembershipOptions aOptions, MonotonicTime aStart);

  // SetSelf says whether this instance is ready and whether it is stopping.
  // Both are false at first.
  void SetSelf(bool aReady, bool aStopping);

  // OnPeerStatus takes in a digest that arrived at aNow. It returns false and
  // changes nothing when the digest is this instance's own, of an older
  // incarnation, or not newer than the last one of the same incarnation.
  bool OnPeerStatus(const PeerStatus& aDigest, MonotonicTime aNow);

  // Live returns this instance and the peers heard within dead-after, by
  // instance id.
  std::vector<Member> Live(MonotonicTime aNow) const;

  // IsAlive tells whether that incarnation may still be running. A life that a
  // newer incarnation replaced is over; one that was never heard counts as
  // alive until dead-after has passed since the start of this process.
  bool IsAlive(const WriterId& aWriter, MonotonicTime aNow) const;

  // LastHeard returns when the newest digest of aInstance arrived, or nothing
  // when none did.
  std::optional<MonotonicTime> LastHeard(const InstanceId& aInstance) const;

  // AllPeersAlive tells whether as many peers are alive as are configured.
  bool AllPeersAlive(MonotonicTime aNow) const;

  // Preferred returns the rendezvous-hash winner for aShard among the live,
  // ready and not stopping members of aDomain, this instance included. When no
  // member of aDomain was heard within foreign-takeover-after, it chooses among
  // those of all domains. Nothing is returned when there is no candidate, nor
  // while peers may be unheard: before dead-after since the start of this
  // process, unless as many peers are alive as are configured.
  std::optional<WriterId> Preferred(const ShardId& aShard,
                                    const DomainId& aDomain,
                                    MonotonicTime aNow) const;

  // LoadOf returns the requests that peers have in flight at aWorker. A peer's
  // share expires suspect-after the arrival of its digest.
  uint64_t LoadOf(const WorkerId& aWorker, MonotonicTime aNow) const;

private:
  struct Peer
  {
    Member mMember;
    uint64_t mSequence = 0;
    MonotonicTime mLastHeard;
    MonotonicTime mSuspectAt;
    MonotonicTime mDeadAt;
    MonotonicTime mForgetAt;
    std::unordered_map<WorkerId, uint64_t> mLoad;
  };

  bool ForeignTakeover(const DomainId& aDomain, MonotonicTime aNow) const;
  void ForgetExpired(MonotonicTime aNow);

  const MembershipOptions mOptions;
  const MonotonicTime mUnheardDeadAt;
  const MonotonicTime mUnheardTakeoverAt;
  Member mSelf;
  std::map<InstanceId, Peer> mPeers;
  std::map<DomainId, MonotonicTime> mTakeoverAt;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_MEMBERSHIP_MEMBERSHIP_H_
