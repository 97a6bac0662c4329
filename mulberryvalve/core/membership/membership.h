// Membership: failure detection, preferred shard owners and the load that peers
// put on each worker, all derived from the status messages of peers.
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

// MemberState is the failure detector's verdict on an instance.
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

// Member is one instance as described by its newest status message.
struct Member
{
  WriterId mId;
  DomainId mDomain;
  Endpoint mCallerEndpoint;
  bool mReady = false;
  bool mStopping = false;
  MemberState mState = MemberState::kAlive;
};

// Membership holds the newest status message of each peer and the deadlines
// computed from its arrival time. It reads no clock: each query takes the
// current time. Not synchronised.
//
//   Membership members(options, clock.Now());
//   members.SetSelf(true, false);
//   members.OnPeerStatus(digest, clock.Now());
//   auto owner = members.PreferredOwner(shard, domain, clock.Now());
class Membership
{
public:
  // Membership starts without any known peer. aStart is the start time of this
  // process. Until dead-after has passed since then, every peer that has not
  // sent a status message counts as alive.
  Membership(MembershipOptions aOptions, MonotonicTime aStart);

  // SetSelf sets whether this instance is ready and whether it is stopping.
  // Both are initially false.
  void SetSelf(bool aReady, bool aStopping);

  // OnPeerStatus applies a status message received at aNow. It returns false
  // and changes nothing when the message is this instance's own, is from an
  // older incarnation, or is not newer than the last one of that incarnation.
  bool OnPeerStatus(const PeerStatus& aStatus, MonotonicTime aNow);

  // Live returns this instance and the peers whose newest message is not older
  // than dead-after, sorted by instance id.
  std::vector<Member> Live(MonotonicTime aNow) const;

  // IsAlive returns whether that incarnation may still be running. An
  // incarnation replaced by a newer one is dead. One that never sent a message
  // counts as alive until dead-after has passed since this process started.
  bool IsAlive(const WriterId& aWriter, MonotonicTime aNow) const;

  // LastHeard returns the arrival time of aInstance's newest status message,
  // or nullopt when there is none.
  std::optional<MonotonicTime> LastHeard(const InstanceId& aInstance) const;

  // AllPeersAlive returns whether at least as many peers are alive as are
  // configured.
  bool AllPeersAlive(MonotonicTime aNow) const;

  // PreferredOwner picks the owner of aShard by rendezvous hashing among the
  // live members of aDomain that are ready and not stopping, including this
  // instance. When aDomain sent no message within foreign-takeover-after, the
  // members of all domains are candidates. Returns nullopt when there is no
  // candidate. It also does so until dead-after has passed since this process
  // started, unless all configured peers are alive, because some peers may not
  // have been discovered yet.
  std::optional<WriterId> PreferredOwner(const ShardId& aShard,
                                         const DomainId& aDomain,
                                         MonotonicTime aNow) const;

  // LoadOf returns the number of requests that peers have in flight at aWorker.
  // A peer's share expires suspect-after the arrival of its status message.
  uint64_t LoadOf(const WorkerId& aWorker, MonotonicTime aNow) const;

private:
  struct Peer
  {
    Member mMember;
    uint64_t mSequence = 0;
    MonotonicTime mLastHeard;
    MonotonicTime mSuspectAt;
    MonotonicTime mDeadAt;
    MonotonicTime mExpiresAt;
    std::unordered_map<WorkerId, uint64_t> mLoad;
  };

  bool IsForeignTakeoverDue(const DomainId& aDomain, MonotonicTime aNow) const;
  void RemoveExpired(MonotonicTime aNow);

  const MembershipOptions mOptions;
  const MonotonicTime mUndiscoveredDeadAt;
  const MonotonicTime mUndiscoveredTakeoverAt;
  Member mSelf;
  std::map<InstanceId, Peer> mPeers;
  std::map<DomainId, MonotonicTime> mTakeoverAt;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_MEMBERSHIP_MEMBERSHIP_H_
