// AsyncHttpClient: HTTP exchanges with many endpoints on a few threads.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CLIENT_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CLIENT_H_

#include "mulberryvalve/adapters/http/http_message.h"

#include <memory>
#include <vector>

namespace mulberryvalve {

// HttpCompletion is told what became of one exchange.
class HttpCompletion
{
public:
  virtual ~HttpCompletion() = default;

  // OnAnswer is called once, on a thread of the client. It must not block for
  // long: other exchanges wait meanwhile.
  virtual void OnAnswer(HttpAnswer aAnswer) = 0;
};

// AsyncHttpClientOptions are the figures of a client.
struct AsyncHttpClientOptions
{
  // How many threads drive the connections.
  size_t mThreads = 1;
  // How many idle connections to an endpoint are kept.
  size_t mIdlePerEndpoint = 1;
};

// AsyncHttpClient makes exchanges as HttpClientPool does, without a thread that
// waits for each: the same outcomes, limits and distrust of connections after
// a loss. Thread-safe: endpoints are dealt to threads, and the connections to
// an endpoint are touched by its thread only. It never repeats an exchange.
class AsyncHttpClient
{
public:
  explicit AsyncHttpClient(AsyncHttpClientOptions aOptions);

  // No exchange may be under way.
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  // Exchange sends aCall and tells aCompletion, never on the calling thread
  // before it returns. It does not block.
  void Exchange(const Endpoint& aEndpoint,
                HttpCall aCall,
                std::unique_ptr<HttpCompletion> aCompletion);

private:
  class Loop;
  std::vector<std::unique_ptr<Loop>> mLoops;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_ASYNC_HTTP_CLIENT_H_
