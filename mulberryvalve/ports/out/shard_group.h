// ShardGroup: the platform's membership groups, one per shard. A group assigns
// its shard to one of its members and expires members that stop renewing.
#ifndef MULBERRYVALVE_PORTS_OUT_SHARD_GROUP_H_
#define MULBERRYVALVE_PORTS_OUT_SHARD_GROUP_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/strong_id.h"
#include "mulberryvalve/core/jobs/cluster_layout.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/worker.h"

#include <optional>
#include <vector>

namespace mulberryvalve {

// Generation counts the changes of a group's members and assignments.
using Generation = StrongNumber<struct GenerationTag>;

// GroupAssignment is what a group assigns to a member at one generation. The
// shard is assigned to at most one member per generation.
struct GroupAssignment
{
  Generation mGeneration;
  bool mHoldsShard = false;
  // The group has no other members.
  bool mIsOnlyMember = false;
};

// GroupMember is the peer endpoint and the CPU capacity of a member.
struct GroupMember
{
  Endpoint mPeer;
  MilliCores mProcessor = 0;
};

// GroupView is the membership of a shard's group.
struct GroupView
{
  std::optional<GroupMember> mOwner;
  // The members that do not own the shard.
  std::vector<GroupMember> mOthers;
};

// ShardGroup joins, reads and leaves the groups. Implementations are
// thread-safe and block for a bounded time. Errors: those of KeyedLog.
class ShardGroup
{
public:
  virtual ~ShardGroup() = default;

  // Join adds this instance to the shard's group or renews its membership.
  // aKnown is the generation of its last assignment in the group. If the new
  // assignment does not include the shard, another member may own it after this
  // call.
  virtual Result<GroupAssignment> Join(ShardNumber aShard,
                                       Generation aKnown) = 0;

  // View returns the members of the shard's group.
  virtual Result<GroupView> View(ShardNumber aShard) = 0;

  // Leave removes this instance from the shard's group and gives up the shard.
  virtual Result<void> Leave(ShardNumber aShard) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_SHARD_GROUP_H_
