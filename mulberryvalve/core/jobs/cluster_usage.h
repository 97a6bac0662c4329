// Estimates how much of the CPU of all workers is in use.
#ifndef MULBERRYVALVE_CORE_JOBS_CLUSTER_USAGE_H_
#define MULBERRYVALVE_CORE_JOBS_CLUSTER_USAGE_H_

#include "mulberryvalve/core/jobs/worker_table.h"

#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// ClusterUsage is not synchronised.
class ClusterUsage
{
public:
  // OnWorkersChanged updates the sums. aChanged are the workers of aWorkers
  // that changed since the last call.
  void OnWorkersChanged(const std::vector<WorkerEntry*>& aChanged,
                        const WorkerTable& aWorkers);

  // HasSpareCapacity returns whether the estimated CPU usage of all available
  // workers is low enough for work not to wait for a better suited worker.
  bool HasSpareCapacity() const;

private:
  struct Usage
  {
    int64_t mUsed = 0;
    int64_t mCapacity = 0;
  };

  void UpdateWorker(const WorkerEntry& aWorker);

  std::unordered_map<WorkerId, Usage> mUsageByWorker;
  Usage mTotal;
  uint64_t mRemovals = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_CLUSTER_USAGE_H_
