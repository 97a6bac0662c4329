// WsCallLink: calls between instances over WebSocket, in both directions.
#ifndef MULBERRYVALVE_ADAPTERS_WS_CALL_WS_CALL_LINK_H_
#define MULBERRYVALVE_ADAPTERS_WS_CALL_WS_CALL_LINK_H_

#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/peer_query.h"

#include <memory>

namespace mulberryvalve {

// WsCallLink answers the calls of peers and makes calls, over one connection a
// peer that is opened at the first call. A connection on which nothing was
// heard for as long as a call waited is closed, since it may have gone silent
// while new ones work. A busy peer that answers other calls keeps its
// connection. One thread drives all sockets. Thread-safe.
class WsCallLink : public PeerQueryClient
{
public:
  // aLog must outlive this object.
  WsCallLink(Endpoint aListen, EventLog& aLog);
  ~WsCallLink() override;
  WsCallLink(const WsCallLink&) = delete;
  WsCallLink& operator=(const WsCallLink&) = delete;

  // Start listens and begins to answer through aAnswerer, which must outlive
  // the link. Errors: kInvalidInput when the endpoint can't be bound.
  Result<void> Start(PeerQueryHandler& aAnswerer);

  // Stop closes all connections and joins the thread. A repeated call has no
  // effect.
  void Stop();

  Result<PeerQueryResult> Ask(const Endpoint& aPeer,
                              const PeerQuery& aQuestion,
                              Milliseconds aTimeout) override;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_CALL_WS_CALL_LINK_H_
