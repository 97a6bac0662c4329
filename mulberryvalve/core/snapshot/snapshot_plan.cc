#include "mulberryvalve/core/snapshot/snapshot_plan.h"

#include <utility>

namespace mulberryvalve {
namespace {

constexpr size_t kItemOverheadBytes = 200;
constexpr size_t kHistoryEntryBytes = 120;

size_t EstimatedBytes(const SnapshotItem& aItem)
{
  size_t bytes = kItemOverheadBytes;
  if (const auto* task = std::get_if<TaskItem>(&aItem)) {
    bytes += kHistoryEntryBytes * task->mTask.mHistory.size();
  } else if (const auto* job = std::get_if<JobItem>(&aItem)) {
    bytes += job->mSpec.mDemand.mPayload.size();
  } else if (const auto* bundle = std::get_if<BundleItem>(&aItem)) {
    bytes += bundle->mDocument.size();
  } else if (const auto* inForce = std::get_if<InForceItem>(&aItem)) {
    bytes += inForce->mDocument.size();
  } else if (const auto* key = std::get_if<KeyItem>(&aItem)) {
    bytes += key->mOutcome ? key->mOutcome->mBody.size() : 0;
  }
  return bytes;
}

} // namespace

bool SnapshotDue(const StreamSpan& aSpan, const SnapshotOptions& aOptions)
{
  const uint64_t recordsSinceSnapshot =
    aSpan.mFolded.Value() - aSpan.mCovered.Value();
  if (recordsSinceSnapshot < aOptions.mMinRecords) {
    return false;
  }
  if (recordsSinceSnapshot >= aOptions.mIntervalRecords) {
    return true;
  }
  if (aSpan.mOldest.Value() <= 1) {
    return false;
  }
  const uint64_t needed = aSpan.mCovered.Value() + 1;
  if (needed <= aSpan.mOldest.Value()) {
    return true;
  }
  const uint64_t kept = aSpan.mFolded.Value() - aSpan.mOldest.Value();
  return needed - aSpan.mOldest.Value() < kept / 2;
}

std::vector<Record> SplitSnapshot(Snapshot aSnapshot,
                                  const SnapshotOptions& aOptions)
{
  std::vector<SnapshotPart> parts;
  size_t bytes = aOptions.mPartBytes;
  for (SnapshotItem& item : aSnapshot.mItems) {
    const size_t itemBytes = EstimatedBytes(item);
    if (bytes + itemBytes > aOptions.mPartBytes) {
      const auto index = static_cast<uint32_t>(parts.size());
      parts.push_back(SnapshotPart{ aSnapshot.mCoveredOffset, index, {} });
      bytes = 0;
    }
    bytes += itemBytes;
    parts.back().mItems.push_back(std::move(item));
  }
  const auto count = static_cast<uint32_t>(parts.size());
  std::vector<Record> records;
  records.push_back(SnapshotBegun{ aSnapshot.mCoveredOffset, count });
  for (SnapshotPart& part : parts) {
    records.push_back(std::move(part));
  }
  records.push_back(SnapshotEnded{ aSnapshot.mCoveredOffset, count });
  return records;
}

} // namespace mulberryvalve
