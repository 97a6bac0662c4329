// SnapshotDue and SplitSnapshot: when a stream needs a snapshot, and how a
// snapshot is split into log records.
#ifndef MULBERRYVALVE_CORE_SNAPSHOT_SNAPSHOT_PLAN_H_
#define MULBERRYVALVE_CORE_SNAPSHOT_SNAPSHOT_PLAN_H_

#include "mulberryvalve/core/records/record.h"

#include <cstdint>
#include <vector>

namespace mulberryvalve {

// SnapshotOptions set the snapshot interval and the size of its records.
struct SnapshotOptions
{
  // A snapshot is due after this many records since the newest one.
  uint64_t mIntervalRecords = 20'000;
  // Minimum number of records between two snapshots, even when the log has
  // dropped records that are still needed.
  uint64_t mMinRecords = 64;
  // Estimated size of one part. A larger item gets a part of its own.
  size_t mPartBytes = 128 * 1024;
};

// StreamSpan is the range of a stream that was applied and that the log
// retains.
struct StreamSpan
{
  // Highest offset covered by the newest complete snapshot, or zero.
  Offset mCovered;
  Offset mFolded;
  // Oldest offset that the log retains, or zero when unknown.
  Offset mOldest;
};

// SnapshotDue returns whether a snapshot of the current state is due. It is
// when mIntervalRecords records were applied since the last one. When the log
// has dropped its oldest records, it is also due once less than half of the
// retained range precedes the first record after that snapshot.
// Pure, so thread-safe.
bool SnapshotDue(const StreamSpan& aSpan, const SnapshotOptions& aOptions);

// SplitSnapshot returns the records to append for aSnapshot, in order. Pure, so
// thread-safe.
std::vector<Record> SplitSnapshot(Snapshot aSnapshot,
                                  const SnapshotOptions& aOptions);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_SNAPSHOT_SNAPSHOT_PLAN_H_
