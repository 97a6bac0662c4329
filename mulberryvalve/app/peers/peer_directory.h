// PeerDirectory: membership behind a lock, fed by digests; it also carries the
// bundle and domain states that peers know into the configuration.
#ifndef MULBERRYVALVE_APP_PEERS_PEER_DIRECTORY_H_
#define MULBERRYVALVE_APP_PEERS_PEER_DIRECTORY_H_

#include "mulberryvalve/app/peers/owner_election.h"
#include "mulberryvalve/app/streams/folded_stream.h"
#include "mulberryvalve/core/config/config_fold.h"
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
                FoldedStream<ConfigFold>& aConfig,
                const Clock& aClock);

  void OnPeerStatus(const PeerStatus& aDigest) override;

  // SetSelf says what the instance itself is.
  void SetSelf(bool aReady, bool aStopping);

  bool IsAlive(const WriterId& aWriter) const override;

  bool Prefers(const ShardId& aShard,
               const DomainId& aDomain,
               const WriterId& aSelf) const override;

  // Live returns the members that are alive.
  std::vector<Member> Live() const;

  // SomePeerLacks tells whether a peer heard of lately has a bundle in force
  // that is older than aVersion.
  bool SomePeerLacks(BundleVersion aVersion) const;

  // LoadOf returns the requests that peers have in flight at aWorker.
  uint64_t LoadOf(const WorkerId& aWorker) const;

private:
  FoldedStream<ConfigFold>& mConfig;
  const Clock& mClock;
  mutable Mutex mMutex;
  Membership mMembership MV_GUARDED_BY(mMutex);
  std::map<InstanceId, BundleVersion> mBundles MV_GUARDED_BY(mMutex);
};

// MakeDigest describes an instance to its peers from its configuration.
PeerStatus MakeDigest(const FoldedStream<ConfigFold>& aConfig,
                      const MembershipOptions& aSelf,
                      MonotonicTime aNow);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_PEERS_PEER_DIRECTORY_H_
