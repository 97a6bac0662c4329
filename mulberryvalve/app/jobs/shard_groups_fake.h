// Shard groups for tests of the job services.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_GROUPS_FAKE_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_GROUPS_FAKE_H_

#include "mulberryvalve/app/jobs/jobs_fake.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryvalve {

// The member that should hold the shard after each change of members.
enum class AssignmentOrder
{
  kNewestFirst,
  kOldestFirst,
  // The oldest one, but its first join after a change does not list the shard.
  kOldestAfterOneEmptyJoin,
};

// One group for each shard. A shard moves in two steps, as on the platform: the
// joins of its holder don't list it any more, and once the holder has joined
// with a generation that did not assign it the shard, or has left, the next
// member holds it. A shard that moves back to its holder takes both steps too.
// A view shows a member without the shard only once the holder
// has joined with the generation of that member's first join, as other
// partitions move there too. Thread-safe.
class FakeShardGroups
{
public:
  explicit FakeShardGroups(
    AssignmentOrder aOrder = AssignmentOrder::kNewestFirst)
    : mOrder(aOrder)
  {
  }

  // Calls of the member whose peer port is aPort. They fail while it is
  // disconnected.
  Result<GroupAssignment> Join(uint16_t aPort,
                               ShardNumber aShard,
                               Generation aKnown = Generation(0));
  Result<GroupView> View(uint16_t aPort, ShardNumber aShard);
  Result<void> Leave(uint16_t aPort, ShardNumber aShard);

  // Disconnect removes a member from all groups and makes its calls fail until
  // Reconnect. RestoreJoins, called in between, lets joins succeed again but
  // not views.
  void Disconnect(uint16_t aPort);
  void RestoreJoins(uint16_t aPort);
  void Reconnect(uint16_t aPort);

  // Blocks until View has succeeded aCount more times.
  void AwaitViews(size_t aCount);

  // Blocks until View has failed aCount more times.
  void AwaitFailedViews(size_t aCount);

  // Blocks until Join has succeeded aCount more times.
  void AwaitJoins(size_t aCount);

  // Blocks until Join has succeeded aCount more times for a member. Returns
  // false on timeout.
  bool AwaitJoinsOf(uint16_t aPort, size_t aCount, Milliseconds aTimeout);

  // Returns the number of successful joins of a member.
  size_t Joins(uint16_t aPort) const;

  // Sets the processor that a member's entry in a view shows.
  void SetProcessor(uint16_t aPort, MilliCores aProcessor);

  // Returns the member that holds each shard, for the shards that are held.
  std::map<ShardNumber, uint16_t> Owners() const;

  // Returns the number of member changes in all groups.
  size_t Changes() const;

private:
  struct Group
  {
    uint64_t mGeneration = 1;
    size_t mMemberChanges = 0;
    std::vector<uint16_t> mMembers;
    std::optional<uint16_t> mHolder;
    // Since when the holder is to give way to another member.
    std::optional<uint64_t> mMovesSince;
    // The highest generation with which the holder has joined.
    uint64_t mHolderKnows = 0;
    // The generation at which each member joined.
    std::map<uint16_t, uint64_t> mJoinedAt;
    // The generation that each member's last join returned.
    std::map<uint16_t, uint64_t> mLastGeneration;
  };

  void Remove(Group& aGroup, uint16_t aPort) MV_REQUIRES(mMutex);
  void OnMembersChanged(Group& aGroup) MV_REQUIRES(mMutex);
  void GiveToNext(Group& aGroup) MV_REQUIRES(mMutex);
  void Await(const size_t& aCounter, size_t aMore) MV_REQUIRES(mMutex);
  uint16_t NextHolderOf(const Group& aGroup) const MV_REQUIRES(mMutex);

  const AssignmentOrder mOrder;
  mutable Mutex mMutex;
  CondVar mCond;
  std::map<ShardNumber, Group> mGroups MV_GUARDED_BY(mMutex);
  std::map<uint16_t, MilliCores> mProcessors MV_GUARDED_BY(mMutex);
  std::set<uint16_t> mDisconnected MV_GUARDED_BY(mMutex);
  std::set<uint16_t> mJoinsOnly MV_GUARDED_BY(mMutex);
  size_t mFailedViews MV_GUARDED_BY(mMutex) = 0;
  std::map<uint16_t, size_t> mJoins MV_GUARDED_BY(mMutex);
  size_t mViews MV_GUARDED_BY(mMutex) = 0;
  size_t mAllJoins MV_GUARDED_BY(mMutex) = 0;
};

// One member's connection to a FakeShardGroups.
class FakeShardGroupsMember : public ShardGroup
{
public:
  FakeShardGroupsMember(FakeShardGroups& aGroup, uint16_t aPort)
    : mGroup(aGroup)
    , mPort(aPort)
  {
  }

  Result<GroupAssignment> Join(ShardNumber aShard, Generation aKnown) override
  {
    return mGroup.Join(mPort, aShard, aKnown);
  }
  Result<GroupView> View(ShardNumber aShard) override
  {
    return mGroup.View(mPort, aShard);
  }
  Result<void> Leave(ShardNumber aShard) override
  {
    return mGroup.Leave(mPort, aShard);
  }

private:
  FakeShardGroups& mGroup;
  const uint16_t mPort;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_GROUPS_FAKE_H_
