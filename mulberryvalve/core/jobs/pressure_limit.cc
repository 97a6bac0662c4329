#include "mulberryvalve/core/jobs/pressure_limit.h"

namespace mulberryvalve {
namespace {

// Services are at peak load for a short part of the time, and best-effort tasks
// are throttled then. So more pressure is admitted than is tolerable at peak
// load.
constexpr double kPeakLoadFactor = 2.0;
// The expected load may be exceeded before a task ends.
constexpr double kExpectedLoadFactor = 0.8;
// Admitted where services bear none, so that images that hardly disturb them
// are placed there.
constexpr double kMinPressure = 0.1;
// Costs in percent of a worker's CPU usage. The first is above any difference
// in usage; the second also outweighs the worker on which the task failed last,
// but not data on another rack.
constexpr int64_t kPeakLoadMixCost = 150;
constexpr int64_t kExpectedLoadMixCost = 600;

} // namespace

double PeakLoadPressureLimit::Admitted(const WorkerEntry& aWorker) const
{
  return kPeakLoadFactor * aWorker.mTolerablePressure + kMinPressure;
}

int64_t PeakLoadPressureLimit::MixedImagesCost() const
{
  return kPeakLoadMixCost;
}

double ExpectedLoadPressureLimit::Admitted(const WorkerEntry& aWorker) const
{
  return kExpectedLoadFactor * aWorker.mTolerableSoon + kMinPressure;
}

int64_t ExpectedLoadPressureLimit::MixedImagesCost() const
{
  return kExpectedLoadMixCost;
}

} // namespace mulberryvalve
