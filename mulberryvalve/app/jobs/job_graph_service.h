// Accepts jobs, cancellations and queries at any instance.
#ifndef MULBERRYVALVE_APP_JOBS_JOB_GRAPH_SERVICE_H_
#define MULBERRYVALVE_APP_JOBS_JOB_GRAPH_SERVICE_H_

#include "mulberryvalve/app/jobs/intake_appender.h"
#include "mulberryvalve/app/jobs/shard_owners.h"
#include "mulberryvalve/app/streams/stop_signal.h"
#include "mulberryvalve/ports/in/job_graph_api.h"
#include "mulberryvalve/ports/out/job_log_codec.h"
#include "mulberryvalve/ports/out/peer_query.h"

namespace mulberryvalve {

// Ports that the service uses. All references must outlive it.
struct JobGraphServicePorts
{
  KeyedLog& mLog;
  const JobLogCodec& mCodec;
  PeerQueryClient& mPeers;
  ShardOwners& mMemberships;
  const Clock& mClock;
  Metrics& mMetrics;
  EventLog& mEvents;
};

// Appends submissions and cancellations to the shard's intake itself, so they
// are accepted even if the shard has no owner, or relays them to the owner
// while its own appends are slow or fail. Queries are forwarded to the owner.
// Thread-safe and stateless but for the paths of appends.
class JobGraphService : public JobGraphApi
{
public:
  JobGraphService(ShardNumber aShards,
                  JobGraphServicePorts aPorts,
                  IntakeRelaying aRelaying = IntakeRelaying::kOff);

  // Returns the batchers that all appends of this instance share.
  IntakeBatchers& Batchers() { return mAppender.Batchers(); }

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
  Result<PeerQueryResult> Ask(const PeerQuery& aQuestion,
                              MonotonicTime aDeadline);
  void Pause();

  const ShardNumber mShards;
  JobGraphServicePorts mPorts;
  IntakeAppender mAppender;
  StopSignal mStop;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_JOB_GRAPH_SERVICE_H_
