#include "mulberryvalve/app/jobs/shard_keeper.h"

#include <algorithm>

namespace mulberryvalve {

ShardKeeper::ShardKeeper(const ShardKeeperOptions& aOptions,
                         const LayoutView& aLayout,
                         ShardGroup& aGroup,
                         RandomSource& aRandom,
                         ShardRuntimePorts aPorts)
  : mBalancer(aOptions.mBalancerDelays, aOptions.mSelf, aLayout, aRandom)
{
  for (ShardNumber shard = 0; shard < aOptions.mOwner.mShards; shard++) {
    mMemberships.push_back(std::make_unique<ShardMembership>(
      shard, aOptions, aGroup, mBalancer, aRandom, aPorts));
  }
}

ShardKeeper::~ShardKeeper()
{
  BeginStop();
  Stop();
}

void ShardKeeper::Start()
{
  for (const auto& membership : mMemberships) {
    membership->Start();
  }
}

void ShardKeeper::BeginStop()
{
  for (const auto& membership : mMemberships) {
    membership->BeginStop();
  }
}

void ShardKeeper::Stop()
{
  for (const auto& membership : mMemberships) {
    membership->Stop();
  }
}

MonotonicTime ShardKeeper::LastContact() const
{
  MonotonicTime last;
  for (const auto& membership : mMemberships) {
    last = std::max(last, membership->LastContact());
  }
  return last;
}

std::optional<Endpoint> ShardKeeper::OwnerOf(ShardNumber aShard) const
{
  if (aShard >= mMemberships.size()) {
    return std::nullopt;
  }
  return mMemberships[aShard]->Owner();
}

void ShardKeeper::InvalidateOwner(ShardNumber aShard)
{
  if (aShard < mMemberships.size()) {
    mMemberships[aShard]->InvalidateOwner();
  }
}

PeerAnswer ShardKeeper::OnQuestion(const PeerQuestion& aQuestion)
{
  if (aQuestion.mShard >= mMemberships.size()) {
    return PeerAnswer();
  }
  return mMemberships[aQuestion.mShard]->OnQuestion(aQuestion);
}

} // namespace mulberryvalve
