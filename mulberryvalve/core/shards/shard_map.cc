#include "mulberryvalve/core/shards/shard_map.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace mulberryvalve {
namespace {

ShardId MakeShard(const DomainId& aDomain, uint64_t aIndex)
{
  return ShardId(aDomain.Text() + "." + std::to_string(aIndex));
}

} // namespace

ShardMap::ShardMap(std::vector<DomainId> aDomains, uint32_t aShardsPerDomain)
  : mDomains(std::move(aDomains))
  , mShardsPerDomain(aShardsPerDomain)
{
  std::sort(mDomains.begin(), mDomains.end());
  for (const DomainId& domain : mDomains) {
    for (uint32_t index = 0; index < mShardsPerDomain; index++) {
      mShards.push_back(MakeShard(domain, index));
    }
  }
}

bool ShardMap::HasDomain(const DomainId& aDomain) const
{
  return std::binary_search(mDomains.begin(), mDomains.end(), aDomain);
}

ShardId ShardMap::ShardOfName(const std::string& aName) const
{
  return mShards[StableHash(aName) % mShards.size()];
}

ShardId ShardMap::ShardOfNameIn(const std::string& aName,
                                const DomainId& aDomain) const
{
  return MakeShard(aDomain, StableHash(aName) % mShardsPerDomain);
}

ShardId ShardMap::ShardOfWorker(const WorkerId& aWorker,
                                const DomainId& aDomain) const
{
  return MakeShard(aDomain, StableHash(aWorker.Text()) % mShardsPerDomain);
}

std::optional<ShardId> ShardMap::ShardOfJob(const JobId& aJob) const
{
  const std::string& text = aJob.Text();
  const size_t first = text.find('.');
  const size_t second =
    first == std::string::npos ? first : text.find('.', first + 1);
  if (second == std::string::npos) {
    return std::nullopt;
  }
  ShardId shard(text.substr(0, second));
  const bool known =
    std::find(mShards.begin(), mShards.end(), shard) != mShards.end();
  return known ? std::optional<ShardId>(shard) : std::nullopt;
}

DomainId ShardMap::DomainOf(const ShardId& aShard)
{
  return DomainId(aShard.Text().substr(0, aShard.Text().find('.')));
}

StreamName ShardMap::StreamOf(const ShardId& aShard)
{
  return StreamName("shard/" + aShard.Text());
}

StreamName ConfigStream()
{
  return StreamName("config");
}

StreamName KeyStream(uint32_t aShard)
{
  return StreamName("keys/" + std::to_string(aShard));
}

uint64_t StableHash(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

} // namespace mulberryvalve
