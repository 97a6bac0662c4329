#include "mulberryvalve/core/keys/key_state_machine.h"

#include <utility>

namespace mulberryvalve {
namespace {

KeyItem ItemOf(const IdempotencyKey& aKey, const KeyEntry& aEntry)
{
  KeyItem item{
    aKey, aEntry.mOwner, aEntry.mAttempt, aEntry.mOffset, std::nullopt
  };
  if (aEntry.mSettled) {
    const KeySettled& settled = *aEntry.mSettled;
    item.mOutcome = KeyOutcome{
      settled.mStatus, settled.mReason, settled.mUpstreamStatus, settled.mBody
    };
  }
  return item;
}

KeyEntry EntryOf(const KeyItem& aItem)
{
  KeyEntry entry{ aItem.mOwner, aItem.mAttempt, aItem.mOffset, std::nullopt };
  if (aItem.mOutcome) {
    const KeyOutcome& outcome = *aItem.mOutcome;
    entry.mSettled =
      KeySettled{ aItem.mKey,      aItem.mAttempt,          outcome.mStatus,
                  outcome.mReason, outcome.mUpstreamStatus, outcome.mBody };
  }
  return entry;
}

} // namespace

Snapshot KeyStateMachine::Capture() const
{
  Snapshot snapshot{ mFolded, {} };
  mWriters.Capture(snapshot.mItems);
  for (const auto& [key, entry] : mKeys) {
    snapshot.mItems.push_back(ItemOf(key, entry));
  }
  return snapshot;
}

bool KeyStateMachine::Restore(const Snapshot& aSnapshot)
{
  if (aSnapshot.mCoveredOffset <= mFolded) {
    return false;
  }
  *this = KeyStateMachine(mLimits);
  for (const SnapshotItem& item : aSnapshot.mItems) {
    if (const auto* writer = std::get_if<WriterItem>(&item)) {
      mWriters.Restore(*writer);
    } else if (const auto* key = std::get_if<KeyItem>(&item)) {
      KeyEntry entry = EntryOf(*key);
      if (entry.mSettled) {
        TrackBody(entry);
      }
      InsertEntry(key->mKey, std::move(entry));
    }
  }
  mFolded = aSnapshot.mCoveredOffset;
  return true;
}

} // namespace mulberryvalve
