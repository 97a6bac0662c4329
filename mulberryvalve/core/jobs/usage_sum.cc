#include "mulberryvalve/core/jobs/usage_sum.h"

#include "mulberryvalve/core/jobs/job_placement.h"

namespace mulberryvalve {
namespace {

constexpr int64_t kPercent = 100;
// Above this share of all processors in use, work waits for room that suits it.
constexpr int64_t kMostlyUsedPercent = 60;

} // namespace

void UsageSum::OnChanges(const std::vector<WorkerRoom*>& aChanged,
                         const WorkerTable& aWorkers)
{
  if (mRemovals == aWorkers.Removals()) {
    for (const WorkerRoom* worker : aChanged) {
      Count(*worker);
    }
    return;
  }
  mRemovals = aWorkers.Removals();
  mUsages.clear();
  mSum = Usage();
  for (const auto& [id, worker] : aWorkers.All()) {
    Count(worker);
  }
}

bool UsageSum::MostIsUnused() const
{
  return mSum.mUsed * kPercent < mSum.mCapacity * kMostlyUsedPercent;
}

void UsageSum::Count(const WorkerRoom& aWorker)
{
  Usage& usage = mUsages[aWorker.mFacts.mId];
  mSum.mUsed -= usage.mUsed;
  mSum.mCapacity -= usage.mCapacity;
  usage = Usage();
  if (aWorker.mListed && aWorker.mInventoried && !aWorker.mSilent) {
    usage = Usage{ UsedOf(aWorker), aWorker.CpuCapacity() };
  }
  mSum.mUsed += usage.mUsed;
  mSum.mCapacity += usage.mCapacity;
}

} // namespace mulberryvalve
