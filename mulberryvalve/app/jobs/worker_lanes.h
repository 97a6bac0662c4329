// WorkerSender: talks to all workers of a shard for its owner.
#ifndef MULBERRYVALVE_APP_JOBS_WORKER_LANES_H_
#define MULBERRYVALVE_APP_JOBS_WORKER_LANES_H_

#include "mulberryvalve/app/jobs/lane_shard.h"

#include <array>
#include <memory>

namespace mulberryvalve {

// WorkerSender renews and lists each worker and sends it orders, on few threads
// however many workers there are. A worker that does not answer holds up nobody
// else. When there is more to send than the threads carry, renewals go first,
// then stops, paces and starts, of whatever worker. Thread-safe: the workers
// are dealt to shards, each with a lock and a thread.
class WorkerSender
{
public:
  // aDelegate and aPort must outlive this object.
  WorkerSender(WorkerSenderDelegate& aDelegate, TaskWorkerPort& aPort);
  ~WorkerSender();
  WorkerSender(const WorkerSender&) = delete;
  WorkerSender& operator=(const WorkerSender&) = delete;

  // Open begins to renew a worker, unless that is done already. Does not block.
  void Open(const WorkerId& aWorker);

  // Enqueue queues an order to its worker. Does not block.
  void Enqueue(TaskOrder aOrder);

  // OnEndsDurable says that the ends which a worker listed are durable. Does
  // not block.
  void OnEndsDurable(const WorkerId& aWorker);

  // BeginStop ends all sending; calls under way are still answered.
  void BeginStop();

  // Stop does the same and waits until the calls under way are answered. It
  // must not be called while the host's locks are held.
  void Stop();

private:
  static constexpr size_t kShards = 2;

  WorkerSenderShard& ShardOf(const WorkerId& aWorker);

  std::array<std::unique_ptr<WorkerSenderShard>, kShards> mShards;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_WORKER_LANES_H_
