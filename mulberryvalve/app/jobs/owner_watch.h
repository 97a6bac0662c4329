// OwnerWatchdog: what the owner of a shard is doing and since when, and when
// its work last came to something.
#ifndef MULBERRYVALVE_APP_JOBS_OWNER_WATCH_H_
#define MULBERRYVALVE_APP_JOBS_OWNER_WATCH_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/keyed_log.h"
#include "mulberryvalve/ports/out/metrics.h"

#include <array>
#include <optional>
#include <vector>

namespace mulberryvalve {

// OwnerActivity is what an owner does, or waits for, while it holds a shard.
enum class OwnerActivity
{
  kIdle,
  kClaiming,
  kLoading,
  kAppending,
  kDeciding,
};

inline constexpr EnumTable<OwnerActivity, 5> kOwnerActivityNames{ { {
  { OwnerActivity::kIdle, "nothing" },
  { OwnerActivity::kClaiming, "claiming" },
  { OwnerActivity::kLoading, "loading" },
  { OwnerActivity::kAppending, "appending" },
  { OwnerActivity::kDeciding, "deciding" },
} } };

// LogCallSize is the size of what one call to the log carries.
struct LogCallSize
{
  size_t mRecords = 0;
  size_t mBytes = 0;

  LogCallSize& operator+=(const LogCallSize& aOther)
  {
    mRecords += aOther.mRecords;
    mBytes += aOther.mBytes;
    return *this;
  }
};

// SizeOf adds up keys and values.
LogCallSize SizeOf(const std::vector<KeyedEntry>& aEntries);

// OwnerWatchdog knows each activity by its begin and its end; activities of
// different kinds may be under way at once. Thread-safe; no method blocks for
// long.
class OwnerWatchdog
{
public:
  // aMetrics must outlive this object. The ownership begins at aSince.
  OwnerWatchdog(Metrics& aMetrics, MonotonicTime aSince);

  // Begin says that an activity is under way. One of a kind at a time.
  void Begin(OwnerActivity aActivity, MonotonicTime aNow);

  // End says that it came to its end. The time that it took goes to the
  // metrics. Without a begin it does nothing.
  void End(OwnerActivity aActivity, MonotonicTime aNow);

  // RecordAppend says what the append under way carries.
  void RecordAppend(const LogCallSize& aSize);

  // RecordLoad says how much a take-over has read.
  void RecordLoad(const LogCallSize& aSize);

  // RecordFailure says that a try of an activity under way failed.
  void RecordFailure(OwnerActivity aActivity, FailureKind aKind);

  // Report gives the ages of the last decision and the last durable append to
  // the metrics. It returns the fields of a line when something is beyond its
  // bound, at most once a second.
  std::optional<std::vector<EventField>> Report(MonotonicTime aNow);

  // OnGroupReply says that the group has answered this owner's renewal.
  void OnGroupReply(MonotonicTime aNow);

  // OnForeignWrite says that the log has taken a record of another writer.
  void OnForeignWrite(MonotonicTime aNow);

  // IsStuck tells whether a claim, a load or an append has failed for aLimit
  // while the group answered all the time. An append counts only if the log
  // took something from others meanwhile: a log that takes nothing from anyone
  // is no better for another owner.
  bool IsStuck(MonotonicTime aNow, Milliseconds aLimit) const;

  // IsMakingProgress tells whether the owner decides and nothing is beyond its
  // bound.
  bool IsMakingProgress(MonotonicTime aNow) const;

  // OnOwnershipOver says that the ownership is over: the ages are none of its
  // any more.
  void OnOwnershipOver();

private:
  // ActivityState is one activity; mSince has no value while it is not under
  // way.
  struct ActivityState
  {
    std::optional<MonotonicTime> mSince;
    uint64_t mFailures = 0;
    std::optional<FailureKind> mKind;
  };

  static constexpr size_t kActivities = kOwnerActivityNames.mRows.size();

  ActivityState& At(OwnerActivity aActivity) MV_REQUIRES(mMutex);
  OwnerActivity FirstBegun() const MV_REQUIRES(mMutex);
  bool IsOverdue(MonotonicTime aNow) const MV_REQUIRES(mMutex);
  std::vector<EventField> Fields(MonotonicTime aNow) const MV_REQUIRES(mMutex);

  Metrics& mMetrics;
  mutable Mutex mMutex;
  std::array<ActivityState, kActivities> mActivities MV_GUARDED_BY(mMutex);
  LogCallSize mLastAppend MV_GUARDED_BY(mMutex);
  LogCallSize mLargestAppend MV_GUARDED_BY(mMutex);
  // When the last activity ended.
  MonotonicTime mEndedAt MV_GUARDED_BY(mMutex);
  MonotonicTime mDecidedAt MV_GUARDED_BY(mMutex);
  MonotonicTime mDurableAt MV_GUARDED_BY(mMutex);
  bool mHasDecided MV_GUARDED_BY(mMutex) = false;
  // Since when the group has answered without a gap.
  std::optional<MonotonicTime> mGroupReachableSince MV_GUARDED_BY(mMutex);
  MonotonicTime mGroupReplyAt MV_GUARDED_BY(mMutex);
  std::optional<MonotonicTime> mForeignWriteAt MV_GUARDED_BY(mMutex);
  MonotonicTime mReportAt MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_OWNER_WATCH_H_
