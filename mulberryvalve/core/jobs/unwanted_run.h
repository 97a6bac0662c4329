// UnwantedRun: a run that a worker reports though it should not exist.
#ifndef MULBERRYVALVE_CORE_JOBS_UNWANTED_RUN_H_
#define MULBERRYVALVE_CORE_JOBS_UNWANTED_RUN_H_

#include "mulberryvalve/core/jobs/job_graph.h"
#include "mulberryvalve/core/model/ids.h"

#include <tuple>

namespace mulberryvalve {

struct UnwantedRun
{
  TaskRef mTask;
  RunNumber mRun;
  WorkerId mWorker;

  friend bool operator<(const UnwantedRun& aLeft, const UnwantedRun& aRight)
  {
    return std::tie(aLeft.mTask, aLeft.mRun, aLeft.mWorker) <
           std::tie(aRight.mTask, aRight.mRun, aRight.mWorker);
  }
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_UNWANTED_RUN_H_
