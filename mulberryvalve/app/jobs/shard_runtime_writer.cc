// What ShardRuntime appends to the log: its claim, the progress of jobs, and
// the owner's record that bounds its leases.
#include "mulberryvalve/app/jobs/shard_runtime.h"

#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// Delay before a failed claim is retried.
constexpr Milliseconds kClaimRetryDelay{ 200 };
// How long the progress writer waits for something to append before it looks at
// its other work.
constexpr Milliseconds kWriterInterval{ 100 };
constexpr Milliseconds kAppendRetryDelay{ 150 };
// An owner whose newest record is older appends it though nothing else changed,
// so that its leases can be renewed for their full length.
constexpr Milliseconds kRecordInterval{ 300 };
// The same while there is something else to append, all of which may have no
// room for the record.
constexpr Milliseconds kMaxRecordAge{ 3000 };
// Room for what grows in the owner's record: its age, and former owners of
// which more becomes known.
constexpr size_t kMaxRecordGrowth = 128;

} // namespace

bool ShardRuntime::Claim()
{
  // A repetition is the same append, so it carries the same record.
  const MonotonicTime recordedAt = mPorts.mClock.Now();
  const std::vector<KeyedEntry> claim{ mPorts.mCodec.Encode(
    mStamp.RecordAt(recordedAt)) };
  mWatchdog.Begin(OwnerActivity::kClaiming, mPorts.mClock.Now());
  while (true) {
    const MonotonicTime sentAt = mPorts.mClock.Now();
    mSequence = 1;
    const Result<void> claimed = AppendOnce(claim);
    if (claimed) {
      mWatchdog.End(OwnerActivity::kClaiming, mPorts.mClock.Now());
      mLastProof.AdvanceTo(sentAt);
      mLastRecord.AdvanceTo(recordedAt);
      mSequence++;
      LogEvent(EventLevel::kInfo, "shard_claimed", {});
      return true;
    }
    LogActivityFailure(OwnerActivity::kClaiming, claimed.error());
    if (claimed.error().mKind == FailureKind::kNotOwner) {
      FindCompetingEpoch();
      GiveUp("the log holds a higher epoch");
      return false;
    }
    if (claimed.error().mKind == FailureKind::kConflict) {
      FindCompetingEpoch();
      GiveUp("the log holds another append of this epoch");
      return false;
    }
    if (!IsRetryable(claimed.error().mKind)) {
      GiveUpAndLeaveGroup("the claim can't be written");
      return false;
    }
    if (!SleepUntil(Steady::now() + kClaimRetryDelay)) {
      return false;
    }
  }
}

void ShardRuntime::RunProgressWriter()
{
  AppendPace pace;
  while (true) {
    RetireJobs();
    const std::optional<ProgressBatch> batch = NextProgress(pace);
    if (!batch) {
      return;
    }
    if (batch->Empty()) {
      // End reports that change no job record need no append: the log already
      // holds all they depend on.
      if (!batch->mAckedEnds.empty()) {
        OnAppended(*batch);
      }
      if (!RenewRecord(kRecordInterval)) {
        return;
      }
      continue;
    }
    AppendProgress(*batch);
    if (mIsOwnershipOver) {
      return;
    }
    pace.OnAppended(Steady::now());
  }
}

// Waits until something is to be appended, or for kWriterInterval. Returns
// nothing if the owner is stopping.
std::optional<ProgressBatch> ShardRuntime::NextProgress(const AppendPace& aPace)
{
  const Steady::time_point latest = Steady::now() + kWriterInterval;
  MutexLock lock(mMutex);
  while (!mStopping) {
    const Steady::time_point next =
      aPace.NextAt(mShard->NeededAppend(), latest);
    if (Steady::now() >= next) {
      return mShard->TakeProgress(mPorts.mClock.Now());
    }
    mWriteCond.WaitUntil(mMutex, next);
  }
  return std::nullopt;
}

void ShardRuntime::AppendProgress(const ProgressBatch& aBatch)
{
  const ProgressAppends appends =
    SplitBatch(aBatch, mPorts.mCodec, LimitsBesideRecord());
  for (const Failure& failure : appends.mTooLarge) {
    LogFailure("record_too_large", failure);
  }
  for (const ProgressAppend& append : appends.mAppends) {
    if (!append.mEntries.empty() && !AppendWithRetries(append.mEntries)) {
      return;
    }
    OnAppended(append.mBatch);
    if (!RenewRecord(kMaxRecordAge)) {
      return;
    }
  }
}

// Returns the limits of appends that have room for the owner's record.
KeyedLogLimits ShardRuntime::LimitsBesideRecord() const
{
  const KeyedEntry record = mPorts.mCodec.Encode(RecordAt(mPorts.mClock.Now()));
  return WithRoomFor(RecordBytes(record) + kRecordOverhead + kMaxRecordGrowth,
                     mPorts.mLog.Limits());
}

// Returns the owner's record of an append that is first sent at aNow or later.
OwnershipRecord ShardRuntime::RecordAt(MonotonicTime aNow) const
{
  OwnershipRecord record = mStamp.RecordAt(aNow);
  MutexLock lock(mMutex);
  if (mShard != nullptr) {
    record.mFormerRunsLeft = mShard->FormerRunsLeft(aNow);
    record.mRecordsUse = mShard->RecordsUse();
  }
  return record;
}

// Adds the owner's record to an append that is sent next.
ShardRuntime::StampedAppend ShardRuntime::Stamp(
  std::vector<KeyedEntry> aEntries) const
{
  StampedAppend append{ std::move(aEntries) };
  const MonotonicTime now = mPorts.mClock.Now();
  append.mEntries.push_back(mPorts.mCodec.Encode(RecordAt(now)));
  if (FitsRequest(append.mEntries, mPorts.mLog.Limits())) {
    append.mRecordedAt = now;
  } else {
    append.mEntries.pop_back();
  }
  return append;
}

// Appends the owner's record alone if its newest one is older than aMaxAge.
// Returns false if the ownership is over.
bool ShardRuntime::RenewRecord(Milliseconds aMaxAge)
{
  const MonotonicTime due = mLastRecord.ProvedAt() + aMaxAge;
  return mPorts.mClock.Now() < due || AppendWithRetries({});
}

// Appends aEntries with the owner's record. Returns false if the ownership is
// over.
bool ShardRuntime::AppendWithRetries(std::vector<KeyedEntry> aEntries)
{
  const StampedAppend append = Stamp(std::move(aEntries));
  mWatchdog.Begin(OwnerActivity::kAppending, mPorts.mClock.Now());
  while (true) {
    const MonotonicTime sentAt = mPorts.mClock.Now();
    const Result<void> done = AppendOnce(append.mEntries);
    if (done) {
      mWatchdog.End(OwnerActivity::kAppending, mPorts.mClock.Now());
      mLastProof.AdvanceTo(sentAt);
      // The log holds the record of the first try, whichever was answered.
      mLastRecord.AdvanceTo(append.mRecordedAt.value_or(MonotonicTime()));
      break;
    }
    LogActivityFailure(OwnerActivity::kAppending, done.error());
    if (done.error().mKind == FailureKind::kNotOwner) {
      GiveUp("the log holds a higher epoch");
      return false;
    }
    if (done.error().mKind == FailureKind::kConflict) {
      GiveUp("the log expects another sequence number");
      return false;
    }
    if (!IsRetryable(done.error().mKind)) {
      GiveUpAndLeaveGroup("the progress can't be written");
      return false;
    }
    // Retries with the same sequence number, so the append takes effect only
    // once even if an earlier try succeeded.
    if (!SleepUntil(Steady::now() + kAppendRetryDelay)) {
      return false;
    }
  }
  mSequence++;
  return true;
}

void ShardRuntime::OnAppended(const ProgressBatch& aBatch)
{
  MutexLock lock(mMutex);
  mShard->OnDurable(aBatch);
  for (const ProgressBatch::AckedEnds& ends : aBatch.mAckedEnds) {
    mSender.OnEndsDurable(ends.mWorker);
  }
  RequestDecisionPass();
}

Result<void> ShardRuntime::AppendOnce(const std::vector<KeyedEntry>& aEntries)
{
  mPorts.mMetrics.Add(Counter::kLogAppends, 1);
  mPorts.mMetrics.Add(Counter::kLogAppendRecords, aEntries.size());
  mWatchdog.RecordAppend(SizeOf(aEntries));
  return mPorts.mLog.AppendFenced(
    AppendFence{ Place(KeyedTopic::kProgress), mOptions.mEpoch, mSequence },
    aEntries);
}

} // namespace mulberryvalve
