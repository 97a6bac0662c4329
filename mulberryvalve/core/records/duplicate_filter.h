// DuplicateFilter: detects repeated records by writer and sequence number.
#ifndef MULBERRYVALVE_CORE_RECORDS_DUPLICATE_FILTER_H_
#define MULBERRYVALVE_CORE_RECORDS_DUPLICATE_FILTER_H_

#include "mulberryvalve/core/records/record.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

namespace mulberryvalve {

// kMaxTrackedWriters is the maximum number of writers tracked per stream. A
// repeated append is not detected if this many other writers have written since
// the original one.
inline constexpr size_t kMaxTrackedWriters = 4096;

// WriterPosition is the sequence number and offset of a writer's newest record.
struct WriterPosition
{
  uint64_t mSequence = 0;
  Offset mOffset;
};

// DuplicateFilter tracks the newest record of each writer in a stream. Writers
// append in order, so a record whose sequence number is not greater than the
// newest one is a repeated append. If there are more than kMaxTrackedWriters
// writers, the least recently active ones are evicted. Eviction depends on the
// records only, so all readers still compute the same state. Not synchronised.
class DuplicateFilter
{
public:
  // Accept registers the record at aOffset. It returns false if the record is a
  // duplicate.
  bool Accept(const RecordHeader& aHeader, Offset aOffset)
  {
    WriterPosition& newest = mNewest[aHeader.mWriter];
    if (aHeader.mSequence <= newest.mSequence) {
      return false;
    }
    mByOffset.erase(newest.mOffset);
    newest = WriterPosition{ aHeader.mSequence, aOffset };
    mByOffset[aOffset] = aHeader.mWriter;
    if (mByOffset.size() > kMaxTrackedWriters) {
      mNewest.erase(mByOffset.begin()->second);
      mByOffset.erase(mByOffset.begin());
    }
    return true;
  }

  // Newest returns the position of aWriter's newest record, or zeros if the
  // writer is not tracked.
  WriterPosition Newest(const WriterId& aWriter) const
  {
    const auto found = mNewest.find(aWriter);
    return found == mNewest.end() ? WriterPosition() : found->second;
  }

  // Capture appends one snapshot item per writer to aItems.
  void Capture(std::vector<SnapshotItem>& aItems) const
  {
    for (const auto& [writer, newest] : mNewest) {
      aItems.push_back(WriterItem{ writer, newest.mSequence, newest.mOffset });
    }
  }

  // Restore restores an item written by Capture.
  void Restore(const WriterItem& aItem)
  {
    mNewest[aItem.mWriter] = WriterPosition{ aItem.mSequence, aItem.mOffset };
    mByOffset[aItem.mOffset] = aItem.mWriter;
  }

private:
  std::map<WriterId, WriterPosition> mNewest;
  std::map<Offset, WriterId> mByOffset;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_RECORDS_DUPLICATE_FILTER_H_
