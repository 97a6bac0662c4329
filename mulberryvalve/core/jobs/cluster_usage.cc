#include "mulberryvalve/core/jobs/cluster_usage.h"

#include "mulberryvalve/core/base/scale.h"
#include "mulberryvalve/core/jobs/job_placement_policy.h"

namespace mulberryvalve {
namespace {

// Above this usage of all CPU, work waits for a worker that suits it.
constexpr int64_t kMaxUsedPercent = 60;

} // namespace

void ClusterUsage::OnWorkersChanged(const std::vector<WorkerEntry*>& aChanged,
                                    const WorkerTable& aWorkers)
{
  if (mRemovals == aWorkers.Removals()) {
    for (const WorkerEntry* worker : aChanged) {
      UpdateWorker(*worker);
    }
    return;
  }
  mRemovals = aWorkers.Removals();
  mUsageByWorker.clear();
  mTotal = Usage();
  for (const auto& [id, worker] : aWorkers.All()) {
    UpdateWorker(worker);
  }
}

bool ClusterUsage::HasSpareCapacity() const
{
  return mTotal.mUsed * kPercent < mTotal.mCapacity * kMaxUsedPercent;
}

void ClusterUsage::UpdateWorker(const WorkerEntry& aWorker)
{
  Usage& usage = mUsageByWorker[aWorker.mInfo.mId];
  mTotal.mUsed -= usage.mUsed;
  mTotal.mCapacity -= usage.mCapacity;
  usage = Usage();
  if (aWorker.mListed && aWorker.mHasReportedRuns && !aWorker.mSilent) {
    usage = Usage{ EstimatedCpuUsage(aWorker), aWorker.CpuCapacity() };
  }
  mTotal.mUsed += usage.mUsed;
  mTotal.mCapacity += usage.mCapacity;
}

} // namespace mulberryvalve
