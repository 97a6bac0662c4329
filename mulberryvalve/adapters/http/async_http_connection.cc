#include "mulberryvalve/adapters/http/async_http_connection.h"

#include <array>
#include <sys/socket.h>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;
using asio::ip::tcp;

constexpr size_t kReadBufferBytes = 16 * 1024;
// Extra time to read bytes that had arrived by the deadline.
constexpr Milliseconds kLateReadGrace{ 20 };

} // namespace

AsyncHttpConnection::AsyncHttpConnection(asio::io_context& aContext,
                                         ConnectionListener& aListener,
                                         std::string aHost)
  : mListener(aListener)
  , mHost(std::move(aHost))
  , mSocket(aContext)
  , mTimer(aContext)
{
}

void AsyncHttpConnection::ConnectAndStart(const Endpoint& aEndpoint,
                                          PendingExchange aExchange)
{
  mExchange = std::move(aExchange);
  StartTimer(mExchange->mReadyBy);
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
    FailExchange(HttpOutcome::kNotConnected);
    return;
  }
  mSocket.async_connect(
    tcp::endpoint(address, aEndpoint.mPort),
    [self = shared_from_this()](const std::error_code& aError) {
      self->OnConnected(aError);
    });
}

void AsyncHttpConnection::StartExchange(PendingExchange aExchange)
{
  mExchange = std::move(aExchange);
  mIdentificationTraffic = HttpTraffic();
  if (NeedsIdentification()) {
    Identify();
  } else {
    SendCall();
  }
}

bool AsyncHttpConnection::NeedsIdentification() const
{
  return mExchange->mCall.mPeer != PeerIncarnation() &&
         mPeer == PeerIncarnation();
}

void AsyncHttpConnection::Identify()
{
  mIsIdentifying = true;
  SendRequest(mExchange->mCall.mIdentification->Call(), mExchange->mReadyBy);
}

// The thread may run late, or the process may have been paused: the call is not
// sent any more then.
void AsyncHttpConnection::OnIdentified(HttpAnswer aAnswer, bool aKeep)
{
  mIsIdentifying = false;
  mIdentificationTraffic = aAnswer.mTraffic;
  if (mPeer != mExchange->mCall.mPeer) {
    aAnswer.mOutcome = HttpOutcome::kOtherPeer;
    CompleteExchange(std::move(aAnswer), aKeep);
    return;
  }
  if (!aKeep || Steady::now() >= mExchange->mReadyBy) {
    FailExchange(HttpOutcome::kNotConnected);
    return;
  }
  mLastAnswerTime = Steady::now();
  WaitForInput();
  SendCall();
}

void AsyncHttpConnection::SendCall()
{
  SendRequest(mExchange->mCall, mExchange->mDeadline);
}

void AsyncHttpConnection::SendRequest(const HttpCall& aCall, Time aDeadline)
{
  mInLateReadGrace = false;
  mParser = std::make_unique<HttpAnswerParser>();
  mUnsent = SerializeRequest(mHost, aCall);
  mRequestBytes = mUnsent.size();
  StartTimer(aDeadline);
  SendUnsent();
}

void AsyncHttpConnection::Close()
{
  std::error_code ignored;
  mTimer.cancel(ignored);
  mSocket.close(ignored);
}

bool AsyncHttpConnection::IsReusable() const
{
  char byte = 0;
  auto& socket = const_cast<tcp::socket&>(mSocket);
  const ssize_t got =
    ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void AsyncHttpConnection::StartTimer(Time aDeadline)
{
  mTimerDeadline = aDeadline;
  mTimer.expires_at(aDeadline);
  mTimer.async_wait([self = shared_from_this()](const std::error_code& aError) {
    if (!aError) {
      self->OnTimer();
    }
  });
}

// The thread may run late: an answer that arrived by the deadline still counts.
void AsyncHttpConnection::OnTimer()
{
  if (!mExchange || Steady::now() < mTimerDeadline) {
    return;
  }
  if (!mConnected) {
    FailExchange(HttpOutcome::kNotConnected);
    return;
  }
  if (!std::exchange(mInLateReadGrace, true) && HasUnreadBytes()) {
    StartTimer(Steady::now() + kLateReadGrace);
    return;
  }
  FailSentExchange();
}

bool AsyncHttpConnection::HasUnreadBytes()
{
  std::error_code error;
  return mSocket.available(error) > 0 && !error;
}

void AsyncHttpConnection::OnConnected(const std::error_code& aError)
{
  if (!mExchange) {
    return;
  }
  // This thread may run late, and the call may no longer be permitted then.
  const bool isLate = Steady::now() >= mExchange->mDeadline;
  if (aError || isLate) {
    FailExchange(HttpOutcome::kNotConnected);
    return;
  }
  mConnected = true;
  WaitForInput();
  StartExchange(std::move(*mExchange));
}

void AsyncHttpConnection::SendUnsent()
{
  std::error_code error;
  const size_t sent = mSocket.write_some(asio::buffer(mUnsent), error);
  if (error && error != asio::error::would_block) {
    FailSentExchange();
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
        self->SendUnsent();
      }
    });
}

// Waits for input as long as the connection is open, so that a close of an idle
// connection by the peer is noticed.
void AsyncHttpConnection::WaitForInput()
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
    mListener.OnClosed(*this);
    return;
  }
  std::array<char, kReadBufferBytes> bytes;
  std::error_code error = aError;
  const size_t got = error ? 0 : mSocket.read_some(asio::buffer(bytes), error);
  if (error == asio::error::would_block) {
    WaitForInput();
    return;
  }
  if (error || got == 0) {
    FailSentExchange();
    return;
  }
  OnBytes(std::string_view(bytes.data(), got));
}

void AsyncHttpConnection::OnBytes(std::string_view aBytes)
{
  switch (mParser->Feed(aBytes)) {
    case HttpParseState::kIncomplete:
      WaitForInput();
      return;
    case HttpParseState::kMalformed:
      FailSentExchange();
      return;
    case HttpParseState::kComplete:
      OnAnswer();
      return;
  }
}

void AsyncHttpConnection::OnAnswer()
{
  const bool canReuse = mUnsent.empty() && mParser->CanReuseConnection();
  HttpAnswer answer = mParser->ReleaseAnswer();
  answer.mTraffic = Traffic();
  mParser.reset();
  std::error_code ignored;
  mTimer.cancel(ignored);
  const HttpCall& call = mExchange->mCall;
  if (mPeer == PeerIncarnation() && call.mIdentification != nullptr) {
    mPeer = call.mIdentification->PeerOf(answer);
  }
  answer.mPeer = mPeer;
  if (mIsIdentifying) {
    OnIdentified(std::move(answer), canReuse);
    return;
  }
  const bool keep = canReuse && EchoedHeaderMatches(call, answer);
  CompleteExchange(std::move(answer), keep);
}

// Returns the connection to the idle list before calling the completion, so
// that the next exchange can use it.
void AsyncHttpConnection::CompleteExchange(HttpAnswer aAnswer, bool aKeep)
{
  const PendingExchange exchange = std::move(*mExchange);
  mExchange.reset();
  if (aKeep) {
    mLastAnswerTime = Steady::now();
    WaitForInput();
    mListener.OnIdle(shared_from_this());
  } else {
    Close();
  }
  exchange.mCompletion->OnAnswer(std::move(aAnswer));
}

// An identification that gets no answer leaves its call unsent.
void AsyncHttpConnection::FailSentExchange()
{
  FailExchange(mIsIdentifying ? HttpOutcome::kNotConnected
                              : HttpOutcome::kLost);
}

void AsyncHttpConnection::FailExchange(HttpOutcome aOutcome)
{
  const PendingExchange exchange = std::move(*mExchange);
  mExchange.reset();
  Close();
  mListener.OnExchangeFailed(mHost);
  exchange.mCompletion->OnAnswer(
    HttpAnswer{ aOutcome, 0, "", {}, Traffic(), {} });
}

// There is no parser, and no traffic, before the first request.
HttpTraffic AsyncHttpConnection::Traffic() const
{
  if (mParser == nullptr) {
    return mIdentificationTraffic;
  }
  return HttpTraffic{ mIdentificationTraffic.mSent + mRequestBytes -
                        mUnsent.size(),
                      mIdentificationTraffic.mReceived + mParser->Received() };
}

} // namespace mulberryvalve
