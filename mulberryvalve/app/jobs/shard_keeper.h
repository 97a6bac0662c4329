// ShardKeeper: owns the shards that their groups give this instance and knows
// who owns the others. Each shard has a group of its own, so that a change of
// one moves no other.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_KEEPER_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_KEEPER_H_

#include "mulberryvalve/app/jobs/shard_bids.h"
#include "mulberryvalve/app/jobs/shard_membership.h"
#include "mulberryvalve/ports/out/peer_calls.h"
#include "mulberryvalve/ports/out/random_source.h"

#include <memory>
#include <optional>
#include <vector>

namespace mulberryvalve {

// ShardKeeper's methods are thread-safe. It holds one membership a shard, each
// with its own lock.
class ShardKeeper : public PeerAnswerer
{
public:
  // All references must outlive this object, as must what aPorts name.
  ShardKeeper(const ShardKeeperOptions& aOptions,
              const LayoutView& aLayout,
              ShardGroup& aGroup,
              RandomSource& aRandom,
              ShardRuntimePorts aPorts);
  ~ShardKeeper() override;

  // Start begins the memberships. Call once.
  void Start();

  // BeginStop gives all shards up; Stop also waits for their threads.
  void BeginStop();
  void Stop();

  // LastContact returns when a call to a group was last answered.
  MonotonicTime LastContact() const;

  // OwnerOf returns where the owner of a shard is reached by its peers, or
  // nothing when nobody is known to own it.
  std::optional<Endpoint> OwnerOf(ShardNumber aShard) const;

  // InvalidateOwner says that the owner of a shard did not answer as such; it
  // is looked for soon.
  void InvalidateOwner(ShardNumber aShard);

  // OnQuestion answers for the shards that this instance owns.
  PeerAnswer OnQuestion(const PeerQuestion& aQuestion) override;

private:
  ShardBalancer mBalancer;
  std::vector<std::unique_ptr<ShardMembership>> mMemberships;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_KEEPER_H_
