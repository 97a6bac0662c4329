#include "mulberryvalve/app/jobs/shard_balancer.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// Of the instances that see a shard without an owner, one in this many joins at
// each poll.
constexpr uint64_t kVacantJoinOneIn = 2;
// Same for a shard whose owner should be replaced. Several instances see it and
// one is enough, so the probability is lower.
constexpr uint64_t kReplaceJoinOneIn = 6;
// Limits how often the backoff is doubled.
constexpr uint32_t kMaxDoublings = 3;

} // namespace

ShardBalancer::ShardBalancer(ShardBalancerDelays aDelays,
                             GroupMember aSelf,
                             const LayoutView& aLayout,
                             RandomSource& aRandom)
  : mDelays(aDelays)
  , mSelf(std::move(aSelf))
  , mLayout(aLayout)
  , mRandom(aRandom)
  , mPollPhase(aRandom.Below(kPhaseSteps))
{
}

void ShardBalancer::OnView(ShardNumber aShard,
                           const GroupView& aView,
                           MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  ShardState& shard = mShards[aShard];
  const bool isUnchanged =
    shard.mIsKnown && shard.mOwner.has_value() == aView.mOwner.has_value() &&
    (!shard.mOwner || shard.mOwner->mPeer == aView.mOwner->mPeer);
  if (!isUnchanged) {
    shard.mOwnerSince = aNow;
  }
  shard.mIsKnown = true;
  shard.mOwner = aView.mOwner;
  shard.mHasOthers = !aView.mOthers.empty();
}

JoinReason ShardBalancer::DecideJoin(ShardNumber aShard, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  ShardState& shard = mShards[aShard];
  if (!shard.mIsKnown || shard.mIsMember || aNow < shard.mBackoffUntil) {
    return JoinReason::kNone;
  }
  if (!shard.mOwner) {
    shard.mIsMember =
      aNow >= shard.mOwnerSince + JoinDelay() && RandomOneIn(kVacantJoinOneIn);
    return shard.mIsMember ? JoinReason::kShardVacant : JoinReason::kNone;
  }
  // Another member that does not hold the shard is replacing the owner already.
  const bool isReplaceable =
    !shard.mHasOthers && aNow >= shard.mOwnerSince + mDelays.mMinOwnerAge;
  shard.mIsMember = isReplaceable &&
                    IsBetterOwner(mSelf, *shard.mOwner, aShard) &&
                    RandomOneIn(kReplaceJoinOneIn);
  return shard.mIsMember ? JoinReason::kReplaceOwner : JoinReason::kNone;
}

void ShardBalancer::OnAssigned(ShardNumber aShard, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  ShardState& shard = mShards[aShard];
  if (!shard.mHeldSince) {
    shard.mHeldSince = aNow;
  }
  shard.mOwner = mSelf;
}

void ShardBalancer::OnProgress(ShardNumber aShard, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  ShardState& shard = mShards[aShard];
  if (shard.mHeldSince && aNow >= *shard.mHeldSince + mDelays.mMinOwnerAge) {
    shard.mFailures = 0;
  }
}

void ShardBalancer::OnLeft(ShardNumber aShard, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  ShardState& shard = mShards[aShard];
  const uint32_t doublings = std::min(shard.mFailures, kMaxDoublings);
  shard.mFailures++;
  shard.mBackoffUntil =
    aNow + mDelays.mInitialBackoff * (int64_t{ 1 } << doublings);
  shard.mIsMember = false;
  shard.mHeldSince.reset();
  shard.mOwner.reset();
  shard.mIsKnown = false;
}

size_t ShardBalancer::CountHeld() const
{
  MutexLock lock(mMutex);
  return static_cast<size_t>(
    std::count_if(mShards.begin(), mShards.end(), [](const auto& aEntry) {
      return aEntry.second.mHeldSince.has_value();
    }));
}

bool ShardBalancer::ShouldHandOver(ShardNumber aShard,
                                   const GroupView& aView) const
{
  MutexLock lock(mMutex);
  return std::any_of(aView.mOthers.begin(),
                     aView.mOthers.end(),
                     [&](const GroupMember& aCandidate) {
                       mMutex.AssertHeld();
                       return IsBetterOwner(aCandidate, mSelf, aShard);
                     });
}

bool ShardBalancer::MayBeReplaced(ShardNumber aShard) const
{
  MutexLock lock(mMutex);
  return !MayOwnShards(mSelf) || OwnsTooMany(aShard, mSelf.mPeer);
}

bool ShardBalancer::ShouldReplaceOwner(ShardNumber aShard,
                                       const GroupView& aView) const
{
  MutexLock lock(mMutex);
  return !aView.mOwner || aView.mOwner->mPeer == mSelf.mPeer ||
         IsBetterOwner(mSelf, *aView.mOwner, aShard);
}

// How long this instance leaves a shard without an owner to more suitable
// instances.
Milliseconds ShardBalancer::JoinDelay() const
{
  const auto ownedShards = static_cast<int64_t>(CountOwned(mSelf.mPeer));
  const Milliseconds lowCapacityDelay =
    MayOwnShards(mSelf) ? Milliseconds(0) : mDelays.mLowCapacityDelay;
  return mDelays.mDelayPerOwnedShard * ownedShards + lowCapacityDelay;
}

size_t ShardBalancer::CountOwned(const Endpoint& aPeer) const
{
  const bool isSelf = aPeer == mSelf.mPeer;
  return static_cast<size_t>(
    std::count_if(mShards.begin(), mShards.end(), [&](const auto& aEntry) {
      const ShardState& shard = aEntry.second;
      return isSelf ? shard.mIsMember
                    : shard.mOwner && shard.mOwner->mPeer == aPeer;
    }));
}

// An owner hands over only one shard at a time: the last one.
bool ShardBalancer::OwnsTooMany(ShardNumber aShard, const Endpoint& aPeer) const
{
  if (CountOwned(aPeer) < 2) {
    return false;
  }
  return std::none_of(
    mShards.upper_bound(aShard), mShards.end(), [&](const auto& aEntry) {
      const auto& owner = aEntry.second.mOwner;
      return owner && owner->mPeer == aPeer;
    });
}

bool ShardBalancer::IsBetterOwner(const GroupMember& aCandidate,
                                  const GroupMember& aOwner,
                                  ShardNumber aShard) const
{
  const bool isCapable = MayOwnShards(aCandidate);
  if (isCapable != MayOwnShards(aOwner)) {
    return isCapable;
  }
  // Its own membership in this shard's group does not count as an owned shard.
  const bool isMember =
    aCandidate.mPeer == mSelf.mPeer && mShards.at(aShard).mIsMember;
  return CountOwned(aCandidate.mPeer) - (isMember ? 1 : 0) == 0 &&
         OwnsTooMany(aShard, aOwner.mPeer);
}

} // namespace mulberryvalve
