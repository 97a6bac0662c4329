// ServiceLoads: the loads of the tasks of one serving job, from their reports.
#ifndef MULBERRYVALVE_CORE_JOBS_SERVICE_LOAD_H_
#define MULBERRYVALVE_CORE_JOBS_SERVICE_LOAD_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/load_trend.h"

#include <cstdint>
#include <map>

namespace mulberryvalve {

// ServiceLoad is the load derived from a serving task's last latency report. A
// value type.
struct ServiceLoad
{
  double mLoad = 0;
  // The recent maximum of the load; decays slowly.
  double mPeak = 0;
  MonotonicTime mReportedAt;
  // The task's load relative to that of its job, smoothed.
  double mRatio = 1;
};

// ServiceLoads is not synchronised.
class ServiceLoads
{
public:
  // Tasks returns the loads by task index.
  std::map<uint32_t, ServiceLoad>& Tasks() { return mTasks; }

  // ExpectedLoad adds the load of a task, reported just before aNow, to the
  // trend of its job, and returns the highest load of the task in the next
  // second, its recent peak at most. aPressure is what best-effort tasks put on
  // it; the more, the less reliable its load is. Precondition: the load is in
  // Tasks().
  double ExpectedLoad(uint32_t aTask, double aPressure, MonotonicTime aNow);

private:
  std::map<uint32_t, ServiceLoad> mTasks;
  LoadTrend mTrend;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_SERVICE_LOAD_H_
