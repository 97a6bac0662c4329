// OutboundPeers: connections to the configured peers, on which this instance
// sends its status.
#ifndef MULBERRYVALVE_ADAPTERS_WS_PEER_OUTBOUND_PEERS_H_
#define MULBERRYVALVE_ADAPTERS_WS_PEER_OUTBOUND_PEERS_H_

#include "mulberryvalve/adapters/ws_peer/ws_peer_port.h"

#include <functional>
#include <string>

namespace asio {
class io_context;
}

namespace mulberryvalve {

// OutboundPeers keeps one connection to each peer, pings it, and replaces it
// after a backoff when it is lost or stops answering pings. Except for
// CheckPeerAddresses and the counters, methods must be called on the I/O thread
// or before it starts.
class OutboundPeers
{
public:
  // OutboundPeers calls aOnClosed after a connection has ended. All references
  // must outlive it.
  OutboundPeers(const WsPeerOptions& aOptions,
                EventLog& aLog,
                const Clock& aClock,
                RandomSource& aRandom,
                asio::io_context& aIo,
                std::function<void()> aOnClosed);
  ~OutboundPeers();

  // CheckPeerAddresses fails with kInvalidInput when a peer's address is not
  // an IP address with a nonzero port. Thread-safe.
  Result<void> CheckPeerAddresses() const;

  // Begin starts connecting. CheckPeerAddresses must have succeeded.
  void Begin();

  // Send queues aFrame on every open connection, except those with more than
  // mMaxBufferedBytes unsent.
  void Send(const std::string& aFrame);

  // PingAndReplaceConnections replaces the connections past their deadline and
  // pings the others.
  void PingAndReplaceConnections();

  // BeginStop stops connecting and starts the closing handshakes.
  void BeginStop();

  // Empty returns whether no connection is left.
  bool Empty() const;

  // BytesSent returns the total size of all frames queued. Thread-safe.
  uint64_t BytesSent() const;

  // DroppedFrames counts frames not queued because a connection had too many
  // unsent bytes. Thread-safe.
  uint64_t DroppedFrames() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_PEER_OUTBOUND_PEERS_H_
