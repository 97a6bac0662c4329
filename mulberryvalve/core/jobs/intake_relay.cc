#include "mulberryvalve/core/jobs/intake_relay.h"

namespace mulberryvalve {

IntakePath IntakeRelay::NextPath(MonotonicTime aNow) const
{
  const bool isPaused = mPausedUntil && aNow < *mPausedUntil;
  return mCause && !isPaused ? IntakePath::kRelay : IntakePath::kOwnAppend;
}

bool IntakeRelay::IsInTime(IntakePath aPath,
                           Milliseconds aLeft,
                           MonotonicTime aNow) const
{
  const Measure& newest =
    aPath == IntakePath::kRelay ? mOwnerAppend : mOwnAppend;
  const bool isValid = newest.mAt && aNow < *newest.mAt + kMeasureValidFor;
  return !isValid || newest.mTook <= aLeft;
}

void IntakeRelay::OnPending(std::optional<MonotonicTime> aSince,
                            MonotonicTime aNow)
{
  mIsPending = aSince && aNow > *aSince + kSlowAppend;
  if (mIsPending && !mCause) {
    Begin(RelayCause::kSlowAppend, aNow);
  }
}

void IntakeRelay::OnOwnAppend(LogCallEnd aEnd,
                              Milliseconds aTook,
                              MonotonicTime aNow)
{
  switch (aEnd) {
    case LogCallEnd::kAnswered:
      mOwnAppend = Measure{ aTook, aNow };
      if (aTook > kSlowAppend) {
        Begin(RelayCause::kSlowAppend, aNow);
      } else {
        End(RelayEnd::kOwnAppendFast);
      }
      break;
    case LogCallEnd::kRefused:
      Begin(RelayCause::kTurnedAway, aNow);
      break;
    case LogCallEnd::kLost:
      Begin(RelayCause::kNoAnswer, aNow);
      break;
  }
}

// An instance that lost the log stays with the owner, however fast that is,
// until its own calls are answered again.
void IntakeRelay::OnOwnerAnswer(Milliseconds aTook,
                                MonotonicTime aHeardAt,
                                MonotonicTime aNow)
{
  mUnansweredSince.reset();
  if (aTook == Milliseconds::zero()) {
    return;
  }
  mOwnerAppend = Measure{ aTook, aNow };
  const bool hasRelayedLong = aNow >= mCausedAt + kMinRelayTime;
  const bool isLogBack = mCause == RelayCause::kSlowAppend ||
                         (hasRelayedLong && (mCause != RelayCause::kNoAnswer ||
                                             aHeardAt > mCausedAt));
  if (aTook < kFastAppend && isLogBack && !mIsPending) {
    End(RelayEnd::kOwnerFast);
  }
}

void IntakeRelay::OnOwnerTimeout(MonotonicTime aNow)
{
  if (!mUnansweredSince) {
    mUnansweredSince = aNow;
  } else if (aNow >= *mUnansweredSince + kOwnerPause) {
    OnOwnerSilent(aNow);
  }
}

bool IntakeRelay::MayFallBack(MonotonicTime aNow) const
{
  return mCause != RelayCause::kNoAnswer ||
         aNow >= mCausedAt + kOwnTrialInterval;
}

void IntakeRelay::Begin(RelayCause aCause, MonotonicTime aNow)
{
  // While a lost log is not tried, appends are refused without a call: that is
  // no sign that the log is back.
  const bool isStillSilent =
    mCause == RelayCause::kNoAnswer && aCause == RelayCause::kTurnedAway;
  if (!isStillSilent) {
    mCause = aCause;
    mCausedAt = aNow;
  }
}

void IntakeRelay::End(RelayEnd aEnd)
{
  if (mCause) {
    mLastEnd = aEnd;
    mCause.reset();
  }
}

void IntakeRelay::Pause(RelayEnd aEnd, MonotonicTime aNow)
{
  End(aEnd);
  mUnansweredSince.reset();
  mPausedUntil = aNow + kOwnerPause;
}

} // namespace mulberryvalve
