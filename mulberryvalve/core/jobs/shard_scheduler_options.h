// The settings of ShardScheduler, its replaceable parts, and the proof of
// ownership that its decisions need.
#ifndef MULBERRYVALVE_CORE_JOBS_SHARD_SCHEDULER_OPTIONS_H_
#define MULBERRYVALVE_CORE_JOBS_SHARD_SCHEDULER_OPTIONS_H_

#include "mulberryvalve/core/jobs/job_placement_policy.h"
#include "mulberryvalve/core/jobs/queueing_policy.h"
#include "mulberryvalve/core/jobs/worker_table.h"

namespace mulberryvalve {

// ShardSchedulerOptions are the settings of one owner.
struct ShardSchedulerOptions
{
  Epoch mEpoch;
  // The shard, and the number of shards, whose owners divide the limits of
  // client accounts.
  ShardNumber mShard = 0;
  ShardNumber mShards = 1;
  // Other shards may be asked for idle workers.
  bool mMovesWorkers = false;
  LeaseTerms mLease;
  // An owner stops acting this long after its last proof of ownership.
  Milliseconds mProofLimit{ 6000 };
  // A job that was read after the last proof of ownership may be started only
  // within this time after the proof. Covers several renewals of the shard's
  // membership.
  Milliseconds mNewJobProofLimit{ 1500 };
  // How long callers can query a job after it has finished.
  Milliseconds mKeepOver{ 150000 };
};

// SchedulingPolicies are the replaceable parts of the decisions. They must
// outlive the ShardScheduler.
struct SchedulingPolicies
{
  const JobPlacementPolicy& mPlacement;
  const QueueingPolicy& mOrder;
};

// OwnershipProof tells how recently it was proved that the shard is still
// owned.
struct OwnershipProof
{
  // When the last request was sent whose answer showed that nobody else had
  // claimed the shard.
  MonotonicTime mProvedAt;
  // Whether the proof is recent enough to start tasks.
  bool mMayStart = false;
  // When the last append of this epoch that took effect was first sent, by the
  // time in the owner's record in it. Leases end within a bound of it.
  MonotonicTime mRecordedAt;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_SHARD_SCHEDULER_OPTIONS_H_
