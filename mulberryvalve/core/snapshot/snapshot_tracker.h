// SnapshotTracker: assembles complete snapshots from a stream's records.
#ifndef MULBERRYVALVE_CORE_SNAPSHOT_SNAPSHOT_TRACKER_H_
#define MULBERRYVALVE_CORE_SNAPSHOT_SNAPSHOT_TRACKER_H_

#include "mulberryvalve/core/records/record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mulberryvalve {

// SnapshotContent sets whether a tracker keeps the items of snapshots.
enum class SnapshotContent
{
  kKept,
  kDropped,
};

// SnapshotTracker reads a stream's records in offset order. A snapshot is
// complete when one writer wrote its begin, all parts and its end, in order and
// under one epoch, and no later claim of the shard precedes the end. Duplicate
// records, and interleaved records of other writers' snapshots, are ignored.
// Not synchronised.
class SnapshotTracker
{
public:
  explicit SnapshotTracker(SnapshotContent aContent);

  // OnRecord processes the next record.
  void OnRecord(const StoredRecord& aStored);

  // Newest returns the complete snapshot with the highest covered offset, or
  // nullopt. Its items are empty when content is dropped.
  const std::optional<Snapshot>& Newest() const { return mNewest; }

private:
  struct PendingSnapshot
  {
    Epoch mEpoch;
    Snapshot mSnapshot;
    uint32_t mExpectedParts = 0;
    uint32_t mReceivedParts = 0;
  };

  bool IsFenced(Epoch aEpoch) const;
  void On(const RecordHeader& aHeader, const SnapshotBegun& aRecord);
  void On(const RecordHeader& aHeader, const SnapshotPart& aRecord);
  void On(const RecordHeader& aHeader, const SnapshotEnded& aRecord);

  const SnapshotContent mContent;
  Epoch mCurrentEpoch;
  std::map<WriterId, PendingSnapshot> mPending;
  std::optional<Snapshot> mNewest;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_SNAPSHOT_SNAPSHOT_TRACKER_H_
