#include "mulberryvalve/core/snapshot/snapshot_tracker.h"

#include <utility>

namespace mulberryvalve {

SnapshotTracker::SnapshotTracker(SnapshotContent aContent)
  : mContent(aContent)
{
}

void SnapshotTracker::OnRecord(const StoredRecord& aStored)
{
  const RecordHeader& header = aStored.mRecord.mHeader;
  const Record& body = aStored.mRecord.mBody;
  if (std::holds_alternative<ShardClaimed>(body)) {
    mClaimed = Epoch(aStored.mOffset.Value());
    mOpen.clear();
  } else if (IsFenced(header.mEpoch)) {
    return;
  } else if (const auto* begun = std::get_if<SnapshotBegun>(&body)) {
    On(header, *begun);
  } else if (const auto* part = std::get_if<SnapshotPart>(&body)) {
    On(header, *part);
  } else if (const auto* ended = std::get_if<SnapshotEnded>(&body)) {
    On(header, *ended);
  }
}

bool SnapshotTracker::IsFenced(Epoch aEpoch) const
{
  return mClaimed != Epoch() && aEpoch != mClaimed;
}

void SnapshotTracker::On(const RecordHeader& aHeader,
                         const SnapshotBegun& aRecord)
{
  const auto open = mOpen.find(aHeader.mWriter);
  if (open != mOpen.end() &&
      open->second.mSnapshot.mCoveredOffset >= aRecord.mCoveredOffset) {
    return;
  }
  mOpen[aHeader.mWriter] = Open{
    aHeader.mEpoch, Snapshot{ aRecord.mCoveredOffset, {} }, aRecord.mParts, 0
  };
}

void SnapshotTracker::On(const RecordHeader& aHeader,
                         const SnapshotPart& aRecord)
{
  const auto found = mOpen.find(aHeader.mWriter);
  if (found == mOpen.end()) {
    return;
  }
  Open& open = found->second;
  if (open.mEpoch != aHeader.mEpoch ||
      open.mSnapshot.mCoveredOffset != aRecord.mCoveredOffset ||
      open.mSeen != aRecord.mIndex) {
    return;
  }
  open.mSeen++;
  if (mContent == SnapshotContent::kKept) {
    open.mSnapshot.mItems.insert(open.mSnapshot.mItems.end(),
                                 aRecord.mItems.begin(),
                                 aRecord.mItems.end());
  }
}

void SnapshotTracker::On(const RecordHeader& aHeader,
                         const SnapshotEnded& aRecord)
{
  const auto found = mOpen.find(aHeader.mWriter);
  if (found == mOpen.end()) {
    return;
  }
  Open& open = found->second;
  const bool whole = open.mEpoch == aHeader.mEpoch &&
                     open.mSnapshot.mCoveredOffset == aRecord.mCoveredOffset &&
                     open.mParts == aRecord.mParts && open.mSeen == open.mParts;
  if (!whole) {
    return;
  }
  if (!mNewest || mNewest->mCoveredOffset < open.mSnapshot.mCoveredOffset) {
    mNewest = std::move(open.mSnapshot);
  }
  mOpen.erase(found);
}

} // namespace mulberryvalve
