#include "mulberryvalve/core/jobs/shard_workers.h"

namespace mulberryvalve {

MoveOutcome ShardWorkers::OnMove(const WorkerMove& aMove)
{
  if (aMove.mFrom >= mShards || aMove.mTo >= mShards ||
      aMove.mHome >= mShards) {
    return MoveOutcome::kUnknownShard;
  }
  const bool isOfThisShard = aMove.mFrom == mShard || aMove.mTo == mShard;
  if (aMove.mFrom == aMove.mTo || !isOfThisShard) {
    return MoveOutcome::kMisdirected;
  }
  const auto [known, isNew] = mNewest.try_emplace(aMove.mWorker, aMove);
  if (!isNew && aMove.mNumber <= known->second.mNumber) {
    return MoveOutcome::kKnown;
  }
  known->second = aMove;
  if (aMove.mFrom == mShard) {
    mUndelivered.insert(aMove.mWorker);
  } else {
    mUndelivered.erase(aMove.mWorker);
  }
  return MoveOutcome::kApplied;
}

bool ShardWorkers::Owns(const WorkerId& aWorker, ShardNumber aHome) const
{
  const WorkerMove* newest = Find(aWorker);
  return newest == nullptr ? aHome == mShard : newest->mTo == mShard;
}

bool ShardWorkers::HasLeft(const WorkerId& aWorker) const
{
  const WorkerMove* newest = Find(aWorker);
  return newest != nullptr && newest->mTo != mShard;
}

ShardNumber ShardWorkers::HomeOf(const WorkerId& aWorker) const
{
  const WorkerMove* newest = Find(aWorker);
  return newest == nullptr ? mShard : newest->mHome;
}

uint64_t ShardWorkers::TokenBase(const WorkerId& aWorker) const
{
  const WorkerMove* newest = Find(aWorker);
  return newest == nullptr ? 0 : newest->mTokenBase;
}

// The owner's token is its epoch with the present base. Any epoch is at least
// zero, so the next base alone is above that.
WorkerMove ShardWorkers::MoveTo(const WorkerId& aWorker,
                                ShardNumber aTo,
                                Epoch aEpoch) const
{
  const WorkerMove* newest = Find(aWorker);
  WorkerMove move;
  move.mWorker = aWorker;
  move.mFrom = mShard;
  move.mTo = aTo;
  move.mHome = HomeOf(aWorker);
  move.mNumber = newest == nullptr ? 1 : newest->mNumber + 1;
  move.mTokenBase = TokenBase(aWorker) + aEpoch.Value() + 1;
  return move;
}

std::vector<WorkerId> ShardWorkers::Guests() const
{
  std::vector<WorkerId> guests;
  for (const auto& [worker, move] : mNewest) {
    if (move.mTo == mShard && move.mHome != mShard) {
      guests.push_back(worker);
    }
  }
  return guests;
}

std::vector<WorkerMove> ShardWorkers::Undelivered() const
{
  std::vector<WorkerMove> moves;
  moves.reserve(mUndelivered.size());
  for (const WorkerId& worker : mUndelivered) {
    moves.push_back(mNewest.at(worker));
  }
  return moves;
}

void ShardWorkers::OnDelivered(const WorkerMove& aMove)
{
  const WorkerMove* newest = Find(aMove.mWorker);
  if (newest != nullptr && newest->mNumber == aMove.mNumber) {
    mUndelivered.erase(aMove.mWorker);
  }
}

const WorkerMove* ShardWorkers::Find(const WorkerId& aWorker) const
{
  const auto found = mNewest.find(aWorker);
  return found == mNewest.end() ? nullptr : &found->second;
}

} // namespace mulberryvalve
