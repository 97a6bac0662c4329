#include "mulberryvalve/app/jobs/worker_sender.h"

#include <functional>
#include <string>
#include <utility>

namespace mulberryvalve {

WorkerSender::WorkerSender(WorkerSenderDelegate& aDelegate,
                           TaskWorkerPort& aPort)
{
  for (std::unique_ptr<WorkerSenderShard>& shard : mShards) {
    shard = std::make_unique<WorkerSenderShard>(aDelegate, aPort);
  }
}

WorkerSender::~WorkerSender()
{
  Stop();
}

void WorkerSender::StartRenewals(const WorkerId& aWorker)
{
  ShardOf(aWorker).StartRenewals(aWorker);
}

void WorkerSender::Enqueue(TaskOrder aOrder)
{
  WorkerSenderShard& shard = ShardOf(aOrder.mWorker);
  shard.Enqueue(std::move(aOrder));
}

void WorkerSender::OnEndsDurable(const WorkerId& aWorker)
{
  ShardOf(aWorker).OnEndsDurable(aWorker);
}

void WorkerSender::BeginStop()
{
  for (const std::unique_ptr<WorkerSenderShard>& shard : mShards) {
    shard->BeginStop();
  }
}

void WorkerSender::Stop()
{
  BeginStop();
  for (const std::unique_ptr<WorkerSenderShard>& shard : mShards) {
    shard->Stop();
  }
}

WorkerSenderShard& WorkerSender::ShardOf(const WorkerId& aWorker)
{
  return *mShards[std::hash<std::string>()(aWorker.Text()) % kShards];
}

} // namespace mulberryvalve
