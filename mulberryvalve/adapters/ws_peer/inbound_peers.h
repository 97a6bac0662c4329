// InboundPeers: connections opened by peers, on which their statuses arrive.
#ifndef MULBERRYVALVE_ADAPTERS_WS_PEER_INBOUND_PEERS_H_
#define MULBERRYVALVE_ADAPTERS_WS_PEER_INBOUND_PEERS_H_

#include "mulberryvalve/adapters/ws_peer/ws_peer_port.h"

#include <functional>

namespace asio {
class io_context;
}

namespace mulberryvalve {

// InboundPeers accepts connections, decodes their frames and closes those that
// send an invalid frame or nothing until their deadline. Except for Bind and
// BytesReceived, methods must be called on the I/O thread or before it starts.
class InboundPeers
{
public:
  // InboundPeers calls aOnClosed after a connection has ended. All references
  // must outlive it.
  InboundPeers(const WsPeerOptions& aOptions,
               PeerListener& aListener,
               EventLog& aLog,
               const Clock& aClock,
               asio::io_context& aIo,
               std::function<void()> aOnClosed);
  ~InboundPeers();

  // Bind listens on the endpoint of the options and returns the port. It fails
  // with kConflict when the endpoint is in use and with kInvalidInput when it
  // cannot be used. Call it before the io thread starts.
  Result<uint16_t> Bind();

  // Begin starts accepting connections. Bind must have succeeded.
  void Begin();

  // CloseSilentConnections closes connections that sent no ping or status
  // before their deadline.
  void CloseSilentConnections();

  // BeginStop stops accepting and starts the closing handshakes.
  void BeginStop();

  // Empty returns whether no connection is left.
  bool Empty() const;

  // BytesReceived returns the total size of all frames received. Thread-safe.
  uint64_t BytesReceived() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_PEER_INBOUND_PEERS_H_
