// KeyStateMachine: the idempotency keys of one stream; the first claim of a key
// wins.
#ifndef MULBERRYVALVE_CORE_KEYS_KEY_STATE_MACHINE_H_
#define MULBERRYVALVE_CORE_KEYS_KEY_STATE_MACHINE_H_

#include "mulberryvalve/core/records/duplicate_filter.h"
#include "mulberryvalve/core/records/record.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>

namespace mulberryvalve {

// KeyEntry is a claimed key. mSettled is set once its outcome is known.
struct KeyEntry
{
  WriterId mOwner;
  AttemptId mAttempt;
  Offset mOffset;
  std::optional<KeySettled> mSettled;
};

// KeyStateMachineLimits bound the memory of a key state machine. All readers of
// a stream must use the same limits, or their states diverge.
struct KeyStateMachineLimits
{
  size_t mMaxKeys = 65'536;
  size_t mMaxBodyBytes = 4 * 1024 * 1024;
};

// KeyStateMachine is deterministic. A key settled as not run can be claimed
// again. It retains the keys of the newest mMaxKeys claims; an older key counts
// as new. When the stored response bodies exceed mMaxBodyBytes, those of the
// oldest claims are dropped and their keys become kUnknown. Not synchronised.
class KeyStateMachine
{
public:
  explicit KeyStateMachine(
    KeyStateMachineLimits aLimits = KeyStateMachineLimits())
    : mLimits(aLimits)
  {
  }

  // Apply applies the record at the next offset; see ShardStateMachine::Apply.
  // Returns kConflict for a claim of a key that is already claimed.
  ApplyResult Apply(const StoredRecord& aStored);

  // Capture returns a snapshot of all retained keys.
  Snapshot Capture() const;

  // Restore replaces the state by aSnapshot; see ShardStateMachine::Restore.
  bool Restore(const Snapshot& aSnapshot);

  // Find returns the entry of aKey, or null. Valid until the next Apply.
  const KeyEntry* Find(const IdempotencyKey& aKey) const;

  // Folded returns the highest applied offset.
  Offset Folded() const { return mFolded; }

  // Newest returns the position of aWriter's newest applied record.
  WriterPosition Newest(const WriterId& aWriter) const
  {
    return mWriters.Newest(aWriter);
  }

private:
  using Entries = std::unordered_map<IdempotencyKey, KeyEntry>;
  using KeysByOffset = std::map<Offset, IdempotencyKey>;

  void InsertEntry(const IdempotencyKey& aKey, KeyEntry aEntry);
  void EraseEntry(Entries::iterator aEntry);
  void TrackBody(const KeyEntry& aEntry);
  ApplyResult On(const StoredRecord& aAt, const KeyClaimed& aRecord);
  ApplyResult On(const KeySettled& aRecord);
  void EvictOldestKeys();
  void DropOldestBodies();

  KeyStateMachineLimits mLimits;
  Offset mFolded;
  DuplicateFilter mWriters;
  Entries mKeys;
  KeysByOffset mKeysByClaimOffset;
  KeysByOffset mBodiesByClaimOffset;
  size_t mBodyBytes = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_KEYS_KEY_STATE_MACHINE_H_
