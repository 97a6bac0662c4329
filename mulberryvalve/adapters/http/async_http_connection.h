// AsyncHttpConnection: one connection that makes one exchange at a time.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CONNECTION_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CONNECTION_H_

#include "mulberryvalve/adapters/http/async_http_client.h"
#include "mulberryvalve/adapters/http/peer_identification.h"

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace mulberryvalve {

// PendingExchange is a call in progress.
struct PendingExchange
{
  HttpCall mCall;
  std::unique_ptr<HttpCompletion> mCompletion;
  std::chrono::steady_clock::time_point mDeadline;
  // By when a connection that can carry the call must be ready, at the latest.
  std::chrono::steady_clock::time_point mReadyBy;
};

class AsyncHttpConnection;

// ConnectionListener is notified when a connection changes its state, and keeps
// idle connections.
class ConnectionListener
{
public:
  virtual ~ConnectionListener() = default;

  // OnIdle is called when a connection is ready for another exchange.
  virtual void OnIdle(const std::shared_ptr<AsyncHttpConnection>& aIdle) = 0;

  // OnExchangeFailed is called when an exchange got no answer or no connection.
  virtual void OnExchangeFailed(const std::string& aHost) = 0;

  // OnClosed is called when the peer has closed an idle connection.
  virtual void OnClosed(const AsyncHttpConnection& aClosed) = 0;
};

// AsyncHttpConnection must be used only on the thread that runs its context.
class AsyncHttpConnection
  : public std::enable_shared_from_this<AsyncHttpConnection>
{
public:
  using Time = std::chrono::steady_clock::time_point;

  // aContext and aListener must outlive this object.
  AsyncHttpConnection(asio::io_context& aContext,
                      ConnectionListener& aListener,
                      std::string aHost);

  // ConnectAndStart connects and makes the first exchange.
  void ConnectAndStart(const Endpoint& aEndpoint, PendingExchange aExchange);

  // StartExchange makes an exchange on an idle connection. If the call is for
  // one incarnation of the server, and the one at the other end is not known,
  // that is found out first.
  void StartExchange(PendingExchange aExchange);

  // Close ends an idle connection.
  void Close();

  // IsReusable returns whether an idle connection is open and has no unread
  // bytes.
  bool IsReusable() const;

  // Host returns the value of the Host header.
  const std::string& Host() const { return mHost; }

  // Peer returns the incarnation of the server that the connection leads to, or
  // zero while it is unknown.
  PeerIncarnation Peer() const { return mPeer; }

  // LastAnswerTime returns when the connection last answered.
  Time LastAnswerTime() const { return mLastAnswerTime; }

private:
  void StartTimer(Time aDeadline);
  void OnTimer();
  void OnConnected(const std::error_code& aError);
  bool NeedsIdentification() const;
  void Identify();
  void OnIdentified(HttpAnswer aAnswer, bool aKeep);
  void SendCall();
  void SendRequest(const HttpCall& aCall, Time aDeadline);
  void SendUnsent();
  void WaitForInput();
  void OnReadable(const std::error_code& aError);
  void OnBytes(std::string_view aBytes);
  void OnAnswer();
  void CompleteExchange(HttpAnswer aAnswer, bool aKeep);
  void FailExchange(HttpOutcome aOutcome);
  void FailSentExchange();
  bool HasUnreadBytes();
  HttpTraffic Traffic() const;

  ConnectionListener& mListener;
  const std::string mHost;
  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::optional<PendingExchange> mExchange;
  std::unique_ptr<HttpAnswerParser> mParser;
  // The part of the request that is not sent yet.
  std::string mUnsent;
  // The length of the whole request.
  size_t mRequestBytes = 0;
  // The traffic of the identification before the present request.
  HttpTraffic mIdentificationTraffic;
  PeerIncarnation mPeer;
  Time mLastAnswerTime;
  Time mTimerDeadline;
  bool mConnected = false;
  // The request that is in progress is the identification, not the call.
  bool mIsIdentifying = false;
  // The deadline has passed, and bytes that arrived before it are being read.
  bool mInLateReadGrace = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CONNECTION_H_
