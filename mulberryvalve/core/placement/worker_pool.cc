#include "mulberryvalve/core/placement/worker_pool.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Resources kNoCapacity{ -1, -1, -1 };

size_t RackJobKey(const RackId& aRack, const JobId& aJob)
{
  constexpr size_t kFactor = 0x9E3779B97F4A7C15ULL;
  return std::hash<RackId>()(aRack) * kFactor + std::hash<JobId>()(aJob);
}

Resources AvailableCapacity(const PooledWorker& aWorker)
{
  return aWorker.Accepts() ? aWorker.Free() : kNoCapacity;
}

Resources ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.mCpuMillis, aRight.mCpuMillis),
           std::max(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::max(aLeft.mAccelerators, aRight.mAccelerators) };
}

} // namespace

void WorkerPool::Add(PooledWorker aWorker)
{
  const auto [index, added] =
    mIndexById.try_emplace(aWorker.mSpec.mId, mWorkers.size());
  if (added) {
    mWorkers.push_back(std::move(aWorker));
  } else {
    mWorkers[index->second] = std::move(aWorker);
  }
  mIndexIsValid = false;
}

void WorkerPool::Charge(const WorkerId& aWorker, const Resources& aAmount)
{
  const auto found = mIndexById.find(aWorker);
  if (found == mIndexById.end()) {
    return;
  }
  mWorkers[found->second].mCharged += aAmount;
  if (mIndexIsValid) {
    UpdateIndexAt(found->second);
  }
}

void WorkerPool::SetQuarantined(const WorkerId& aWorker)
{
  const auto found = mIndexById.find(aWorker);
  if (found == mIndexById.end()) {
    return;
  }
  mWorkers[found->second].mQuarantined = true;
  if (mIndexIsValid) {
    UpdateIndexAt(found->second);
  }
}

void WorkerPool::ChargeTask(const WorkerId& aWorker, const TaskEntry& aTask)
{
  mChargeByTeam[aTask.mDemand->mTeam] += aTask.mDemand->mResources;
  const auto found = mIndexById.find(aWorker);
  if (found == mIndexById.end()) {
    return;
  }
  PooledWorker& worker = mWorkers[found->second];
  worker.mTasks.push_back(&aTask);
  mTasksByRackAndJob[RackJobKey(worker.mSpec.mRack, aTask.mJob)]++;
  worker.mCharged += aTask.mDemand->mResources;
  if (mIndexIsValid) {
    UpdateIndexAt(found->second);
  }
}

const PooledWorker* WorkerPool::Find(const WorkerId& aWorker) const
{
  const auto found = mIndexById.find(aWorker);
  return found == mIndexById.end() ? nullptr : &mWorkers[found->second];
}

Resources WorkerPool::TeamCharge(const TeamId& aTeam) const
{
  const auto found = mChargeByTeam.find(aTeam);
  return found == mChargeByTeam.end() ? Resources() : found->second;
}

int WorkerPool::TasksOnRack(const RackId& aRack, const JobId& aJob) const
{
  const auto found = mTasksByRackAndJob.find(RackJobKey(aRack, aJob));
  return found == mTasksByRackAndJob.end() ? 0 : found->second;
}

void WorkerPool::RebuildIndex() const
{
  mLeafCount = 1;
  while (mLeafCount < mWorkers.size()) {
    mLeafCount *= 2;
  }
  mMaxFreeInSubtree.assign(2 * mLeafCount, kNoCapacity);
  for (size_t index = 0; index < mWorkers.size(); index++) {
    mMaxFreeInSubtree[mLeafCount + index] = AvailableCapacity(mWorkers[index]);
  }
  for (size_t node = mLeafCount - 1; node > 0; node--) {
    mMaxFreeInSubtree[node] = ElementwiseMax(mMaxFreeInSubtree[2 * node],
                                             mMaxFreeInSubtree[2 * node + 1]);
  }
  mIndexIsValid = true;
}

void WorkerPool::UpdateIndexAt(size_t aIndex) const
{
  size_t node = mLeafCount + aIndex;
  mMaxFreeInSubtree[node] = AvailableCapacity(mWorkers[aIndex]);
  for (node /= 2; node > 0; node /= 2) {
    mMaxFreeInSubtree[node] = ElementwiseMax(mMaxFreeInSubtree[2 * node],
                                             mMaxFreeInSubtree[2 * node + 1]);
  }
}

std::optional<size_t> WorkerPool::FindFit(size_t aNode,
                                          size_t aBegin,
                                          size_t aEnd,
                                          const Resources& aDemand,
                                          size_t aFrom) const
{
  if (aEnd <= aFrom || !aDemand.FitsIn(mMaxFreeInSubtree[aNode])) {
    return std::nullopt;
  }
  if (aEnd - aBegin == 1) {
    return aBegin;
  }
  const size_t middle = (aBegin + aEnd) / 2;
  const auto left = FindFit(2 * aNode, aBegin, middle, aDemand, aFrom);
  return left ? left : FindFit(2 * aNode + 1, middle, aEnd, aDemand, aFrom);
}

std::optional<size_t> WorkerPool::NextFit(const Resources& aDemand,
                                          size_t aFrom) const
{
  if (mWorkers.empty()) {
    return std::nullopt;
  }
  if (!mIndexIsValid) {
    RebuildIndex();
  }
  const auto found = FindFit(1, 0, mLeafCount, aDemand, aFrom);
  return found || aFrom == 0 ? found : FindFit(1, 0, mLeafCount, aDemand, 0);
}

} // namespace mulberryvalve
