#include "mulberryvalve/adapters/ws_call/ws_peer_query_transport.h"

#include "mulberryvalve/adapters/ws_call/inbound_queries.h"
#include "mulberryvalve/adapters/ws_call/outbound_queries.h"
#include "mulberryvalve/adapters/ws_call/peer_query_codec.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <string>
#include <thread>
#include <utility>

namespace mulberryvalve {

class WsPeerQueryTransport::Impl
{
public:
  Impl(Endpoint aListen, EventLog& aLog)
    : mListen(std::move(aListen))
    , mWork(asio::make_work_guard(mIo))
    , mInbound(mIo, aLog)
    , mOutbound(mIo, aLog)
  {
  }

  ~Impl() { Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Result<void> Start(PeerQueryHandler& aHandler, PeerIntakeHandler* aIntake)
  {
    Result<void> listening = mInbound.Listen(mListen, aHandler, aIntake);
    if (listening) {
      mThread = std::thread([this] { mIo.run(); });
    }
    return listening;
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
    auto promise = std::make_shared<PeerResultPromise>();
    std::future<Result<PeerQueryResult>> future = promise->get_future();
    const std::string frame = EncodeQuery(QueryFrame{ callId, aQuery });
    asio::post(mIo, [this, aPeer, callId, promise, frame] {
      mOutbound.Start(aPeer, callId, promise, frame);
    });
    if (future.wait_for(aTimeout) == std::future_status::ready) {
      return future.get();
    }
    asio::post(mIo, [this, aPeer, callId] { mOutbound.GiveUp(aPeer, callId); });
    return Fail(FailureKind::kPeerUnreachable, "peer", PeerAddress(aPeer));
  }

private:
  void CloseAllConnections()
  {
    mInbound.Close();
    mOutbound.Close();
    mIo.stop();
  }

  const Endpoint mListen;
  std::atomic<uint64_t> mLastCallId{ 0 };
  std::thread mThread;
  asio::io_context mIo;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  // Used by mThread only, once that runs.
  InboundQueries mInbound;
  OutboundQueries mOutbound;
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
