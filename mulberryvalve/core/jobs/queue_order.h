// The orders of waiting steps between which an operator chooses.
#ifndef MULBERRYVALVE_CORE_JOBS_QUEUE_ORDER_H_
#define MULBERRYVALVE_CORE_JOBS_QUEUE_ORDER_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/jobs/queueing_policy.h"

#include <memory>

namespace mulberryvalve {

enum class QueueOrder
{
  kLeastWork,
  kCallerCost,
};

inline constexpr EnumTable<QueueOrder, 2> kQueueOrderNames{ {
  { { QueueOrder::kLeastWork, "least-work" },
    { QueueOrder::kCallerCost, "caller-cost" } },
} };

// MakeQueueingPolicy returns the policy of aOrder, never null. Thread-safe.
std::unique_ptr<QueueingPolicy> MakeQueueingPolicy(QueueOrder aOrder);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_QUEUE_ORDER_H_
