// Runs the shards that are assigned to this instance and knows the owners of
// the others. Each shard has a group of its own, so that a change in one group
// moves no other shard.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_MANAGER_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_MANAGER_H_

#include "mulberryvalve/app/jobs/shard_balancer.h"
#include "mulberryvalve/app/jobs/shard_membership.h"
#include "mulberryvalve/ports/out/peer_query.h"
#include "mulberryvalve/ports/out/random_source.h"

#include <memory>
#include <optional>
#include <vector>

namespace mulberryvalve {

// Thread-safe. Holds one membership per shard, each with its own mutex.
class ShardMembershipManager : public PeerQueryHandler
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

  // Returns when the last call to any group that was answered had been sent.
  MonotonicTime LastContact() const;

  // Returns the peer endpoint of the shard's owner, or nothing if no owner is
  // known.
  std::optional<Endpoint> OwnerOf(ShardNumber aShard) const;

  // Marks the known owner of a shard as outdated because it did not answer as
  // owner. The group is polled again soon.
  void InvalidateOwner(ShardNumber aShard);

  // Records what the answer of a peer about a shard, which arrived just now,
  // tells of an owner.
  void OnPeerAnswer(ShardNumber aShard, const PeerQueryResult& aAnswer);

  // Answers questions about the shards that this instance owns.
  PeerQueryResult OnQuery(const PeerQuery& aQuestion) override;

private:
  ShardBalancer mBalancer;
  std::vector<std::unique_ptr<ShardMembership>> mMemberships;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_MEMBERSHIP_MANAGER_H_
