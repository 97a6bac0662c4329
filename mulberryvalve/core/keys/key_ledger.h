// KeyLedger: folds a stream of idempotency keys; the first claim of a key wins.
#ifndef MULBERRYVALVE_CORE_KEYS_KEY_LEDGER_H_
#define MULBERRYVALVE_CORE_KEYS_KEY_LEDGER_H_

#include "mulberryvalve/core/records/duplicate_filter.h"
#include "mulberryvalve/core/records/record.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>

namespace mulberryvalve {

// KeyEntry is one claimed key. mSettled is set once its outcome is known.
struct KeyEntry
{
  WriterId mOwner;
  AttemptId mAttempt;
  Offset mOffset;
  std::optional<KeySettled> mSettled;
};

// KeyLedgerLimits bound what a ledger remembers. All readers of a stream must
// use the same ones.
struct KeyLedgerLimits
{
  size_t mMaxKeys = 65'536;
  size_t mMaxBodyBytes = 4 * 1024 * 1024;
};

// KeyLedger is deterministic. A key settled as not run is free again. It
// remembers the keys of the newest claims, as many as its limits say; a key
// older than these counts as new. When the answers kept become too large, the
// oldest claims' are dropped and their keys settled as kUnknown. Not
// synchronised.
class KeyLedger
{
public:
  explicit KeyLedger(KeyLedgerLimits aLimits = KeyLedgerLimits())
    : mLimits(aLimits)
  {
  }

  // Apply folds the record at the next offset; see ShardLedger::Apply. A claim
  // of a key that is taken gives kConflict.
  ApplyResult Apply(const StoredRecord& aStored);

  // Capture returns every remembered key.
  Snapshot Capture() const;

  // Restore replaces the state by aSnapshot; see ShardLedger::Restore.
  bool Restore(const Snapshot& aSnapshot);

  // Find returns the entry of aKey, or null. Valid until Apply.
  const KeyEntry* Find(const IdempotencyKey& aKey) const;

  // Folded returns the highest offset folded.
  Offset Folded() const { return mFolded; }

  // Newest returns the newest record folded of aWriter.
  WriterPosition Newest(const WriterId& aWriter) const
  {
    return mWriters.Newest(aWriter);
  }

private:
  using Entries = std::unordered_map<IdempotencyKey, KeyEntry>;
  using ByOffset = std::map<Offset, IdempotencyKey>;

  void Insert(const IdempotencyKey& aKey, KeyEntry aEntry);
  void Erase(Entries::iterator aEntry);
  void CountBody(const KeyEntry& aEntry);
  ApplyResult On(const StoredRecord& aAt, const KeyClaimed& aRecord);
  ApplyResult On(const KeySettled& aRecord);
  void ForgetOldestKeys();
  void DropOldestBodies();

  KeyLedgerLimits mLimits;
  Offset mFolded;
  DuplicateFilter mWriters;
  Entries mKeys;
  ByOffset mByClaim;
  ByOffset mWithBody;
  size_t mBodyBytes = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_KEYS_KEY_LEDGER_H_
