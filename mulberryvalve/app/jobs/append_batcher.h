// Combines the appends of many callers to one partition into fewer calls to the
// log.
#ifndef MULBERRYVALVE_APP_JOBS_APPEND_BATCHER_H_
#define MULBERRYVALVE_APP_JOBS_APPEND_BATCHER_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/keyed_log.h"

#include <memory>
#include <vector>

namespace mulberryvalve {

// Makes one call to the log at a time. Entries that are added meanwhile share
// the next call, so a slow log gets no more calls than it answers. Thread-safe.
class AppendBatcher
{
public:
  // aLog must outlive this object.
  AppendBatcher(KeyedLog& aLog, TopicPartition aPlace)
    : mLog(aLog)
    , mPlace(aPlace)
  {
  }

  // Adds aEntry to a batch, waits for the batch's call and returns its outcome.
  // No batch exceeds the limits of the log. Errors: those of KeyedLog::Append,
  // and kTooLarge for an entry above the record limit, which is not appended.
  Result<void> Append(const KeyedEntry& aEntry);

private:
  // The entries of one call and, once it has returned, its outcome.
  struct Batch
  {
    std::vector<KeyedEntry> mEntries;
    size_t mBytes = 0;
    bool mDone = false;
    Result<void> mOutcome = Done();
  };

  KeyedLog& mLog;
  const TopicPartition mPlace;
  Mutex mMutex;
  CondVar mCond;
  std::shared_ptr<Batch> mOpenBatch MV_GUARDED_BY(mMutex);
  bool mIsCallInFlight MV_GUARDED_BY(mMutex) = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_APPEND_BATCHER_H_
