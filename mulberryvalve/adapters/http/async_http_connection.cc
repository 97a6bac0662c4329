#include "mulberryvalve/adapters/http/async_http_connection.h"

#include <array>
#include <sys/socket.h>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;
using asio::ip::tcp;

constexpr size_t kReadBytes = 16 * 1024;
// Bytes that had come when the time was over are read within this.
constexpr Milliseconds kReadLate{ 20 };

} // namespace

AsyncHttpConnection::AsyncHttpConnection(asio::io_context& aContext,
                                         ConnectionOwner& aOwner,
                                         std::string aHost)
  : mOwner(aOwner)
  , mHost(std::move(aHost))
  , mSocket(aContext)
  , mTimer(aContext)
{
}

void AsyncHttpConnection::Open(const Endpoint& aEndpoint,
                               AsyncHttpExchange aExchange,
                               Time aConnectBy)
{
  mExchange = std::move(aExchange);
  Arm(aConnectBy);
  std::error_code error;
  const auto address = asio::ip::make_address_v4(aEndpoint.mAddress, error);
  if (!error) {
    mSocket.open(tcp::v4(), error);
  }
  if (!error) {
    mSocket.non_blocking(true, error);
  }
  if (!error) {
    mSocket.set_option(tcp::no_delay(true), error);
  }
  if (error) {
    Fail(HttpOutcome::kNotConnected);
    return;
  }
  mSocket.async_connect(
    tcp::endpoint(address, aEndpoint.mPort),
    [self = shared_from_this()](const std::error_code& aError) {
      self->OnConnected(aError);
    });
}

void AsyncHttpConnection::Begin(AsyncHttpExchange aExchange)
{
  mExchange = std::move(aExchange);
  mReadsLate = false;
  mReader = std::make_unique<AnswerReader>();
  mUnsent = RequestText(mHost, mExchange->mCall);
  mRequestBytes = mUnsent.size();
  Arm(mExchange->mEnd);
  Send();
}

void AsyncHttpConnection::Close()
{
  std::error_code ignored;
  mTimer.cancel(ignored);
  mSocket.close(ignored);
}

bool AsyncHttpConnection::IsQuiet() const
{
  char byte = 0;
  auto& socket = const_cast<tcp::socket&>(mSocket);
  const ssize_t got =
    ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void AsyncHttpConnection::Arm(Time aEnd)
{
  mTimerEnd = aEnd;
  mTimer.expires_at(aEnd);
  mTimer.async_wait([self = shared_from_this()](const std::error_code& aError) {
    if (!aError) {
      self->OnTimer();
    }
  });
}

// The thread may have been late: an answer that is there counts.
void AsyncHttpConnection::OnTimer()
{
  if (!mExchange || Steady::now() < mTimerEnd) {
    return;
  }
  if (!mConnected) {
    Fail(HttpOutcome::kNotConnected);
    return;
  }
  if (!std::exchange(mReadsLate, true) && HasUnread()) {
    Arm(Steady::now() + kReadLate);
    return;
  }
  Fail(HttpOutcome::kLost);
}

bool AsyncHttpConnection::HasUnread()
{
  std::error_code error;
  return mSocket.available(error) > 0 && !error;
}

void AsyncHttpConnection::OnConnected(const std::error_code& aError)
{
  if (!mExchange) {
    return;
  }
  if (aError) {
    Fail(HttpOutcome::kNotConnected);
    return;
  }
  mConnected = true;
  Watch();
  Begin(std::move(*mExchange));
}

void AsyncHttpConnection::Send()
{
  std::error_code error;
  const size_t sent = mSocket.write_some(asio::buffer(mUnsent), error);
  if (error && error != asio::error::would_block) {
    Fail(HttpOutcome::kLost);
    return;
  }
  mUnsent.erase(0, error ? 0 : sent);
  if (mUnsent.empty()) {
    return;
  }
  mSocket.async_wait(
    tcp::socket::wait_write,
    [self = shared_from_this()](const std::error_code& aError) {
      if (!aError && self->mExchange && !self->mUnsent.empty()) {
        self->Send();
      }
    });
}

// A connection is watched for as long as it is open, so that the end of an idle
// one is seen.
void AsyncHttpConnection::Watch()
{
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](const std::error_code& aError) {
      self->OnReadable(aError);
    });
}

void AsyncHttpConnection::OnReadable(const std::error_code& aError)
{
  if (!mSocket.is_open()) {
    return;
  }
  if (!mExchange) {
    Close();
    mOwner.OnClosed(*this);
    return;
  }
  std::array<char, kReadBytes> bytes;
  std::error_code error = aError;
  const size_t got = error ? 0 : mSocket.read_some(asio::buffer(bytes), error);
  if (error == asio::error::would_block) {
    Watch();
    return;
  }
  if (error || got == 0) {
    Fail(HttpOutcome::kLost);
    return;
  }
  Take(std::string_view(bytes.data(), got));
}

void AsyncHttpConnection::Take(std::string_view aBytes)
{
  switch (mReader->Take(aBytes)) {
    case AnswerState::kPartial:
      Watch();
      return;
    case AnswerState::kBroken:
      Fail(HttpOutcome::kLost);
      return;
    case AnswerState::kWhole:
      Finish();
      return;
  }
}

// The connection is idle before the answer is told, so that the next exchange
// may use it.
void AsyncHttpConnection::Finish()
{
  const AsyncHttpExchange exchange = std::move(*mExchange);
  mExchange.reset();
  const bool keep = mUnsent.empty() && mReader->KeepsConnection();
  HttpAnswer answer = mReader->TakeAnswer();
  answer.mTraffic = Traffic();
  mReader.reset();
  std::error_code ignored;
  mTimer.cancel(ignored);
  if (keep && IsInStep(exchange.mCall, answer)) {
    mUsedAt = Steady::now();
    Watch();
    mOwner.OnIdle(shared_from_this());
  } else {
    Close();
  }
  exchange.mCompletion->OnAnswer(std::move(answer));
}

void AsyncHttpConnection::Fail(HttpOutcome aOutcome)
{
  const AsyncHttpExchange exchange = std::move(*mExchange);
  mExchange.reset();
  Close();
  mOwner.OnLost(mHost);
  exchange.mCompletion->OnAnswer(HttpAnswer{ aOutcome, 0, "", {}, Traffic() });
}

// Nothing went over a connection on which no request was begun.
HttpTraffic AsyncHttpConnection::Traffic() const
{
  if (mReader == nullptr) {
    return HttpTraffic();
  }
  return HttpTraffic{ mRequestBytes - mUnsent.size(), mReader->Received() };
}

} // namespace mulberryvalve
