// WorkerSource: the last known workers of each failure domain.
#ifndef MULBERRYVALVE_APP_DIRECTORY_WORKER_SOURCE_H_
#define MULBERRYVALVE_APP_DIRECTORY_WORKER_SOURCE_H_

#include "mulberryvalve/core/model/worker.h"

#include <memory>
#include <vector>

namespace mulberryvalve {

// WorkersOfDomain is an immutable list that readers share.
using WorkersOfDomain = std::shared_ptr<const std::vector<WorkerSpec>>;

// WorkerSource may return stale data. Implementations are thread-safe and do
// not block.
class WorkerSource
{
public:
  virtual ~WorkerSource() = default;

  // InDomain returns the workers of aDomain; never null.
  virtual WorkersOfDomain InDomain(const DomainId& aDomain) const = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_DIRECTORY_WORKER_SOURCE_H_
