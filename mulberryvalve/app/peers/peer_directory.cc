#include "mulberryvalve/app/peers/peer_directory.h"

#include <utility>

namespace mulberryvalve {

PeerDirectory::PeerDirectory(MembershipOptions aOptions,
                             StreamReplica<ConfigStateMachine>& aConfig,
                             const Clock& aClock)
  : mConfig(aConfig)
  , mClock(aClock)
  , mMembership(std::move(aOptions), aClock.Now())
{
}

void PeerDirectory::OnPeerStatus(const PeerStatus& aStatus)
{
  {
    MutexLock lock(mMutex);
    if (!mMembership.OnPeerStatus(aStatus, mClock.Now())) {
      return;
    }
    mBundles[aStatus.mSender.mInstance] = aStatus.mBundle.mVersion;
  }
  mConfig.Update([&](ConfigStateMachine& aConfigState) {
    const PeerBundleState& bundle = aStatus.mBundle;
    bool changed = aConfigState.MergeBundle(BundleInForce{
      bundle.mVersion, bundle.mOffset, bundle.mDigest, bundle.mDocument });
    for (const PeerDomainState& domainState : aStatus.mDomains) {
      const bool newer = aConfigState.MergeDomain(
        domainState.mDomain,
        DomainStatus{
          domainState.mState, domainState.mOffset, OperatorId(), "peer" });
      changed = changed || newer;
    }
    return changed;
  });
}

void PeerDirectory::SetSelf(bool aReady, bool aStopping)
{
  MutexLock lock(mMutex);
  mMembership.SetSelf(aReady, aStopping);
}

bool PeerDirectory::IsAlive(const WriterId& aWriter) const
{
  MutexLock lock(mMutex);
  return mMembership.IsAlive(aWriter, mClock.Now());
}

bool PeerDirectory::Prefers(const ShardId& aShard,
                            const DomainId& aDomain,
                            const WriterId& aSelf) const
{
  MutexLock lock(mMutex);
  const auto preferred =
    mMembership.PreferredOwner(aShard, aDomain, mClock.Now());
  return preferred && *preferred == aSelf;
}

std::vector<Member> PeerDirectory::Live() const
{
  MutexLock lock(mMutex);
  return mMembership.Live(mClock.Now());
}

bool PeerDirectory::HasPeerBehind(BundleVersion aVersion) const
{
  MutexLock lock(mMutex);
  for (const Member& member : mMembership.Live(mClock.Now())) {
    const auto known = mBundles.find(member.mId.mInstance);
    if (known != mBundles.end() && known->second < aVersion) {
      return true;
    }
  }
  return false;
}

uint64_t PeerDirectory::LoadOf(const WorkerId& aWorker) const
{
  MutexLock lock(mMutex);
  return mMembership.LoadOf(aWorker, mClock.Now());
}

PeerStatus MakePeerStatus(const StreamReplica<ConfigStateMachine>& aConfig,
                          const MembershipOptions& aSelf,
                          MonotonicTime aNow)
{
  PeerStatus message;
  message.mSender = aSelf.mSelf;
  message.mDomain = aSelf.mDomain;
  message.mCallerEndpoint = aSelf.mCallerEndpoint;
  const auto age =
    std::chrono::ceil<Milliseconds>(aNow - aConfig.ConfirmedAt());
  message.mConfigConfirmedAgeMs =
    static_cast<uint32_t>(std::min<int64_t>(age.count(), UINT32_MAX));
  aConfig.Read([&](const ConfigStateMachine& aConfigState) {
    message.mConfigHead = aConfigState.Folded();
    const BundleInForce& bundle = aConfigState.InForce();
    message.mBundle = PeerBundleState{
      bundle.mVersion, bundle.mOffset, bundle.mDigest, bundle.mDocument
    };
    for (const auto& [domain, status] : aConfigState.Domains()) {
      message.mDomains.push_back(
        PeerDomainState{ domain, status.mState, status.mOffset });
    }
    return true;
  });
  return message;
}

} // namespace mulberryvalve
