#include "mulberryvalve/core/jobs/service_load.h"

#include <algorithm>
#include <optional>

namespace mulberryvalve {
namespace {

// How far ahead loads are expected: most of the run time of a short task.
constexpr Milliseconds kHorizon{ 1000 };
// How much less reliable a load is by the pressure that it was corrected for.
constexpr double kDistrustOfPressure = 4;
constexpr double kRatioRate = 0.3;
constexpr double kMinRatio = 0.8;
constexpr double kMaxRatio = 1.5;

} // namespace

double ServiceLoads::ExpectedLoad(uint32_t aTask,
                                  double aPressure,
                                  MonotonicTime aNow)
{
  ServiceLoad& own = mTasks.at(aTask);
  mTrend.Add(own.mLoad, 1 / (1 + kDistrustOfPressure * aPressure), aNow);
  const std::optional<double> present = mTrend.LoadAt(aNow);
  const std::optional<double> ahead = mTrend.LoadAt(aNow + kHorizon);
  if (!present || !ahead) {
    return own.mPeak;
  }
  own.mRatio += kRatioRate * (own.mLoad / *present - own.mRatio);
  const double ratio = std::clamp(own.mRatio, kMinRatio, kMaxRatio);
  return std::min(own.mPeak, std::max(*present, *ahead) * ratio);
}

} // namespace mulberryvalve
