// ShardMap: maps jobs and workers to shards.
#ifndef MULBERRYVALVE_CORE_SHARDS_SHARD_MAP_H_
#define MULBERRYVALVE_CORE_SHARDS_SHARD_MAP_H_

#include "mulberryvalve/core/model/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

// ShardMap must be identical in every instance. Shards are numbered within each
// failure domain; a shard's id is "DOMAIN.NUMBER". Immutable, so thread-safe.
class ShardMap
{
public:
  // Requires at least one domain and one shard per domain.
  ShardMap(std::vector<DomainId> aDomains, uint32_t aShardsPerDomain);

  // Shards returns all shards.
  const std::vector<ShardId>& Shards() const { return mShards; }

  // Domains returns all failure domains.
  const std::vector<DomainId>& Domains() const { return mDomains; }

  // HasDomain returns whether aDomain is one of Domains().
  bool HasDomain(const DomainId& aDomain) const;

  // ShardOfName returns the shard that stores the job named aName.
  ShardId ShardOfName(const std::string& aName) const;

  // ShardOfNameIn returns the shard within aDomain that stores the job named
  // aName.
  ShardId ShardOfNameIn(const std::string& aName,
                        const DomainId& aDomain) const;

  // ShardOfWorker returns the shard that manages aWorker, a worker of aDomain.
  ShardId ShardOfWorker(const WorkerId& aWorker, const DomainId& aDomain) const;

  // ShardOfJob returns the shard encoded in a job's id, or nullopt when it is
  // not in Shards().
  std::optional<ShardId> ShardOfJob(const JobId& aJob) const;

  // DomainOf returns the failure domain of aShard.
  static DomainId DomainOf(const ShardId& aShard);

  // StreamOf returns the name of aShard's log stream.
  static StreamName StreamOf(const ShardId& aShard);

private:
  std::vector<DomainId> mDomains;
  uint32_t mShardsPerDomain;
  std::vector<ShardId> mShards;
};

// ConfigStream returns the name of the stream of bundles and domain changes.
StreamName ConfigStream();

// KeyStream returns the name of the idempotency key stream of partition aShard.
StreamName KeyStream(uint32_t aShard);

// StableHash returns a hash of aText that is the same in every process and
// version.
uint64_t StableHash(const std::string& aText);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_SHARDS_SHARD_MAP_H_
