// AsyncHttpConnection: one connection that makes exchanges one after the other.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CONNECTION_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CONNECTION_H_

#include "mulberryvalve/adapters/http/async_http_client.h"

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace mulberryvalve {

// AsyncHttpExchange is a call on its way.
struct AsyncHttpExchange
{
  HttpCall mCall;
  std::unique_ptr<HttpCompletion> mCompletion;
  std::chrono::steady_clock::time_point mEnd;
};

class AsyncHttpConnection;

// ConnectionOwner keeps connections while they are idle.
class ConnectionOwner
{
public:
  virtual ~ConnectionOwner() = default;

  // OnIdle says that a connection can make another exchange.
  virtual void OnIdle(const std::shared_ptr<AsyncHttpConnection>& aIdle) = 0;

  // OnLost says that an exchange was not answered or not begun.
  virtual void OnLost(const std::string& aHost) = 0;

  // OnClosed says that an idle connection has ended.
  virtual void OnClosed(const AsyncHttpConnection& aClosed) = 0;
};

// AsyncHttpConnection is used on the thread of its context only.
class AsyncHttpConnection
  : public std::enable_shared_from_this<AsyncHttpConnection>
{
public:
  using Time = std::chrono::steady_clock::time_point;

  // aContext and aOwner must outlive this object.
  AsyncHttpConnection(asio::io_context& aContext,
                      ConnectionOwner& aOwner,
                      std::string aHost);

  // Open connects for the first exchange, which it then makes.
  void Open(const Endpoint& aEndpoint,
            AsyncHttpExchange aExchange,
            Time aConnectBy);

  // Begin makes an exchange on an idle connection.
  void Begin(AsyncHttpExchange aExchange);

  // Close ends an idle connection.
  void Close();

  // IsQuiet tells whether an idle connection is open with nothing to read.
  bool IsQuiet() const;

  // Host returns the endpoint as calls name it.
  const std::string& Host() const { return mHost; }

  // UsedAt returns when the connection last answered.
  Time UsedAt() const { return mUsedAt; }

private:
  void Arm(Time aEnd);
  void OnTimer();
  void OnConnected(const std::error_code& aError);
  void Send();
  void Watch();
  void OnReadable(const std::error_code& aError);
  void Take(std::string_view aBytes);
  void Finish();
  void Fail(HttpOutcome aOutcome);
  bool HasUnread();
  HttpTraffic Traffic() const;

  ConnectionOwner& mOwner;
  const std::string mHost;
  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::optional<AsyncHttpExchange> mExchange;
  std::unique_ptr<AnswerReader> mReader;
  // What of the request is not sent yet.
  std::string mUnsent;
  // The length of the whole request.
  size_t mRequestBytes = 0;
  Time mUsedAt;
  Time mTimerEnd;
  bool mConnected = false;
  // Bytes that came in time were not read yet when the time was over.
  bool mReadsLate = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CONNECTION_H_
