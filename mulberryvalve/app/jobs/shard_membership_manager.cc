#include "mulberryvalve/app/jobs/shard_membership_manager.h"

#include <algorithm>

namespace mulberryvalve {

ShardMembershipManager::ShardMembershipManager(
  const ShardMembershipOptions& aOptions,
  const LayoutView& aLayout,
  ShardGroup& aGroup,
  RandomSource& aRandom,
  ShardRuntimePorts aPorts)
  : mBalancer(aOptions.mBalancerDelays, aOptions.mSelf, aLayout, aRandom)
{
  aPorts.mOwners = this;
  for (ShardNumber shard = 0; shard < aOptions.mOwner.mShards; shard++) {
    mMemberships.push_back(std::make_unique<ShardMembership>(
      shard, aOptions, aGroup, mBalancer, aRandom, aPorts));
  }
}

ShardMembershipManager::~ShardMembershipManager()
{
  BeginStop();
  Stop();
}

void ShardMembershipManager::Start()
{
  for (const auto& membership : mMemberships) {
    membership->Start();
  }
}

void ShardMembershipManager::BeginStop()
{
  for (const auto& membership : mMemberships) {
    membership->BeginStop();
  }
}

void ShardMembershipManager::Stop()
{
  for (const auto& membership : mMemberships) {
    membership->Stop();
  }
}

MonotonicTime ShardMembershipManager::LastContact() const
{
  MonotonicTime last;
  for (const auto& membership : mMemberships) {
    last = std::max(last, membership->LastContact());
  }
  return last;
}

std::optional<Endpoint> ShardMembershipManager::OwnerOf(
  ShardNumber aShard) const
{
  if (aShard >= mMemberships.size()) {
    return std::nullopt;
  }
  return mMemberships[aShard]->Owner();
}

void ShardMembershipManager::OnPeerAnswer(ShardNumber aShard,
                                          const PeerQueryResult& aAnswer)
{
  if (aShard < mMemberships.size()) {
    mMemberships[aShard]->OnPeerAnswer(aAnswer);
  }
}

void ShardMembershipManager::InvalidateOwner(ShardNumber aShard)
{
  if (aShard < mMemberships.size()) {
    mMemberships[aShard]->InvalidateOwner();
  }
}

PeerQueryResult ShardMembershipManager::OnQuery(const PeerQuery& aQuestion)
{
  if (aQuestion.mShard >= mMemberships.size()) {
    return PeerQueryResult();
  }
  return mMemberships[aQuestion.mShard]->OnQuery(aQuestion);
}

} // namespace mulberryvalve
