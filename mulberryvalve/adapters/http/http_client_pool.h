// HttpClientPool: kept-alive HTTP connections by endpoint, used by the
// platform, worker and upstream adapters.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_HTTP_CLIENT_POOL_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_HTTP_CLIENT_POOL_H_

#include "mulberryvalve/adapters/http/http_message.h"

#include <memory>

namespace mulberryvalve {

// HttpClientPool makes exchanges, each with exclusive use of a connection. An
// answer without a length counts as lost, since it may be truncated. After a
// lost exchange, idle connections to the same endpoint whose last answer is
// older are closed, and so are those idle for too long, so that connections
// that died unnoticed cost one exchange at most. Thread-safe: idle connections
// are sharded by endpoint, each shard under its own lock. An exchange is never
// retried.
class HttpClientPool
{
public:
  // HttpClientPool keeps at most aIdlePerEndpoint idle connections to each
  // endpoint.
  explicit HttpClientPool(size_t aIdlePerEndpoint);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  // Exchange sends aCall and blocks until the whole answer has arrived or the
  // timeout has passed.
  HttpAnswer Exchange(const Endpoint& aEndpoint, const HttpCall& aCall);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_HTTP_CLIENT_POOL_H_
