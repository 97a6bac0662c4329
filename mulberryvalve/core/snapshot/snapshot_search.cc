#include "mulberryvalve/core/snapshot/snapshot_search.h"

namespace mulberryvalve {

SnapshotSearch::SnapshotSearch(Offset aOldest)
  : mOldest(aOldest)
  , mNext(aOldest)
{
}

void SnapshotSearch::OnRecord(const StoredRecord& aStored)
{
  mTracker.OnRecord(aStored);
  mNext = aStored.mOffset.Next();
  if (const auto* part = std::get_if<SnapshotPart>(&aStored.mRecord.mBody)) {
    const SnapshotPart empty{ part->mCoveredOffset, part->mIndex, {} };
    mTail.push_back(StoredRecord{
      aStored.mOffset, LogRecord{ aStored.mRecord.mHeader, empty } });
  } else {
    mTail.push_back(aStored);
  }
  const Snapshot* found = Found();
  while (found != nullptr && !mTail.empty() &&
         mTail.front().mOffset <= found->mCoveredOffset) {
    mTail.pop_front();
  }
}

const Snapshot* SnapshotSearch::Found() const
{
  const std::optional<Snapshot>& newest = mTracker.Newest();
  const bool usable = newest && newest->mCoveredOffset.Next() >= mOldest;
  return usable ? &*newest : nullptr;
}

} // namespace mulberryvalve
