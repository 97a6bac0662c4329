#include "mulberryvalve/core/jobs/pace_control.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

// Hundredths of the target. Above the first the tail's users are harmed, above
// the second a swing of the load may harm them before the next report.
constexpr int kHarmed = 95;
constexpr int kFarOver = 150;
constexpr int kNear = 88;
constexpr int kEasy = 70;
constexpr int kRoomForMore = 85;
constexpr int kStepFarDown = 4;
constexpr int kStepDown = 2;
constexpr int kSlightlyDownPercent = 80;
constexpr int kStepUp = 15;
constexpr int kLowPace = 30;
constexpr int kPaceToAdd = 80;
// A changed pace shows in a report after it took effect and the half second
// that a report covers.
constexpr Milliseconds kSettle{ 450 };
constexpr Milliseconds kLowTooLong{ 1500 };

int NextPercent(int aPercent, int aRatio)
{
  if (aRatio >= kFarOver) {
    return aPercent / kStepFarDown;
  }
  if (aRatio >= kHarmed) {
    return aPercent / kStepDown;
  }
  if (aRatio >= kNear) {
    return aPercent * kSlightlyDownPercent / kFullPace;
  }
  if (aRatio < kEasy) {
    return std::min(kFullPace, aPercent + kStepUp);
  }
  return aPercent;
}

} // namespace

PaceVerdict OnTailReport(PaceState& aState,
                         int aRatioPercent,
                         MonotonicTime aAskedAt,
                         MonotonicTime aNow)
{
  aState.mRatioPercent = aRatioPercent;
  aState.mReportedAt = aNow;
  if (aAskedAt < aState.mNextReportFrom) {
    return PaceVerdict::kKeep;
  }
  const int before = aState.mPercent;
  aState.mPercent = NextPercent(before, aRatioPercent);
  if (aState.mPercent >= kLowPace) {
    aState.mLowSince = MonotonicTime();
  } else if (aState.mLowSince == MonotonicTime()) {
    aState.mLowSince = aNow;
  } else if (aNow - aState.mLowSince >= kLowTooLong) {
    aState.mLowSince = aNow;
    return PaceVerdict::kMove;
  }
  if (aState.mPercent == before) {
    return PaceVerdict::kKeep;
  }
  aState.mNextReportFrom = aNow + kSettle;
  return PaceVerdict::kChange;
}

bool MayAddFilling(const PaceState& aState)
{
  return aState.mPercent >= kPaceToAdd && aState.mRatioPercent < kRoomForMore;
}

} // namespace mulberryvalve
