// Combines the appends of many callers to one partition into fewer calls to the
// log.
#ifndef MULBERRYVALVE_APP_JOBS_APPEND_BATCHER_H_
#define MULBERRYVALVE_APP_JOBS_APPEND_BATCHER_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/jobs/log_availability.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/keyed_log.h"

#include <memory>
#include <optional>
#include <vector>

namespace mulberryvalve {

// What limits an append.
struct AppendTerms
{
  // The sending time of the newest other call that the log answered, which can
  // end its silence.
  MonotonicTime mHeardAt;
  // From then on the append is not sent.
  MonotonicTime mSendBy;
};

// Makes one call to the log at a time, and a second one only while the first is
// overdue. Entries that are added meanwhile share the next call, so a slow log
// gets no more calls than it answers. Thread-safe.
class AppendBatcher
{
public:
  // aLog and aClock must outlive this object.
  AppendBatcher(KeyedLog& aLog, const Clock& aClock, TopicPartition aPlace)
    : mLog(aLog)
    , mClock(aClock)
    , mPlace(aPlace)
  {
  }

  // Adds aEntry to a batch, waits for the batch's call and returns its outcome.
  // No batch exceeds the limits of the log. While the log is silent, only a
  // caller that tries it waits. An entry is left out of a call that would begin
  // at its mSendBy or later, also if this process stood still meanwhile.
  // Errors: those of KeyedLog::Append; kTooLarge for an entry above the record
  // limit, and kLogUnavailable for one that did not wait for a silent log or
  // was too late: none of these was sent. Failures say with mRetryAt when to
  // come back.
  Result<void> Append(const KeyedEntry& aEntry, const AppendTerms& aTerms);

  // Append for several entries, which share one call. Precondition: each of
  // aEntries is within the record limit, and all together are within the limit
  // of a call.
  Result<void> AppendAll(const std::vector<KeyedEntry>& aEntries,
                         const AppendTerms& aTerms);

  // Returns the duration of the newest call that was answered, rounded up, or
  // zero before the first.
  Milliseconds LastCallTime();

  // Returns when the oldest call in flight began, or nothing if none is.
  std::optional<MonotonicTime> PendingSince();

  // Returns when a caller that is refused now should come back.
  MonotonicTime RetryAt();

private:
  // The entries of one caller.
  struct Part
  {
    std::vector<KeyedEntry> mEntries;
    MonotonicTime mSendBy;
    bool mIsLate = false;
  };

  // What goes into one call and, once it has returned, its outcome.
  struct Batch
  {
    std::vector<Part> mParts;
    size_t mBytes = 0;
    bool mSent = false;
    bool mDone = false;
    Result<void> mOutcome = Done();
  };

  void WaitForRoom(size_t aBytes, size_t aMaxBytes) MV_REQUIRES(mMutex);
  bool WaitForTurn(Batch& aBatch) MV_REQUIRES(mMutex);
  void Send(Batch& aBatch) MV_REQUIRES(mMutex);
  std::vector<KeyedEntry> TakeEntriesInTime(Batch& aBatch) MV_REQUIRES(mMutex);
  void Finish(Batch& aBatch, Result<void> aOutcome) MV_REQUIRES(mMutex);
  Result<void> OutcomeOf(const Batch& aBatch, const Part& aPart)
    MV_REQUIRES(mMutex);

  KeyedLog& mLog;
  const Clock& mClock;
  const TopicPartition mPlace;
  Mutex mMutex;
  CondVar mCond;
  std::shared_ptr<Batch> mOpenBatch MV_GUARDED_BY(mMutex);
  LogAvailability mAvailability MV_GUARDED_BY(mMutex);
  Milliseconds mLastCallTime MV_GUARDED_BY(mMutex){};
  // Spreads the return of refused callers.
  uint64_t mNextSpread MV_GUARDED_BY(mMutex) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_APPEND_BATCHER_H_
