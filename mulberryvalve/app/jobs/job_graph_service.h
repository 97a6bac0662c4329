// Accepts jobs, cancellations and queries at any instance.
#ifndef MULBERRYVALVE_APP_JOBS_JOB_GRAPH_SERVICE_H_
#define MULBERRYVALVE_APP_JOBS_JOB_GRAPH_SERVICE_H_

#include "mulberryvalve/app/jobs/append_batcher.h"
#include "mulberryvalve/app/jobs/shard_membership_manager.h"
#include "mulberryvalve/app/streams/stop_signal.h"
#include "mulberryvalve/ports/in/job_graph_api.h"
#include "mulberryvalve/ports/out/peer_query.h"

#include <memory>
#include <vector>

namespace mulberryvalve {

// Ports that the service uses. All references must outlive it.
struct JobGraphServicePorts
{
  KeyedLog& mLog;
  const JobLogCodec& mCodec;
  PeerQueryClient& mPeers;
  ShardMembershipManager& mMemberships;
  const Clock& mClock;
  Metrics& mMetrics;
  EventLog& mEvents;
};

// Appends submissions and cancellations to the shard's intake itself, so they
// are accepted even if the shard has no owner. Queries are forwarded to the
// owner. Thread-safe and stateless.
class JobGraphService : public JobGraphApi
{
public:
  JobGraphService(ShardNumber aShards, JobGraphServicePorts aPorts);

  // Makes calls return after their current attempt.
  void BeginStop() { mStop.Set(); }

  Result<void> Submit(const JobGraph& aJob, MonotonicTime aDeadline) override;
  Result<void> Cancel(const JobId& aJob, MonotonicTime aDeadline) override;
  Result<std::optional<JobPhase>> Phase(const JobId& aJob,
                                        MonotonicTime aDeadline) override;
  Result<uint64_t> CountWaitingJobs(const QueueId& aQueue,
                                    MonotonicTime aDeadline) override;

private:
  Result<void> Append(const JobId& aJob,
                      const KeyedEntry& aEntry,
                      const char* aOperation,
                      MonotonicTime aDeadline);
  bool IsTimeToRepeat(MonotonicTime aAttemptedAt,
                      MonotonicTime aDeadline) const;
  Result<PeerQueryResult> Ask(const PeerQuery& aQuestion,
                              MonotonicTime aDeadline);
  void Pause();

  const ShardNumber mShards;
  JobGraphServicePorts mPorts;
  // One for the intake of each shard.
  std::vector<std::unique_ptr<AppendBatcher>> mIntakeBatchers;
  StopSignal mStop;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_JOB_GRAPH_SERVICE_H_
