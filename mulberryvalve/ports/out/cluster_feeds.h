// ConfigFeed and WorkerFeed: the operators' configuration and the list of
// workers, decoded from the platform's records.
#ifndef MULBERRYVALVE_PORTS_OUT_CLUSTER_FEEDS_H_
#define MULBERRYVALVE_PORTS_OUT_CLUSTER_FEEDS_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/jobs/cluster_config.h"
#include "mulberryvalve/core/jobs/worker_messages.h"

#include <vector>

namespace mulberryvalve {

// ConfigFeed follows the configuration. Not thread-safe.
class ConfigFeed
{
public:
  virtual ~ConfigFeed() = default;

  // Next waits up to aWait for a change and returns the configuration in force.
  // Its version never decreases. Errors: those of KeyedLog.
  virtual Result<ClusterConfig> Next(Milliseconds aWait) = 0;
};

// WorkerFeed follows the list of workers. Not thread-safe.
class WorkerFeed
{
public:
  virtual ~WorkerFeed() = default;

  // Next returns the current list of workers. Errors: those of KeyedLog.
  virtual Result<std::vector<WorkerInfo>> Next() = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_CLUSTER_FEEDS_H_
