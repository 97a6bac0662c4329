// WorkerSyncState: the state of a shard owner's inventory exchange (sync) with
// one worker.
#ifndef MULBERRYVALVE_CORE_RECONCILE_WORKER_SYNC_STATE_H_
#define MULBERRYVALVE_CORE_RECONCILE_WORKER_SYNC_STATE_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/resources.h"
#include "mulberryvalve/core/reconcile/worker_clock.h"
#include "mulberryvalve/ports/out/worker_port.h"

#include <algorithm>
#include <string>
#include <vector>

namespace mulberryvalve {

// WorkerSyncOptions are the intervals of the sync.
struct WorkerSyncOptions
{
  Milliseconds mSyncInterval{ 500 };
  Milliseconds mReachableFor{ 2500 };
  Milliseconds mMaxBackoff{ 4000 };
};

// WorkerSyncState tracks the worker's clock, the time of the next sync, and the
// time at which all leases on the worker have expired. Not thread-safe.
class WorkerSyncState
{
public:
  // WorkerSyncState starts without an inventory. Leases granted by a former
  // owner may run until aLeasesExpiredAt.
  WorkerSyncState(WorkerSyncOptions aOptions, MonotonicTime aLeasesExpiredAt)
    : mOptions(aOptions)
    , mLeasesExpiredAt(aLeasesExpiredAt)
  {
  }

  // IsSyncDue returns true when a sync should start at aNow.
  bool IsSyncDue(MonotonicTime aNow) const
  {
    return !mInFlight && aNow >= mNextSyncAt;
  }

  // OnSyncSent records that a sync was started.
  void OnSyncSent() { mInFlight = true; }

  // OnReply processes an inventory received at aNow. The first one bounds the
  // leases of former owners, because the worker refuses their commands from
  // then on.
  void OnReply(const SyncReply& aReply, MonotonicTime aNow)
  {
    mInFlight = false;
    mFailures = 0;
    mNextSyncAt = aNow + mOptions.mSyncInterval;
    mReachableUntil = aNow + mOptions.mReachableFor;
    mClock.OnReading(aReply.mClock, aNow);
    mBoot = aReply.mBoot;
    if (!mHasSynced) {
      mLeasesExpiredAt = aNow;
    }
    mHasSynced = true;
    for (const RunningLease& lease : aReply.mRunning) {
      const int64_t left =
        lease.mExpiresAt.mMilliseconds - aReply.mClock.mMilliseconds;
      mLeasesExpiredAt = std::max(mLeasesExpiredAt, aNow + Milliseconds(left));
    }
  }

  // OnSyncFailed records that a sync failed at aNow and schedules the next one
  // with exponential backoff.
  void OnSyncFailed(MonotonicTime aNow)
  {
    mInFlight = false;
    mFailures = std::min(mFailures + 1, 6);
    mNextSyncAt = aNow + std::min(mOptions.mMaxBackoff,
                                  mOptions.mSyncInterval * (1 << mFailures));
  }

  // OnLeaseSent records that a lease valid until aDeadline was sent.
  void OnLeaseSent(MonotonicTime aDeadline)
  {
    mLeasesExpiredAt = std::max(mLeasesExpiredAt, aDeadline);
  }

  // SyncNow makes the next sync due immediately.
  void SyncNow() { mNextSyncAt = MonotonicTime(); }

  // HasSynced returns true when an inventory has arrived since this owner took
  // over.
  bool HasSynced() const { return mHasSynced; }

  // IsReachable returns true when the worker has replied within mReachableFor.
  bool IsReachable(MonotonicTime aNow) const
  {
    return mHasSynced && aNow < mReachableUntil;
  }

  // LeasesExpiredAt returns the local time at which all leases on the worker
  // have expired.
  MonotonicTime LeasesExpiredAt() const { return mLeasesExpiredAt; }

  // Clock returns the conversion to the worker's clock.
  const WorkerClock& Clock() const { return mClock; }

  // BootId returns the worker's boot id, which identifies the process that the
  // clock reading belongs to.
  const std::string& BootId() const { return mBoot; }

private:
  WorkerSyncOptions mOptions;
  std::string mBoot;
  WorkerClock mClock;
  MonotonicTime mNextSyncAt;
  MonotonicTime mReachableUntil;
  MonotonicTime mLeasesExpiredAt;
  int mFailures = 0;
  bool mInFlight = false;
  bool mHasSynced = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_RECONCILE_WORKER_SYNC_STATE_H_
