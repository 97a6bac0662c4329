// LoadTrend: the load that the tasks of one serving job share, with its trend.
#ifndef MULBERRYVALVE_CORE_JOBS_LOAD_TREND_H_
#define MULBERRYVALVE_CORE_JOBS_LOAD_TREND_H_

#include "mulberryvalve/core/base/time.h"

#include <optional>

namespace mulberryvalve {

// LoadTrend fits a line through the reported loads of all tasks of a job, in
// which a report counts for less the older it is. Not synchronised.
class LoadTrend
{
public:
  // Add adds a report, received at aNow, of the load (0 to 1) that a task has
  // without the best-effort tasks beside it. aWeight, above 0, tells how much
  // it counts; reports of tasks that are hardly disturbed are more reliable.
  // Times must not decrease from call to call.
  void Add(double aLoad, double aWeight, MonotonicTime aNow);

  // LoadAt returns the load at aTime, always above 0, or nothing if there were
  // too few reports shortly before the last one. The estimate does not age
  // after the last report.
  std::optional<double> LoadAt(MonotonicTime aTime) const;

private:
  void Decay(MonotonicTime aNow);

  // Weighted sums over the reports, with times in seconds relative to mSince.
  MonotonicTime mSince;
  double mWeight = 0;
  double mTimes = 0;
  double mSquaredTimes = 0;
  double mLoads = 0;
  double mProducts = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_LOAD_TREND_H_
