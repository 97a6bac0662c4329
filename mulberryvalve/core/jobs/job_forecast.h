// Forecasts how long a job takes and how much work remains.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_FORECAST_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_FORECAST_H_

#include "mulberryvalve/core/jobs/job_table.h"
#include "mulberryvalve/core/jobs/run_time_estimator.h"

namespace mulberryvalve {

// JobForecast is a value type.
struct JobForecast
{
  // Duration of the critical path, assuming that no task waits.
  Milliseconds mLongestChain{ 0 };
  // The same for the steps that have not completed. A step with running tasks
  // counts in full.
  Milliseconds mRemainingChain{ 0 };
  // Work of the tasks that have not completed, in thousandths of a core times
  // milliseconds.
  int64_t mRemainingWork = 0;
};

// ForecastOf computes the forecast for one occurrence of aJob. Steps may depend
// on earlier steps only.
JobForecast ForecastOf(const JobEntry& aJob,
                       uint32_t aOccurrence,
                       const RunTimeEstimator& aRunTimes);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_FORECAST_H_
