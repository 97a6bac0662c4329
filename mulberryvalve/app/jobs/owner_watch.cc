#include "mulberryvalve/app/jobs/owner_watch.h"

#include <algorithm>
#include <string>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kReportInterval{ 1000 };
// A decision is due each tenth of a second.
constexpr Milliseconds kDecisionBound{ 1000 };
// Renewals further apart leave room for an outage between them.
constexpr Milliseconds kContactGap{ 1500 };

// ActivityRow is the timing of an activity, and from which length on it is
// beyond its bound.
struct ActivityRow
{
  OwnerActivity mActivity;
  std::optional<Timing> mTiming;
  Milliseconds mBound;
};

constexpr std::array<ActivityRow, kOwnerActivityNames.mRows.size()> kRows{ {
  { OwnerActivity::kNothing, std::nullopt, Milliseconds(0) },
  { OwnerActivity::kClaiming, Timing::kClaimUs, Milliseconds(1000) },
  { OwnerActivity::kLoading, Timing::kLoadUs, Milliseconds(2000) },
  { OwnerActivity::kAppending, Timing::kProgressAppendUs, Milliseconds(1000) },
  { OwnerActivity::kDeciding, std::nullopt, kDecisionBound },
} };

constexpr bool InOrder()
{
  for (size_t i = 0; i < kRows.size(); i++) {
    if (static_cast<size_t>(kRows[i].mActivity) != i) {
      return false;
    }
  }
  return true;
}
static_assert(InOrder());

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

LogVolume VolumeOf(const std::vector<KeyedEntry>& aEntries)
{
  LogVolume volume;
  volume.mRecords = aEntries.size();
  for (const KeyedEntry& entry : aEntries) {
    volume.mBytes += entry.mKey.size();
    volume.mBytes += entry.mValue ? entry.mValue->size() : 0;
  }
  return volume;
}

OwnerWatch::OwnerWatch(Metrics& aMetrics, MonotonicTime aSince)
  : mMetrics(aMetrics)
  , mEndedAt(aSince)
  , mDecidedAt(aSince)
  , mDurableAt(aSince)
  , mReportAt(aSince + kReportInterval)
{
}

OwnerWatch::Row& OwnerWatch::At(OwnerActivity aActivity)
{
  return mRows[static_cast<size_t>(aActivity)];
}

void OwnerWatch::Begin(OwnerActivity aActivity, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  Row& row = At(aActivity);
  row = Row();
  row.mSince = aNow;
}

void OwnerWatch::End(OwnerActivity aActivity, MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  Row& row = At(aActivity);
  if (!row.mSince) {
    return;
  }
  const auto& timing = kRows[static_cast<size_t>(aActivity)].mTiming;
  if (timing) {
    mMetrics.Record(*timing, aNow - *row.mSince);
  }
  row = Row();
  mEndedAt = aNow;
  if (aActivity == OwnerActivity::kDeciding) {
    mMetrics.Record(Timing::kDecisionGapUs, aNow - mDecidedAt);
    mDecidedAt = aNow;
    mHasDecided = true;
  }
  const bool wrote = aActivity == OwnerActivity::kAppending ||
                     aActivity == OwnerActivity::kClaiming;
  if (wrote) {
    mDurableAt = aNow;
  }
}

void OwnerWatch::NoteAppend(const LogVolume& aVolume)
{
  mMetrics.Add(Counter::kLogAppendBytes, aVolume.mBytes);
  MutexLock lock(mMutex);
  mAppend = aVolume;
  if (aVolume.mBytes > mLargestAppend.mBytes) {
    mLargestAppend = aVolume;
    mMetrics.Set(Gauge::kLargestAppendBytes,
                 static_cast<int64_t>(aVolume.mBytes));
  }
}

void OwnerWatch::NoteLoad(const LogVolume& aVolume)
{
  mMetrics.Add(Counter::kLogLoadRecords, aVolume.mRecords);
  mMetrics.Add(Counter::kLogLoadBytes, aVolume.mBytes);
}

void OwnerWatch::NoteFailure(OwnerActivity aActivity, FailureKind aKind)
{
  MutexLock lock(mMutex);
  Row& row = At(aActivity);
  row.mFailures++;
  row.mKind = aKind;
}

std::optional<std::vector<EventField>> OwnerWatch::Report(MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  mMetrics.Set(Gauge::kDecisionAgeMs, InMilliseconds(aNow - mDecidedAt));
  mMetrics.Set(Gauge::kDurableAgeMs, InMilliseconds(aNow - mDurableAt));
  if (aNow < mReportAt || !IsBeyond(aNow)) {
    return std::nullopt;
  }
  mReportAt = aNow + kReportInterval;
  return Fields(aNow);
}

void OwnerWatch::OnContact(MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  if (!mContactSince || aNow > mContactAt + kContactGap) {
    mContactSince = aNow;
  }
  mContactAt = aNow;
}

void OwnerWatch::OnOthersWrite(MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  mOthersAt = aNow;
}

bool OwnerWatch::IsStuck(MonotonicTime aNow, Milliseconds aLimit) const
{
  MutexLock lock(mMutex);
  if (!mContactSince) {
    return false;
  }
  for (const OwnerActivity activity : { OwnerActivity::kClaiming,
                                        OwnerActivity::kLoading,
                                        OwnerActivity::kAppending }) {
    const Row& row = mRows[static_cast<size_t>(activity)];
    if (!row.mSince || row.mFailures == 0) {
      continue;
    }
    const MonotonicTime since = std::max(*row.mSince, *mContactSince);
    const bool othersWrite = mOthersAt && aNow < *mOthersAt + aLimit;
    const bool counts = activity != OwnerActivity::kAppending || othersWrite;
    if (counts && aNow >= since + aLimit) {
      return true;
    }
  }
  return false;
}

bool OwnerWatch::Advances(MonotonicTime aNow) const
{
  MutexLock lock(mMutex);
  return mHasDecided && !IsBeyond(aNow);
}

void OwnerWatch::OnOver()
{
  MutexLock lock(mMutex);
  mMetrics.Set(Gauge::kDecisionAgeMs, 0);
  mMetrics.Set(Gauge::kDurableAgeMs, 0);
}

bool OwnerWatch::IsBeyond(MonotonicTime aNow) const
{
  for (const ActivityRow& bound : kRows) {
    const Row& row = mRows[static_cast<size_t>(bound.mActivity)];
    if (row.mSince && aNow - *row.mSince >= bound.mBound) {
      return true;
    }
  }
  return aNow - mDecidedAt >= kDecisionBound;
}

// Of several activities the one that began first is told: the others may wait
// for it.
OwnerActivity OwnerWatch::Longest() const
{
  OwnerActivity longest = OwnerActivity::kNothing;
  std::optional<MonotonicTime> since;
  for (const ActivityRow& bound : kRows) {
    const Row& row = mRows[static_cast<size_t>(bound.mActivity)];
    if (row.mSince && (!since || *row.mSince < *since)) {
      longest = bound.mActivity;
      since = row.mSince;
    }
  }
  return longest;
}

std::vector<EventField> OwnerWatch::Fields(MonotonicTime aNow) const
{
  const OwnerActivity activity = Longest();
  const Row& row = mRows[static_cast<size_t>(activity)];
  return {
    { "activity", std::string(kOwnerActivityNames.Name(activity)) },
    AgeField("activity_ms", aNow - row.mSince.value_or(mEndedAt)),
    NumberField("failures", row.mFailures),
    { "kind",
      row.mKind ? std::string(kFailureKindNames.Name(*row.mKind)) : "" },
    AgeField("decision_age_ms", aNow - mDecidedAt),
    AgeField("durable_age_ms", aNow - mDurableAt),
    NumberField("append_records", mAppend.mRecords),
    NumberField("append_bytes", mAppend.mBytes),
    NumberField("largest_append_bytes", mLargestAppend.mBytes),
  };
}

} // namespace mulberryvalve
