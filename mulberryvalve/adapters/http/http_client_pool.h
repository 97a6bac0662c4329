// HttpClientPool: kept-alive HTTP connections by endpoint, used by the
// platform, worker and upstream adapters.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_HTTP_CLIENT_POOL_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_HTTP_CLIENT_POOL_H_

#include "mulberryvalve/adapters/http/http_message.h"

#include <memory>

namespace mulberryvalve {

// HttpClientPool makes exchanges, each on a connection of its own for the
// time. An answer that carries no length is lost, since it may be cut short.
// After a loss, idle connections to the same endpoint that answered last before
// it are closed, and so are those idle for long: one that has gone silent costs
// one exchange at most. Thread-safe: connections are kept in shards by
// endpoint, each under its own lock. It never repeats an exchange.
class HttpClientPool
{
public:
  // HttpClientPool keeps at most aIdlePerEndpoint idle connections to each
  // endpoint.
  explicit HttpClientPool(size_t aIdlePerEndpoint);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  // Exchange sends aCall and waits for its whole answer.
  HttpAnswer Exchange(const Endpoint& aEndpoint, const HttpCall& aCall);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_HTTP_CLIENT_POOL_H_
