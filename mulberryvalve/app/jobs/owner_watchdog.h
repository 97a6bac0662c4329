// Tracks what a shard's owner is doing, for how long, and when its work last
// made progress.
#ifndef MULBERRYVALVE_APP_JOBS_OWNER_WATCHDOG_H_
#define MULBERRYVALVE_APP_JOBS_OWNER_WATCHDOG_H_

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

// What an owner does, or waits for, while it holds a shard.
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

// The size of the records in one call to the log.
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

// Returns the number of entries and the total size of their keys and values.
LogCallSize SizeOf(const std::vector<KeyedEntry>& aEntries);

// Tracks each activity from its begin to its end. Activities of different kinds
// may overlap. Thread-safe; no method blocks for long.
class OwnerWatchdog
{
public:
  // aMetrics must outlive this object. The ownership begins at aSince.
  OwnerWatchdog(Metrics& aMetrics, MonotonicTime aSince);

  // Marks an activity as in progress, at most one of each kind.
  void Begin(OwnerActivity aActivity, MonotonicTime aNow);

  // Marks an activity as ended and records its duration in the metrics. Has no
  // effect if it was not begun.
  void End(OwnerActivity aActivity, MonotonicTime aNow);

  // Records the size of the append in progress.
  void RecordAppend(const LogCallSize& aSize);

  // Records the size of what a takeover has read.
  void RecordLoad(const LogCallSize& aSize);

  // Records a failed attempt of an activity in progress.
  void RecordFailure(OwnerActivity aActivity, FailureKind aKind);

  // Sets the gauges for the ages of the last decision and the last durable
  // append. If an activity exceeds its limit, returns the fields of a log
  // event, at most once a second.
  std::optional<std::vector<EventField>> Report(MonotonicTime aNow);

  // Records that the group answered this owner's renewal of its membership.
  void OnGroupReply(MonotonicTime aNow);

  // Records that the log has accepted a record of another writer.
  void OnForeignWrite(MonotonicTime aNow);

  // Returns whether a claim, a load or an append has been failing for aLimit
  // while the group kept answering. An append counts only if the log accepted
  // records of other writers in that time: if it accepts none from anyone,
  // another owner would fare no better.
  bool IsStuck(MonotonicTime aNow, Milliseconds aLimit) const;

  // Returns whether the owner makes decisions and no activity exceeds its
  // limit.
  bool IsMakingProgress(MonotonicTime aNow) const;

  // Resets the age gauges, because the ownership has ended.
  void OnOwnershipOver();

private:
  // State of one activity. mSince has no value unless it is in progress.
  struct ActivityState
  {
    std::optional<MonotonicTime> mSince;
    uint64_t mFailures = 0;
    std::optional<FailureKind> mLastFailure;
  };

  static constexpr size_t kActivities = kOwnerActivityNames.mRows.size();

  ActivityState& StateOf(OwnerActivity aActivity) MV_REQUIRES(mMutex);
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

#endif // MULBERRYVALVE_APP_JOBS_OWNER_WATCHDOG_H_
