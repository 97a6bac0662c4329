// Settings of this instance's membership in the groups of the shards.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_OPTIONS_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_OPTIONS_H_

#include "mulberryvalve/app/jobs/shard_runtime.h"

namespace mulberryvalve {

// Delays before an instance joins a shard's group.
struct ShardBalancerDelays
{
  // Delay for each shard that the instance owns already.
  Milliseconds mDelayPerOwnedShard{ 1500 };
  // Additional delay if the processor is smaller than half of the largest one,
  // or if the largest one is not known yet.
  Milliseconds mLowCapacityDelay{ 5000 };
  // Minimum time that a live owner has been observed before it is replaced.
  Milliseconds mMinOwnerAge{ 4000 };
  // How long an owner has to hand the shard over to a better owner.
  Milliseconds mHandOverTimeout{ 3000 };
  // Delay before joining again after the group did not assign the shard.
  // Doubles with each further failure.
  Milliseconds mInitialBackoff{ 1000 };
  // How long an owner that no better owner can replace keeps a shard that the
  // group assigns to another member. Longer than mMemberTtl and a join, so that
  // a member that has gone silent expires first, and shorter than
  // mHandOverTimeout.
  Milliseconds mKeepTimeout{ 2000 };
};

// Settings of the memberships.
struct ShardMembershipOptions
{
  // Template for the owned shards; mShard and mEpoch are set for each.
  ShardRuntimeOptions mOwner;
  ShardBalancerDelays mBalancerDelays;
  // Interval of the joins that renew a membership.
  Milliseconds mJoinInterval{ 350 };
  // Interval at which an instance that is not a member polls a group.
  Milliseconds mPollInterval{ 500 };
  // Interval of polls of an instance whose processor is smaller than half of
  // the largest one. Each poll is for the next shard in turn.
  Milliseconds mLowCapacityPollInterval{ 1200 };
  // The group assigns a member's shard to another one after this long without a
  // join.
  Milliseconds mMemberTtl{ 1200 };
  // When this process was started, or later.
  MonotonicTime mProcessStartedAt;
  // This instance, as it appears in the group's view.
  GroupMember mSelf;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_OPTIONS_H_
