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
    mCurrentEpoch = Epoch(aStored.mOffset.Value());
    mPending.clear();
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
  return mCurrentEpoch != Epoch() && aEpoch != mCurrentEpoch;
}

void SnapshotTracker::On(const RecordHeader& aHeader,
                         const SnapshotBegun& aRecord)
{
  const auto pending = mPending.find(aHeader.mWriter);
  if (pending != mPending.end() &&
      pending->second.mSnapshot.mCoveredOffset >= aRecord.mCoveredOffset) {
    return;
  }
  mPending[aHeader.mWriter] = PendingSnapshot{
    aHeader.mEpoch, Snapshot{ aRecord.mCoveredOffset, {} }, aRecord.mParts, 0
  };
}

void SnapshotTracker::On(const RecordHeader& aHeader,
                         const SnapshotPart& aRecord)
{
  const auto found = mPending.find(aHeader.mWriter);
  if (found == mPending.end()) {
    return;
  }
  PendingSnapshot& pending = found->second;
  if (pending.mEpoch != aHeader.mEpoch ||
      pending.mSnapshot.mCoveredOffset != aRecord.mCoveredOffset ||
      pending.mReceivedParts != aRecord.mIndex) {
    return;
  }
  pending.mReceivedParts++;
  if (mContent == SnapshotContent::kKept) {
    pending.mSnapshot.mItems.insert(pending.mSnapshot.mItems.end(),
                                    aRecord.mItems.begin(),
                                    aRecord.mItems.end());
  }
}

void SnapshotTracker::On(const RecordHeader& aHeader,
                         const SnapshotEnded& aRecord)
{
  const auto found = mPending.find(aHeader.mWriter);
  if (found == mPending.end()) {
    return;
  }
  PendingSnapshot& pending = found->second;
  const bool complete =
    pending.mEpoch == aHeader.mEpoch &&
    pending.mSnapshot.mCoveredOffset == aRecord.mCoveredOffset &&
    pending.mExpectedParts == aRecord.mParts &&
    pending.mReceivedParts == pending.mExpectedParts;
  if (!complete) {
    return;
  }
  if (!mNewest || mNewest->mCoveredOffset < pending.mSnapshot.mCoveredOffset) {
    mNewest = std::move(pending.mSnapshot);
  }
  mPending.erase(found);
}

} // namespace mulberryvalve
