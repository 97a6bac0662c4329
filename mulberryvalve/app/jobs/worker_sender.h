// Sends orders and lease renewals to all workers of a shard.
#ifndef MULBERRYVALVE_APP_JOBS_WORKER_SENDER_H_
#define MULBERRYVALVE_APP_JOBS_WORKER_SENDER_H_

#include "mulberryvalve/app/jobs/worker_sender_shard.h"

#include <array>
#include <memory>

namespace mulberryvalve {

// Renews the leases of all workers and sends them orders, on a fixed number of
// threads. A worker that does not answer delays no other worker. Under overload
// WorkerSendSchedule decides what is sent first, regardless of the worker.
// Thread-safe: the workers are distributed over shards, each with its own mutex
// and thread.
class WorkerSender
{
public:
  // aDelegate and aPort must outlive this object.
  WorkerSender(WorkerSenderDelegate& aDelegate, TaskWorkerPort& aPort);
  ~WorkerSender();
  WorkerSender(const WorkerSender&) = delete;
  WorkerSender& operator=(const WorkerSender&) = delete;

  // Starts renewing a worker's lease unless it is being renewed already. Does
  // not block.
  void StartRenewals(const WorkerId& aWorker);

  // Queues an order for its worker. Does not block.
  void Enqueue(TaskOrder aOrder);

  // Records that the task ends which the worker reported are durable. Does not
  // block.
  void OnEndsDurable(const WorkerId& aWorker);

  // Sends nothing more. Replies to calls in flight are still delivered.
  void BeginStop();

  // Calls BeginStop and waits for the replies to all calls in flight. Must not
  // be called while holding the delegate's locks.
  void Stop();

private:
  static constexpr size_t kShards = 2;

  WorkerSenderShard& ShardOf(const WorkerId& aWorker);

  std::array<std::unique_ptr<WorkerSenderShard>, kShards> mShards;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_WORKER_SENDER_H_
