#include "mulberryvalve/core/jobs/service_load.h"

#include <algorithm>
#include <optional>

namespace mulberryvalve {
namespace {

// How far ahead loads are expected: most of the run time of a short task.
constexpr Milliseconds kHorizon{ 1000 };
// The learned pressure, for which a load is corrected, may be wrong. A report
// of a task under a pressure of 0.25 counts for half.
constexpr double kPressureDiscount = 4;
// The part of its difference by which one report changes the ratio of a task:
// three reports, about 1.5 s, make up for two thirds.
constexpr double kRatioRate = 0.3;
// The bounds of the ratio that is applied. Tasks of a job share its load, so a
// ratio beyond them is mostly wrongly learned pressure; too high an expected
// load only delays best-effort tasks, so the upper bound is wider.
constexpr double kMinRatio = 0.8;
constexpr double kMaxRatio = 1.5;

} // namespace

double ServiceLoads::ExpectedLoad(uint32_t aTask,
                                  double aPressure,
                                  MonotonicTime aNow)
{
  ServiceLoad& own = mTasks.at(aTask);
  mTrend.Add(own.mLoad, 1 / (1 + kPressureDiscount * aPressure), aNow);
  const std::optional<double> present = mTrend.LoadAt(aNow);
  const std::optional<double> ahead = mTrend.LoadAt(aNow + kHorizon);
  if (!present || !ahead) {
    return own.mPeak;
  }
  own.mRatio += kRatioRate * (own.mLoad / *present - own.mRatio);
  const double ratio = std::clamp(own.mRatio, kMinRatio, kMaxRatio);
  return std::min(own.mPeak, std::max(*present, *ahead) * ratio);
}

void ServiceLoadTable::Forget(const JobId& aJob)
{
  auto step = mSteps.lower_bound(StepRef{ aJob, 0, 0 });
  while (step != mSteps.end() && step->first.mJob == aJob) {
    step = mSteps.erase(step);
  }
}

} // namespace mulberryvalve
