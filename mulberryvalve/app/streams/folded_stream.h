// FoldedStream: one stream's fold behind its own lock, with waits on what was
// folded and on when its head was last confirmed.
#ifndef MULBERRYVALVE_APP_STREAMS_FOLDED_STREAM_H_
#define MULBERRYVALVE_APP_STREAMS_FOLDED_STREAM_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/records/duplicate_filter.h"
#include "mulberryvalve/core/records/record.h"
#include "mulberryvalve/core/snapshot/snapshot_plan.h"
#include "mulberryvalve/core/snapshot/snapshot_search.h"
#include "mulberryvalve/core/snapshot/snapshot_tracker.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/log_service.h"

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace mulberryvalve {

// SnapshotSource is a stream whose state can be captured. Implementations are
// thread-safe.
class SnapshotSource
{
public:
  virtual ~SnapshotSource() = default;

  // Span returns how far the stream was folded and what the log keeps.
  virtual StreamSpan Span() const = 0;

  // Capture returns the state folded so far.
  virtual Snapshot Capture() const = 0;
};

// SteadyDeadline turns a deadline of aClock into one that CondVar waits for.
std::chrono::steady_clock::time_point SteadyDeadline(const Clock& aClock,
                                                     MonotonicTime aDeadline);

// StreamState is what a follower and a writer need of a folded stream.
// Implementations are thread-safe.
class StreamState
{
public:
  virtual ~StreamState() = default;

  // NextOffset returns the offset to read from next.
  virtual Offset NextOffset() const = 0;

  // OnPage folds a page that was asked for at aAskedAt. A page that reaches the
  // stream's end confirms the head as of aAskedAt.
  virtual void OnPage(const LogPage& aPage, MonotonicTime aAskedAt) = 0;

  // OnExpired notes that the log keeps nothing older than aOldest although
  // NextOffset is older. The stream is then read from aOldest on, until its
  // state can be restored from a snapshot and the tail after it.
  virtual void OnExpired(Offset aOldest) = 0;

  // OnReadFailed notes that a read failed.
  virtual void OnReadFailed(const Failure& aFailure) = 0;

  // Reachable tells whether the newest read was answered.
  virtual bool Reachable() const = 0;

  // ConfirmedAt returns when the newest confirmation of the head was asked for.
  virtual MonotonicTime ConfirmedAt() const = 0;

  // WaitConfirmed blocks until the head was confirmed by a read asked for after
  // aAfter, or until aDeadline; it returns whether it was.
  virtual bool WaitConfirmed(MonotonicTime aAfter, MonotonicTime aDeadline) = 0;

  // WaitFolded blocks until aOffset is folded, or until aDeadline.
  virtual bool WaitFolded(Offset aOffset, MonotonicTime aDeadline) = 0;

  // Newest returns the newest record folded of aWriter.
  virtual WriterPosition Newest(const WriterId& aWriter) const = 0;
};

// FoldedStream keeps one Fold (ShardLedger, ConfigFold or KeyLedger) under its
// lock. Thread-safe.
//
//   const bool known = stream.Read(
//     [&](const KeyLedger& aKeys) { return aKeys.Find(key) != nullptr; });
template<typename Fold>
class FoldedStream
  : public StreamState
  , public SnapshotSource
{
public:
  // FoldedStream calls aChanged, without the lock, after each page that changed
  // or confirmed something. aClock must outlive it.
  FoldedStream(
    Fold aFold,
    const Clock& aClock,
    std::function<void()> aChanged = [] {})
    : mClock(aClock)
    , mChanged(std::move(aChanged))
    , mFold(std::move(aFold))
  {
  }

  // Read calls aFunction with the fold, under the lock, and returns its result.
  template<typename Function>
  auto Read(Function aFunction) const
  {
    MutexLock lock(mMutex);
    return aFunction(mFold);
  }

  // Update calls aFunction, which may change the fold beside the log and tells
  // whether it did; a change is told like that of a page.
  bool Update(const std::function<bool(Fold&)>& aFunction)
  {
    bool changed = false;
    {
      MutexLock lock(mMutex);
      changed = aFunction(mFold);
    }
    if (changed) {
      mChanged();
    }
    return changed;
  }

  // Observe sets who is called with each folded record, under the lock. It is
  // set before the follower starts.
  void Observe(
    std::function<void(const Fold&, const StoredRecord&, ApplyResult)> aSee)
  {
    MutexLock lock(mMutex);
    mObserver = std::move(aSee);
  }

  Offset NextOffset() const override
  {
    MutexLock lock(mMutex);
    return mSearch ? mSearch->Next() : mFold.Folded().Next();
  }

  void OnPage(const LogPage& aPage, MonotonicTime aAskedAt) override
  {
    {
      MutexLock lock(mMutex);
      mReachable = true;
      mOldest = aPage.mOldest;
      if (mSearch) {
        SearchPage(aPage);
      } else {
        for (const StoredRecord& stored : aPage.mRecords) {
          FoldRecord(stored);
        }
      }
      if (!mSearch && mFold.Folded().Next() >= aPage.mNext) {
        mConfirmedAt = aAskedAt;
        mConfirmedOnce = true;
      }
      mCondVar.NotifyAll();
    }
    mChanged();
  }

  void OnExpired(Offset aOldest) override
  {
    MutexLock lock(mMutex);
    mReachable = true;
    mOldest = aOldest;
    mSearch.emplace(aOldest);
  }

  StreamSpan Span() const override
  {
    MutexLock lock(mMutex);
    const std::optional<Snapshot>& newest = mTracker.Newest();
    return StreamSpan{ newest ? newest->mCoveredOffset : Offset(),
                       mFold.Folded(),
                       mOldest };
  }

  Snapshot Capture() const override
  {
    MutexLock lock(mMutex);
    return mFold.Capture();
  }

  // RestoredFrom returns the offset covered by the snapshot that the state was
  // last restored from, or zero.
  Offset RestoredFrom() const
  {
    MutexLock lock(mMutex);
    return mRestoredFrom;
  }

  void OnReadFailed(const Failure&) override
  {
    MutexLock lock(mMutex);
    mReachable = false;
  }

  bool Reachable() const override
  {
    MutexLock lock(mMutex);
    return mReachable;
  }

  MonotonicTime ConfirmedAt() const override
  {
    MutexLock lock(mMutex);
    return mConfirmedAt;
  }

  // ConfirmedOnce tells whether the head was ever confirmed.
  bool ConfirmedOnce() const
  {
    MutexLock lock(mMutex);
    return mConfirmedOnce;
  }

  bool WaitConfirmed(MonotonicTime aAfter, MonotonicTime aDeadline) override
  {
    const auto deadline = SteadyDeadline(mClock, aDeadline);
    MutexLock lock(mMutex);
    while (!mConfirmedOnce || mConfirmedAt < aAfter) {
      if (!mCondVar.WaitUntil(mMutex, deadline)) {
        return mConfirmedOnce && mConfirmedAt >= aAfter;
      }
    }
    return true;
  }

  bool WaitFolded(Offset aOffset, MonotonicTime aDeadline) override
  {
    const auto deadline = SteadyDeadline(mClock, aDeadline);
    MutexLock lock(mMutex);
    while (mFold.Folded() < aOffset) {
      if (!mCondVar.WaitUntil(mMutex, deadline)) {
        return mFold.Folded() >= aOffset;
      }
    }
    return true;
  }

  WriterPosition Newest(const WriterId& aWriter) const override
  {
    MutexLock lock(mMutex);
    return mFold.Newest(aWriter);
  }

private:
  void FoldRecord(const StoredRecord& aStored) MV_REQUIRES(mMutex)
  {
    const ApplyResult verdict = mFold.Apply(aStored);
    if (verdict == ApplyResult::kApplied || verdict == ApplyResult::kIgnored) {
      mTracker.OnRecord(aStored);
    }
    if (mObserver) {
      mObserver(mFold, aStored, verdict);
    }
  }

  void SearchPage(const LogPage& aPage) MV_REQUIRES(mMutex)
  {
    for (const StoredRecord& stored : aPage.mRecords) {
      mSearch->OnRecord(stored);
    }
    const Snapshot* found = mSearch->Found();
    if (mSearch->Next() < aPage.mNext || found == nullptr) {
      return;
    }
    mFold.Restore(*found);
    mRestoredFrom = found->mCoveredOffset;
    for (const StoredRecord& stored : mSearch->Tail()) {
      FoldRecord(stored);
    }
    mSearch.reset();
  }

  const Clock& mClock;
  const std::function<void()> mChanged;
  mutable Mutex mMutex;
  CondVar mCondVar;
  Fold mFold MV_GUARDED_BY(mMutex);
  std::function<void(const Fold&, const StoredRecord&, ApplyResult)> mObserver
    MV_GUARDED_BY(mMutex);
  SnapshotTracker mTracker MV_GUARDED_BY(mMutex){ SnapshotContent::kDropped };
  std::optional<SnapshotSearch> mSearch MV_GUARDED_BY(mMutex);
  Offset mOldest MV_GUARDED_BY(mMutex);
  Offset mRestoredFrom MV_GUARDED_BY(mMutex);
  MonotonicTime mConfirmedAt MV_GUARDED_BY(mMutex);
  bool mConfirmedOnce MV_GUARDED_BY(mMutex) = false;
  bool mReachable MV_GUARDED_BY(mMutex) = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_STREAMS_FOLDED_STREAM_H_
