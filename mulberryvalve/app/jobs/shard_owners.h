// ShardOwners: what this instance knows of the owners of shards, and whether it
// is one.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_OWNERS_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_OWNERS_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/ports/out/peer_query.h"

#include <optional>

namespace mulberryvalve {

// Implementations are thread-safe. OnQuery answers questions about the shards
// that this instance owns.
class ShardOwners : public PeerQueryHandler
{
public:
  // Returns when the last call to any group that was answered had been sent.
  virtual MonotonicTime LastContact() const = 0;

  // Returns the peer endpoint of the shard's owner, or nothing if no owner is
  // known.
  virtual std::optional<Endpoint> OwnerOf(ShardNumber aShard) const = 0;

  // Marks the known owner of a shard as outdated because it did not answer as
  // owner. It is looked up again soon.
  virtual void InvalidateOwner(ShardNumber aShard) = 0;

  // Records what the answer of a peer about a shard, which arrived just now,
  // tells of an owner.
  virtual void OnPeerAnswer(ShardNumber aShard,
                            const PeerQueryResult& aAnswer) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_OWNERS_H_
