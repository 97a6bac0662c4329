// ServiceLoadTable: the loads of the tasks of serving jobs, from their reports.
#ifndef MULBERRYVALVE_CORE_JOBS_SERVICE_LOAD_H_
#define MULBERRYVALVE_CORE_JOBS_SERVICE_LOAD_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_graph.h"
#include "mulberryvalve/core/jobs/load_trend.h"

#include <cstddef>
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
  // The task's load relative to that of its job, smoothed. Not bounded.
  double mRatio = 1;
};

// ServiceLoads are the loads of the tasks of one step. Not synchronised.
class ServiceLoads
{
public:
  // Tasks returns the loads by task index.
  std::map<uint32_t, ServiceLoad>& Tasks() { return mTasks; }

  // ExpectedLoad adds the load of a task, received at aNow, to the trend of its
  // job, and returns the highest load, above 0, that is expected of the task in
  // the next second: at most its recent peak, which is also returned if there
  // are too few reports. aPressure, at least 0, is what best-effort tasks put
  // on it; the higher it is, the less the report counts. Must be called once
  // per report. Preconditions: Tasks() has the task, with a peak above 0.
  double ExpectedLoad(uint32_t aTask, double aPressure, MonotonicTime aNow);

private:
  std::map<uint32_t, ServiceLoad> mTasks;
  LoadTrend mTrend;
};

// ServiceLoadTable is not synchronised.
class ServiceLoadTable
{
public:
  // Of returns the loads of the tasks of a step, and adds the step if it is not
  // known.
  ServiceLoads& Of(const StepRef& aStep) { return mSteps[aStep]; }

  // Forget removes the steps of a job.
  void Forget(const JobId& aJob);

  // Steps returns the number of steps.
  size_t Steps() const { return mSteps.size(); }

private:
  std::map<StepRef, ServiceLoads> mSteps;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_SERVICE_LOAD_H_
