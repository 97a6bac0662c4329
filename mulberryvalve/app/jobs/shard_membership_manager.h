// Runs the shards that are assigned to this instance and knows the owners of
// the others. Each shard has a group of its own, so that a change in one group
// moves no other shard.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_MANAGER_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_MANAGER_H_

#include "mulberryvalve/app/jobs/shard_balancer.h"
#include "mulberryvalve/app/jobs/shard_membership.h"
#include "mulberryvalve/app/jobs/shard_owners.h"
#include "mulberryvalve/ports/out/random_source.h"

#include <memory>
#include <optional>
#include <vector>

namespace mulberryvalve {

// Thread-safe. Holds one membership per shard, each with its own mutex.
class ShardMembershipManager : public ShardOwners
{
public:
  // All references, including those in aPorts, must outlive this object.
  ShardMembershipManager(const ShardMembershipOptions& aOptions,
                         const LayoutView& aLayout,
                         ShardGroup& aGroup,
                         RandomSource& aRandom,
                         ShardRuntimePorts aPorts);
  ~ShardMembershipManager() override;

  // Starts the memberships. Call once.
  void Start();

  // BeginStop gives up all shards. Stop waits for their threads; call BeginStop
  // first.
  void BeginStop();
  void Stop();

  MonotonicTime LastContact() const override;
  std::optional<Endpoint> OwnerOf(ShardNumber aShard) const override;
  // The group is polled again soon.
  void InvalidateOwner(ShardNumber aShard) override;
  void OnPeerAnswer(ShardNumber aShard,
                    const PeerQueryResult& aAnswer) override;
  PeerQueryResult OnQuery(const PeerQuery& aQuestion) override;

private:
  ShardBalancer mBalancer;
  std::vector<std::unique_ptr<ShardMembership>> mMemberships;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_MANAGER_H_
