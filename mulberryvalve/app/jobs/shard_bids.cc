#include "mulberryvalve/app/jobs/shard_bids.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// One of so many instances that see a shard without an owner joins at a look.
constexpr uint64_t kTakesOneIn = 2;
// Several instances see an owner that is to be relieved, and one is enough.
constexpr uint64_t kRelievesOneIn = 6;
// The time for which an instance stays away doubles up to so many times.
constexpr uint32_t kMaxDoublings = 3;

} // namespace

ShardBids::ShardBids(BidTerms aTerms,
                     GroupMember aSelf,
                     const LayoutView& aLayout,
                     RandomSource& aRandom)
  : mTerms(aTerms)
  , mSelf(std::move(aSelf))
  , mLayout(aLayout)
  , mRandom(aRandom)
  , mPhase(aRandom.Below(kPhases))
{
}

void ShardBids::OnView(ShardNumber aShard,
                       const GroupView& aView,
                       MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  Row& row = mRows[aShard];
  const bool same = row.mIsSeen &&
                    row.mOwner.has_value() == aView.mOwner.has_value() &&
                    (!row.mOwner || row.mOwner->mPeer == aView.mOwner->mPeer);
  if (!same) {
    row.mSince = aNow;
  }
  row.mIsSeen = true;
  row.mOwner = aView.mOwner;
  row.mHasOthers = !aView.mOthers.empty();
}

BidKind ShardBids::Bid(ShardNumber aShard, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  Row& row = mRows[aShard];
  if (!row.mIsSeen || row.mIsMine || aNow < row.mAwayUntil) {
    return BidKind::kNone;
  }
  if (!row.mOwner) {
    row.mIsMine = aNow >= row.mSince + Patience() && OneIn(kTakesOneIn);
    return row.mIsMine ? BidKind::kTake : BidKind::kNone;
  }
  // Another member without the shard is relieving the owner already.
  const bool settled = !row.mHasOthers && aNow >= row.mSince + mTerms.mSettled;
  row.mIsMine =
    settled && IsBetter(mSelf, *row.mOwner, aShard) && OneIn(kRelievesOneIn);
  return row.mIsMine ? BidKind::kRelieve : BidKind::kNone;
}

void ShardBids::OnHeld(ShardNumber aShard, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  Row& row = mRows[aShard];
  if (!row.mHeldSince) {
    row.mHeldSince = aNow;
  }
  row.mOwner = mSelf;
}

void ShardBids::OnAdvance(ShardNumber aShard, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  Row& row = mRows[aShard];
  if (row.mHeldSince && aNow >= *row.mHeldSince + mTerms.mSettled) {
    row.mFailures = 0;
  }
}

void ShardBids::Drop(ShardNumber aShard, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  Row& row = mRows[aShard];
  const uint32_t doublings = std::min(row.mFailures, kMaxDoublings);
  row.mFailures++;
  row.mAwayUntil = aNow + mTerms.mAway * (int64_t{ 1 } << doublings);
  row.mIsMine = false;
  row.mHeldSince.reset();
  row.mOwner.reset();
  row.mIsSeen = false;
}

size_t ShardBids::Held() const
{
  MutexLock lock(mMutex);
  return static_cast<size_t>(
    std::count_if(mRows.begin(), mRows.end(), [](const auto& aEntry) {
      return aEntry.second.mHeldSince.has_value();
    }));
}

bool ShardBids::Yields(ShardNumber aShard, const GroupView& aView) const
{
  MutexLock lock(mMutex);
  return std::any_of(
    aView.mOthers.begin(), aView.mOthers.end(), [&](const GroupMember& aOther) {
      mMutex.AssertHeld();
      return IsBetter(aOther, mSelf, aShard);
    });
}

bool ShardBids::Relieves(ShardNumber aShard, const GroupView& aView) const
{
  MutexLock lock(mMutex);
  return !aView.mOwner || aView.mOwner->mPeer == mSelf.mPeer ||
         IsBetter(mSelf, *aView.mOwner, aShard);
}

// How long a shard is left to others that can own it better.
Milliseconds ShardBids::Patience() const
{
  const auto mine = static_cast<int64_t>(Owned(mSelf.mPeer));
  const Milliseconds weak = IsCapable(mSelf) ? Milliseconds(0) : mTerms.mWeak;
  return mTerms.mPerShard * mine + weak;
}

size_t ShardBids::Owned(const Endpoint& aPeer) const
{
  const bool isSelf = aPeer == mSelf.mPeer;
  return static_cast<size_t>(
    std::count_if(mRows.begin(), mRows.end(), [&](const auto& aEntry) {
      const Row& row = aEntry.second;
      return isSelf ? row.mIsMine : row.mOwner && row.mOwner->mPeer == aPeer;
    }));
}

// Of an owner's shards one may be handed over at a time: the last.
bool ShardBids::IsLastOf(ShardNumber aShard, const Endpoint& aPeer) const
{
  return std::none_of(
    mRows.upper_bound(aShard), mRows.end(), [&](const auto& aEntry) {
      const auto& owner = aEntry.second.mOwner;
      return owner && owner->mPeer == aPeer;
    });
}

bool ShardBids::IsBetter(const GroupMember& aOther,
                         const GroupMember& aOwner,
                         ShardNumber aShard) const
{
  const bool isCapable = IsCapable(aOther);
  if (isCapable != IsCapable(aOwner)) {
    return isCapable;
  }
  // A bid of the other's for this very shard is none that it owns.
  const bool bids = aOther.mPeer == mSelf.mPeer && mRows.at(aShard).mIsMine;
  return Owned(aOther.mPeer) - (bids ? 1 : 0) == 0 &&
         Owned(aOwner.mPeer) >= 2 && IsLastOf(aShard, aOwner.mPeer);
}

} // namespace mulberryvalve
