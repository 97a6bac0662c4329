#include "mulberryvalve/core/requests/upstream_health.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

constexpr int64_t kLatencySamples = 8;
constexpr double kErrorWeight = 0.1;
constexpr double kEjectErrorRate = 0.4;
constexpr uint32_t kConsecutiveLossesToEject = 2;
constexpr uint32_t kMaxDoublings = 4;
constexpr Milliseconds kBaseEjectionTime{ 1000 };
constexpr Milliseconds kRefusalPause{ 5 };
constexpr Milliseconds kDrainingNoticeTtl{ 5000 };

} // namespace

void UpstreamHealth::OnResult(AttemptResult aResult,
                              Microseconds aElapsed,
                              MonotonicTime aNow)
{
  switch (aResult) {
    case AttemptResult::kSuccess:
      mLatencyUs =
        mLatencyUs == 0
          ? std::max<int64_t>(1, aElapsed.count())
          : mLatencyUs + (aElapsed.count() - mLatencyUs) / kLatencySamples;
      mErrorRate -= mErrorRate * kErrorWeight;
      mConsecutiveLosses = 0;
      if (mConsecutiveEjections > 0 && aNow >= mEjectedUntil) {
        mConsecutiveEjections = 0;
        mErrorRate = 0;
      }
      return;
    case AttemptResult::kError:
      OnFailure(false, aNow);
      return;
    case AttemptResult::kLost:
      OnFailure(true, aNow);
      return;
    case AttemptResult::kRefused:
      mPausedUntil = aNow + kRefusalPause;
      return;
  }
}

void UpstreamHealth::OnFailure(bool aLost, MonotonicTime aNow)
{
  mErrorRate += (1 - mErrorRate) * kErrorWeight;
  mConsecutiveLosses = aLost ? mConsecutiveLosses + 1 : 0;
  const bool probeFailed = mConsecutiveEjections > 0 && aNow >= mEjectedUntil;
  const bool eject = mConsecutiveEjections == 0 &&
                     (mErrorRate >= kEjectErrorRate ||
                      mConsecutiveLosses >= kConsecutiveLossesToEject);
  if (probeFailed || eject) {
    const uint32_t doublings = std::min(mConsecutiveEjections, kMaxDoublings);
    mEjectedUntil = aNow + kBaseEjectionTime * (1 << doublings);
    mConsecutiveEjections++;
  }
}

void UpstreamHealth::OnDraining(MonotonicTime aNow)
{
  mDrainingUntil = aNow + kDrainingNoticeTtl;
}

bool UpstreamHealth::AcceptsAttempts(MonotonicTime aNow) const
{
  return aNow >= mPausedUntil && aNow >= mDrainingUntil;
}

bool UpstreamHealth::IsEjected(uint32_t aInFlight, MonotonicTime aNow) const
{
  return mConsecutiveEjections > 0 && (aNow < mEjectedUntil || aInFlight > 0);
}

} // namespace mulberryvalve
