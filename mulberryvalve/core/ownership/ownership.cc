#include "mulberryvalve/core/ownership/ownership.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

Ownership::Ownership(WriterId aSelf, OwnershipOptions aOptions)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
{
}

void Ownership::OnSuperseded(MonotonicTime aNow)
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

void Ownership::OnClaim(const ShardClaim& aClaim, MonotonicTime aNow)
{
  const bool byOther = aClaim.mOwner != mSelf && !aClaim.mOverReleased;
  if (IsHolder() && byOther) {
    OnSuperseded(aNow);
  }
  mClaim = aClaim;
  const Milliseconds wait =
    aClaim.mOverReleased ? Milliseconds(0)
                         : mOptions.mHeadStaleness + mOptions.mClockAllowance;
  mTakeoverWaitEnds = aNow + wait;
}

bool Ownership::IsHolder() const
{
  return mClaim.mEpoch != Epoch() && !mClaim.mReleased &&
         mClaim.mOwner == mSelf;
}

Epoch Ownership::HeldEpoch() const
{
  return IsHolder() ? mClaim.mEpoch : Epoch();
}

OwnershipStep Ownership::Decide(const OwnershipView& aView) const
{
  if (aView.mNow >= aView.mHeadValidUntil) {
    return OwnershipStep::kIdle;
  }
  if (IsHolder()) {
    if (aView.mStopping) {
      return OwnershipStep::kRelease;
    }
    return aView.mNow < mTakeoverWaitEnds ? OwnershipStep::kAwaitTakeover
                                          : OwnershipStep::kAct;
  }
  const bool vacant = mClaim.mEpoch == Epoch() || mClaim.mReleased;
  const bool claimable =
    vacant || (!aView.mOwnerAlive && aView.mNow >= mReclaimAt);
  if (claimable && aView.mPreferred && !aView.mStopping) {
    return OwnershipStep::kClaim;
  }
  return OwnershipStep::kIdle;
}

} // namespace mulberryvalve
