// Decides which shard groups this instance joins and when it hands a shard
// over, so that shards are spread over the instances and rarely move.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_BALANCER_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_BALANCER_H_

#include "mulberryvalve/app/jobs/layout_view.h"
#include "mulberryvalve/app/jobs/shard_membership_options.h"
#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/random_source.h"
#include "mulberryvalve/ports/out/shard_group.h"

#include <map>
#include <optional>

namespace mulberryvalve {

// Why an instance joins a shard's group.
enum class JoinReason
{
  kNone,
  kShardVacant,  // the shard has no owner
  kReplaceOwner, // the owner should hand it over to this instance
};

inline constexpr EnumTable<JoinReason, 3> kJoinReasonNames{ { {
  { JoinReason::kNone, "none" },
  { JoinReason::kShardVacant, "take" },
  { JoinReason::kReplaceOwner, "relieve" },
} } };

// Shared by all memberships of an instance. Thread-safe; no method makes a call
// that blocks.
class ShardBalancer
{
public:
  // aLayout and aRandom must outlive this object.
  ShardBalancer(ShardBalancerDelays aDelays,
                GroupMember aSelf,
                const LayoutView& aLayout,
                RandomSource& aRandom);

  // Returns whether this instance's processor is known to be smaller than half
  // of the largest one.
  bool HasLowCapacity() const
  {
    return mLayout.Current().mLargestCpu > 0 && !MayOwnShards(mSelf);
  }

  // Returns a fixed offset within aPeriod by which this instance's regular
  // polls are shifted against those of other instances.
  std::chrono::steady_clock::duration PollOffset(
    std::chrono::steady_clock::duration aPeriod) const
  {
    return aPeriod * static_cast<int64_t>(mPollPhase) /
           static_cast<int64_t>(kPhaseSteps);
  }

  // Records the result of a poll of the shard's group at aNow.
  void OnView(ShardNumber aShard, const GroupView& aView, MonotonicTime aNow);

  // Decides whether to join the shard's group now. Unless it returns kNone, the
  // instance counts as a member until OnLeft.
  JoinReason DecideJoin(ShardNumber aShard, MonotonicTime aNow);

  // Records that the group assigned the shard to this instance, or left it
  // there.
  void OnAssigned(ShardNumber aShard, MonotonicTime aNow);

  // Records that the shard's work makes progress here. Earlier failures are
  // forgotten once the shard has been held for mMinOwnerAge.
  void OnProgress(ShardNumber aShard, MonotonicTime aNow);

  // Records that this instance is no longer a member of the shard's group.
  void OnLeft(ShardNumber aShard, MonotonicTime aNow);

  // Returns the number of shards that this instance holds.
  size_t CountHeld() const;

  // Returns whether this instance, which owns the shard, should hand it over to
  // another member in aView.
  bool ShouldHandOver(ShardNumber aShard, const GroupView& aView) const;

  // Returns whether another instance can be a better owner of the shard than
  // this one, which owns it.
  bool MayBeReplaced(ShardNumber aShard) const;

  // Returns whether this instance would still be a better owner than the one in
  // aView.
  bool ShouldReplaceOwner(ShardNumber aShard, const GroupView& aView) const;

private:
  static constexpr uint64_t kPhaseSteps = 1000;

  struct ShardState
  {
    std::optional<GroupMember> mOwner;
    // Since when the current owner, or the lack of one, has been observed.
    MonotonicTime mOwnerSince;
    bool mHasOthers = false;
    bool mIsKnown = false;
    bool mIsMember = false;
    std::optional<MonotonicTime> mHeldSince;
    MonotonicTime mBackoffUntil;
    uint32_t mFailures = 0;
  };

  size_t CountOwned(const Endpoint& aPeer) const MV_REQUIRES(mMutex);
  bool OwnsTooMany(ShardNumber aShard, const Endpoint& aPeer) const
    MV_REQUIRES(mMutex);
  bool IsBetterOwner(const GroupMember& aCandidate,
                     const GroupMember& aOwner,
                     ShardNumber aShard) const MV_REQUIRES(mMutex);
  bool RandomOneIn(uint64_t aCount) { return mRandom.Below(aCount) == 0; }
  bool MayOwnShards(const GroupMember& aMember) const
  {
    return mLayout.Current().MayOwnShards(aMember.mProcessor);
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

#endif // MULBERRYVALVE_APP_JOBS_SHARD_BALANCER_H_
