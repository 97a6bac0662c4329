#include "mulberryvalve/core/jobs/queue_order.h"

#include "mulberryvalve/core/jobs/caller_cost_policy.h"

namespace mulberryvalve {

std::unique_ptr<QueueingPolicy> MakeQueueingPolicy(QueueOrder aOrder)
{
  switch (aOrder) {
    case QueueOrder::kCallerCost:
      return std::make_unique<CallerCostPolicy>();
    case QueueOrder::kLeastWork:
      break;
  }
  return std::make_unique<LeastRemainingWorkPolicy>();
}

} // namespace mulberryvalve
