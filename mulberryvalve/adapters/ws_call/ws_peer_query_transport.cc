#include "mulberryvalve/adapters/ws_call/ws_peer_query_transport.h"

#include "mulberryvalve/adapters/ws_call/peer_query_codec.h"
#include "mulberryvalve/core/base/mutex.h"

#include <asio.hpp>
#include <atomic>
#include <future>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace mulberryvalve {
namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using ConnectionHandle = websocketpp::connection_hdl;
namespace opcode = websocketpp::frame::opcode;

constexpr long kOpenTimeoutMs = 500;
constexpr long kCloseTimeoutMs = 500;
constexpr int kBacklog = 256;

using ResultPromise = std::promise<Result<PeerQueryResult>>;

// PendingCall is a query whose result has not arrived yet.
struct PendingCall
{
  std::shared_ptr<ResultPromise> mPromise;
  // The connection's mResultsReceived when the call was made.
  uint64_t mResultsBeforeCall = 0;
};

// PeerConnection is the connection to one peer and its pending calls.
struct PeerConnection
{
  Client::connection_ptr mConnection;
  bool mOpen = false;
  std::vector<std::string> mUnsentFrames;
  std::map<uint64_t, PendingCall> mCalls;
  uint64_t mResultsReceived = 0;
};

std::string PeerKey(const Endpoint& aPeer)
{
  return aPeer.mAddress + ":" + std::to_string(aPeer.mPort);
}

template<typename AnyEndpoint>
void ConfigureEndpoint(AnyEndpoint& aEndpoint,
                       asio::io_context& aIo,
                       size_t aMaxMessageBytes)
{
  aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
  aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
  aEndpoint.init_asio(&aIo);
  aEndpoint.set_max_message_size(aMaxMessageBytes);
  aEndpoint.set_open_handshake_timeout(kOpenTimeoutMs);
  aEndpoint.set_close_handshake_timeout(kCloseTimeoutMs);
}

} // namespace

// Once the thread runs, members declared after mIo are accessed on it only.
class WsPeerQueryTransport::Impl
{
public:
  Impl(Endpoint aListen, EventLog& aLog)
    : mListen(std::move(aListen))
    , mLog(aLog)
    , mWork(asio::make_work_guard(mIo))
  {
    ConfigureEndpoint(mServer, mIo, kMaxIntakeCallBytes);
    ConfigureEndpoint(mClient, mIo, kMaxResultBytes);
    mServer.set_reuse_addr(true);
    mServer.set_listen_backlog(kBacklog);
    mServer.set_open_handler([this](const ConnectionHandle& aHandle) {
      mInboundConnections[aHandle.lock().get()] = aHandle;
    });
    const auto removeInbound = [this](const ConnectionHandle& aHandle) {
      mInboundConnections.erase(aHandle.lock().get());
    };
    mServer.set_close_handler(removeInbound);
    mServer.set_message_handler([this](const ConnectionHandle& aHandle,
                                       const Server::message_ptr& aMessage) {
      OnQuery(aHandle, aMessage->get_payload());
    });
  }

  ~Impl() { Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Result<void> Start(PeerQueryHandler& aHandler, PeerIntakeHandler* aIntake)
  {
    mHandler = &aHandler;
    mIntakeHandler = aIntake;
    std::error_code error;
    const auto address = asio::ip::make_address(mListen.mAddress, error);
    if (!error) {
      mServer.listen(asio::ip::tcp::endpoint(address, mListen.mPort), error);
    }
    if (!error) {
      mServer.start_accept(error);
    }
    if (error) {
      return Fail(FailureKind::kInvalidInput, "peer-listen", error.message());
    }
    mThread = std::thread([this] { mIo.run(); });
    return Done();
  }

  void Stop()
  {
    if (!mThread.joinable()) {
      return;
    }
    asio::post(mIo, [this] { CloseAllConnections(); });
    mWork.reset();
    mThread.join();
  }

  Result<PeerQueryResult> Ask(const Endpoint& aPeer,
                              const PeerQuery& aQuery,
                              Milliseconds aTimeout)
  {
    const uint64_t callId = ++mLastCallId;
    auto resultPromise = std::make_shared<ResultPromise>();
    std::future<Result<PeerQueryResult>> future = resultPromise->get_future();
    const std::string frame = EncodeQuery(QueryFrame{ callId, aQuery });
    asio::post(mIo, [this, aPeer, callId, resultPromise, frame] {
      StartCall(aPeer, callId, resultPromise, frame);
    });
    if (future.wait_for(aTimeout) == std::future_status::ready) {
      return future.get();
    }
    asio::post(mIo, [this, aPeer, callId] { OnCallTimeout(aPeer, callId); });
    return Fail(FailureKind::kPeerUnreachable, "peer", PeerKey(aPeer));
  }

private:
  void StartCall(const Endpoint& aPeer,
                 uint64_t aCallId,
                 std::shared_ptr<ResultPromise> aPromise,
                 const std::string& aFrame)
  {
    if (mStopping) {
      aPromise->set_value(Fail(FailureKind::kShuttingDown, "peer"));
      return;
    }
    const std::string key = PeerKey(aPeer);
    PeerConnection& peer = mPeers[key];
    peer.mCalls.emplace(
      aCallId, PendingCall{ std::move(aPromise), peer.mResultsReceived });
    if (peer.mConnection == nullptr) {
      Connect(key, peer);
    }
    if (!peer.mOpen) {
      peer.mUnsentFrames.push_back(aFrame);
      return;
    }
    Send(peer, aFrame);
  }

  void Connect(const std::string& aKey, PeerConnection& aPeerConnection)
  {
    std::error_code error;
    const Client::connection_ptr connection =
      mClient.get_connection("ws://" + aKey + "/", error);
    if (error) {
      ClosePeerConnection(
        aKey, nullptr, FailureKind::kPeerUnreachable, error.message());
      return;
    }
    aPeerConnection.mConnection = connection;
    const auto* raw = connection.get();
    connection->set_open_handler(
      [this, aKey, raw](const ConnectionHandle&) { OnOpen(aKey, raw); });
    const auto onClosed = [this, aKey, raw](const ConnectionHandle&) {
      ClosePeerConnection(
        aKey, raw, FailureKind::kPeerUnreachable, raw->get_ec().message());
    };
    connection->set_fail_handler([this, aKey, raw](const ConnectionHandle&) {
      const std::error_code cause =
        raw->get_transport_ec() ? raw->get_transport_ec() : raw->get_ec();
      ClosePeerConnection(aKey,
                          raw,
                          cause == asio::error::connection_refused
                            ? FailureKind::kPeerNotListening
                            : FailureKind::kPeerUnreachable,
                          cause.message());
    });
    connection->set_close_handler(onClosed);
    connection->set_message_handler(
      [this, aKey](const ConnectionHandle&,
                   const Client::message_ptr& aMessage) {
        OnResult(aKey, aMessage->get_payload());
      });
    mClient.connect(connection);
  }

  void OnOpen(const std::string& aKey, const void* aConnection)
  {
    const auto found = mPeers.find(aKey);
    if (found == mPeers.end() ||
        found->second.mConnection.get() != aConnection) {
      return;
    }
    PeerConnection& peer = found->second;
    peer.mOpen = true;
    mLog.Write(EventLevel::kInfo, "peer_reached", { { "peer", aKey } });
    std::error_code ignored;
    peer.mConnection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                                  ignored);
    for (const std::string& frame : std::exchange(peer.mUnsentFrames, {})) {
      Send(peer, frame);
    }
  }

  static void Send(PeerConnection& aPeerConnection, const std::string& aFrame)
  {
    // A send failure also triggers the close handler.
    (void)aPeerConnection.mConnection->send(aFrame, opcode::binary);
  }

  void OnResult(const std::string& aKey, const std::string& aBytes)
  {
    const Result<ResultFrame> frame = DecodeResult(aBytes);
    if (!frame) {
      mLog.Write(EventLevel::kWarn,
                 "peer_answer_malformed",
                 { { "peer", aKey }, { "detail", frame.error().mDetail } });
      return;
    }
    const auto peer = mPeers.find(aKey);
    if (peer == mPeers.end()) {
      return;
    }
    peer->second.mResultsReceived++;
    const auto call = peer->second.mCalls.find(frame.value().mCallId);
    if (call != peer->second.mCalls.end()) {
      call->second.mPromise->set_value(frame.value().mResult);
      peer->second.mCalls.erase(call);
    }
  }

  // Removes a call that timed out. Also closes the connection if no result
  // has arrived on it since the call was made.
  void OnCallTimeout(const Endpoint& aPeer, uint64_t aCallId)
  {
    const std::string key = PeerKey(aPeer);
    const auto found = mPeers.find(key);
    if (found == mPeers.end()) {
      return;
    }
    PeerConnection& peer = found->second;
    const auto call = peer.mCalls.find(aCallId);
    if (call == peer.mCalls.end()) {
      return;
    }
    if (call->second.mResultsBeforeCall == peer.mResultsReceived) {
      ClosePeerConnection(key,
                          peer.mConnection.get(),
                          FailureKind::kPeerUnreachable,
                          "no answer in time");
      return;
    }
    peer.mCalls.erase(call);
  }

  void ClosePeerConnection(const std::string& aKey,
                           const void* aConnection,
                           FailureKind aKind,
                           const std::string& aReason)
  {
    const auto found = mPeers.find(aKey);
    if (found == mPeers.end() ||
        found->second.mConnection.get() != aConnection) {
      return;
    }
    // aKey may refer to the key in this node, so keep the node until the end.
    const auto node = mPeers.extract(found);
    const PeerConnection& peer = node.mapped();
    mLog.Write(
      EventLevel::kInfo, "peer_lost", { { "peer", aKey }, { "why", aReason } });
    // Frames are sent once the connection is open.
    const bool isUnsent = !peer.mOpen && aKind == FailureKind::kPeerUnreachable;
    const FailureKind kind = isUnsent ? FailureKind::kNotReady : aKind;
    for (const auto& [callId, call] : peer.mCalls) {
      call.mPromise->set_value(Fail(kind, "peer", aReason));
    }
    if (peer.mConnection != nullptr) {
      std::error_code ignored;
      peer.mConnection->get_raw_socket().close(ignored);
    }
  }

  void OnQuery(const ConnectionHandle& aHandle, const std::string& aBytes)
  {
    std::error_code error;
    const Result<QueryFrame> frame = DecodeQuery(aBytes);
    if (!frame) {
      mLog.Write(EventLevel::kWarn,
                 "peer_question_malformed",
                 { { "detail", frame.error().mDetail } });
      mServer.close(
        aHandle, websocketpp::close::status::invalid_payload, "", error);
      return;
    }
    const uint64_t callId = frame.value().mCallId;
    const PeerQuery& query = frame.value().mQuery;
    if (query.mKind != PeerQueryKind::kAppendIntake) {
      SendResult(aHandle, { callId, mHandler->OnQuery(query) });
    } else if (mIntakeHandler != nullptr) {
      mIntakeHandler->OnIntake(
        query, [this, aHandle, callId](const PeerQueryResult& aResult) {
          const ResultFrame result{ callId, aResult };
          asio::post(mIo,
                     [this, aHandle, result] { SendResult(aHandle, result); });
        });
    } else {
      PeerQueryResult refused;
      refused.mIntake = IntakeResult();
      SendResult(aHandle, { callId, refused });
    }
  }

  void SendResult(const ConnectionHandle& aHandle, const ResultFrame& aResult)
  {
    // The connection may have been closed meanwhile.
    std::error_code ignored;
    mServer.send(aHandle, EncodeResult(aResult), opcode::binary, ignored);
  }

  void CloseAllConnections()
  {
    mStopping = true;
    std::error_code ignored;
    mServer.stop_listening(ignored);
    for (const auto& [raw, handle] : mInboundConnections) {
      const Server::connection_ptr inbound =
        mServer.get_con_from_hdl(handle, ignored);
      if (inbound != nullptr) {
        inbound->get_raw_socket().close(ignored);
      }
    }
    while (!mPeers.empty()) {
      const auto first = mPeers.begin();
      ClosePeerConnection(first->first,
                          first->second.mConnection.get(),
                          FailureKind::kPeerUnreachable,
                          "stopping");
    }
    mIo.stop();
  }

  const Endpoint mListen;
  EventLog& mLog;
  std::atomic<uint64_t> mLastCallId{ 0 };
  std::thread mThread;
  asio::io_context mIo;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  PeerQueryHandler* mHandler = nullptr;
  // Null if this instance takes no relayed entries.
  PeerIntakeHandler* mIntakeHandler = nullptr;
  Server mServer;
  Client mClient;
  std::map<const void*, ConnectionHandle> mInboundConnections;
  std::map<std::string, PeerConnection> mPeers;
  bool mStopping = false;
};

WsPeerQueryTransport::WsPeerQueryTransport(Endpoint aListen, EventLog& aLog)
  : mImpl(std::make_unique<Impl>(std::move(aListen), aLog))
{
}

WsPeerQueryTransport::~WsPeerQueryTransport() = default;

Result<void> WsPeerQueryTransport::Start(PeerQueryHandler& aHandler)
{
  return mImpl->Start(aHandler, nullptr);
}

Result<void> WsPeerQueryTransport::Start(PeerQueryHandler& aHandler,
                                         PeerIntakeHandler& aIntake)
{
  return mImpl->Start(aHandler, &aIntake);
}

void WsPeerQueryTransport::Stop()
{
  mImpl->Stop();
}

Result<PeerQueryResult> WsPeerQueryTransport::Ask(const Endpoint& aPeer,
                                                  const PeerQuery& aQuery,
                                                  Milliseconds aTimeout)
{
  return mImpl->Ask(aPeer, aQuery, aTimeout);
}

} // namespace mulberryvalve
