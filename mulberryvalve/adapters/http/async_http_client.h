// AsyncHttpClient: HTTP exchanges with many endpoints on a few threads.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CLIENT_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CLIENT_H_

#include "mulberryvalve/adapters/http/http_message.h"

#include <memory>
#include <vector>

namespace mulberryvalve {

// HttpCompletion receives the outcome of one exchange.
class HttpCompletion
{
public:
  virtual ~HttpCompletion() = default;

  // OnAnswer is called once, on a thread of the client. It must not block for
  // long, since other exchanges on that thread wait meanwhile.
  virtual void OnAnswer(HttpAnswer aAnswer) = 0;
};

// AsyncHttpClientOptions configures an AsyncHttpClient.
struct AsyncHttpClientOptions
{
  // Number of event loop threads.
  size_t mThreads = 1;
  // Maximum number of idle connections kept per endpoint.
  size_t mIdlePerEndpoint = 1;
};

// AsyncHttpClient makes exchanges without blocking a thread for each. Outcomes,
// limits and the closing of idle connections after a failure are those of
// HttpClientPool. Thread-safe: each endpoint is assigned to one thread, and
// only that thread accesses its connections. An exchange is never retried.
// A call for one incarnation of its server is sent only on a connection that
// leads to it. A new connection is asked first, in half of the call's timeout.
class AsyncHttpClient
{
public:
  explicit AsyncHttpClient(AsyncHttpClientOptions aOptions);

  // No exchange may be in progress.
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  // Exchange sends aCall and passes the answer to aCompletion, which is never
  // called on the calling thread before Exchange returns. It does not block.
  void Exchange(const Endpoint& aEndpoint,
                HttpCall aCall,
                std::unique_ptr<HttpCompletion> aCompletion);

private:
  class EventLoop;
  std::vector<std::unique_ptr<EventLoop>> mEventLoops;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CLIENT_H_
