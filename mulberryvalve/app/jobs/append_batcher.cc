#include "mulberryvalve/app/jobs/append_batcher.h"

#include <string>
#include <utility>

namespace mulberryvalve {

Result<void> AppendBatcher::Append(const KeyedEntry& aEntry)
{
  const KeyedLogLimits limits = mLog.Limits();
  if (!FitsRecord(aEntry, limits)) {
    return Fail(FailureKind::kTooLarge,
                aEntry.mKey,
                std::to_string(RecordBytes(aEntry)) + " bytes");
  }
  const size_t bytes = RecordBytes(aEntry) + kRecordOverhead;
  std::shared_ptr<Batch> batch;
  {
    MutexLock lock(mMutex);
    // The entry does not fit into the open batch: wait until that batch is
    // sent.
    while (mOpenBatch != nullptr &&
           mOpenBatch->mBytes + bytes > limits.mRequestBytes) {
      mCond.Wait(mMutex);
    }
    if (mOpenBatch == nullptr) {
      mOpenBatch = std::make_shared<Batch>();
    }
    batch = mOpenBatch;
    batch->mEntries.push_back(aEntry);
    batch->mBytes += bytes;
    while (mIsCallInFlight && !batch->mDone) {
      mCond.Wait(mMutex);
    }
    if (batch->mDone) {
      return batch->mOutcome;
    }
    // The first caller of the batch to get here makes the call for all of them.
    mIsCallInFlight = true;
    mOpenBatch.reset();
    mCond.NotifyAll();
  }
  Result<void> outcome = mLog.Append(mPlace, batch->mEntries);
  MutexLock lock(mMutex);
  batch->mOutcome = std::move(outcome);
  batch->mDone = true;
  mIsCallInFlight = false;
  mCond.NotifyAll();
  return batch->mOutcome;
}

} // namespace mulberryvalve
