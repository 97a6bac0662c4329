// JobGraphApi: what callers may do with jobs of steps.
#ifndef MULBERRYVALVE_PORTS_IN_JOB_GRAPH_API_H_
#define MULBERRYVALVE_PORTS_IN_JOB_GRAPH_API_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_state.h"

#include <cstdint>
#include <optional>

namespace mulberryvalve {

// JobGraphApi's implementations are thread-safe and block up to aDeadline.
class JobGraphApi
{
public:
  virtual ~JobGraphApi() = default;

  // Submit makes a job durable; a job that is known stays as it is. Errors:
  // kLogUnavailable (it was not taken and never runs), kTooLarge (the same, and
  // no record holds it), kInvalidInput (the same, and a field is out of its
  // range), kUnknownOutcome (asking again with the same id is safe).
  virtual Result<void> Submit(const JobGraph& aJob,
                              MonotonicTime aDeadline) = 0;

  // Cancel makes a job's cancellation durable. Errors: as of Submit.
  virtual Result<void> Cancel(const JobId& aJob, MonotonicTime aDeadline) = 0;

  // Phase returns the state of a job, or nothing when there is none. Errors:
  // kNotReady when its owner can't be asked.
  virtual Result<std::optional<JobPhase>> Phase(const JobId& aJob,
                                                MonotonicTime aDeadline) = 0;

  // Waiting counts the jobs of a queue of which no task was started. Errors: as
  // of Phase.
  virtual Result<uint64_t> Waiting(const QueueId& aQueue,
                                   MonotonicTime aDeadline) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_IN_JOB_GRAPH_API_H_
