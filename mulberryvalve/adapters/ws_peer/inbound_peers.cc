#include "mulberryvalve/adapters/ws_peer/inbound_peers.h"

#include "mulberryvalve/adapters/ws_peer/digest_codec.h"
#include "mulberryvalve/adapters/ws_peer/ws_support.h"

#include <atomic>
#include <map>
#include <string>
#include <utility>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

namespace mulberryvalve {
namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Handle = websocketpp::connection_hdl;
using Tcp = asio::ip::tcp;
namespace close_code = websocketpp::close::status;
namespace opcode = websocketpp::frame::opcode;

constexpr Milliseconds kAcceptRetryDelay{ 100 };

// Inbound is a connection that a peer opened.
struct Inbound
{
  Server::connection_ptr mConnection;
  MonotonicTime mAliveUntil;
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
    , mAcceptRetry(aIo)
  {
    Prepare(mServer, aIo, mOptions, kMaxFrameBytes);
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

  // Accept takes the next connection. After a failure, such as too many open
  // files, it waits, so that the thread does not spin.
  void Accept()
  {
    const Server::connection_ptr connection = mServer.get_connection();
    if (!connection) {
      RetryAccept();
      return;
    }
    mAcceptor.async_accept(connection->get_raw_socket(),
                           [this, connection](const std::error_code& aError) {
                             if (mStopping ||
                                 aError == asio::error::operation_aborted) {
                               return;
                             }
                             if (aError) {
                               mLog.Write(EventLevel::kWarn,
                                          "peer_accept_failed",
                                          { { "why", aError.message() } });
                               RetryAccept();
                               return;
                             }
                             Admit(connection);
                             Accept();
                           });
  }

  void CloseSilent()
  {
    const MonotonicTime now = mClock.Now();
    for (auto it = mInbound.begin(); it != mInbound.end();) {
      if (now < it->second.mAliveUntil) {
        ++it;
        continue;
      }
      mLog.Write(
        EventLevel::kInfo, "peer_inbound_lost", { { "why", "silent" } });
      Abort(it->second.mConnection);
      it = mInbound.erase(it);
    }
  }

  void BeginStop()
  {
    mStopping = true;
    std::error_code ignored;
    mAcceptor.close(ignored);
    mAcceptRetry.cancel();
    for (auto& [id, inbound] : mInbound) {
      inbound.mConnection->close(close_code::going_away, "", ignored);
    }
  }

  bool Empty() const { return mInbound.empty(); }
  uint64_t BytesReceived() const { return mBytesReceived; }

private:
  void RetryAccept()
  {
    mAcceptRetry.expires_after(kAcceptRetryDelay);
    mAcceptRetry.async_wait([this](const std::error_code& aError) {
      if (!aError && !mStopping) {
        Accept();
      }
    });
  }

  void Admit(const Server::connection_ptr& aConnection)
  {
    if (mInbound.size() >= mOptions.mMaxInbound) {
      mLog.Write(EventLevel::kWarn, "peer_refused", { { "why", "too_many" } });
      Abort(aConnection);
      return;
    }
    const uint64_t id = ++mLastInbound;
    mInbound[id] = { aConnection, mClock.Now() + mOptions.mSilentAfter };
    const auto forget = [this, id](const Handle&) {
      mInbound.erase(id);
      mOnClosed();
    };
    aConnection->set_close_handler(forget);
    aConnection->set_fail_handler(forget);
    aConnection->set_ping_handler(
      [this, id](const Handle&, const std::string&) {
        Extend(id);
        return true;
      });
    aConnection->set_message_handler(
      [this, id](const Handle&, const Server::message_ptr& aMessage) {
        OnFrame(id, *aMessage);
      });
    aConnection->start();
  }

  void Extend(uint64_t aId)
  {
    const auto found = mInbound.find(aId);
    if (found != mInbound.end()) {
      found->second.mAliveUntil = mClock.Now() + mOptions.mSilentAfter;
    }
  }

  void OnFrame(uint64_t aId, const Server::message_ptr::element_type& aMessage)
  {
    if (mStopping || mInbound.count(aId) == 0) {
      return;
    }
    const std::string& frame = aMessage.get_payload();
    mBytesReceived += frame.size();
    if (aMessage.get_opcode() != opcode::binary) {
      RefuseFrame(aId,
                  close_code::unsupported_data,
                  Fail(FailureKind::kMalformed, "frame", "not binary"));
      return;
    }
    const Result<PeerStatus> digest = DecodeDigest(frame);
    if (!digest) {
      RefuseFrame(aId, close_code::invalid_payload, digest.error());
      return;
    }
    Extend(aId);
    mListener.OnPeerStatus(digest.value());
  }

  void RefuseFrame(uint64_t aId,
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
    mInbound[aId].mConnection->close(aCode, "", ignored);
  }

  const WsPeerOptions& mOptions;
  PeerListener& mListener;
  EventLog& mLog;
  const Clock& mClock;
  const std::function<void()> mOnClosed;
  Server mServer;
  Tcp::acceptor mAcceptor;
  asio::steady_timer mAcceptRetry;
  bool mStopping = false;
  uint64_t mLastInbound = 0;
  std::map<uint64_t, Inbound> mInbound;
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

void InboundPeers::CloseSilent()
{
  mImpl->CloseSilent();
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
