#include "standins/relay/connection.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve::standins {
namespace {

using asio::ip::tcp;

// A direction stops reading while more bytes than this are queued.
constexpr std::size_t kMaxQueuedBytes = std::size_t{ 4 } << 20;

void DisableNagle(tcp::socket& aSocket)
{
  asio::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
}

} // namespace

void Reset(tcp::socket& aSocket)
{
  asio::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

Connection::Connection(tcp::socket aClient, const RelayFaults& aFaults)
  : mFaults(aFaults)
  , mClient(std::move(aClient))
  , mTarget(mClient.get_executor())
  , mRequests(mClient, mTarget, false)
  , mResponses(mTarget, mClient, true)
{
}

void Connection::Start(const tcp::endpoint& aTarget)
{
  mTarget.async_connect(
    aTarget, [self = shared_from_this()](const asio::error_code& aError) {
      if (aError && !self->mSilent) {
        self->Close();
        return;
      }
      DisableNagle(self->mClient);
      DisableNagle(self->mTarget);
      self->Read(self->mRequests);
      self->Read(self->mResponses);
    });
}

void Connection::Silence()
{
  mSilent = true;
  for (Direction* direction : { &mRequests, &mResponses }) {
    if (direction->mPaused) {
      direction->mPaused = false;
      Read(*direction);
    }
  }
}

void Connection::Close()
{
  mRequests.mTimer.cancel();
  mResponses.mTimer.cancel();
  Reset(mClient);
  Reset(mTarget);
}

void Connection::Read(Direction& aDirection)
{
  aDirection.mFrom.async_read_some(
    asio::buffer(aDirection.mBuffer),
    [self = shared_from_this(), &aDirection](const asio::error_code& aError,
                                             std::size_t aSize) {
      if (aError) {
        self->OnReadError(aDirection, aError);
      } else {
        self->OnRead(aDirection, aSize);
      }
    });
}

void Connection::OnRead(Direction& aDirection, std::size_t aSize)
{
  const bool dropped = mSilent || (aDirection.mIsResponse &&
                                   mFaults.IsOn(RelayFault::kDropAnswers));
  if (!dropped) {
    SteadyTime sendAt = std::chrono::steady_clock::now() +
                        Milliseconds(mFaults.Value(RelayFault::kDelayMs));
    if (!aDirection.mQueue.empty()) {
      sendAt = std::max(sendAt, aDirection.mQueue.back().mSendAt);
    }
    aDirection.mQueue.push_back(
      { sendAt, std::string(aDirection.mBuffer.data(), aSize) });
    aDirection.mQueuedBytes += aSize;
    Send(aDirection);
  }
  if (!mSilent && aDirection.mQueuedBytes > kMaxQueuedBytes) {
    aDirection.mPaused = true;
    return;
  }
  Read(aDirection);
}

void Connection::OnReadError(Direction& aDirection,
                             const asio::error_code& aError)
{
  if (mSilent) {
    Reset(aDirection.mFrom);
    return;
  }
  if (aError != asio::error::eof) {
    Close();
    return;
  }
  aDirection.mReachedEof = true;
  ShutdownIfDrained(aDirection);
}

void Connection::Send(Direction& aDirection)
{
  if (aDirection.mSending || aDirection.mQueue.empty()) {
    return;
  }
  aDirection.mSending = true;
  const SteadyTime sendAt = aDirection.mQueue.front().mSendAt;
  if (sendAt <= std::chrono::steady_clock::now()) {
    Write(aDirection);
    return;
  }
  aDirection.mTimer.expires_at(sendAt);
  aDirection.mTimer.async_wait(
    [self = shared_from_this(), &aDirection](const asio::error_code& aError) {
      if (!aError && !self->mSilent) {
        self->Write(aDirection);
      }
    });
}

void Connection::Write(Direction& aDirection)
{
  asio::async_write(aDirection.mTo,
                    asio::buffer(aDirection.mQueue.front().mBytes),
                    [self = shared_from_this(),
                     &aDirection](const asio::error_code& aError, std::size_t) {
                      if (self->mSilent) {
                        return;
                      }
                      if (aError) {
                        self->Close();
                      } else {
                        self->OnWritten(aDirection);
                      }
                    });
}

void Connection::OnWritten(Direction& aDirection)
{
  aDirection.mQueuedBytes -= aDirection.mQueue.front().mBytes.size();
  aDirection.mQueue.pop_front();
  aDirection.mSending = false;
  if (aDirection.mPaused && aDirection.mQueuedBytes <= kMaxQueuedBytes) {
    aDirection.mPaused = false;
    Read(aDirection);
  }
  ShutdownIfDrained(aDirection);
  Send(aDirection);
}

void Connection::ShutdownIfDrained(Direction& aDirection)
{
  if (!aDirection.mReachedEof || !aDirection.mQueue.empty()) {
    return;
  }
  asio::error_code ignored;
  aDirection.mTo.shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace mulberryvalve::standins
