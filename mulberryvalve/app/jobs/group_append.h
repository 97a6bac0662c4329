// AppendBatcher: appends of many callers to one partition share calls to the
// log.
#ifndef MULBERRYVALVE_APP_JOBS_GROUP_APPEND_H_
#define MULBERRYVALVE_APP_JOBS_GROUP_APPEND_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/keyed_log.h"

#include <memory>
#include <vector>

namespace mulberryvalve {

// AppendBatcher has one call to the log under way at a time. What comes
// meanwhile goes with the next call, so that a slow log is asked no more often
// than it answers. Thread-safe.
class AppendBatcher
{
public:
  // aLog must outlive this object.
  AppendBatcher(KeyedLog& aLog, KeyedPlace aPlace)
    : mLog(aLog)
    , mPlace(aPlace)
  {
  }

  // Append adds aEntry and waits for the call that it went with; the outcome is
  // that of the call. A call carries no more than the log takes. Errors: those
  // of KeyedLog::Append, and kTooLarge for an entry above the limit of a
  // record, which goes with no call.
  Result<void> Append(const KeyedEntry& aEntry);

private:
  // Batch is the entries of one call and, later, its outcome.
  struct Batch
  {
    std::vector<KeyedEntry> mEntries;
    size_t mBytes = 0;
    bool mDone = false;
    Result<void> mOutcome = Done();
  };

  KeyedLog& mLog;
  const KeyedPlace mPlace;
  Mutex mMutex;
  CondVar mCond;
  std::shared_ptr<Batch> mOpenBatch MV_GUARDED_BY(mMutex);
  bool mIsCallInFlight MV_GUARDED_BY(mMutex) = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_GROUP_APPEND_H_
