// AsyncHttpConnection: one connection that makes one exchange at a time.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CONNECTION_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CONNECTION_H_

#include "mulberryvalve/adapters/http/async_http_client.h"

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

  // ConnectAndStart connects, by aConnectBy at the latest, and makes the first
  // exchange.
  void ConnectAndStart(const Endpoint& aEndpoint,
                       PendingExchange aExchange,
                       Time aConnectBy);

  // StartExchange makes an exchange on an idle connection.
  void StartExchange(PendingExchange aExchange);

  // Close ends an idle connection.
  void Close();

  // IsReusable returns whether an idle connection is open and has no unread
  // bytes.
  bool IsReusable() const;

  // Host returns the value of the Host header.
  const std::string& Host() const { return mHost; }

  // LastAnswerTime returns when the connection last answered.
  Time LastAnswerTime() const { return mLastAnswerTime; }

private:
  void StartTimer(Time aDeadline);
  void OnTimer();
  void OnConnected(const std::error_code& aError);
  void SendUnsent();
  void WaitForInput();
  void OnReadable(const std::error_code& aError);
  void OnBytes(std::string_view aBytes);
  void CompleteExchange();
  void FailExchange(HttpOutcome aOutcome);
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
  Time mLastAnswerTime;
  Time mTimerDeadline;
  bool mConnected = false;
  // The deadline has passed, and bytes that arrived before it are being read.
  bool mInLateReadGrace = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CONNECTION_H_
