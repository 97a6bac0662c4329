// ServiceLoad: the load of a serving task, from its reports.
#ifndef MULBERRYVALVE_CORE_JOBS_SERVICE_LOAD_H_
#define MULBERRYVALVE_CORE_JOBS_SERVICE_LOAD_H_

#include "mulberryvalve/core/base/time.h"

namespace mulberryvalve {

// ServiceLoad is the load derived from a serving task's last latency report. A
// value type.
struct ServiceLoad
{
  double mLoad = 0;
  // The recent maximum of the load; decays slowly.
  double mPeak = 0;
  MonotonicTime mReportedAt;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_SERVICE_LOAD_H_
