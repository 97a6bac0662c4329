// TaskWorkerPort: orders to the workers that run tasks of jobs.
#ifndef MULBERRYVALVE_PORTS_OUT_TASK_WORKER_PORT_H_
#define MULBERRYVALVE_PORTS_OUT_TASK_WORKER_PORT_H_

#include "mulberryvalve/core/jobs/worker_orders.h"

namespace mulberryvalve {

// WorkerReplies takes in what became of orders. Implementations are
// thread-safe and do not block for long.
class WorkerReplies
{
public:
  virtual ~WorkerReplies() = default;

  // OnOrderReply takes in the answer to an order.
  virtual void OnOrderReply(const TaskOrder& aOrder,
                            const OrderReply& aReply) = 0;

  // OnHoldReply takes in the answer to a renewal.
  virtual void OnHoldReply(const HoldOrder& aOrder,
                           const HoldReply& aReply) = 0;
};

// TaskWorkerPort's implementations are thread-safe and do not block. Each call
// is answered once, within a bounded time, and never before it returns on the
// calling thread; aReplies must live until then. An order that got no answer is
// told as kUnknown, never as refused. Calls that are under way together may be
// carried out in any order.
class TaskWorkerPort
{
public:
  virtual ~TaskWorkerPort() = default;

  // Send gives one order.
  virtual void Send(TaskOrder aOrder, WorkerReplies& aReplies) = 0;

  // Hold renews what runs and asks for the worker's lists.
  virtual void Hold(HoldOrder aOrder, WorkerReplies& aReplies) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_TASK_WORKER_PORT_H_
