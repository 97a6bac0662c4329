// ShardGroup: the platform's groups of instances, one a shard, which name the
// shard's owner among their members and notice the dead.
#ifndef MULBERRYVALVE_PORTS_OUT_SHARD_GROUP_H_
#define MULBERRYVALVE_PORTS_OUT_SHARD_GROUP_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/strong_id.h"
#include "mulberryvalve/core/jobs/cluster_layout.h"
#include "mulberryvalve/core/model/worker.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mulberryvalve {

// ShardNumber numbers the shards from 0.
using ShardNumber = uint32_t;

// Generation counts the changes of a group's members and shares.
using Generation = StrongNumber<struct GenerationTag>;

// GroupShare is what a member holds at one generation. No other member holds
// the shard at that generation.
struct GroupShare
{
  Generation mGeneration;
  bool mHoldsShard = false;
  // No other instance is a member.
  bool mIsAlone = false;
};

// GroupMember says where a member is reached by its peers.
struct GroupMember
{
  Endpoint mPeer;
  MilliCores mProcessor = 0;
};

// GroupView is what anyone may know of a shard's group.
struct GroupView
{
  std::optional<GroupMember> mOwner;
  // Members that do not hold the shard.
  std::vector<GroupMember> mOthers;
};

// ShardGroup's implementations are thread-safe and block for a bounded time.
// Errors: those of KeyedLog.
class ShardGroup
{
public:
  virtual ~ShardGroup() = default;

  // Join makes this instance a member of the shard's group or keeps it one;
  // aKnown is the generation of the last share that it was given there. If the
  // share does not hold the shard, another member may after this call.
  virtual Result<GroupShare> Join(ShardNumber aShard, Generation aKnown) = 0;

  // View tells who the members of the shard's group are.
  virtual Result<GroupView> View(ShardNumber aShard) = 0;

  // Leave gives the shard up.
  virtual Result<void> Leave(ShardNumber aShard) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_SHARD_GROUP_H_
