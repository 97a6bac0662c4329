// PeerDirectory: thread-safe membership, updated from the status messages of
// peers. It also merges their bundle and domain states into the configuration.
#ifndef MULBERRYVALVE_APP_PEERS_PEER_DIRECTORY_H_
#define MULBERRYVALVE_APP_PEERS_PEER_DIRECTORY_H_

#include "mulberryvalve/app/peers/owner_election.h"
#include "mulberryvalve/app/streams/stream_replica.h"
#include "mulberryvalve/core/config/config_state_machine.h"
#include "mulberryvalve/core/membership/membership.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/peer_port.h"

#include <map>
#include <vector>

namespace mulberryvalve {

// PeerDirectory is thread-safe.
class PeerDirectory
  : public PeerListener
  , public OwnerElection
{
public:
  // The references must outlive the directory.
  PeerDirectory(MembershipOptions aOptions,
                StreamReplica<ConfigStateMachine>& aConfig,
                const Clock& aClock);

  void OnPeerStatus(const PeerStatus& aStatus) override;

  // SetSelf sets this instance's own state.
  void SetSelf(bool aReady, bool aStopping);

  bool IsAlive(const WriterId& aWriter) const override;

  bool Prefers(const ShardId& aShard,
               const DomainId& aDomain,
               const WriterId& aSelf) const override;

  // Live returns the members that are alive, including this instance.
  std::vector<Member> Live() const;

  // HasPeerBehind returns whether a live peer's bundle in force is older than
  // aVersion.
  bool HasPeerBehind(BundleVersion aVersion) const;

  // LoadOf returns the number of requests that peers have in flight at aWorker.
  uint64_t LoadOf(const WorkerId& aWorker) const;

private:
  StreamReplica<ConfigStateMachine>& mConfig;
  const Clock& mClock;
  mutable Mutex mMutex;
  Membership mMembership MV_GUARDED_BY(mMutex);
  std::map<InstanceId, BundleVersion> mBundles MV_GUARDED_BY(mMutex);
};

// MakePeerStatus returns a status message with this instance's identity and
// configuration state.
PeerStatus MakePeerStatus(const StreamReplica<ConfigStateMachine>& aConfig,
                          const MembershipOptions& aSelf,
                          MonotonicTime aNow);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_PEERS_PEER_DIRECTORY_H_
