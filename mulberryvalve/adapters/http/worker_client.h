// WorkerClient: commands to workers over HTTP.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_WORKER_CLIENT_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_WORKER_CLIENT_H_

#include "mulberryvalve/adapters/http/http_client_pool.h"
#include "mulberryvalve/ports/out/worker_port.h"

#include <string>

namespace mulberryvalve {

// WorkerClient implements WorkerPort. Thread-safe. Each command takes at most
// the timeout.
class WorkerClient : public WorkerPort
{
public:
  WorkerClient(HttpClientPool& aPool, Milliseconds aTimeout);

  Result<SyncReply> Sync(const WorkerSpec& aWorker,
                         const SyncRequest& aRequest) override;
  Result<void> Start(const WorkerSpec& aWorker,
                     const StartCommand& aCommand) override;
  Result<void> Stop(const WorkerSpec& aWorker,
                    const CommandFence& aFence,
                    const LeaseId& aLease) override;
  Result<CheckpointId> Checkpoint(const WorkerSpec& aWorker,
                                  const CommandFence& aFence,
                                  const LeaseId& aLease) override;
  Result<void> Throttle(const WorkerSpec& aWorker,
                        const CommandFence& aFence,
                        const LeaseId& aLease,
                        int aPercent) override;

private:
  Result<std::string> Post(const WorkerSpec& aWorker,
                           const std::string& aCommand,
                           const std::string& aBody);

  HttpClientPool& mPool;
  const Milliseconds mTimeout;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_WORKER_CLIENT_H_
