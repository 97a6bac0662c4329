#include "mulberryvalve/app/jobs/owner_watchdog.h"

#include <algorithm>
#include <string>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kReportInterval{ 1000 };
// Ten times the interval of decisions, which is 100 ms.
constexpr Milliseconds kMaxDecisionAge{ 1000 };
// If two replies of the group are further apart, there may have been an outage
// between them.
constexpr Milliseconds kMaxGroupReplyGap{ 1500 };

// The timing metric of an activity, and the duration that exceeds its limit.
struct ActivityLimit
{
  OwnerActivity mActivity;
  std::optional<Timing> mTiming;
  Milliseconds mLimit;
};

constexpr std::array<ActivityLimit, kOwnerActivityNames.mRows.size()> kLimits{ {
  { OwnerActivity::kIdle, std::nullopt, Milliseconds(0) },
  { OwnerActivity::kClaiming, Timing::kClaimUs, Milliseconds(1000) },
  { OwnerActivity::kLoading, Timing::kLoadUs, Milliseconds(2000) },
  { OwnerActivity::kAppending, Timing::kProgressAppendUs, Milliseconds(1000) },
  { OwnerActivity::kDeciding, std::nullopt, kMaxDecisionAge },
} };

static_assert(RowsFollowEnum(kLimits, &ActivityLimit::mActivity));

int64_t InMilliseconds(Microseconds aLength)
{
  return std::chrono::duration_cast<Milliseconds>(aLength).count();
}

EventField NumberField(const char* aKey, uint64_t aNumber)
{
  return EventField{ aKey, std::to_string(aNumber) };
}

EventField AgeField(const char* aKey, Microseconds aAge)
{
  return EventField{ aKey, std::to_string(InMilliseconds(aAge)) };
}

} // namespace

LogCallSize SizeOf(const std::vector<KeyedEntry>& aEntries)
{
  LogCallSize size;
  size.mRecords = aEntries.size();
  for (const KeyedEntry& entry : aEntries) {
    size.mBytes += entry.mKey.size();
    size.mBytes += entry.mValue ? entry.mValue->size() : 0;
  }
  return size;
}

OwnerWatchdog::OwnerWatchdog(Metrics& aMetrics, MonotonicTime aSince)
  : mMetrics(aMetrics)
  , mEndedAt(aSince)
  , mDecidedAt(aSince)
  , mDurableAt(aSince)
  , mReportAt(aSince + kReportInterval)
{
}

OwnerWatchdog::ActivityState& OwnerWatchdog::StateOf(OwnerActivity aActivity)
{
  return mActivities[static_cast<size_t>(aActivity)];
}

void OwnerWatchdog::Begin(OwnerActivity aActivity, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  ActivityState& state = StateOf(aActivity);
  state = ActivityState();
  state.mSince = aNow;
}

void OwnerWatchdog::End(OwnerActivity aActivity, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  ActivityState& state = StateOf(aActivity);
  if (!state.mSince) {
    return;
  }
  const auto& timing = kLimits[static_cast<size_t>(aActivity)].mTiming;
  if (timing) {
    mMetrics.Record(*timing, aNow - *state.mSince);
  }
  state = ActivityState();
  mEndedAt = aNow;
  if (aActivity == OwnerActivity::kDeciding) {
    mMetrics.Record(Timing::kDecisionGapUs, aNow - mDecidedAt);
    mDecidedAt = aNow;
    mHasDecided = true;
  }
  const bool hasAppended = aActivity == OwnerActivity::kAppending ||
                           aActivity == OwnerActivity::kClaiming;
  if (hasAppended) {
    mDurableAt = aNow;
  }
}

void OwnerWatchdog::RecordAppend(const LogCallSize& aSize)
{
  mMetrics.Add(Counter::kLogAppendBytes, aSize.mBytes);
  MutexLock lock(mMutex);
  mLastAppend = aSize;
  if (aSize.mBytes > mLargestAppend.mBytes) {
    mLargestAppend = aSize;
    mMetrics.Set(Gauge::kLargestAppendBytes,
                 static_cast<int64_t>(aSize.mBytes));
  }
}

void OwnerWatchdog::RecordLoad(const LogCallSize& aSize)
{
  mMetrics.Add(Counter::kLogLoadRecords, aSize.mRecords);
  mMetrics.Add(Counter::kLogLoadBytes, aSize.mBytes);
}

void OwnerWatchdog::RecordFailure(OwnerActivity aActivity, FailureKind aKind)
{
  MutexLock lock(mMutex);
  ActivityState& state = StateOf(aActivity);
  state.mFailures++;
  state.mLastFailure = aKind;
}

std::optional<std::vector<EventField>> OwnerWatchdog::Report(MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  mMetrics.Set(Gauge::kDecisionAgeMs, InMilliseconds(aNow - mDecidedAt));
  mMetrics.Set(Gauge::kDurableAgeMs, InMilliseconds(aNow - mDurableAt));
  if (aNow < mReportAt || !IsOverdue(aNow)) {
    return std::nullopt;
  }
  mReportAt = aNow + kReportInterval;
  return Fields(aNow);
}

void OwnerWatchdog::OnGroupReply(MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  if (!mGroupReachableSince || aNow > mGroupReplyAt + kMaxGroupReplyGap) {
    mGroupReachableSince = aNow;
  }
  mGroupReplyAt = aNow;
}

void OwnerWatchdog::OnForeignWrite(MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  mForeignWriteAt = aNow;
}

bool OwnerWatchdog::IsStuck(MonotonicTime aNow, Milliseconds aLimit) const
{
  MutexLock lock(mMutex);
  if (!mGroupReachableSince) {
    return false;
  }
  for (const OwnerActivity activity : { OwnerActivity::kClaiming,
                                        OwnerActivity::kLoading,
                                        OwnerActivity::kAppending }) {
    const ActivityState& state = mActivities[static_cast<size_t>(activity)];
    if (!state.mSince || state.mFailures == 0) {
      continue;
    }
    const MonotonicTime since = std::max(*state.mSince, *mGroupReachableSince);
    const bool othersWrite =
      mForeignWriteAt && aNow < *mForeignWriteAt + aLimit;
    const bool counts = activity != OwnerActivity::kAppending || othersWrite;
    if (counts && aNow >= since + aLimit) {
      return true;
    }
  }
  return false;
}

bool OwnerWatchdog::IsMakingProgress(MonotonicTime aNow) const
{
  MutexLock lock(mMutex);
  return mHasDecided && !IsOverdue(aNow);
}

void OwnerWatchdog::OnOwnershipOver()
{
  MutexLock lock(mMutex);
  mMetrics.Set(Gauge::kDecisionAgeMs, 0);
  mMetrics.Set(Gauge::kDurableAgeMs, 0);
}

bool OwnerWatchdog::IsOverdue(MonotonicTime aNow) const
{
  for (const ActivityLimit& limit : kLimits) {
    const ActivityState& state =
      mActivities[static_cast<size_t>(limit.mActivity)];
    if (state.mSince && aNow - *state.mSince >= limit.mLimit) {
      return true;
    }
  }
  return aNow - mDecidedAt >= kMaxDecisionAge;
}

// Of several activities the one that began first is reported, because the
// others may be waiting for it.
OwnerActivity OwnerWatchdog::FirstBegun() const
{
  OwnerActivity first = OwnerActivity::kIdle;
  std::optional<MonotonicTime> since;
  for (const ActivityLimit& limit : kLimits) {
    const ActivityState& state =
      mActivities[static_cast<size_t>(limit.mActivity)];
    if (state.mSince && (!since || *state.mSince < *since)) {
      first = limit.mActivity;
      since = state.mSince;
    }
  }
  return first;
}

std::vector<EventField> OwnerWatchdog::Fields(MonotonicTime aNow) const
{
  const OwnerActivity activity = FirstBegun();
  const ActivityState& state = mActivities[static_cast<size_t>(activity)];
  return {
    { "activity", std::string(kOwnerActivityNames.Name(activity)) },
    AgeField("activity_ms", aNow - state.mSince.value_or(mEndedAt)),
    NumberField("failures", state.mFailures),
    { "kind",
      state.mLastFailure
        ? std::string(kFailureKindNames.Name(*state.mLastFailure))
        : "" },
    AgeField("decision_age_ms", aNow - mDecidedAt),
    AgeField("durable_age_ms", aNow - mDurableAt),
    NumberField("append_records", mLastAppend.mRecords),
    NumberField("append_bytes", mLastAppend.mBytes),
    NumberField("largest_append_bytes", mLargestAppend.mBytes),
  };
}

} // namespace mulberryvalve
