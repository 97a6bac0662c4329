// SnapshotSearch: finds the snapshot to restore from, and the records to apply
// after it, in one pass over the retained records of a stream.
#ifndef MULBERRYVALVE_CORE_SNAPSHOT_SNAPSHOT_SEARCH_H_
#define MULBERRYVALVE_CORE_SNAPSHOT_SNAPSHOT_SEARCH_H_

#include "mulberryvalve/core/snapshot/snapshot_tracker.h"

#include <deque>

namespace mulberryvalve {

// SnapshotSearch reads the records from the oldest retained one on. Not
// synchronised.
class SnapshotSearch
{
public:
  // SnapshotSearch begins at aOldest, the oldest offset that the log retains.
  explicit SnapshotSearch(Offset aOldest);

  // OnRecord processes the record at Next().
  void OnRecord(const StoredRecord& aStored);

  // Next returns the offset to read next.
  Offset Next() const { return mNext; }

  // Found returns the newest complete snapshot whose following records are all
  // available, or null. Valid until the next OnRecord.
  const Snapshot* Found() const;

  // Tail returns the records after Found(), in order. The items of snapshot
  // parts are removed, since no state machine reads them.
  const std::deque<StoredRecord>& Tail() const { return mTail; }

private:
  const Offset mOldest;
  Offset mNext;
  SnapshotTracker mTracker{ SnapshotContent::kKept };
  std::deque<StoredRecord> mTail;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_SNAPSHOT_SNAPSHOT_SEARCH_H_
