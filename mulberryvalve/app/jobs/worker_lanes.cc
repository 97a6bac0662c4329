#include "mulberryvalve/app/jobs/worker_lanes.h"

#include <functional>
#include <string>
#include <utility>

namespace mulberryvalve {

WorkerLanes::WorkerLanes(LaneHost& aHost, TaskWorkerPort& aPort)
{
  for (std::unique_ptr<LaneShard>& shard : mShards) {
    shard = std::make_unique<LaneShard>(aHost, aPort);
  }
}

WorkerLanes::~WorkerLanes()
{
  Stop();
}

void WorkerLanes::Open(const WorkerId& aWorker)
{
  ShardOf(aWorker).Open(aWorker);
}

void WorkerLanes::Post(TaskOrder aOrder)
{
  LaneShard& shard = ShardOf(aOrder.mWorker);
  shard.Post(std::move(aOrder));
}

void WorkerLanes::OnDurable(const WorkerId& aWorker)
{
  ShardOf(aWorker).OnDurable(aWorker);
}

void WorkerLanes::BeginStop()
{
  for (const std::unique_ptr<LaneShard>& shard : mShards) {
    shard->BeginStop();
  }
}

void WorkerLanes::Stop()
{
  BeginStop();
  for (const std::unique_ptr<LaneShard>& shard : mShards) {
    shard->Stop();
  }
}

LaneShard& WorkerLanes::ShardOf(const WorkerId& aWorker)
{
  return *mShards[std::hash<std::string>()(aWorker.Text()) % kShards];
}

} // namespace mulberryvalve
