// Which tasks may be started on which workers before the log holds a record of
// it, while the log takes no appends.
#ifndef MULBERRYVALVE_CORE_JOBS_UNRECORDED_STARTS_H_
#define MULBERRYVALVE_CORE_JOBS_UNRECORDED_STARTS_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_graph.h"

#include <cstddef>

namespace mulberryvalve {

// Every task and every worker is in one bucket for good, which all owners
// compute alike. A start without a record goes only to a worker in the task's
// bucket. So a successor that has no answer from a worker holds back the tasks
// of one bucket, and not all. Neighbouring tasks of a step are in neighbouring
// buckets.
inline constexpr size_t kStartBuckets = 16;

// A start waits this long for its record before the log counts as away.
inline constexpr Milliseconds kMaxRecordWait{ 200 };

// Return the bucket, below kStartBuckets.
size_t BucketOf(const TaskRef& aTask);
size_t BucketOf(const WorkerId& aWorker);

// Returns whether tasks of aStep may be started without a record at all. Runs
// that last or that depend on each other are too costly to hold back or to
// repeat.
constexpr bool MayStartUnrecorded(const StepSpec& aStep)
{
  return !aStep.mLongRunning && !aStep.mGang;
}

// Returns whether a task that may start without a record may do so on aWorker.
bool MayStartUnrecorded(const TaskRef& aTask, const WorkerId& aWorker);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_UNRECORDED_STARTS_H_
