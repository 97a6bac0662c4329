// JobGraphApi: submits, cancels and inspects jobs that consist of dependent
// steps.
#ifndef MULBERRYVALVE_PORTS_IN_JOB_GRAPH_API_H_
#define MULBERRYVALVE_PORTS_IN_JOB_GRAPH_API_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_state.h"

#include <cstdint>
#include <optional>

namespace mulberryvalve {

// JobGraphApi manages job graphs. Implementations are thread-safe and block at
// most until aDeadline.
class JobGraphApi
{
public:
  virtual ~JobGraphApi() = default;

  // Submit makes a job durable. It has no effect on a job that already exists.
  // Errors: kLogUnavailable (mRetryAt says when to come back), kTooLarge (the
  // job exceeds the record size limit) and kInvalidInput (a field is out of
  // range): the job was not accepted and never runs. kUnknownOutcome: a retry
  // with the same id is safe.
  virtual Result<void> Submit(const JobGraph& aJob,
                              MonotonicTime aDeadline) = 0;

  // Cancel makes the cancellation of a job durable. Errors: those of Submit.
  virtual Result<void> Cancel(const JobId& aJob, MonotonicTime aDeadline) = 0;

  // Phase returns the phase of a job, or nullopt if there is no such job.
  // Errors: kNotReady if the owner of its shard cannot be reached.
  virtual Result<std::optional<JobPhase>> Phase(const JobId& aJob,
                                                MonotonicTime aDeadline) = 0;

  // CountWaitingJobs returns the number of jobs in aQueue none of whose tasks
  // has been started. Errors: those of Phase.
  virtual Result<uint64_t> CountWaitingJobs(const QueueId& aQueue,
                                            MonotonicTime aDeadline) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_IN_JOB_GRAPH_API_H_
