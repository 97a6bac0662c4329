// ShardBids: decides for which shards this instance bids and to whom it hands
// one over, so that shards are spread over the instances and stay there.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_BIDS_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_BIDS_H_

#include "mulberryvalve/app/jobs/layout_view.h"
#include "mulberryvalve/app/jobs/shard_keeper_options.h"
#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/random_source.h"
#include "mulberryvalve/ports/out/shard_group.h"

#include <map>
#include <optional>

namespace mulberryvalve {

// BidKind says why an instance joins a shard's group.
enum class BidKind
{
  kNone,
  kTake,    // the shard has no owner
  kRelieve, // its owner is to hand it over
};

inline constexpr EnumTable<BidKind, 3> kBidKindNames{ { {
  { BidKind::kNone, "none" },
  { BidKind::kTake, "take" },
  { BidKind::kRelieve, "relieve" },
} } };

// ShardBids is shared by the memberships of an instance. Thread-safe; its
// methods block for no call.
class ShardBids
{
public:
  // aLayout and aRandom must outlive this object.
  ShardBids(BidTerms aTerms,
            GroupMember aSelf,
            const LayoutView& aLayout,
            RandomSource& aRandom);

  // IsWeak tells whether this instance's processor is known to be less than
  // half of the largest.
  bool IsWeak() const
  {
    return mLayout.Present().mLargestProcessor > 0 && !IsCapable(mSelf);
  }

  // Phase returns by which part of aPeriod this instance's regular looks are
  // shifted against those of others; always the same.
  std::chrono::steady_clock::duration Phase(
    std::chrono::steady_clock::duration aPeriod) const
  {
    return aPeriod * static_cast<int64_t>(mPhase) /
           static_cast<int64_t>(kPhases);
  }

  // OnView notes what a look at the shard's group showed at aNow.
  void OnView(ShardNumber aShard, const GroupView& aView, MonotonicTime aNow);

  // Bid tells whether to join the shard's group now. Unless it returns kNone,
  // the shard counts as this instance's until Drop.
  BidKind Bid(ShardNumber aShard, MonotonicTime aNow);

  // OnHeld says that the group gave the shard to this instance, or left it
  // there.
  void OnHeld(ShardNumber aShard, MonotonicTime aNow);

  // OnAdvance says that this instance does the work of the shard that it was
  // given: former failures count no more once it has had it for a while.
  void OnAdvance(ShardNumber aShard, MonotonicTime aNow);

  // Drop says that this instance is no member of the shard's group any more.
  void Drop(ShardNumber aShard, MonotonicTime aNow);

  // Held counts the shards that this instance holds.
  size_t Held() const;

  // Yields tells whether this instance, which owns the shard, hands it over to
  // another member that aView shows.
  bool Yields(ShardNumber aShard, const GroupView& aView) const;

  // Relieves tells whether this instance would still be better than the owner
  // that aView shows.
  bool Relieves(ShardNumber aShard, const GroupView& aView) const;

private:
  static constexpr uint64_t kPhases = 1000;

  struct Row
  {
    std::optional<GroupMember> mOwner;
    // Since when the owner, or that there is none, has been seen.
    MonotonicTime mSince;
    bool mHasOthers = false;
    bool mIsSeen = false;
    bool mIsMine = false;
    std::optional<MonotonicTime> mHeldSince;
    MonotonicTime mAwayUntil;
    uint32_t mFailures = 0;
  };

  size_t Owned(const Endpoint& aPeer) const MV_REQUIRES(mMutex);
  bool IsLastOf(ShardNumber aShard, const Endpoint& aPeer) const
    MV_REQUIRES(mMutex);
  bool IsBetter(const GroupMember& aOther,
                const GroupMember& aOwner,
                ShardNumber aShard) const MV_REQUIRES(mMutex);
  bool OneIn(uint64_t aCount) { return mRandom.Below(aCount) == 0; }
  bool IsCapable(const GroupMember& aMember) const
  {
    return mLayout.Present().IsCapable(aMember.mProcessor);
  }
  Milliseconds Patience() const MV_REQUIRES(mMutex);

  const BidTerms mTerms;
  const GroupMember mSelf;
  const LayoutView& mLayout;
  RandomSource& mRandom;
  const uint64_t mPhase;
  mutable Mutex mMutex;
  std::map<ShardNumber, Row> mRows MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_BIDS_H_
