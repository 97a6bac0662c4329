// ShardOwnership: decides when an instance claims a shard, when it may act as
// the shard's owner, and when it releases the shard.
#ifndef MULBERRYVALVE_CORE_OWNERSHIP_SHARD_OWNERSHIP_H_
#define MULBERRYVALVE_CORE_OWNERSHIP_SHARD_OWNERSHIP_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/ledger/shard_state_machine.h"
#include "mulberryvalve/core/records/record.h"

#include <cstdint>

namespace mulberryvalve {

// OwnershipStep is the next action of an instance for a shard.
enum class OwnershipStep
{
  kIdle,
  kClaim,
  kAwaitTakeover,
  kActAsOwner,
  kRelease,
};

inline constexpr EnumTable<OwnershipStep, 5> kOwnershipStepNames{ { {
  { OwnershipStep::kIdle, "idle" },
  { OwnershipStep::kClaim, "claim" },
  { OwnershipStep::kAwaitTakeover, "await_takeover" },
  { OwnershipStep::kActAsOwner, "act" },
  { OwnershipStep::kRelease, "release" },
} } };

// OwnershipOptions are the timing assumptions behind the guarantee that a shard
// has at most one acting owner.
struct OwnershipOptions
{
  // The maximum age of the last confirmation of the log's head while the owner
  // acts.
  Milliseconds mHeadStaleness{ 1500 };
  // The maximum drift between the clocks of two machines over any wait here.
  Milliseconds mClockAllowance{ 300 };
  // How long an instance does not reclaim a shard that it lost to another
  // claim: the first delay and the maximum. Each further loss doubles the
  // delay.
  Milliseconds mReclaimBackoff{ 4000 };
  Milliseconds mMaxReclaimBackoff{ 60000 };
};

// OwnershipView is an instance's knowledge at one time.
struct OwnershipView
{
  MonotonicTime mNow;
  // When the last confirmation of the head of the shard's log expires.
  MonotonicTime mHeadValidUntil;
  // Whether this instance is the preferred owner among the live instances.
  bool mIsPreferredOwner = false;
  // Whether the owner named in the claim is alive, according to peers.
  bool mOwnerAlive = false;
  // Whether this instance is shutting down.
  bool mStopping = false;
};

// ShardOwnership needs no renewals: a claim is valid until a later one
// supersedes it. An owner acts only while its last confirmation of the log's
// head is no older than mHeadStaleness. A successor waits for mHeadStaleness
// plus mClockAllowance after it read its own claim, so that its predecessor can
// no longer act. After a released claim it does not wait. Two instances that
// reach the log but not each other consider each other dead and would keep
// superseding each other; an owner that was superseded therefore backs off
// exponentially, so that one of them can act for a long time. Not thread-safe.
class ShardOwnership
{
public:
  // ShardOwnership makes decisions for one incarnation of an instance, aSelf.
  ShardOwnership(WriterId aSelf, OwnershipOptions aOptions);

  // OnClaim processes a new claim of the shard that was applied at aNow or
  // before.
  void OnClaim(const ShardClaim& aClaim, MonotonicTime aNow);

  // Claim returns the last processed claim.
  const ShardClaim& Claim() const { return mClaim; }

  // Decide returns the next action at aView.mNow.
  OwnershipStep Decide(const OwnershipView& aView) const;

  // IsOwner returns true when the current claim is this incarnation's and not
  // released.
  bool IsOwner() const;

  // HeldEpoch returns the epoch of this incarnation's claim, or zero when it is
  // not the owner.
  Epoch HeldEpoch() const;

  // TakeoverWaitEnds returns when the wait after this incarnation's claim ends.
  MonotonicTime TakeoverWaitEnds() const { return mTakeoverWaitEnds; }

private:
  void OnSuperseded(MonotonicTime aNow);

  const WriterId mSelf;
  const OwnershipOptions mOptions;
  ShardClaim mClaim;
  MonotonicTime mTakeoverWaitEnds;
  // When a lost shard may be claimed again, and when the count of losses is
  // reset.
  MonotonicTime mReclaimAt;
  MonotonicTime mLossesExpireAt;
  uint32_t mConsecutiveLosses = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_OWNERSHIP_SHARD_OWNERSHIP_H_
