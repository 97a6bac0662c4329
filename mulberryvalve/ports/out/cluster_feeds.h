// ConfigFeed and WorkerFeed: what operators want and which workers there are,
// decoded from the platform's records.
#ifndef MULBERRYVALVE_PORTS_OUT_CLUSTER_FEEDS_H_
#define MULBERRYVALVE_PORTS_OUT_CLUSTER_FEEDS_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/jobs/cluster_config.h"
#include "mulberryvalve/core/jobs/worker_orders.h"

#include <vector>

namespace mulberryvalve {

// ConfigFeed follows the configuration. One thread calls it.
class ConfigFeed
{
public:
  virtual ~ConfigFeed() = default;

  // Next waits up to aWait for a change and returns the configuration in force.
  // Versions never fall. Errors: those of KeyedLog.
  virtual Result<ClusterConfig> Next(Milliseconds aWait) = 0;
};

// WorkerFeed follows the list of workers. One thread calls it.
class WorkerFeed
{
public:
  virtual ~WorkerFeed() = default;

  // Next returns the whole list as it is now. Errors: those of KeyedLog.
  virtual Result<std::vector<WorkerFacts>> Next() = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_CLUSTER_FEEDS_H_
