// TaskWorkerPort: orders to the workers that run tasks of jobs.
#ifndef MULBERRYVALVE_PORTS_OUT_TASK_WORKER_PORT_H_
#define MULBERRYVALVE_PORTS_OUT_TASK_WORKER_PORT_H_

#include "mulberryvalve/core/jobs/worker_orders.h"

namespace mulberryvalve {

// TaskWorkerPort's implementations are thread-safe and block for a bounded
// time. An order that got no answer is told as kUnknown, never as refused.
class TaskWorkerPort
{
public:
  virtual ~TaskWorkerPort() = default;

  // Send gives one order.
  virtual OrderReply Send(const TaskOrder& aOrder) = 0;

  // Hold renews what runs and returns the worker's lists.
  virtual HoldReply Hold(const HoldOrder& aOrder) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_TASK_WORKER_PORT_H_
