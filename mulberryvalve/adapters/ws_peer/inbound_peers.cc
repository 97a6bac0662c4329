#include "mulberryvalve/adapters/ws_peer/inbound_peers.h"

#include "mulberryvalve/adapters/websocket/websocket_endpoint.h"
#include "mulberryvalve/adapters/ws_peer/peer_status_codec.h"

#include <atomic>
#include <map>
#include <string>
#include <utility>
#include <websocketpp/server.hpp>

namespace mulberryvalve {
namespace {

using Server = websocketpp::server<WebSocketConfig>;
using ConnectionHandle = websocketpp::connection_hdl;
using Tcp = asio::ip::tcp;
namespace close_code = websocketpp::close::status;
namespace opcode = websocketpp::frame::opcode;

constexpr Milliseconds kAcceptRetryDelay{ 100 };

// InboundConnection is a connection opened by a peer. It is closed at
// mSilenceDeadline, which each ping and each valid frame extends.
struct InboundConnection
{
  Server::connection_ptr mConnection;
  MonotonicTime mSilenceDeadline;
};

Failure BindFailure(const std::error_code& aError)
{
  const auto kind = aError == asio::error::address_in_use
                      ? FailureKind::kConflict
                      : FailureKind::kInvalidInput;
  return Fail(kind, "listen", aError.message());
}

} // namespace

class InboundPeers::Impl
{
public:
  Impl(const WsPeerOptions& aOptions,
       PeerListener& aListener,
       EventLog& aLog,
       const Clock& aClock,
       asio::io_context& aIo,
       std::function<void()> aOnClosed)
    : mOptions(aOptions)
    , mListener(aListener)
    , mLog(aLog)
    , mClock(aClock)
    , mOnClosed(std::move(aOnClosed))
    , mAcceptor(aIo)
    , mAcceptRetryTimer(aIo)
  {
    ConfigureEndpoint(mServer, aIo, mOptions.mConnectTimeout, kMaxFrameBytes);
  }

  Result<uint16_t> Bind()
  {
    std::error_code error;
    const auto address =
      asio::ip::make_address(mOptions.mListen.mAddress, error);
    if (error) {
      return BindFailure(error);
    }
    const Tcp::endpoint local(address, mOptions.mListen.mPort);
    mAcceptor.open(local.protocol(), error);
    if (!error) {
      mAcceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      mAcceptor.bind(local, error);
    }
    if (!error) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      std::error_code ignored;
      mAcceptor.close(ignored);
      return BindFailure(error);
    }
    return mAcceptor.local_endpoint(error).port();
  }

  // Accept accepts the next connection. After an error, such as too many open
  // files, it retries after kAcceptRetryDelay to avoid a busy loop.
  void Accept()
  {
    const Server::connection_ptr connection = mServer.get_connection();
    if (!connection) {
      RetryAccept();
      return;
    }
    auto& socket = connection->get_raw_socket();
    mAcceptor.async_accept(
      socket, [this, connection](const std::error_code& aError) {
        if (mStopping || aError == asio::error::operation_aborted) {
          return;
        }
        if (aError) {
          mLog.Write(EventLevel::kWarn,
                     "peer_accept_failed",
                     { { "why", aError.message() } });
          RetryAccept();
          return;
        }
        AddConnection(connection);
        Accept();
      });
  }

  void CloseSilentConnections()
  {
    const MonotonicTime now = mClock.Now();
    for (auto it = mConnections.begin(); it != mConnections.end();) {
      if (now < it->second.mSilenceDeadline) {
        ++it;
        continue;
      }
      mLog.Write(
        EventLevel::kInfo, "peer_inbound_lost", { { "why", "silent" } });
      Abort(it->second.mConnection);
      it = mConnections.erase(it);
    }
  }

  void BeginStop()
  {
    mStopping = true;
    std::error_code ignored;
    mAcceptor.close(ignored);
    mAcceptRetryTimer.cancel();
    for (auto& [id, inbound] : mConnections) {
      inbound.mConnection->close(close_code::going_away, "", ignored);
    }
  }

  bool Empty() const { return mConnections.empty(); }
  uint64_t BytesReceived() const { return mBytesReceived; }

private:
  void RetryAccept()
  {
    mAcceptRetryTimer.expires_after(kAcceptRetryDelay);
    mAcceptRetryTimer.async_wait([this](const std::error_code& aError) {
      if (!aError && !mStopping) {
        Accept();
      }
    });
  }

  void AddConnection(const Server::connection_ptr& aConnection)
  {
    if (mConnections.size() >= mOptions.mMaxInbound) {
      mLog.Write(EventLevel::kWarn, "peer_refused", { { "why", "too_many" } });
      Abort(aConnection);
      return;
    }
    const uint64_t id = ++mLastConnectionId;
    mConnections[id] = { aConnection, mClock.Now() + mOptions.mSilentAfter };
    const auto onClosed = [this, id](const ConnectionHandle&) {
      mConnections.erase(id);
      mOnClosed();
    };
    aConnection->set_close_handler(onClosed);
    aConnection->set_fail_handler(onClosed);
    aConnection->set_ping_handler(
      [this, id](const ConnectionHandle&, const std::string&) {
        ExtendSilenceDeadline(id);
        return true;
      });
    aConnection->set_message_handler(
      [this, id](const ConnectionHandle&, const Server::message_ptr& aMessage) {
        OnFrame(id, *aMessage);
      });
    aConnection->start();
  }

  void ExtendSilenceDeadline(uint64_t aId)
  {
    const auto found = mConnections.find(aId);
    if (found != mConnections.end()) {
      found->second.mSilenceDeadline = mClock.Now() + mOptions.mSilentAfter;
    }
  }

  void OnFrame(uint64_t aId, const Server::message_ptr::element_type& aMessage)
  {
    if (mStopping || mConnections.count(aId) == 0) {
      return;
    }
    const std::string& frame = aMessage.get_payload();
    mBytesReceived += frame.size();
    if (aMessage.get_opcode() != opcode::binary) {
      RejectFrame(aId,
                  close_code::unsupported_data,
                  Fail(FailureKind::kMalformed, "frame", "not binary"));
      return;
    }
    const Result<PeerStatus> peerStatus = DecodePeerStatus(frame);
    if (!peerStatus) {
      RejectFrame(aId, close_code::invalid_payload, peerStatus.error());
      return;
    }
    ExtendSilenceDeadline(aId);
    mListener.OnPeerStatus(peerStatus.value());
  }

  void RejectFrame(uint64_t aId,
                   close_code::value aCode,
                   const Failure& aFailure)
  {
    mLog.Write(
      EventLevel::kWarn,
      "peer_frame_refused",
      { { "kind", std::string(kFailureKindNames.Name(aFailure.mKind)) },
        { "field", aFailure.mField },
        { "why", aFailure.mDetail } });
    std::error_code ignored;
    mConnections[aId].mConnection->close(aCode, "", ignored);
  }

  const WsPeerOptions& mOptions;
  PeerListener& mListener;
  EventLog& mLog;
  const Clock& mClock;
  const std::function<void()> mOnClosed;
  Server mServer;
  Tcp::acceptor mAcceptor;
  asio::steady_timer mAcceptRetryTimer;
  bool mStopping = false;
  uint64_t mLastConnectionId = 0;
  std::map<uint64_t, InboundConnection> mConnections;
  std::atomic<uint64_t> mBytesReceived{ 0 };
};

InboundPeers::InboundPeers(const WsPeerOptions& aOptions,
                           PeerListener& aListener,
                           EventLog& aLog,
                           const Clock& aClock,
                           asio::io_context& aIo,
                           std::function<void()> aOnClosed)
  : mImpl(std::make_unique<Impl>(aOptions,
                                 aListener,
                                 aLog,
                                 aClock,
                                 aIo,
                                 std::move(aOnClosed)))
{
}

InboundPeers::~InboundPeers() = default;

Result<uint16_t> InboundPeers::Bind()
{
  return mImpl->Bind();
}

void InboundPeers::Begin()
{
  mImpl->Accept();
}

void InboundPeers::CloseSilentConnections()
{
  mImpl->CloseSilentConnections();
}

void InboundPeers::BeginStop()
{
  mImpl->BeginStop();
}

bool InboundPeers::Empty() const
{
  return mImpl->Empty();
}

uint64_t InboundPeers::BytesReceived() const
{
  return mImpl->BytesReceived();
}

} // namespace mulberryvalve
