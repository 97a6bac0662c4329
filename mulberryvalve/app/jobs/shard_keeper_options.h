// ShardKeeperOptions: how this instance becomes and stays an owner of shards.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_KEEPER_OPTIONS_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_KEEPER_OPTIONS_H_

#include "mulberryvalve/app/jobs/shard_runtime.h"

namespace mulberryvalve {

// ShardBalancerDelays say how long an instance holds back before it bids for a
// shard.
struct ShardBalancerDelays
{
  // For each shard that it has already.
  Milliseconds mDelayPerOwnedShard{ 1500 };
  // If it has less than half of the largest processor, or does not know yet.
  Milliseconds mLowCapacityDelay{ 5000 };
  // A shard is taken over from a living owner after this at the earliest.
  Milliseconds mMinOwnerAge{ 4000 };
  // So long an owner has for handing over to a better one.
  Milliseconds mHandOverTimeout{ 3000 };
  // The first time for which an instance stays away that was not given the
  // shard; it doubles with each further one.
  Milliseconds mInitialBackoff{ 1000 };
};

// ShardKeeperOptions are the settings of the membership.
struct ShardKeeperOptions
{
  // mShard and mEpoch are set for each shard that is owned.
  ShardRuntimeOptions mOwner;
  ShardBalancerDelays mBalancerDelays;
  // How often the membership is renewed.
  Milliseconds mJoinInterval{ 350 };
  // How often an instance that is no member looks at a group.
  Milliseconds mPollInterval{ 500 };
  // How often an instance with less than half of the largest processor looks:
  // at one group after the other.
  Milliseconds mLowCapacityPollInterval{ 1200 };
  // Without a join for this long the group gives a member's shard away.
  Milliseconds mMemberTtl{ 1200 };
  // This instance, as the group's view names it.
  GroupMember mSelf;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_KEEPER_OPTIONS_H_
