// PlatformClient: the platform's log service and instance list over HTTP.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_PLATFORM_CLIENT_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_PLATFORM_CLIENT_H_

#include "mulberryvalve/adapters/http/http_client_pool.h"
#include "mulberryvalve/ports/out/instance_list.h"
#include "mulberryvalve/ports/out/log_service.h"

namespace mulberryvalve {

// PlatformClient implements LogService and InstanceList. Thread-safe. Each call
// takes at most the timeout, and a read up to aWait in addition.
class PlatformClient
  : public LogService
  , public InstanceList
{
public:
  PlatformClient(Endpoint aPlatform,
                 HttpClientPool& aPool,
                 Milliseconds aTimeout);

  Result<AppendedRange> Append(const StreamName& aStream,
                               const std::vector<LogRecord>& aRecords) override;
  Result<LogPage> Read(const StreamName& aStream,
                       Offset aFrom,
                       uint32_t aLimit,
                       Milliseconds aWait) override;
  Result<std::vector<WorkerSpec>> Workers() override;

private:
  const Endpoint mPlatform;
  HttpClientPool& mPool;
  const Milliseconds mTimeout;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_PLATFORM_CLIENT_H_
