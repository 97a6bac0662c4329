// A keyed log as one instance sees it, with calls that can be made to fail.
#ifndef MULBERRYVALVE_APP_JOBS_FAULTY_LOG_FAKE_H_
#define MULBERRYVALVE_APP_JOBS_FAULTY_LOG_FAKE_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/keyed_log.h"

#include <functional>
#include <map>
#include <utility>

namespace mulberryvalve {

// Calls that can be made to fail.
enum class LogCall
{
  kNewest,
  kAppend,
  kAppendAt,
  kAppendFenced,
};

// Forwards calls to another log. Thread-safe.
class FaultyLog : public KeyedLog
{
public:
  // aLog must outlive this object.
  explicit FaultyLog(KeyedLog& aLog)
    : mLog(aLog)
  {
  }

  // Makes all calls of this type fail without effect until ClearFailures.
  void FailCalls(LogCall aCall, FailureKind aKind)
  {
    MutexLock lock(mMutex);
    mFailing[aCall] = aKind;
  }
  void ClearFailures()
  {
    MutexLock lock(mMutex);
    mFailing.clear();
  }

  // Makes appends above aLimits fail with kTooLarge.
  void Limit(const KeyedLogLimits& aLimits)
  {
    MutexLock lock(mMutex);
    mLimits = aLimits;
  }
  KeyedLogLimits Limits() const override
  {
    MutexLock lock(mMutex);
    return mLimits;
  }

  // Makes the next removal from the intake get no answer. It takes effect, if
  // it still can, when DeliverHeldRemoval is called.
  void HoldNextRemoval()
  {
    MutexLock lock(mMutex);
    mHoldsNextRemoval = true;
  }
  // Returns whether a removal is held.
  bool HoldsRemoval() const
  {
    MutexLock lock(mMutex);
    return mHeldRemoval != nullptr;
  }
  // Precondition: a removal is held.
  Result<void> DeliverHeldRemoval()
  {
    std::function<Result<void>()> removal;
    {
      MutexLock lock(mMutex);
      removal = std::exchange(mHeldRemoval, nullptr);
    }
    return removal();
  }

  // Returns the number of failed calls of this type.
  size_t Failures(LogCall aCall) const
  {
    MutexLock lock(mMutex);
    const auto found = mFailures.find(aCall);
    return found == mFailures.end() ? 0 : found->second;
  }

  Result<KeyedPage> ReadLatest(const TopicPartition& aPlace) override
  {
    const Result<void> allowed = Check(LogCall::kNewest);
    if (!allowed) {
      return allowed.error();
    }
    return mLog.ReadLatest(aPlace);
  }
  Result<KeyedPage> Read(const TopicPartition& aPlace,
                         uint64_t aFrom,
                         Milliseconds aWait) override
  {
    return mLog.Read(aPlace, aFrom, aWait);
  }
  Result<void> Append(const TopicPartition& aPlace,
                      const std::vector<KeyedEntry>& aEntries) override
  {
    const Result<void> allowed = CheckAppend(LogCall::kAppend, aEntries);
    return allowed ? AppendOrHold(aEntries,
                                  [this, aPlace, aEntries] {
                                    return mLog.Append(aPlace, aEntries);
                                  })
                   : allowed;
  }
  Result<void> AppendAt(const TopicPartition& aPlace,
                        uint64_t aEnd,
                        const std::vector<KeyedEntry>& aEntries) override
  {
    const Result<void> allowed = CheckAppend(LogCall::kAppendAt, aEntries);
    return allowed
             ? AppendOrHold(aEntries,
                            [this, aPlace, aEnd, aEntries] {
                              return mLog.AppendAt(aPlace, aEnd, aEntries);
                            })
             : allowed;
  }
  Result<void> AppendFenced(const AppendFence& aProof,
                            const std::vector<KeyedEntry>& aEntries) override
  {
    const Result<void> allowed = CheckAppend(LogCall::kAppendFenced, aEntries);
    return allowed ? mLog.AppendFenced(aProof, aEntries) : allowed;
  }

private:
  // Makes an append, unless it is a removal that is to be held.
  Result<void> AppendOrHold(const std::vector<KeyedEntry>& aEntries,
                            std::function<Result<void>()> aAppend)
  {
    {
      MutexLock lock(mMutex);
      if (mHoldsNextRemoval && !aEntries.empty() && !aEntries.front().mValue) {
        mHoldsNextRemoval = false;
        mHeldRemoval = std::move(aAppend);
        return Fail(FailureKind::kLogAnswerLost, "fake");
      }
    }
    return aAppend();
  }

  Result<void> CheckAppend(LogCall aCall,
                           const std::vector<KeyedEntry>& aEntries)
  {
    const KeyedLogLimits limits = Limits();
    size_t bytes = 0;
    bool fits = true;
    for (const KeyedEntry& entry : aEntries) {
      bytes += RecordBytes(entry) + kRecordOverhead;
      fits = fits && RecordBytes(entry) <= limits.mRecordBytes;
    }
    if (!fits || bytes > limits.mRequestBytes) {
      MutexLock lock(mMutex);
      mFailures[aCall]++;
      return Fail(FailureKind::kTooLarge, "fake");
    }
    return Check(aCall);
  }

  Result<void> Check(LogCall aCall)
  {
    MutexLock lock(mMutex);
    const auto found = mFailing.find(aCall);
    if (found == mFailing.end()) {
      return Done();
    }
    mFailures[aCall]++;
    return Fail(found->second, "fake");
  }

  KeyedLog& mLog;
  KeyedLogLimits mLimits MV_GUARDED_BY(mMutex);
  mutable Mutex mMutex;
  std::map<LogCall, FailureKind> mFailing MV_GUARDED_BY(mMutex);
  std::map<LogCall, size_t> mFailures MV_GUARDED_BY(mMutex);
  bool mHoldsNextRemoval MV_GUARDED_BY(mMutex) = false;
  std::function<Result<void>()> mHeldRemoval MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_FAULTY_LOG_FAKE_H_
