#include "mulberryvalve/adapters/ws_peer/ws_peer_port.h"

#include "mulberryvalve/adapters/ws_peer/inbound_peers.h"
#include "mulberryvalve/adapters/ws_peer/outbound_peers.h"
#include "mulberryvalve/adapters/ws_peer/peer_status_codec.h"
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

// Impl owns the I/O thread. mMutex guards the members that other threads use;
// mInbound and mOutbound are used on the I/O thread only, once it runs.
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
    , mInbound(mOptions,
               aListener,
               aLog,
               aClock,
               mIo,
               [this] { StopIoIfNoConnections(); })
    , mOutbound(mOptions,
                aLog,
                aClock,
                aRandom,
                mIo,
                [this] { StopIoIfNoConnections(); })
    , mMaintenanceTimer(mIo)
    , mStopTimer(mIo)
  {
  }

  Result<void> Start()
  {
    MutexLock lock(mMutex);
    if (mStarted) {
      return Fail(FailureKind::kConflict, "listen", "started before");
    }
    const Result<void> checked = mOutbound.CheckPeerAddresses();
    if (!checked) {
      return checked.error();
    }
    const Result<uint16_t> port = mInbound.Bind();
    if (!port) {
      return port.error();
    }
    mListenPort = port.value();
    mStarted = true;
    mInbound.Begin();
    mOutbound.Begin();
    ScheduleMaintenance();
    mThread = std::thread([this] { RunIo(); });
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

  void Broadcast(const PeerStatus& aStatus)
  {
    Result<std::string> frame = EncodePeerStatus(aStatus);
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
      queued = !mPendingFrame.empty();
      mPendingFrame = std::move(frame.value());
    }
    if (!queued) {
      asio::post(mIo, [this] { SendPendingFrame(); });
    }
  }

  uint16_t ListenPort() const { return mListenPort; }
  uint64_t BytesSent() const { return mOutbound.BytesSent(); }
  uint64_t BytesReceived() const { return mInbound.BytesReceived(); }
  uint64_t DroppedFrames() const { return mOutbound.DroppedFrames(); }

private:
  // RunIo runs the I/O handlers until Stop. An exception ends only the handler
  // that threw it.
  void RunIo()
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

  void SendPendingFrame()
  {
    std::string frame;
    {
      MutexLock lock(mMutex);
      frame.swap(mPendingFrame);
    }
    mOutbound.Send(frame);
  }

  void ScheduleMaintenance()
  {
    mMaintenanceTimer.expires_after(mOptions.mPingInterval);
    mMaintenanceTimer.async_wait([this](const std::error_code& aError) {
      if (!aError && !mStopping) {
        ScheduleMaintenance();
        mOutbound.PingAndReplaceConnections();
        mInbound.CloseSilentConnections();
      }
    });
  }

  void BeginStop()
  {
    mStopping = true;
    mMaintenanceTimer.cancel();
    mStopTimer.expires_after(kStopTimeout);
    mStopTimer.async_wait([this](const std::error_code&) { mIo.stop(); });
    mOutbound.BeginStop();
    mInbound.BeginStop();
    StopIoIfNoConnections();
  }

  // StopIoIfNoConnections ends the I/O thread, once stopping, when no
  // connection is left.
  void StopIoIfNoConnections()
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
  std::string mPendingFrame MV_GUARDED_BY(mMutex);

  asio::io_context mIo;
  InboundPeers mInbound;
  OutboundPeers mOutbound;
  asio::steady_timer mMaintenanceTimer;
  asio::steady_timer mStopTimer;
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

void WsPeerPort::Broadcast(const PeerStatus& aStatus)
{
  mImpl->Broadcast(aStatus);
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

uint64_t WsPeerPort::StatusesDropped() const
{
  return mImpl->DroppedFrames();
}

} // namespace mulberryvalve
