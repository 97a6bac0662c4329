// JobApi: submits, cancels and inspects jobs.
#ifndef MULBERRYVALVE_PORTS_IN_JOB_API_H_
#define MULBERRYVALVE_PORTS_IN_JOB_API_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/colocation/explanation.h"
#include "mulberryvalve/core/ledger/task_entry.h"
#include "mulberryvalve/core/model/ids.h"

#include <string>
#include <vector>

namespace mulberryvalve {

// JobSubmission is a request to create a job. mName makes repeated submissions
// idempotent; if it is empty, a unique name is generated. mPinnedDomain
// restricts the job to a failure domain.
struct JobSubmission
{
  std::string mName;
  DomainId mPinnedDomain;
  TaskDemand mDemand;
  uint32_t mParts = 1;
};

// JobReceipt identifies a durable job and the log record that holds it.
// mExisted is set if the job had been submitted before.
struct JobReceipt
{
  JobId mJob;
  ShardId mShard;
  Offset mOffset;
  bool mExisted = false;
};

// JobView is a snapshot, taken at mAt, of a job and of its tasks in all shards.
// mExplanations holds the scheduling decisions of this instance for the tasks
// whose shards it owns.
struct JobView
{
  JobSpec mSpec;
  bool mCancelRequested = false;
  std::vector<TaskEntry> mTasks;
  MonotonicTime mAt;
  std::vector<Explanation> mExplanations;
};

// JobApi manages jobs. Implementations are thread-safe and block at most until
// their own deadline.
class JobApi
{
public:
  virtual ~JobApi() = default;

  // Submit makes a job durable. Errors: kInvalidInput, kLogUnavailable (the job
  // was not accepted), kUnknownOutcome (a retry with the same name is safe).
  virtual Result<JobReceipt> Submit(const JobSubmission& aSubmission) = 0;

  // Cancel requests the cancellation of a job. Errors: kNotFound,
  // kLogUnavailable, kUnknownOutcome.
  virtual Result<void> Cancel(const JobId& aJob,
                              const OperatorId& aOperator) = 0;

  // Status returns a job with the history of its tasks. Errors: kNotFound.
  virtual Result<JobView> Status(const JobId& aJob) = 0;

  // List returns up to aLimit jobs known to this instance, ordered by id.
  virtual std::vector<JobView> List(size_t aLimit) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_IN_JOB_API_H_
