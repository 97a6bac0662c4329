// ShardGroup: the platform's group of instances, which deals the shards to its
// members and notices the dead.
#ifndef MULBERRYVALVE_PORTS_OUT_SHARD_GROUP_H_
#define MULBERRYVALVE_PORTS_OUT_SHARD_GROUP_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/strong_id.h"
#include "mulberryvalve/core/model/worker.h"

#include <cstdint>
#include <vector>

namespace mulberryvalve {

// ShardNumber numbers the shards from 0.
using ShardNumber = uint32_t;

// Generation counts the changes of the group's members and shares.
using Generation = StrongNumber<struct GenerationTag>;

// GroupShare is what a member holds at one generation. No other member holds
// the same shard at that generation.
struct GroupShare
{
  Generation mGeneration;
  std::vector<ShardNumber> mShards;
};

// ShardOwnerRow says who holds a shard, and where its peers reach it.
struct ShardOwnerRow
{
  ShardNumber mShard = 0;
  Endpoint mPeer;
};

// GroupView is what anyone may know of the group.
struct GroupView
{
  std::vector<ShardOwnerRow> mOwners;
  // How many members hold some part of the group's topic.
  size_t mMembers = 0;
};

// ShardGroup's implementations are thread-safe and block for a bounded time.
// Errors: those of KeyedLog.
class ShardGroup
{
public:
  virtual ~ShardGroup() = default;

  // Join makes this instance a member or keeps it one; aKnown is the generation
  // of the last share that it was given. Shards that it does not list are given
  // to others after this call.
  virtual Result<GroupShare> Join(Generation aKnown) = 0;

  // View tells who holds which shard.
  virtual Result<GroupView> View() = 0;

  // Leave gives all shards up.
  virtual Result<void> Leave() = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_SHARD_GROUP_H_
