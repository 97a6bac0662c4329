#include "mulberryvalve/adapters/ws_peer/outbound_peers.h"

#include "mulberryvalve/adapters/websocket/websocket_endpoint.h"

#include <algorithm>
#include <atomic>
#include <utility>
#include <websocketpp/client.hpp>

namespace mulberryvalve {
namespace {

using Client = websocketpp::client<WebSocketConfig>;
using ConnectionHandle = websocketpp::connection_hdl;
namespace close_code = websocketpp::close::status;
namespace opcode = websocketpp::frame::opcode;

constexpr uint32_t kMaxBackoffDoublings = 16;

// ConnectionState is the state of the connection to one peer.
enum class ConnectionState
{
  kWaitingToConnect,
  kConnecting,
  kOpen,
};

// OutboundConnection is the state of the connection to one peer. Callbacks
// compare mGeneration to ignore events of connections already replaced.
struct OutboundConnection
{
  OutboundConnection(const Endpoint& aPeer, asio::io_context& aIo)
    : mPeer(aPeer)
    , mRetryTimer(aIo)
  {
  }

  const Endpoint mPeer;
  ConnectionState mState = ConnectionState::kWaitingToConnect;
  Client::connection_ptr mConnection;
  uint64_t mGeneration = 0;
  uint32_t mConsecutiveFailures = 0;
  MonotonicTime mSilenceDeadline;
  asio::steady_timer mRetryTimer;
};

std::string AddressText(const Endpoint& aEndpoint)
{
  const bool isV6 = aEndpoint.mAddress.find(':') != std::string::npos;
  const std::string host =
    isV6 ? "[" + aEndpoint.mAddress + "]" : aEndpoint.mAddress;
  return host + ":" + std::to_string(aEndpoint.mPort);
}

bool SameEndpoint(const Endpoint& aLeft, const Endpoint& aRight)
{
  return aLeft.mAddress == aRight.mAddress && aLeft.mPort == aRight.mPort;
}

} // namespace

class OutboundPeers::Impl
{
public:
  Impl(const WsPeerOptions& aOptions,
       EventLog& aLog,
       const Clock& aClock,
       RandomSource& aRandom,
       asio::io_context& aIo,
       std::function<void()> aOnClosed)
    : mOptions(aOptions)
    , mLog(aLog)
    , mClock(aClock)
    , mRandom(aRandom)
    , mIo(aIo)
    , mOnClosed(std::move(aOnClosed))
  {
    ConfigureEndpoint(mClient, mIo, mOptions.mConnectTimeout, kMaxReplyBytes);
  }

  Result<void> CheckPeerAddresses() const
  {
    for (const Endpoint& peer : mOptions.mPeers) {
      std::error_code error;
      asio::ip::make_address(peer.mAddress, error);
      if (error || peer.mPort == 0) {
        return Fail(FailureKind::kInvalidInput, "peers", AddressText(peer));
      }
    }
    return Done();
  }

  void Begin()
  {
    for (const Endpoint& peer : mOptions.mPeers) {
      if (!SameEndpoint(peer, mOptions.mListen)) {
        mConnections.push_back(std::make_unique<OutboundConnection>(peer, mIo));
        Connect(*mConnections.back());
      }
    }
  }

  void Send(const std::string& aFrame)
  {
    for (const auto& outbound : mConnections) {
      if (outbound->mState == ConnectionState::kOpen) {
        Send(*outbound, aFrame);
      }
    }
  }

  void PingAndReplaceConnections()
  {
    const MonotonicTime now = mClock.Now();
    for (const auto& outbound : mConnections) {
      if (outbound->mState == ConnectionState::kWaitingToConnect) {
        continue;
      }
      if (now >= outbound->mSilenceDeadline) {
        Abort(outbound->mConnection);
        ScheduleReconnect(*outbound, "silent");
      } else if (outbound->mState == ConnectionState::kOpen) {
        Ping(*outbound);
      }
    }
  }

  void BeginStop()
  {
    mStopping = true;
    std::error_code ignored;
    for (const auto& outbound : mConnections) {
      outbound->mRetryTimer.cancel();
      if (outbound->mState == ConnectionState::kOpen) {
        outbound->mConnection->close(close_code::going_away, "", ignored);
      } else if (outbound->mState == ConnectionState::kConnecting) {
        Abort(outbound->mConnection);
        ScheduleReconnect(*outbound, "stopping");
      }
    }
  }

  bool Empty() const
  {
    return std::all_of(
      mConnections.begin(),
      mConnections.end(),
      [](const std::unique_ptr<OutboundConnection>& aOutbound) {
        return aOutbound->mState == ConnectionState::kWaitingToConnect;
      });
  }

  uint64_t BytesSent() const { return mBytesSent; }
  uint64_t DroppedFrames() const { return mDroppedFrames; }

private:
  void Connect(OutboundConnection& aOutbound)
  {
    std::error_code error;
    const Client::connection_ptr connection = mClient.get_connection(
      "ws://" + AddressText(aOutbound.mPeer) + "/", error);
    if (error) {
      ScheduleReconnect(aOutbound, error.message());
      return;
    }
    const uint64_t generation = ++aOutbound.mGeneration;
    const auto onClosed = [this, &aOutbound, generation](
                            const ConnectionHandle&) {
      if (aOutbound.mGeneration == generation) {
        ScheduleReconnect(aOutbound, aOutbound.mConnection->get_ec().message());
      }
    };
    connection->set_close_handler(onClosed);
    connection->set_fail_handler(onClosed);
    connection->set_open_handler(
      [this, &aOutbound, generation](const ConnectionHandle& aHandle) {
        if (aOutbound.mGeneration == generation) {
          OnOpen(aOutbound);
        } else {
          Abort(mClient.get_con_from_hdl(aHandle));
        }
      });
    connection->set_pong_handler(
      [this, &aOutbound, generation](const ConnectionHandle&,
                                     const std::string&) {
        if (aOutbound.mGeneration == generation) {
          aOutbound.mConsecutiveFailures = 0;
          aOutbound.mSilenceDeadline = mClock.Now() + mOptions.mSilentAfter;
        }
      });
    aOutbound.mConnection = connection;
    aOutbound.mState = ConnectionState::kConnecting;
    aOutbound.mSilenceDeadline = mClock.Now() + mOptions.mConnectTimeout;
    mClient.connect(connection);
  }

  void OnOpen(OutboundConnection& aOutbound)
  {
    aOutbound.mState = ConnectionState::kOpen;
    aOutbound.mSilenceDeadline = mClock.Now() + mOptions.mSilentAfter;
    mLog.Write(EventLevel::kInfo,
               "peer_connected",
               { { "peer", AddressText(aOutbound.mPeer) } });
    Ping(aOutbound);
  }

  // ScheduleReconnect abandons the connection and reconnects after a backoff.
  void ScheduleReconnect(OutboundConnection& aOutbound,
                         const std::string& aReason)
  {
    aOutbound.mGeneration++;
    aOutbound.mConnection.reset();
    aOutbound.mState = ConnectionState::kWaitingToConnect;
    if (mStopping) {
      mOnClosed();
      return;
    }
    const bool first = aOutbound.mConsecutiveFailures == 0;
    mLog.Write(
      first ? EventLevel::kWarn : EventLevel::kDebug,
      "peer_lost",
      { { "peer", AddressText(aOutbound.mPeer) }, { "why", aReason } });
    aOutbound.mRetryTimer.expires_after(NextBackoff(aOutbound));
    aOutbound.mRetryTimer.async_wait(
      [this, &aOutbound](const std::error_code& aError) {
        if (!aError && !mStopping) {
          Connect(aOutbound);
        }
      });
  }

  // NextBackoff doubles with each consecutive failure up to mBackoffMax. Half
  // of it is random, so that instances do not reconnect at the same time.
  Milliseconds NextBackoff(OutboundConnection& aOutbound)
  {
    const uint32_t doublings =
      std::min(aOutbound.mConsecutiveFailures, kMaxBackoffDoublings);
    aOutbound.mConsecutiveFailures++;
    const Milliseconds full = std::min(
      mOptions.mBackoffMin * (int64_t{ 1 } << doublings), mOptions.mBackoffMax);
    const auto half = static_cast<uint64_t>(full.count()) / 2;
    return Milliseconds(half + mRandom.Below(half + 1));
  }

  void Send(OutboundConnection& aOutbound, const std::string& aFrame)
  {
    if (IsSendBufferFull(aOutbound)) {
      mDroppedFrames++;
      mLog.Write(EventLevel::kDebug,
                 "peer_digest_dropped",
                 { { "peer", AddressText(aOutbound.mPeer) } });
      return;
    }
    const std::error_code error =
      aOutbound.mConnection->send(aFrame.data(), aFrame.size(), opcode::binary);
    if (!error) {
      mBytesSent += aFrame.size();
    }
  }

  bool IsSendBufferFull(const OutboundConnection& aOutbound) const
  {
    return aOutbound.mConnection->get_buffered_amount() >
           mOptions.mMaxBufferedBytes;
  }

  void Ping(OutboundConnection& aOutbound)
  {
    if (!IsSendBufferFull(aOutbound)) {
      std::error_code ignored;
      aOutbound.mConnection->ping("", ignored);
    }
  }

  const WsPeerOptions& mOptions;
  EventLog& mLog;
  const Clock& mClock;
  RandomSource& mRandom;
  asio::io_context& mIo;
  const std::function<void()> mOnClosed;
  Client mClient;
  bool mStopping = false;
  std::vector<std::unique_ptr<OutboundConnection>> mConnections;
  std::atomic<uint64_t> mBytesSent{ 0 };
  std::atomic<uint64_t> mDroppedFrames{ 0 };
};

OutboundPeers::OutboundPeers(const WsPeerOptions& aOptions,
                             EventLog& aLog,
                             const Clock& aClock,
                             RandomSource& aRandom,
                             asio::io_context& aIo,
                             std::function<void()> aOnClosed)
  : mImpl(std::make_unique<Impl>(aOptions,
                                 aLog,
                                 aClock,
                                 aRandom,
                                 aIo,
                                 std::move(aOnClosed)))
{
}

OutboundPeers::~OutboundPeers() = default;

Result<void> OutboundPeers::CheckPeerAddresses() const
{
  return mImpl->CheckPeerAddresses();
}

void OutboundPeers::Begin()
{
  mImpl->Begin();
}

void OutboundPeers::Send(const std::string& aFrame)
{
  mImpl->Send(aFrame);
}

void OutboundPeers::PingAndReplaceConnections()
{
  mImpl->PingAndReplaceConnections();
}

void OutboundPeers::BeginStop()
{
  mImpl->BeginStop();
}

bool OutboundPeers::Empty() const
{
  return mImpl->Empty();
}

uint64_t OutboundPeers::BytesSent() const
{
  return mImpl->BytesSent();
}

uint64_t OutboundPeers::DroppedFrames() const
{
  return mImpl->DroppedFrames();
}

} // namespace mulberryvalve
