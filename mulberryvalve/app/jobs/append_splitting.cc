#include "mulberryvalve/app/jobs/append_splitting.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mulberryvalve {
namespace {

// Fills appends up to the limits, one after the other.
class AppendSplitter
{
public:
  explicit AppendSplitter(const KeyedLogLimits& aLimits)
    : mLimits(aLimits)
    , mAppends{ { ProgressAppend() }, {} }
  {
  }

  // Adds aEntry to an append and returns the batch of that append, in which the
  // caller records what aEntry makes durable. An entry above the record limit
  // is reported in mTooLarge and not appended. The caller records it as durable
  // all the same, so it is not retried.
  ProgressBatch& Add(KeyedEntry aEntry)
  {
    const size_t bytes = RecordBytes(aEntry);
    if (!FitsRecord(aEntry, mLimits)) {
      mAppends.mTooLarge.push_back(
        Fail(FailureKind::kTooLarge,
             aEntry.mKey,
             std::to_string(bytes) + " bytes, at most " +
               std::to_string(mLimits.mRecordBytes)));
      return Last().mBatch;
    }
    const size_t more = bytes + kRecordOverhead;
    if (mBytes > 0 && mBytes + more > mLimits.mRequestBytes) {
      mAppends.mAppends.emplace_back();
      mBytes = 0;
    }
    mBytes += more;
    Last().mEntries.push_back(std::move(aEntry));
    return Last().mBatch;
  }

  // Adds all of aEntries and returns the batch of the last append.
  ProgressBatch& AddAll(std::vector<KeyedEntry> aEntries)
  {
    for (KeyedEntry& entry : aEntries) {
      Add(std::move(entry));
    }
    return Last().mBatch;
  }

  ProgressAppend& Last() { return mAppends.mAppends.back(); }

  // Returns the appends. Call once.
  ProgressAppends Take() { return std::move(mAppends); }

private:
  const KeyedLogLimits mLimits;
  ProgressAppends mAppends;
  size_t mBytes = 0;
};

} // namespace

std::vector<std::vector<KeyedEntry>> SplitEntries(
  std::vector<KeyedEntry> aEntries,
  const KeyedLogLimits& aLimits)
{
  AppendSplitter builder(aLimits);
  builder.AddAll(std::move(aEntries));
  std::vector<std::vector<KeyedEntry>> appends;
  for (ProgressAppend& append : builder.Take().mAppends) {
    if (!append.mEntries.empty()) {
      appends.push_back(std::move(append.mEntries));
    }
  }
  return appends;
}

bool FitsRequest(const std::vector<KeyedEntry>& aEntries,
                 const KeyedLogLimits& aLimits)
{
  size_t bytes = 0;
  for (const KeyedEntry& entry : aEntries) {
    bytes += RecordBytes(entry) + kRecordOverhead;
  }
  return bytes <= aLimits.mRequestBytes;
}

KeyedLogLimits WithRoomFor(size_t aBytes, const KeyedLogLimits& aLimits)
{
  KeyedLogLimits limits = aLimits;
  limits.mRequestBytes -= std::min(aBytes, limits.mRequestBytes);
  return limits;
}

ProgressAppends SplitBatch(const ProgressBatch& aBatch,
                           const JobLogCodec& aCodec,
                           const KeyedLogLimits& aLimits)
{
  AppendSplitter builder(aLimits);
  for (const JobRecord& record : aBatch.mJobs) {
    builder.Add(aCodec.Encode(record)).mJobs.push_back(record);
  }
  for (const RetiredJob& job : aBatch.mRetired) {
    builder.AddAll(aCodec.EncodeProgressTombstones(job))
      .mRetired.push_back(job);
  }
  for (const UsedWorkerRecord& worker : aBatch.mWorkers) {
    builder.Add(aCodec.Encode(worker)).mWorkers.push_back(worker);
  }
  for (const WorkerMove& move : aBatch.mMoves) {
    builder.Add(aCodec.Encode(move)).mMoves.push_back(move);
  }
  for (const WorkerId& worker : aBatch.mRemovedWorkers) {
    builder.Add(aCodec.EncodeWorkerTombstone(worker))
      .mRemovedWorkers.push_back(worker);
  }
  for (const Epoch epoch : aBatch.mEndedClaims) {
    builder.AddAll(aCodec.EncodeOwnershipTombstones(epoch))
      .mEndedClaims.push_back(epoch);
  }
  if (aBatch.mLearned) {
    builder.Add(aCodec.Encode(*aBatch.mLearned)).mLearned = aBatch.mLearned;
  }
  builder.Last().mBatch.mAckedEnds = aBatch.mAckedEnds;
  return builder.Take();
}

} // namespace mulberryvalve
