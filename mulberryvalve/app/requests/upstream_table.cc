#include "mulberryvalve/app/requests/upstream_table.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

WorkerSlotUsage SlotUsageOf(const WorkerSpec& aWorker,
                            const PeerSlotUsage& aPeers)
{
  const auto found = aPeers.find(aWorker.mId);
  const auto slots = static_cast<uint32_t>(std::max(0, aWorker.mSlots));
  return found == aPeers.end() ? WorkerSlotUsage{ 0, slots } : found->second;
}

} // namespace

UpstreamTable::UpstreamTable(UpstreamPolicy& aPolicy,
                             RandomSource& aRandom,
                             bool aEject)
  : mPolicy(aPolicy)
  , mRandom(aRandom)
  , mEject(aEject)
{
}

UpstreamTable::Shard& UpstreamTable::ShardOf(const WorkerId& aWorker)
{
  return mShards[std::hash<WorkerId>()(aWorker) % kShards];
}

std::optional<WorkerSpec> UpstreamTable::Reserve(
  const std::vector<WorkerSpec>& aCandidates,
  const std::unordered_set<WorkerId>& aExcluded,
  const PeerSlotUsage& aPeers,
  MonotonicTime aNow)
{
  Views views = BuildViews(aCandidates, aExcluded, aPeers, aNow);
  if (mEject && views.mEjectedCount * 2 <= aCandidates.size()) {
    for (size_t i = 0; i < views.mAll.size(); i++) {
      views.mAll[i].mAvailable = views.mAll[i].mAvailable && !views.mEjected[i];
    }
  }
  while (const auto chosen = mPolicy.Choose(views.mAll, aNow, mRandom)) {
    const WorkerSpec& worker = aCandidates[*chosen];
    if (TryTakeSlot(worker.mId, SlotUsageOf(worker, aPeers).mLimit)) {
      return worker;
    }
    views.mAll[*chosen].mAvailable = false;
  }
  return std::nullopt;
}

UpstreamTable::Views UpstreamTable::BuildViews(
  const std::vector<WorkerSpec>& aCandidates,
  const std::unordered_set<WorkerId>& aExcluded,
  const PeerSlotUsage& aPeers,
  MonotonicTime aNow)
{
  Views views;
  for (const WorkerSpec& worker : aCandidates) {
    const WorkerSlotUsage use = SlotUsageOf(worker, aPeers);
    Shard& shard = ShardOf(worker.mId);
    MutexLock lock(shard.mMutex);
    const Entry& entry = shard.mEntries[worker.mId];
    UpstreamView view;
    view.mAvailable = aExcluded.count(worker.mId) == 0 &&
                      entry.mInFlight < use.mLimit &&
                      entry.mHealth.AcceptsAttempts(aNow);
    view.mSlots = static_cast<uint32_t>(worker.mSlots);
    view.mLocalInFlight = entry.mInFlight;
    view.mRemoteInFlight = use.mPeersInFlight;
    view.mLatency = entry.mHealth.Latency();
    view.mErrorRate = entry.mHealth.ErrorRate();
    views.mAll.push_back(view);
    const bool ejected = entry.mHealth.IsEjected(entry.mInFlight, aNow);
    views.mEjected.push_back(ejected);
    views.mEjectedCount += ejected ? 1 : 0;
  }
  return views;
}

bool UpstreamTable::TryTakeSlot(const WorkerId& aWorker, uint32_t aLimit)
{
  Shard& shard = ShardOf(aWorker);
  MutexLock lock(shard.mMutex);
  Entry& entry = shard.mEntries[aWorker];
  if (entry.mInFlight >= aLimit) {
    return false;
  }
  entry.mInFlight++;
  return true;
}

void UpstreamTable::Release(const AttemptEnd& aEnd, MonotonicTime aNow)
{
  Shard& shard = ShardOf(aEnd.mWorker);
  MutexLock lock(shard.mMutex);
  Entry& entry = shard.mEntries[aEnd.mWorker];
  entry.mInFlight--;
  entry.mHealth.OnResult(aEnd.mResult, aEnd.mElapsed, aNow);
  if (aEnd.mDraining) {
    entry.mHealth.OnDraining(aNow);
  }
}

std::vector<WorkerLoad> UpstreamTable::Loads() const
{
  std::vector<WorkerLoad> loads;
  for (const Shard& shard : mShards) {
    MutexLock lock(shard.mMutex);
    for (const auto& [worker, entry] : shard.mEntries) {
      if (entry.mInFlight > 0) {
        loads.push_back(WorkerLoad{ worker, entry.mInFlight });
      }
    }
  }
  return loads;
}

} // namespace mulberryvalve
