#include "mulberryvalve/core/jobs/pace_control.h"

#include <algorithm>
#include <cmath>

namespace mulberryvalve {
namespace {

// Loads are kept this far below their limit, and are assumed to rise by
// kExpectedLoadRise before the next report.
constexpr double kLoadMargin = 0.0;
constexpr double kExpectedLoadRise = 0.015;
// A lower pressure is not worth a pace order.
constexpr double kMinPacePressure = 0.03;
constexpr double kMinLoad = 0.05;
constexpr int kMinPace = 5;
constexpr int kMinPaceChange = 10;
constexpr int kHalf = 2;
// A report reflects a change of pace once the change has taken effect and the
// half second that a report covers has passed.
constexpr Milliseconds kReportDelay{ 450 };
// A tail latency above its target for four seconds counts as a violation. Half
// of that time is left for stops to take effect.
constexpr Milliseconds kHalveAfter{ 1000 };
constexpr Milliseconds kEvictAfter{ 2000 };

// Returns the highest pace at which the load of aReport's task stays below its
// limit.
int MaxPace(const ServingReport& aReport, double aPace)
{
  if (aReport.mPressure < kMinPacePressure) {
    return kFullPace;
  }
  const double ownLoad = std::max(
    kMinLoad,
    aReport.mLoad / (1 + aPace * aReport.mPressure) + kExpectedLoadRise);
  const double tolerable =
    ((aReport.mLimit - kLoadMargin) / ownLoad - 1) / aReport.mPressure;
  const auto percent = static_cast<int>(std::lround(tolerable * kFullPace));
  return std::clamp(percent, kMinPace, kFullPace);
}

} // namespace

PaceAction UpdatePace(PaceState& aState,
                      const std::vector<ServingReport>& aReports,
                      MonotonicTime aAskedAt,
                      MonotonicTime aNow)
{
  const double pace = static_cast<double>(aState.mPercent) / kFullPace;
  int targetPace = kFullPace;
  bool isOverTarget = false;
  for (const ServingReport& report : aReports) {
    targetPace = std::min(targetPace, MaxPace(report, pace));
    isOverTarget = isOverTarget || report.mLoad >= report.mLimit;
  }
  if (!isOverTarget) {
    aState.mOverTargetSince = MonotonicTime();
  } else if (aState.mOverTargetSince == MonotonicTime()) {
    aState.mOverTargetSince = aNow;
  }
  const Milliseconds overTargetFor =
    isOverTarget
      ? std::chrono::duration_cast<Milliseconds>(aNow - aState.mOverTargetSince)
      : Milliseconds(0);
  if (overTargetFor >= kEvictAfter) {
    aState.mOverTargetSince = aNow;
    return PaceAction::kEvict;
  }
  if (aAskedAt < aState.mIgnoreReportsBefore) {
    return PaceAction::kKeep;
  }
  if (overTargetFor >= kHalveAfter) {
    targetPace = std::min(targetPace, aState.mPercent / kHalf);
  }
  const bool isSmallChange =
    std::abs(targetPace - aState.mPercent) < kMinPaceChange;
  const bool restoresFullPace =
    targetPace == kFullPace && aState.mPercent < kFullPace;
  if (isSmallChange && !restoresFullPace) {
    return PaceAction::kKeep;
  }
  aState.mPercent = targetPace;
  aState.mIgnoreReportsBefore = aNow + kReportDelay;
  return PaceAction::kChange;
}

} // namespace mulberryvalve
