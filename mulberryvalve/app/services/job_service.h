// JobService: implements JobApi on the streams of the shards.
#ifndef MULBERRYVALVE_APP_SERVICES_JOB_SERVICE_H_
#define MULBERRYVALVE_APP_SERVICES_JOB_SERVICE_H_

#include "mulberryvalve/app/streams/stream_replica.h"
#include "mulberryvalve/app/streams/stream_writer.h"
#include "mulberryvalve/core/ledger/shard_state_machine.h"
#include "mulberryvalve/core/shards/shard_map.h"
#include "mulberryvalve/ports/in/job_api.h"

#include <atomic>
#include <functional>
#include <map>

namespace mulberryvalve {

// ShardStream is the local replica and the writer of one shard's stream.
struct ShardStream
{
  StreamReplica<ShardStateMachine>* mState = nullptr;
  StreamWriter* mWriter = nullptr;
};

// JobServiceOptions configure a JobService.
struct JobServiceOptions
{
  WriterId mSelf;
  DomainId mDomain;
  Milliseconds mAppendTimeout{ 2000 };
};

// ExplainTask returns this instance's decisions about a task. The result is
// empty when another instance owns the task's shard. Thread-safe.
using ExplainTask = std::function<Explanation(const TaskId&)>;

// JobService is thread-safe.
class JobService : public JobApi
{
public:
  // All references must outlive the service.
  JobService(JobServiceOptions aOptions,
             std::map<ShardId, ShardStream> aStreams,
             const ShardMap& aShards,
             const Clock& aClock,
             ExplainTask aExplain);

  Result<JobReceipt> Submit(const JobSubmission& aSubmission) override;
  Result<void> Cancel(const JobId& aJob, const OperatorId& aOperator) override;
  Result<JobView> Status(const JobId& aJob) override;
  std::vector<JobView> List(size_t aLimit) override;

private:
  Result<ShardStream> StreamOf(const JobId& aJob) const;
  TaskEntry FollowHandovers(const TaskEntry& aTask) const;
  void Explain(JobView& aView) const;
  JobView ViewOf(const ShardStateMachine& aState, const JobEntry& aJob) const;

  const JobServiceOptions mOptions;
  const std::map<ShardId, ShardStream> mStreams;
  const ShardMap& mShards;
  const Clock& mClock;
  const ExplainTask mExplain;
  std::atomic<uint64_t> mNextName{ 1 };
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_SERVICES_JOB_SERVICE_H_
