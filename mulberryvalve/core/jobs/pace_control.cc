#include "mulberryvalve/core/jobs/pace_control.h"

#include <algorithm>
#include <cmath>

namespace mulberryvalve {
namespace {

// Loads are kept this far below their limit, and are taken to rise by this much
// until the next report.
constexpr double kBelowLimit = 0.0;
constexpr double kRise = 0.015;
// Less pressure than this is not worth an order.
constexpr double kLeastPressure = 0.03;
constexpr double kLeastLoad = 0.05;
constexpr int kLeastPace = 5;
constexpr int kLeastChange = 10;
constexpr int kHalf = 2;
// A changed pace shows in a report after it took effect and the half second
// that a report covers.
constexpr Milliseconds kSettle{ 450 };
// A tail that is over its target for four seconds is harm: one half of that is
// left for stops to take effect.
constexpr Milliseconds kHalveAfter{ 1000 };
constexpr Milliseconds kMoveAfter{ 2000 };

// The pace at which aReport's task stays below its limit.
int PaceFor(const ServingReport& aReport, double aPace)
{
  if (aReport.mPressure < kLeastPressure) {
    return kFullPace;
  }
  const double own = std::max(
    kLeastLoad, aReport.mLoad / (1 + aPace * aReport.mPressure) + kRise);
  const double bearable =
    ((aReport.mLimit - kBelowLimit) / own - 1) / aReport.mPressure;
  const auto percent = static_cast<int>(std::lround(bearable * kFullPace));
  return std::clamp(percent, kLeastPace, kFullPace);
}

} // namespace

PaceVerdict OnReports(PaceState& aState,
                      const std::vector<ServingReport>& aReports,
                      MonotonicTime aAskedAt,
                      MonotonicTime aNow)
{
  const double pace = static_cast<double>(aState.mPercent) / kFullPace;
  int wanted = kFullPace;
  bool over = false;
  for (const ServingReport& report : aReports) {
    wanted = std::min(wanted, PaceFor(report, pace));
    over = over || report.mLoad >= report.mLimit;
  }
  if (!over) {
    aState.mOverSince = MonotonicTime();
  } else if (aState.mOverSince == MonotonicTime()) {
    aState.mOverSince = aNow;
  }
  const Milliseconds overFor =
    over ? std::chrono::duration_cast<Milliseconds>(aNow - aState.mOverSince)
         : Milliseconds(0);
  if (overFor >= kMoveAfter) {
    aState.mOverSince = aNow;
    return PaceVerdict::kMove;
  }
  if (aAskedAt < aState.mNextReportFrom) {
    return PaceVerdict::kKeep;
  }
  if (overFor >= kHalveAfter) {
    wanted = std::min(wanted, aState.mPercent / kHalf);
  }
  const bool same = std::abs(wanted - aState.mPercent) < kLeastChange;
  const bool reachesFull = wanted == kFullPace && aState.mPercent < kFullPace;
  if (same && !reachesFull) {
    return PaceVerdict::kKeep;
  }
  aState.mPercent = wanted;
  aState.mNextReportFrom = aNow + kSettle;
  return PaceVerdict::kChange;
}

} // namespace mulberryvalve
