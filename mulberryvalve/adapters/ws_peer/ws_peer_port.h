// WsPeerPort implements PeerPort over WebSocket connections. Statuses are sent
// on connections that this instance opened and received on those that peers
// opened, so each direction fails and recovers independently.
#ifndef MULBERRYVALVE_ADAPTERS_WS_PEER_WS_PEER_PORT_H_
#define MULBERRYVALVE_ADAPTERS_WS_PEER_WS_PEER_PORT_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/worker.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/peer_port.h"
#include "mulberryvalve/ports/out/random_source.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace mulberryvalve {

// WsPeerOptions are the settings of WsPeerPort. All intervals must be positive,
// and mSilentAfter must be a multiple of mPingInterval that leaves room for a
// round trip. Port 0 in mListen lets the system choose. A peer that equals
// mListen is left out, so that all instances can share one list.
struct WsPeerOptions
{
  Endpoint mListen;
  std::vector<Endpoint> mPeers;
  Milliseconds mConnectTimeout{ 2000 };
  Milliseconds mPingInterval{ 500 };
  Milliseconds mSilentAfter{ 2000 };
  Milliseconds mBackoffMin{ 50 };
  Milliseconds mBackoffMax{ 2000 };
  size_t mMaxBufferedBytes = size_t{ 1024 } * 1024;
  size_t mMaxInbound = 64;
};

// WsPeerPort sends this instance's status to the configured peers and passes
// received statuses to a listener. One internal thread runs all sockets and
// timers. Lost and silent connections are replaced after a jittered exponential
// backoff.
//
//   WsPeerPort port(options, listener, log, clock, random);
//   if (Result<void> started = port.Start(); !started) { ... }
//   port.Broadcast(status);
class WsPeerPort : public PeerPort
{
public:
  // The constructor opens no sockets. All references must outlive the port.
  WsPeerPort(WsPeerOptions aOptions,
             PeerListener& aListener,
             EventLog& aLog,
             const Clock& aClock,
             RandomSource& aRandom);

  // The destructor calls Stop.
  ~WsPeerPort() override;

  WsPeerPort(const WsPeerPort&) = delete;
  WsPeerPort& operator=(const WsPeerPort&) = delete;

  // Start binds, begins to connect to the peers and returns at once. It fails
  // with kConflict when the endpoint is in use or the port was started before,
  // and with kInvalidInput when an address cannot be used; mField is "listen"
  // or "peers". Thread-safe.
  Result<void> Start();

  // Stop closes all connections, waits a bounded time for the peers to answer
  // and joins the thread. The listener is not called after it returns. It must
  // not be called by the listener. A stopped port cannot be started again.
  // Thread-safe; a repeated call has no effect.
  void Stop();

  // Broadcast encodes aStatus once and queues it for every open connection to a
  // peer; it never blocks on a socket. A status not yet queued on the
  // connections is replaced by the next one, and a peer with more than
  // mMaxBufferedBytes unsent does not get it. Thread-safe.
  void Broadcast(const PeerStatus& aStatus) override;

  // ListenPort returns the bound port, or 0 before Start. Thread-safe.
  uint16_t ListenPort() const;

  // BytesSent returns the bytes of all frames queued to peers. Thread-safe.
  uint64_t BytesSent() const;

  // BytesReceived returns the bytes of all frames of peers. Thread-safe.
  uint64_t BytesReceived() const;

  // StatusesDropped counts statuses not sent to a peer because more than
  // mMaxBufferedBytes were unsent. Thread-safe.
  uint64_t StatusesDropped() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_PEER_WS_PEER_PORT_H_
