#include "mulberryvalve/adapters/ws_call/outbound_queries.h"

#include "mulberryvalve/adapters/ws_call/peer_query_codec.h"

#include <utility>

namespace mulberryvalve {

std::string PeerAddress(const Endpoint& aPeer)
{
  return aPeer.mAddress + ":" + std::to_string(aPeer.mPort);
}

OutboundQueries::OutboundQueries(asio::io_context& aIo, EventLog& aLog)
  : mLog(aLog)
  , mClient(aIo, kMaxResultBytes, *this)
{
}

void OutboundQueries::Start(const Endpoint& aPeer,
                            uint64_t aCallId,
                            std::shared_ptr<PeerResultPromise> aPromise,
                            const std::string& aFrame)
{
  if (mClosed) {
    aPromise->set_value(Fail(FailureKind::kShuttingDown, "peer"));
    return;
  }
  const Result<Peer*> connected = FindOrConnect(PeerAddress(aPeer));
  if (!connected) {
    aPromise->set_value(
      Fail(FailureKind::kNotReady, "peer", connected.error().mDetail));
    return;
  }
  Peer& peer = *connected.value();
  peer.mCalls.emplace(
    aCallId, PendingCall{ std::move(aPromise), peer.mResultsReceived });
  if (peer.mOpen) {
    mClient.Send(peer.mConnection, aFrame);
  } else {
    peer.mUnsentFrames.push_back(aFrame);
  }
}

void OutboundQueries::GiveUp(const Endpoint& aPeer, uint64_t aCallId)
{
  const auto found = mPeers.find(PeerAddress(aPeer));
  if (found == mPeers.end()) {
    return;
  }
  Peer& peer = found->second;
  const auto call = peer.mCalls.find(aCallId);
  if (call == peer.mCalls.end()) {
    return;
  }
  if (call->second.mResultsBeforeCall == peer.mResultsReceived) {
    RemovePeer(
      peer.mAddress,
      Fail(FailureKind::kPeerUnreachable, "peer", "no answer in time"));
    return;
  }
  peer.mCalls.erase(call);
}

void OutboundQueries::Close()
{
  mClosed = true;
  while (!mPeers.empty()) {
    RemovePeer(mPeers.begin()->first,
               Fail(FailureKind::kPeerUnreachable, "peer", "stopping"));
  }
}

void OutboundQueries::OnOpen(FrameConnectionId aConnection)
{
  Peer* peer = FindPeer(aConnection);
  if (peer == nullptr) {
    return;
  }
  peer->mOpen = true;
  mLog.Write(EventLevel::kInfo, "peer_reached", { { "peer", peer->mAddress } });
  for (const std::string& frame : std::exchange(peer->mUnsentFrames, {})) {
    mClient.Send(aConnection, frame);
  }
}

void OutboundQueries::OnFrame(FrameConnectionId aConnection,
                              const std::string& aBytes)
{
  Peer* peer = FindPeer(aConnection);
  if (peer == nullptr) {
    return;
  }
  const Result<ResultFrame> frame = DecodeResult(aBytes);
  if (!frame) {
    mLog.Write(
      EventLevel::kWarn,
      "peer_answer_malformed",
      { { "peer", peer->mAddress }, { "detail", frame.error().mDetail } });
    return;
  }
  peer->mResultsReceived++;
  const auto call = peer->mCalls.find(frame.value().mCallId);
  if (call != peer->mCalls.end()) {
    call->second.mPromise->set_value(frame.value().mResult);
    peer->mCalls.erase(call);
  }
}

void OutboundQueries::OnClosed(FrameConnectionId aConnection,
                               const Failure& aFailure)
{
  const Peer* peer = FindPeer(aConnection);
  if (peer != nullptr) {
    RemovePeer(peer->mAddress, aFailure);
  }
}

OutboundQueries::Peer* OutboundQueries::FindPeer(FrameConnectionId aConnection)
{
  const auto address = mAddresses.find(aConnection);
  if (address == mAddresses.end()) {
    return nullptr;
  }
  return &mPeers.at(address->second);
}

Result<OutboundQueries::Peer*> OutboundQueries::FindOrConnect(
  const std::string& aAddress)
{
  const auto found = mPeers.find(aAddress);
  if (found != mPeers.end()) {
    return &found->second;
  }
  const Result<FrameConnectionId> connection = mClient.Connect(aAddress);
  if (!connection) {
    return connection.error();
  }
  mAddresses.emplace(connection.value(), aAddress);
  Peer& peer = mPeers[aAddress];
  peer.mAddress = aAddress;
  peer.mConnection = connection.value();
  return &peer;
}

void OutboundQueries::RemovePeer(const std::string& aAddress,
                                 const Failure& aFailure)
{
  // aAddress may refer to the peer in this node, so keep the node until the
  // end.
  const auto node = mPeers.extract(aAddress);
  const Peer& peer = node.mapped();
  mAddresses.erase(peer.mConnection);
  mClient.Abort(peer.mConnection);
  mLog.Write(EventLevel::kInfo,
             "peer_lost",
             { { "peer", peer.mAddress }, { "why", aFailure.mDetail } });
  // Frames are sent once the connection is open.
  const bool isUnsent =
    !peer.mOpen && aFailure.mKind == FailureKind::kPeerUnreachable;
  const FailureKind kind = isUnsent ? FailureKind::kNotReady : aFailure.mKind;
  for (const auto& [callId, call] : peer.mCalls) {
    call.mPromise->set_value(Fail(kind, "peer", aFailure.mDetail));
  }
}

} // namespace mulberryvalve
