#include "mulberryvalve/app/jobs/intake_appender.h"

namespace mulberryvalve {
namespace {

// An append is repeated only while the caller has more time than this left: for
// the longest call to the log, or, if the log has answered other calls, for one
// that it answers. A caller that learns early that the outcome is unknown can
// ask another instance.
constexpr Milliseconds kMinTimeToRepeat{ 1650 };
constexpr Milliseconds kMinTimeIfHeard{ 650 };
// An owner is asked only while the caller has this much time left.
constexpr Milliseconds kMinTimeToRelay{ 100 };

bool IsUnclear(const Result<void>& aOutcome)
{
  return !aOutcome && aOutcome.error().mKind == FailureKind::kLogAnswerLost;
}

} // namespace

IntakeAppender::IntakeAppender(ShardNumber aShards,
                               IntakeAppenderPorts aPorts,
                               IntakeRelaying aRelaying)
  : mPorts(aPorts)
  , mBatchers(aShards, mPorts.mLog, mPorts.mRelay.mClock)
{
  if (aRelaying == IntakeRelaying::kOn) {
    mRelay.emplace(aShards, mPorts.mRelay);
  }
}

Result<void> IntakeAppender::Attempt(ShardNumber aShard,
                                     const KeyedEntry& aEntry,
                                     MonotonicTime aDeadline)
{
  if (!mRelay) {
    return AppendHere(aShard, aEntry, aDeadline);
  }
  const MonotonicTime attemptedAt = mPorts.mRelay.mClock.Now();
  const IntakePath path = NextPath(aShard, aEntry);
  Result<void> first = AttemptOn(path, aShard, aEntry, aDeadline);
  if (first || first.error().mKind == FailureKind::kTooLarge) {
    return first;
  }
  const IntakePath other =
    path == IntakePath::kRelay ? IntakePath::kOwnAppend : IntakePath::kRelay;
  if (!IsWorthTrying(other, aShard, aEntry, attemptedAt, aDeadline, first)) {
    return first;
  }
  const Result<void> second = AttemptOn(other, aShard, aEntry, aDeadline);
  // If both were refused, the caller is told the time of this instance's log.
  const bool isFirstTold = !second && !IsUnclear(second) &&
                           (IsUnclear(first) || path == IntakePath::kOwnAppend);
  return isFirstTold ? first : second;
}

IntakePath IntakeAppender::NextPath(ShardNumber aShard,
                                    const KeyedEntry& aEntry)
{
  return mRelay->NextPath(aShard, aEntry, mBatchers.Of(aShard).PendingSince());
}

// The instance's own append has no deadline, so it follows an attempt of the
// owner only if that took no time, or if there is time for the longest call.
bool IntakeAppender::IsWorthTrying(IntakePath aPath,
                                   ShardNumber aShard,
                                   const KeyedEntry& aEntry,
                                   MonotonicTime aAttemptedAt,
                                   MonotonicTime aDeadline,
                                   const Result<void>& aFirst)
{
  const MonotonicTime now = mPorts.mRelay.mClock.Now();
  if (aPath == IntakePath::kRelay) {
    return NextPath(aShard, aEntry) == IntakePath::kRelay &&
           now + kMinTimeToRelay < aDeadline;
  }
  if (!mRelay->MayFallBack(aShard)) {
    return false;
  }
  const bool wasQuick = !IsUnclear(aFirst) && now < aAttemptedAt + kRetryDelay;
  return wasQuick || IsTimeToRepeat(aAttemptedAt, aDeadline);
}

Result<void> IntakeAppender::AttemptOn(IntakePath aPath,
                                       ShardNumber aShard,
                                       const KeyedEntry& aEntry,
                                       MonotonicTime aDeadline)
{
  if (!mRelay->IsInTime(aShard, aPath, aDeadline)) {
    Failure refused = Fail(FailureKind::kLogUnavailable,
                           "append",
                           "appends take longer than the time left");
    refused.mRetryAt = mBatchers.Of(aShard).RetryAt();
    return refused;
  }
  if (aPath == IntakePath::kRelay) {
    Result<void> relayed = mRelay->Relay(aShard, aEntry, aDeadline);
    // Nobody at the owner's endpoint told a time to come back.
    if (!relayed && relayed.error().mRetryAt == MonotonicTime()) {
      relayed.error().mRetryAt = mBatchers.Of(aShard).RetryAt();
    }
    return relayed;
  }
  Result<void> done = AppendHere(aShard, aEntry, aDeadline);
  mRelay->OnOwnAppend(aShard, done, mBatchers.Of(aShard).LastCallTime());
  return done;
}

Result<void> IntakeAppender::AppendHere(ShardNumber aShard,
                                        const KeyedEntry& aEntry,
                                        MonotonicTime aDeadline)
{
  mPorts.mRelay.mMetrics.Add(Counter::kLogAppends, 1);
  Result<void> done = mBatchers.Of(aShard).Append(
    aEntry, AppendTerms{ mPorts.mRelay.mOwners.LastContact(), aDeadline });
  if (!done) {
    mPorts.mRelay.mMetrics.Add(Counter::kLogFailures, 1);
  }
  return done;
}

bool IntakeAppender::IsTimeToRepeat(MonotonicTime aAttemptedAt,
                                    MonotonicTime aDeadline) const
{
  const bool heard = mPorts.mRelay.mOwners.LastContact() > aAttemptedAt;
  const Milliseconds needed = heard ? kMinTimeIfHeard : kMinTimeToRepeat;
  return mPorts.mRelay.mClock.Now() + kRetryDelay + needed < aDeadline;
}

} // namespace mulberryvalve
