#include "mulberryvalve/app/jobs/shard_groups_fake.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

Result<GroupAssignment> FakeShardGroups::Join(uint16_t aPort,
                                              ShardNumber aShard,
                                              Generation aKnown)
{
  MutexLock lock(mMutex);
  if (mDisconnected.count(aPort) != 0) {
    return Fail(FailureKind::kLogUnavailable);
  }
  mJoins[aPort]++;
  mAllJoins++;
  mCond.NotifyAll();
  Group& group = mGroups[aShard];
  std::vector<uint16_t>& members = group.mMembers;
  if (std::find(members.begin(), members.end(), aPort) == members.end()) {
    members.push_back(aPort);
    group.mGeneration++;
    group.mJoinedAt[aPort] = group.mGeneration;
    OnMembersChanged(group);
  }
  if (group.mHolder == aPort) {
    group.mHolderKnows = std::max(group.mHolderKnows, aKnown.Value());
    if (group.mMovesSince && aKnown.Value() >= *group.mMovesSince) {
      GiveToNext(group);
      group.mGeneration++;
    }
  }
  GroupAssignment share;
  share.mGeneration = Generation(group.mGeneration);
  const uint64_t lastGeneration =
    std::exchange(group.mLastGeneration[aPort], group.mGeneration);
  const bool pauses = mOrder == AssignmentOrder::kOldestAfterOneEmptyJoin &&
                      lastGeneration != 0 &&
                      lastGeneration != group.mGeneration;
  share.mHoldsShard = group.mHolder == aPort && !group.mMovesSince && !pauses;
  share.mIsOnlyMember = members.size() == 1;
  return share;
}

Result<GroupView> FakeShardGroups::View(uint16_t aPort, ShardNumber aShard)
{
  MutexLock lock(mMutex);
  if (mDisconnected.count(aPort) + mJoinsOnly.count(aPort) != 0) {
    mFailedViews++;
    mCond.NotifyAll();
    return Fail(FailureKind::kLogUnavailable);
  }
  mViews++;
  mCond.NotifyAll();
  GroupView view;
  const Group& group = mGroups[aShard];
  for (const uint16_t port : group.mMembers) {
    const auto known = mProcessors.find(port);
    const GroupMember member{ Endpoint{ "10.0.0.1", port },
                              known == mProcessors.end() ? kWholeCore
                                                         : known->second };
    if (port == group.mHolder) {
      view.mOwner = member;
    } else if (group.mJoinedAt.at(port) <= group.mHolderKnows) {
      view.mOthers.push_back(member);
    }
  }
  return view;
}

Result<void> FakeShardGroups::Leave(uint16_t aPort, ShardNumber aShard)
{
  MutexLock lock(mMutex);
  if (mDisconnected.count(aPort) != 0) {
    return Fail(FailureKind::kLogUnavailable);
  }
  Remove(mGroups[aShard], aPort);
  return Done();
}

void FakeShardGroups::Disconnect(uint16_t aPort)
{
  MutexLock lock(mMutex);
  mDisconnected.insert(aPort);
  for (auto& [shard, group] : mGroups) {
    Remove(group, aPort);
  }
}

void FakeShardGroups::Reconnect(uint16_t aPort)
{
  MutexLock lock(mMutex);
  mDisconnected.erase(aPort);
  mJoinsOnly.erase(aPort);
}

void FakeShardGroups::RestoreJoins(uint16_t aPort)
{
  MutexLock lock(mMutex);
  mDisconnected.erase(aPort);
  mJoinsOnly.insert(aPort);
}

void FakeShardGroups::AwaitFailedViews(size_t aCount)
{
  MutexLock lock(mMutex);
  Await(mFailedViews, aCount);
}

void FakeShardGroups::Await(const size_t& aCounter, size_t aMore)
{
  const size_t until = aCounter + aMore;
  while (aCounter < until) {
    mCond.Wait(mMutex);
  }
}

uint16_t FakeShardGroups::NextHolderOf(const Group& aGroup) const
{
  return mOrder == AssignmentOrder::kNewestFirst ? aGroup.mMembers.back()
                                                 : aGroup.mMembers.front();
}

void FakeShardGroups::Remove(Group& aGroup, uint16_t aPort)
{
  std::vector<uint16_t>& members = aGroup.mMembers;
  const auto gone = std::remove(members.begin(), members.end(), aPort);
  if (gone == members.end()) {
    return;
  }
  members.erase(gone, members.end());
  aGroup.mGeneration++;
  if (aGroup.mHolder == aPort) {
    aGroup.mHolder.reset();
  }
  OnMembersChanged(aGroup);
}

void FakeShardGroups::OnMembersChanged(Group& aGroup)
{
  aGroup.mMemberChanges++;
  if (aGroup.mMembers.empty()) {
    aGroup.mMovesSince.reset();
  } else if (!aGroup.mHolder) {
    GiveToNext(aGroup);
  } else if (!aGroup.mMovesSince && *aGroup.mHolder != NextHolderOf(aGroup)) {
    aGroup.mMovesSince = aGroup.mGeneration;
  }
}

void FakeShardGroups::GiveToNext(Group& aGroup)
{
  aGroup.mHolder = NextHolderOf(aGroup);
  aGroup.mMovesSince.reset();
  aGroup.mHolderKnows = 0;
}

void FakeShardGroups::SetProcessor(uint16_t aPort, MilliCores aProcessor)
{
  MutexLock lock(mMutex);
  mProcessors[aPort] = aProcessor;
}

std::map<ShardNumber, uint16_t> FakeShardGroups::Owners() const
{
  MutexLock lock(mMutex);
  std::map<ShardNumber, uint16_t> owners;
  for (const auto& [shard, group] : mGroups) {
    if (group.mHolder) {
      owners[shard] = *group.mHolder;
    }
  }
  return owners;
}

size_t FakeShardGroups::Changes() const
{
  MutexLock lock(mMutex);
  size_t changes = 0;
  for (const auto& [shard, group] : mGroups) {
    changes += group.mMemberChanges;
  }
  return changes;
}

void FakeShardGroups::AwaitViews(size_t aCount)
{
  MutexLock lock(mMutex);
  Await(mViews, aCount);
}

void FakeShardGroups::AwaitJoins(size_t aCount)
{
  MutexLock lock(mMutex);
  Await(mAllJoins, aCount);
}

bool FakeShardGroups::AwaitJoinsOf(uint16_t aPort,
                                   size_t aCount,
                                   Milliseconds aTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  MutexLock lock(mMutex);
  const size_t& joins = mJoins[aPort];
  const size_t until = joins + aCount;
  while (joins < until && mCond.WaitUntil(mMutex, end)) {
  }
  return joins >= until;
}

size_t FakeShardGroups::Joins(uint16_t aPort) const
{
  MutexLock lock(mMutex);
  const auto found = mJoins.find(aPort);
  return found == mJoins.end() ? 0 : found->second;
}

} // namespace mulberryvalve
