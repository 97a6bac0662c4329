// StreamReplica: the local state machine of one stream behind its own lock,
// with waits for applied offsets and for confirmation of the stream's head.
#ifndef MULBERRYVALVE_APP_STREAMS_STREAM_REPLICA_H_
#define MULBERRYVALVE_APP_STREAMS_STREAM_REPLICA_H_

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

// SnapshotSource provides snapshots of a stream's state. Implementations are
// thread-safe.
class SnapshotSource
{
public:
  virtual ~SnapshotSource() = default;

  // Span returns the applied and the retained range of the stream.
  virtual StreamSpan Span() const = 0;

  // Capture returns a snapshot of the current state.
  virtual Snapshot Capture() const = 0;
};

// SteadyDeadline converts a deadline of aClock to the clock that CondVar uses.
std::chrono::steady_clock::time_point SteadyDeadline(const Clock& aClock,
                                                     MonotonicTime aDeadline);

// StreamState is the view of a replica that its follower and writer use.
// Implementations are thread-safe.
class StreamState
{
public:
  virtual ~StreamState() = default;

  // NextOffset returns the offset to read from next.
  virtual Offset NextOffset() const = 0;

  // OnPage applies a page that was requested at aRequestedAt. A page that
  // reaches the end of the stream confirms the head as of aRequestedAt.
  virtual void OnPage(const LogPage& aPage, MonotonicTime aRequestedAt) = 0;

  // OnExpired is called when the log no longer retains the record at
  // NextOffset. aOldest is the oldest retained offset. The stream is then read
  // from there, until the state can be restored from a snapshot and the records
  // after it.
  virtual void OnExpired(Offset aOldest) = 0;

  // OnReadFailed is called when a read failed.
  virtual void OnReadFailed(const Failure& aFailure) = 0;

  // Reachable returns whether the newest read succeeded.
  virtual bool Reachable() const = 0;

  // ConfirmedAt returns the request time of the read that last confirmed the
  // head.
  virtual MonotonicTime ConfirmedAt() const = 0;

  // WaitConfirmed blocks until a read requested at or after aAfter confirmed
  // the head, or until aDeadline. It returns whether the head was confirmed.
  virtual bool WaitConfirmed(MonotonicTime aAfter, MonotonicTime aDeadline) = 0;

  // WaitFolded blocks until aOffset is applied, or until aDeadline. It returns
  // whether the offset is applied.
  virtual bool WaitFolded(Offset aOffset, MonotonicTime aDeadline) = 0;

  // Newest returns the position of aWriter's newest applied record.
  virtual WriterPosition Newest(const WriterId& aWriter) const = 0;
};

// StreamReplica guards one state machine (ShardStateMachine, ConfigStateMachine
// or KeyStateMachine) with a lock. Thread-safe.
//
//   const bool known = stream.Read(
//     [&](const KeyStateMachine& aKeys) { return aKeys.Find(key) != nullptr;
//     });
template<typename StateMachine>
class StreamReplica
  : public StreamState
  , public SnapshotSource
{
public:
  // StreamReplica calls aChanged, without holding the lock, after each page.
  // aClock must outlive it.
  StreamReplica(
    StateMachine aStateMachine,
    const Clock& aClock,
    std::function<void()> aChanged = [] {})
    : mClock(aClock)
    , mChanged(std::move(aChanged))
    , mStateMachine(std::move(aStateMachine))
  {
  }

  // Read calls aFunction with the state machine while holding the lock, and
  // returns its result.
  template<typename Function>
  auto Read(Function aFunction) const
  {
    MutexLock lock(mMutex);
    return aFunction(mStateMachine);
  }

  // Update calls aFunction while holding the lock. aFunction may change the
  // state independently of the log and returns whether it did. If so, Update
  // calls the change callback without holding the lock.
  bool Update(const std::function<bool(StateMachine&)>& aFunction)
  {
    bool changed = false;
    {
      MutexLock lock(mMutex);
      changed = aFunction(mStateMachine);
    }
    if (changed) {
      mChanged();
    }
    return changed;
  }

  // Observe sets a callback for each applied record; it is called with the lock
  // held. Call before the follower starts.
  void Observe(
    std::function<void(const StateMachine&, const StoredRecord&, ApplyResult)>
      aObserver)
  {
    MutexLock lock(mMutex);
    mObserver = std::move(aObserver);
  }

  Offset NextOffset() const override
  {
    MutexLock lock(mMutex);
    return mSearch ? mSearch->Next() : mStateMachine.Folded().Next();
  }

  void OnPage(const LogPage& aPage, MonotonicTime aRequestedAt) override
  {
    {
      MutexLock lock(mMutex);
      mReachable = true;
      mOldest = aPage.mOldest;
      if (mSearch) {
        SearchPage(aPage);
      } else {
        for (const StoredRecord& stored : aPage.mRecords) {
          ApplyRecord(stored);
        }
      }
      if (!mSearch && mStateMachine.Folded().Next() >= aPage.mNext) {
        mConfirmedAt = aRequestedAt;
        mEverConfirmed = true;
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
                       mStateMachine.Folded(),
                       mOldest };
  }

  Snapshot Capture() const override
  {
    MutexLock lock(mMutex);
    return mStateMachine.Capture();
  }

  // RestoredFrom returns the covered offset of the snapshot that the state was
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

  // EverConfirmed returns whether the head was ever confirmed.
  bool EverConfirmed() const
  {
    MutexLock lock(mMutex);
    return mEverConfirmed;
  }

  bool WaitConfirmed(MonotonicTime aAfter, MonotonicTime aDeadline) override
  {
    const auto deadline = SteadyDeadline(mClock, aDeadline);
    MutexLock lock(mMutex);
    while (!mEverConfirmed || mConfirmedAt < aAfter) {
      if (!mCondVar.WaitUntil(mMutex, deadline)) {
        return mEverConfirmed && mConfirmedAt >= aAfter;
      }
    }
    return true;
  }

  bool WaitFolded(Offset aOffset, MonotonicTime aDeadline) override
  {
    const auto deadline = SteadyDeadline(mClock, aDeadline);
    MutexLock lock(mMutex);
    while (mStateMachine.Folded() < aOffset) {
      if (!mCondVar.WaitUntil(mMutex, deadline)) {
        return mStateMachine.Folded() >= aOffset;
      }
    }
    return true;
  }

  WriterPosition Newest(const WriterId& aWriter) const override
  {
    MutexLock lock(mMutex);
    return mStateMachine.Newest(aWriter);
  }

private:
  void ApplyRecord(const StoredRecord& aStored) MV_REQUIRES(mMutex)
  {
    const ApplyResult verdict = mStateMachine.Apply(aStored);
    if (verdict == ApplyResult::kApplied || verdict == ApplyResult::kIgnored) {
      mTracker.OnRecord(aStored);
    }
    if (mObserver) {
      mObserver(mStateMachine, aStored, verdict);
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
    mStateMachine.Restore(*found);
    mRestoredFrom = found->mCoveredOffset;
    for (const StoredRecord& stored : mSearch->Tail()) {
      ApplyRecord(stored);
    }
    mSearch.reset();
  }

  const Clock& mClock;
  const std::function<void()> mChanged;
  mutable Mutex mMutex;
  CondVar mCondVar;
  StateMachine mStateMachine MV_GUARDED_BY(mMutex);
  std::function<void(const StateMachine&, const StoredRecord&, ApplyResult)>
    mObserver MV_GUARDED_BY(mMutex);
  SnapshotTracker mTracker MV_GUARDED_BY(mMutex){ SnapshotContent::kDropped };
  std::optional<SnapshotSearch> mSearch MV_GUARDED_BY(mMutex);
  Offset mOldest MV_GUARDED_BY(mMutex);
  Offset mRestoredFrom MV_GUARDED_BY(mMutex);
  MonotonicTime mConfirmedAt MV_GUARDED_BY(mMutex);
  bool mEverConfirmed MV_GUARDED_BY(mMutex) = false;
  bool mReachable MV_GUARDED_BY(mMutex) = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_STREAMS_STREAM_REPLICA_H_
