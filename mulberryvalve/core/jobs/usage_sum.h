// Estimates how much of the CPU of all workers is in use.
#ifndef MULBERRYVALVE_CORE_JOBS_USAGE_SUM_H_
#define MULBERRYVALVE_CORE_JOBS_USAGE_SUM_H_

#include "mulberryvalve/core/jobs/worker_table.h"

#include <unordered_map>
#include <vector>

namespace mulberryvalve {

// UsageSum is not synchronised.
class UsageSum
{
public:
  // OnChanges updates the sums. aChanged are the workers of aWorkers that
  // changed since the last call.
  void OnChanges(const std::vector<WorkerRoom*>& aChanged,
                 const WorkerTable& aWorkers);

  // MostIsUnused returns whether the estimated CPU usage of all available
  // workers is low enough for work not to wait for a better suited worker.
  bool MostIsUnused() const;

private:
  struct Usage
  {
    int64_t mUsed = 0;
    int64_t mCapacity = 0;
  };

  void UpdateWorker(const WorkerRoom& aWorker);

  std::unordered_map<WorkerId, Usage> mUsageByWorker;
  Usage mTotal;
  uint64_t mRemovals = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_USAGE_SUM_H_
