// PeerPort: the status messages that instances exchange. They are advisory,
// except for the bundle in force and the domain states: these are ordered by
// log offset, and receivers adopt newer ones.
#ifndef MULBERRYVALVE_PORTS_OUT_PEER_PORT_H_
#define MULBERRYVALVE_PORTS_OUT_PEER_PORT_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/worker.h"
#include "mulberryvalve/core/records/record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

// PeerDomainState is the state of a failure domain after the change at mOffset.
struct PeerDomainState
{
  DomainId mDomain;
  DomainState mState = DomainState::kIn;
  Offset mOffset;
};

// PeerBundleState is the bundle in force: its version, the offset of its
// sign-off, and its document if a peer is known to lack it.
struct PeerBundleState
{
  BundleVersion mVersion;
  Offset mOffset;
  std::string mDigest;
  std::string mDocument;
};

// WorkerLoad is the number of requests that the sender has in flight at a
// worker.
struct WorkerLoad
{
  WorkerId mWorker;
  uint32_t mInFlight = 0;
};

// PeerStatus is the status that an instance broadcasts to its peers a few times
// a second. Its size is bounded by the receiver's limits.
struct PeerStatus
{
  WriterId mSender;
  DomainId mDomain;
  Endpoint mCallerEndpoint;
  uint64_t mSequence = 0;
  bool mReady = false;
  bool mStopping = false;
  Offset mConfigHead;
  uint32_t mConfigConfirmedAgeMs = 0;
  PeerBundleState mBundle;
  std::vector<PeerDomainState> mDomains;
  std::vector<ShardId> mOwned;
  std::vector<WorkerLoad> mLoad;
};

// PeerListener receives the status of peers. Implementations are thread-safe
// and do not block.
class PeerListener
{
public:
  virtual ~PeerListener() = default;

  // OnPeerStatus is called for each well-formed status of a peer.
  virtual void OnPeerStatus(const PeerStatus& aStatus) = 0;
};

// PeerPort sends to the peers named in the settings. Implementations are
// thread-safe, reconnect automatically and never block on a slow peer.
class PeerPort
{
public:
  virtual ~PeerPort() = default;

  // Broadcast sends aStatus to every connected peer.
  virtual void Broadcast(const PeerStatus& aStatus) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_PEER_PORT_H_
