#include "mulberryvalve/app/requests/key_store.h"

#include "mulberryvalve/core/keys/storable_outcome.h"

#include <utility>

namespace mulberryvalve {

KeyStore::KeyStore(std::vector<KeyPartition> aPartitions, WriterId aSelf)
  : mPartitions(std::move(aPartitions))
  , mSelf(std::move(aSelf))
{
}

const KeyPartition& KeyStore::PartitionOf(const IdempotencyKey& aKey) const
{
  return mPartitions[StableHash(aKey.Text()) % mPartitions.size()];
}

std::optional<KeyEntry> KeyStore::FindEntry(const IdempotencyKey& aKey) const
{
  return PartitionOf(aKey).mState->Read(
    [&](const KeyStateMachine& aState) -> std::optional<KeyEntry> {
      const KeyEntry* entry = aState.Find(aKey);
      return entry == nullptr ? std::nullopt : std::optional<KeyEntry>(*entry);
    });
}

KeyClaimResult KeyStore::Claim(const IdempotencyKey& aKey,
                               const AttemptId& aAttempt,
                               MonotonicTime aDeadline)
{
  if (const auto known = FindEntry(aKey)) {
    return KeyClaimResult{ KeyClaimStatus::kTaken, known->mSettled };
  }
  const KeyPartition& partition = PartitionOf(aKey);
  if (!partition.mState->Reachable()) {
    return KeyClaimResult{ KeyClaimStatus::kLogUnreachable, std::nullopt };
  }
  const Result<Offset> at = partition.mWriter->AppendFolded(
    { KeyClaimed{ aKey, aAttempt } }, Epoch(), aDeadline);
  if (!at) {
    Settle(KeySettled{ aKey,
                       aAttempt,
                       RequestStatus::kNotRun,
                       RequestReason::kLogUnavailable,
                       0,
                       "" });
    return KeyClaimResult{ KeyClaimStatus::kLogUnreachable, std::nullopt };
  }
  const auto entry = FindEntry(aKey);
  if (entry && entry->mOwner == mSelf && entry->mAttempt == aAttempt) {
    return KeyClaimResult{ KeyClaimStatus::kWon, std::nullopt };
  }
  return KeyClaimResult{ KeyClaimStatus::kTaken,
                         entry ? entry->mSettled : std::nullopt };
}

KeyClaimResult KeyStore::Await(const IdempotencyKey& aKey,
                               MonotonicTime aDeadline)
{
  StreamReplica<KeyStateMachine>& state = *PartitionOf(aKey).mState;
  while (true) {
    const Offset next = state.NextOffset();
    const auto entry = FindEntry(aKey);
    if (!entry) {
      return KeyClaimResult{ KeyClaimStatus::kUnclaimed, std::nullopt };
    }
    if (entry->mSettled || !state.WaitFolded(next, aDeadline)) {
      return KeyClaimResult{ KeyClaimStatus::kTaken, entry->mSettled };
    }
  }
}

void KeyStore::Settle(const KeySettled& aOutcome)
{
  PartitionOf(aOutcome.mKey)
    .mWriter->Submit(
      { StorableOutcome(aOutcome) }, Epoch(), [](const Result<Offset>&) {});
}

} // namespace mulberryvalve
