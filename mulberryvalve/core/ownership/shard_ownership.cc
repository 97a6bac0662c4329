#include "mulberryvalve/core/ownership/shard_ownership.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

ShardOwnership::ShardOwnership(WriterId aSelf, OwnershipOptions aOptions)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
{
}

void ShardOwnership::OnSuperseded(MonotonicTime aNow)
{
  constexpr uint32_t kMaxDoublings = 16;
  mConsecutiveLosses = aNow < mLossesExpireAt
                         ? std::min(mConsecutiveLosses + 1, kMaxDoublings)
                         : 0;
  const Milliseconds backoff =
    std::min(mOptions.mMaxReclaimBackoff,
             mOptions.mReclaimBackoff * (1 << mConsecutiveLosses));
  mReclaimAt = aNow + backoff;
  mLossesExpireAt = mReclaimAt + mOptions.mMaxReclaimBackoff;
}

void ShardOwnership::OnClaim(const ShardClaim& aClaim, MonotonicTime aNow)
{
  const bool byOther = aClaim.mOwner != mSelf && !aClaim.mOverReleased;
  if (IsOwner() && byOther) {
    OnSuperseded(aNow);
  }
  mClaim = aClaim;
  const Milliseconds wait =
    aClaim.mOverReleased ? Milliseconds(0)
                         : mOptions.mHeadStaleness + mOptions.mClockAllowance;
  mTakeoverWaitEnds = aNow + wait;
}

bool ShardOwnership::IsOwner() const
{
  return mClaim.mEpoch != Epoch() && !mClaim.mReleased &&
         mClaim.mOwner == mSelf;
}

Epoch ShardOwnership::HeldEpoch() const
{
  return IsOwner() ? mClaim.mEpoch : Epoch();
}

OwnershipStep ShardOwnership::Decide(const OwnershipView& aView) const
{
  if (aView.mNow >= aView.mHeadValidUntil) {
    return OwnershipStep::kIdle;
  }
  if (IsOwner()) {
    if (aView.mStopping) {
      return OwnershipStep::kRelease;
    }
    return aView.mNow < mTakeoverWaitEnds ? OwnershipStep::kAwaitTakeover
                                          : OwnershipStep::kActAsOwner;
  }
  const bool vacant = mClaim.mEpoch == Epoch() || mClaim.mReleased;
  const bool claimable =
    vacant || (!aView.mOwnerAlive && aView.mNow >= mReclaimAt);
  if (claimable && aView.mIsPreferredOwner && !aView.mStopping) {
    return OwnershipStep::kClaim;
  }
  return OwnershipStep::kIdle;
}

} // namespace mulberryvalve
