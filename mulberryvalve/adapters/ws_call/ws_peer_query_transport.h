// WsPeerQueryTransport: queries between instances over WebSocket, both as
// client and as server.
#ifndef MULBERRYVALVE_ADAPTERS_WS_CALL_WS_PEER_QUERY_TRANSPORT_H_
#define MULBERRYVALVE_ADAPTERS_WS_CALL_WS_PEER_QUERY_TRANSPORT_H_

#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/peer_query.h"

#include <memory>

namespace mulberryvalve {

// WsPeerQueryTransport serves queries of peers and sends queries to them. It
// opens one connection per peer, at the first query. When a query times out
// and no result of any query has arrived since it was sent, the connection is
// closed: it may be dead although new connections to the peer would work. A
// slow peer that still answers other queries keeps its connection. One thread
// runs all sockets. Thread-safe.
class WsPeerQueryTransport : public PeerQueryClient
{
public:
  // aLog must outlive this object.
  WsPeerQueryTransport(Endpoint aListen, EventLog& aLog);
  ~WsPeerQueryTransport() override;
  WsPeerQueryTransport(const WsPeerQueryTransport&) = delete;
  WsPeerQueryTransport& operator=(const WsPeerQueryTransport&) = delete;

  // Start listens and serves queries through aHandler, which must outlive this
  // object. Errors: kInvalidInput when the endpoint can't be bound.
  // Relayed entries are refused.
  Result<void> Start(PeerQueryHandler& aHandler);

  // Start that serves relayed entries through aIntake, which may reply as long
  // as this object exists; replies after Stop are dropped.
  Result<void> Start(PeerQueryHandler& aHandler, PeerIntakeHandler& aIntake);

  // Stop closes all connections and joins the thread. A repeated call has no
  // effect.
  void Stop();

  Result<PeerQueryResult> Ask(const Endpoint& aPeer,
                              const PeerQuery& aQuery,
                              Milliseconds aTimeout) override;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_CALL_WS_PEER_QUERY_TRANSPORT_H_
