// TaskWorkerPort: sends orders to the workers that run the tasks of job graphs.
#ifndef MULBERRYVALVE_PORTS_OUT_TASK_WORKER_PORT_H_
#define MULBERRYVALVE_PORTS_OUT_TASK_WORKER_PORT_H_

#include "mulberryvalve/core/jobs/worker_messages.h"

namespace mulberryvalve {

// WorkerReplyHandler receives the results of orders. Implementations are
// thread-safe and do not block for long.
class WorkerReplyHandler
{
public:
  virtual ~WorkerReplyHandler() = default;

  // OnOrderReply receives the reply to an order.
  virtual void OnOrderReply(const TaskOrder& aOrder,
                            const OrderReply& aReply) = 0;

  // OnRenewalReply receives the reply to a lease renewal.
  virtual void OnRenewalReply(const RenewalRequest& aOrder,
                              const RenewalReply& aReply) = 0;
};

// TaskWorkerPort sends orders asynchronously. Implementations are thread-safe
// and do not block. Each call is replied to exactly once, within a bounded
// time, and never on the calling thread before the call returns; aReplies must
// outlive the reply. An order without a response is reported as kUnknown, never
// as refused. Concurrent calls may take effect in any order.
//
// A call reaches only the incarnation of the worker that it names, if it names
// one; but a worker may carry out an unanswered order seconds later. The
// reading in each reply tells which incarnation answered, or zero if that is
// unknown.
class TaskWorkerPort
{
public:
  virtual ~TaskWorkerPort() = default;

  // Send sends one order. If another incarnation answers, the order was not
  // sent (kNotSent), and the reading is that one's.
  virtual void Send(TaskOrder aOrder, WorkerReplyHandler& aReplies) = 0;

  // Renew renews the leases of a worker's tasks and requests the worker's lists
  // of running and ended tasks. If another incarnation answers, nothing was
  // renewed or acknowledged there, and the lists are that one's.
  virtual void Renew(RenewalRequest aOrder, WorkerReplyHandler& aReplies) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_TASK_WORKER_PORT_H_
