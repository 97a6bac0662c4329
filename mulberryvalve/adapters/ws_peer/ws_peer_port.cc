#include "mulberryvalve/adapters/ws_peer/ws_peer_port.h"

#include "mulberryvalve/adapters/ws_peer/digest_codec.h"
#include "mulberryvalve/adapters/ws_peer/inbound_peers.h"
#include "mulberryvalve/adapters/ws_peer/outbound_peers.h"
#include "mulberryvalve/core/base/mutex.h"

#include <asio.hpp>
#include <atomic>
#include <string>
#include <thread>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kStopTimeout{ 600 };

} // namespace

// Impl holds the io thread. mMutex guards what other threads touch; both groups
// of connections belong to the io thread.
class WsPeerPort::Impl
{
public:
  Impl(WsPeerOptions aOptions,
       PeerListener& aListener,
       EventLog& aLog,
       const Clock& aClock,
       RandomSource& aRandom)
    : mOptions(std::move(aOptions))
    , mLog(aLog)
    , mInbound(mOptions, aListener, aLog, aClock, mIo, [this] { FinishStop(); })
    , mOutbound(mOptions, aLog, aClock, aRandom, mIo, [this] { FinishStop(); })
    , mUpkeep(mIo)
    , mStopGuard(mIo)
  {
  }

  Result<void> Start()
  {
    MutexLock lock(mMutex);
    if (mStarted) {
      return Fail(FailureKind::kConflict, "listen", "started before");
    }
    const Result<void> usable = mOutbound.Check();
    if (!usable) {
      return usable.error();
    }
    const Result<uint16_t> port = mInbound.Bind();
    if (!port) {
      return port.error();
    }
    mListenPort = port.value();
    mStarted = true;
    mInbound.Begin();
    mOutbound.Begin();
    ScheduleUpkeep();
    mThread = std::thread([this] { Run(); });
    return Done();
  }

  void Stop()
  {
    std::thread thread;
    {
      MutexLock lock(mMutex);
      mStarted = true;
      thread.swap(mThread);
    }
    if (thread.joinable()) {
      asio::post(mIo, [this] { BeginStop(); });
      thread.join();
    }
  }

  void Broadcast(const PeerStatus& aDigest)
  {
    Result<std::string> frame = EncodeDigest(aDigest);
    if (!frame) {
      const Failure& failure = frame.error();
      mLog.Write(EventLevel::kError,
                 "peer_digest_not_encoded",
                 { { "field", failure.mField }, { "why", failure.mDetail } });
      return;
    }
    bool queued = false;
    {
      MutexLock lock(mMutex);
      queued = !mPending.empty();
      mPending = std::move(frame.value());
    }
    if (!queued) {
      asio::post(mIo, [this] { SendPending(); });
    }
  }

  uint16_t ListenPort() const { return mListenPort; }
  uint64_t BytesSent() const { return mOutbound.BytesSent(); }
  uint64_t BytesReceived() const { return mInbound.BytesReceived(); }
  uint64_t Dropped() const { return mOutbound.Dropped(); }

private:
  // Run serves the sockets until Stop. An exception ends one handler only.
  void Run()
  {
    for (;;) {
      try {
        mIo.run();
        return;
      } catch (const std::exception& error) {
        mLog.Write(
          EventLevel::kError, "peer_io_exception", { { "why", error.what() } });
      }
    }
  }

  void SendPending()
  {
    std::string frame;
    {
      MutexLock lock(mMutex);
      frame.swap(mPending);
    }
    mOutbound.Send(frame);
  }

  void ScheduleUpkeep()
  {
    mUpkeep.expires_after(mOptions.mPingInterval);
    mUpkeep.async_wait([this](const std::error_code& aError) {
      if (!aError && !mStopping) {
        ScheduleUpkeep();
        mOutbound.Upkeep();
        mInbound.CloseSilent();
      }
    });
  }

  void BeginStop()
  {
    mStopping = true;
    mUpkeep.cancel();
    mStopGuard.expires_after(kStopTimeout);
    mStopGuard.async_wait([this](const std::error_code&) { mIo.stop(); });
    mOutbound.BeginStop();
    mInbound.BeginStop();
    FinishStop();
  }

  // FinishStop ends the io thread when no connection is left.
  void FinishStop()
  {
    if (mStopping && mOutbound.Empty() && mInbound.Empty()) {
      mIo.stop();
    }
  }

  const WsPeerOptions mOptions;
  EventLog& mLog;
  std::atomic<uint16_t> mListenPort{ 0 };

  Mutex mMutex;
  bool mStarted MV_GUARDED_BY(mMutex) = false;
  std::thread mThread MV_GUARDED_BY(mMutex);
  std::string mPending MV_GUARDED_BY(mMutex);

  asio::io_context mIo;
  InboundPeers mInbound;
  OutboundPeers mOutbound;
  asio::steady_timer mUpkeep;
  asio::steady_timer mStopGuard;
  bool mStopping = false;
};

WsPeerPort::WsPeerPort(WsPeerOptions aOptions,
                       PeerListener& aListener,
                       EventLog& aLog,
                       const Clock& aClock,
                       RandomSource& aRandom)
  : mImpl(std::make_unique<Impl>(std::move(aOptions),
                                 aListener,
                                 aLog,
                                 aClock,
                                 aRandom))
{
}

WsPeerPort::~WsPeerPort()
{
  Stop();
}

Result<void> WsPeerPort::Start()
{
  return mImpl->Start();
}

void WsPeerPort::Stop()
{
  mImpl->Stop();
}

void WsPeerPort::Broadcast(const PeerStatus& aDigest)
{
  mImpl->Broadcast(aDigest);
}

uint16_t WsPeerPort::ListenPort() const
{
  return mImpl->ListenPort();
}

uint64_t WsPeerPort::BytesSent() const
{
  return mImpl->BytesSent();
}

uint64_t WsPeerPort::BytesReceived() const
{
  return mImpl->BytesReceived();
}

uint64_t WsPeerPort::DigestsDropped() const
{
  return mImpl->Dropped();
}

} // namespace mulberryvalve
