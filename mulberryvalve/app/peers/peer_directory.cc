#include "mulberryvalve/app/peers/peer_directory.h"

#include <utility>

namespace mulberryvalve {

PeerDirectory::PeerDirectory(MembershipOptions aOptions,
                             FoldedStream<ConfigFold>& aConfig,
                             const Clock& aClock)
  : mConfig(aConfig)
  , mClock(aClock)
  , mMembership(std::move(aOptions), aClock.Now())
{
}

void PeerDirectory::OnPeerStatus(const PeerStatus& aDigest)
{
  {
    MutexLock lock(mMutex);
    if (!mMembership.OnPeerStatus(aDigest, mClock.Now())) {
      return;
    }
    mBundles[aDigest.mSender.mInstance] = aDigest.mBundle.mVersion;
  }
  mConfig.Update([&](ConfigFold& aFold) {
    const PeerBundleState& bundle = aDigest.mBundle;
    bool news = aFold.MergeBundle(BundleInForce{
      bundle.mVersion, bundle.mOffset, bundle.mDigest, bundle.mDocument });
    for (const PeerDomainState& fact : aDigest.mDomains) {
      const bool newer = aFold.MergeDomain(
        fact.mDomain,
        DomainStatus{ fact.mState, fact.mOffset, OperatorId(), "peer" });
      news = news || newer;
    }
    return news;
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

bool PeerDirectory::SomePeerLacks(BundleVersion aVersion) const
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

PeerStatus MakeDigest(const FoldedStream<ConfigFold>& aConfig,
                      const MembershipOptions& aSelf,
                      MonotonicTime aNow)
{
  PeerStatus digest;
  digest.mSender = aSelf.mSelf;
  digest.mDomain = aSelf.mDomain;
  digest.mCallerEndpoint = aSelf.mCallerEndpoint;
  const auto age =
    std::chrono::ceil<Milliseconds>(aNow - aConfig.ConfirmedAt());
  digest.mConfigConfirmedAgeMs =
    static_cast<uint32_t>(std::min<int64_t>(age.count(), UINT32_MAX));
  aConfig.Read([&](const ConfigFold& aFold) {
    digest.mConfigHead = aFold.Folded();
    const BundleInForce& bundle = aFold.InForce();
    digest.mBundle = PeerBundleState{
      bundle.mVersion, bundle.mOffset, bundle.mDigest, bundle.mDocument
    };
    for (const auto& [domain, status] : aFold.Domains()) {
      digest.mDomains.push_back(
        PeerDomainState{ domain, status.mState, status.mOffset });
    }
    return true;
  });
  return digest;
}

} // namespace mulberryvalve
