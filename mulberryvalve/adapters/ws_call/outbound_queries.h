// OutboundQueries: queries to peers, and the connections on which they are
// sent.
#ifndef MULBERRYVALVE_ADAPTERS_WS_CALL_OUTBOUND_QUERIES_H_
#define MULBERRYVALVE_ADAPTERS_WS_CALL_OUTBOUND_QUERIES_H_

#include "mulberryvalve/adapters/websocket/frame_client.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/peer_query.h"

#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

using PeerResultPromise = std::promise<Result<PeerQueryResult>>;

// OutboundQueries sends queries and fulfills their promises. It opens one
// connection per peer, at the first query. Call its methods on the thread that
// runs aIo.
class OutboundQueries : private FrameClientHandler
{
public:
  // All references must outlive this object.
  OutboundQueries(asio::io_context& aIo, EventLog& aLog);

  // Start sends aFrame, the query aCallId, once the connection to aPeer is
  // open. Errors of the promise: kShuttingDown after Close, kNotReady if the
  // frame was not sent, kPeerNotListening, kPeerUnreachable.
  void Start(const Endpoint& aPeer,
             uint64_t aCallId,
             std::shared_ptr<PeerResultPromise> aPromise,
             const std::string& aFrame);

  // GiveUp forgets a query that timed out. Also closes the connection if no
  // result has arrived on it since the query was started.
  void GiveUp(const Endpoint& aPeer, uint64_t aCallId);

  // Close closes all connections and fails their queries.
  void Close();

private:
  // PendingCall is a query whose result has not arrived yet.
  struct PendingCall
  {
    std::shared_ptr<PeerResultPromise> mPromise;
    // The peer's mResultsReceived when the call was made.
    uint64_t mResultsBeforeCall = 0;
  };

  // Peer is the connection to one peer and its pending calls.
  struct Peer
  {
    std::string mAddress;
    FrameConnectionId mConnection;
    bool mOpen = false;
    std::vector<std::string> mUnsentFrames;
    std::map<uint64_t, PendingCall> mCalls;
    uint64_t mResultsReceived = 0;
  };

  void OnOpen(FrameConnectionId aConnection) override;
  void OnFrame(FrameConnectionId aConnection,
               const std::string& aBytes) override;
  void OnClosed(FrameConnectionId aConnection,
                const Failure& aFailure) override;
  Peer* FindPeer(FrameConnectionId aConnection);
  Result<Peer*> FindOrConnect(const std::string& aAddress);
  void RemovePeer(const std::string& aAddress, const Failure& aFailure);

  EventLog& mLog;
  FrameClient mClient;
  // By the peer's address, "host:port".
  std::map<std::string, Peer> mPeers;
  std::map<FrameConnectionId, std::string> mAddresses;
  bool mClosed = false;
};

// PeerAddress returns "host:port".
std::string PeerAddress(const Endpoint& aPeer);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_CALL_OUTBOUND_QUERIES_H_
