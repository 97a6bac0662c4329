// InboundQueries: the queries of peers and their results.
#ifndef MULBERRYVALVE_ADAPTERS_WS_CALL_INBOUND_QUERIES_H_
#define MULBERRYVALVE_ADAPTERS_WS_CALL_INBOUND_QUERIES_H_

#include "mulberryvalve/adapters/websocket/frame_server.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/peer_query.h"

namespace mulberryvalve {

// InboundQueries decodes queries and sends their results. Call its methods on
// the thread that runs aIo, or before that thread starts.
class InboundQueries : private FrameServerHandler
{
public:
  // All references must outlive this object.
  InboundQueries(asio::io_context& aIo, EventLog& aLog);

  // Listen serves queries that arrive at aListen through aHandler and relayed
  // entries through aIntake, which may be null: they are refused then. Both
  // must outlive this object. Call it once. Errors: kInvalidInput when the
  // endpoint can't be bound.
  Result<void> Listen(const Endpoint& aListen,
                      PeerQueryHandler& aHandler,
                      PeerIntakeHandler* aIntake);

  // Close stops to listen and closes all connections.
  void Close();

private:
  void OnFrame(FrameConnectionId aFrom, const std::string& aBytes) override;
  void OnIntake(FrameConnectionId aFrom,
                uint64_t aCallId,
                const PeerQuery& aQuery);
  void SendResult(FrameConnectionId aTo,
                  uint64_t aCallId,
                  const PeerQueryResult& aResult);

  asio::io_context& mIo;
  EventLog& mLog;
  PeerQueryHandler* mHandler = nullptr;
  // Null if this instance takes no relayed entries.
  PeerIntakeHandler* mIntakeHandler = nullptr;
  FrameServer mServer;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_CALL_INBOUND_QUERIES_H_
