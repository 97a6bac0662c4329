// UpstreamClient: sends attempts of requests to upstreams over HTTP.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_UPSTREAM_CLIENT_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_UPSTREAM_CLIENT_H_

#include "mulberryvalve/adapters/http/http_client_pool.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/upstream_port.h"

namespace mulberryvalve {

// UpstreamClient implements UpstreamPort. Thread-safe.
class UpstreamClient : public UpstreamPort
{
public:
  UpstreamClient(HttpClientPool& aPool, const Clock& aClock);

  UpstreamReply Send(const WorkerSpec& aWorker,
                     const UpstreamCall& aCall) override;

private:
  HttpClientPool& mPool;
  const Clock& mClock;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_UPSTREAM_CLIENT_H_
