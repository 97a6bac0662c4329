#include "mulberryvalve/app/requests/upstream_directory.h"

#include <algorithm>
#include <map>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kRebuildInterval{ 25 };

} // namespace

UpstreamDirectory::UpstreamDirectory(WriterId aSelf,
                                     DomainId aDomain,
                                     UpstreamDirectoryPorts aPorts)
  : mSelf(std::move(aSelf))
  , mDomain(std::move(aDomain))
  , mPorts(aPorts)
{
}

std::shared_ptr<const UpstreamSnapshot> UpstreamDirectory::Now()
{
  const MonotonicTime now = mPorts.mClock.Now();
  MutexLock lock(mMutex);
  if (!mSnapshot || now >= mRebuildAt) {
    mSnapshot = BuildSnapshot();
    mRebuildAt = now + kRebuildInterval;
  }
  return mSnapshot;
}

std::shared_ptr<const UpstreamSnapshot> UpstreamDirectory::BuildSnapshot()
{
  auto snapshot = std::make_shared<UpstreamSnapshot>();
  ReadLimits(*snapshot);
  snapshot->mWorkers = EligibleWorkers();
  const std::vector<Member> live = mPorts.mPeers.Live();
  std::map<DomainId, std::vector<LiveInstance>> members;
  for (const WorkerSpec& worker : snapshot->mWorkers) {
    auto& sharing = members[worker.mDomain];
    if (sharing.empty()) {
      sharing = MembersOf(worker.mDomain, live);
    }
    const auto peers = static_cast<uint32_t>(mPorts.mPeers.LoadOf(worker.mId));
    const auto slots = static_cast<uint32_t>(std::max(0, worker.mSlots));
    const auto connections =
      static_cast<uint32_t>(std::max(0, worker.mConnections));
    const uint32_t bySlots = SlotLimit(
      WorkerSlots{ worker.mId, slots, peers }, sharing, mSelf.mInstance);
    const uint32_t byConnections =
      GuaranteedSlots(worker.mId, connections, sharing, mSelf.mInstance);
    snapshot->mPeers[worker.mId] =
      WorkerSlotUsage{ peers, std::min(bySlots, byConnections) };
  }
  return snapshot;
}

// Parses the document only when the version in force changes.
void UpstreamDirectory::ReadLimits(UpstreamSnapshot& aSnapshot)
{
  const BundleInForce inForce =
    mPorts.mConfig.Read([&](const ConfigStateMachine& aConfigState) {
      return aConfigState.InForce();
    });
  aSnapshot.mHasBundle = inForce.mVersion != BundleVersion();
  if (inForce.mVersion != mLimitsVersion) {
    mLimits = mPorts.mBundles.Read(inForce.mDocument).mBundle.mLimits;
    mLimitsVersion = inForce.mVersion;
  }
  aSnapshot.mLimits = mLimits;
}

std::vector<WorkerSpec> UpstreamDirectory::EligibleWorkers() const
{
  std::vector<WorkerSpec> local = LiveWorkersOf(mDomain);
  if (!local.empty()) {
    return local;
  }
  std::vector<WorkerSpec> others;
  for (const DomainId& domain : mPorts.mShards.Domains()) {
    const std::vector<WorkerSpec> workers = LiveWorkersOf(domain);
    others.insert(others.end(), workers.begin(), workers.end());
  }
  return others;
}

std::vector<WorkerSpec> UpstreamDirectory::LiveWorkersOf(
  const DomainId& aDomain) const
{
  const bool in =
    mPorts.mConfig.Read([&](const ConfigStateMachine& aConfigState) {
      return aConfigState.Domain(aDomain).mState == DomainState::kIn;
    });
  std::vector<WorkerSpec> live;
  if (!in) {
    return live;
  }
  for (const WorkerSpec& worker : *mPorts.mDirectory.InDomain(aDomain)) {
    if (worker.mState == WorkerState::kLive) {
      live.push_back(worker);
    }
  }
  return live;
}

// Excludes stopping members, since they accept no new requests. Their requests
// in flight are still counted from their status messages.
std::vector<LiveInstance> UpstreamDirectory::MembersOf(
  const DomainId& aDomain,
  const std::vector<Member>& aLive) const
{
  std::vector<LiveInstance> members{ LiveInstance{ mSelf.mInstance, true } };
  for (const Member& member : aLive) {
    const bool self = member.mId.mInstance == mSelf.mInstance;
    if (!self && member.mDomain == aDomain && !member.mStopping) {
      members.push_back(LiveInstance{ member.mId.mInstance,
                                      member.mState == MemberState::kAlive });
    }
  }
  return members;
}

} // namespace mulberryvalve
