// ShardBalancer: decides for which shards this instance bids and to whom it
// hands one over, so that shards are spread over the instances and stay there.
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

// JoinReason says why an instance joins a shard's group.
enum class JoinReason
{
  kNone,
  kShardVacant,  // the shard has no owner
  kReplaceOwner, // its owner is to hand it over
};

inline constexpr EnumTable<JoinReason, 3> kJoinReasonNames{ { {
  { JoinReason::kNone, "none" },
  { JoinReason::kShardVacant, "take" },
  { JoinReason::kReplaceOwner, "relieve" },
} } };

// ShardBalancer is shared by the memberships of an instance. Thread-safe; its
// methods block for no call.
class ShardBalancer
{
public:
  // aLayout and aRandom must outlive this object.
  ShardBalancer(ShardBalancerDelays aDelays,
                GroupMember aSelf,
                const LayoutView& aLayout,
                RandomSource& aRandom);

  // HasLowCapacity tells whether this instance's processor is known to be less
  // than half of the largest.
  bool HasLowCapacity() const
  {
    return mLayout.Present().mLargestProcessor > 0 && !IsCapable(mSelf);
  }

  // PollOffset returns by which part of aPeriod this instance's regular looks
  // are shifted against those of others; always the same.
  std::chrono::steady_clock::duration PollOffset(
    std::chrono::steady_clock::duration aPeriod) const
  {
    return aPeriod * static_cast<int64_t>(mPollPhase) /
           static_cast<int64_t>(kPhaseSteps);
  }

  // OnView notes what a look at the shard's group showed at aNow.
  void OnView(ShardNumber aShard, const GroupView& aView, MonotonicTime aNow);

  // DecideJoin tells whether to join the shard's group now. Unless it returns
  // kNone, the shard counts as this instance's until OnLeft.
  JoinReason DecideJoin(ShardNumber aShard, MonotonicTime aNow);

  // OnAssigned says that the group gave the shard to this instance, or left it
  // there.
  void OnAssigned(ShardNumber aShard, MonotonicTime aNow);

  // OnProgress says that this instance does the work of the shard that it was
  // given: former failures count no more once it has had it for a while.
  void OnProgress(ShardNumber aShard, MonotonicTime aNow);

  // OnLeft says that this instance is no member of the shard's group any more.
  void OnLeft(ShardNumber aShard, MonotonicTime aNow);

  // CountHeld counts the shards that this instance holds.
  size_t CountHeld() const;

  // ShouldHandOver tells whether this instance, which owns the shard, hands it
  // over to another member that aView shows.
  bool ShouldHandOver(ShardNumber aShard, const GroupView& aView) const;

  // ShouldReplaceOwner tells whether this instance would still be better than
  // the owner that aView shows.
  bool ShouldReplaceOwner(ShardNumber aShard, const GroupView& aView) const;

private:
  static constexpr uint64_t kPhaseSteps = 1000;

  struct ShardState
  {
    std::optional<GroupMember> mOwner;
    // Since when the owner, or that there is none, has been seen.
    MonotonicTime mOwnerSince;
    bool mHasOthers = false;
    bool mIsKnown = false;
    bool mIsMember = false;
    std::optional<MonotonicTime> mHeldSince;
    MonotonicTime mBackoffUntil;
    uint32_t mFailures = 0;
  };

  size_t CountOwned(const Endpoint& aPeer) const MV_REQUIRES(mMutex);
  bool IsLastShardOf(ShardNumber aShard, const Endpoint& aPeer) const
    MV_REQUIRES(mMutex);
  bool IsBetterOwner(const GroupMember& aCandidate,
                     const GroupMember& aOwner,
                     ShardNumber aShard) const MV_REQUIRES(mMutex);
  bool RandomOneIn(uint64_t aCount) { return mRandom.Below(aCount) == 0; }
  bool IsCapable(const GroupMember& aMember) const
  {
    return mLayout.Present().IsCapable(aMember.mProcessor);
  }
  Milliseconds JoinDelay() const MV_REQUIRES(mMutex);

  const ShardBalancerDelays mDelays;
  const GroupMember mSelf;
  const LayoutView& mLayout;
  RandomSource& mRandom;
  const uint64_t mPollPhase;
  mutable Mutex mMutex;
  std::map<ShardNumber, ShardState> mShards MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_BIDS_H_
