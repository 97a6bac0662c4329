// JobEntryService: takes jobs and questions at any instance.
#ifndef MULBERRYVALVE_APP_JOBS_JOB_ENTRY_SERVICE_H_
#define MULBERRYVALVE_APP_JOBS_JOB_ENTRY_SERVICE_H_

#include "mulberryvalve/app/jobs/group_append.h"
#include "mulberryvalve/app/jobs/shard_keeper.h"
#include "mulberryvalve/app/streams/stop_signal.h"
#include "mulberryvalve/ports/in/job_graph_api.h"
#include "mulberryvalve/ports/out/peer_calls.h"

#include <memory>
#include <vector>

namespace mulberryvalve {

// JobEntryPorts are what the service works with; all must outlive it.
struct JobEntryPorts
{
  KeyedLog& mLog;
  const JobLogCodec& mCodec;
  PeerCalls& mPeers;
  ShardKeeper& mMemberships;
  const Clock& mClock;
  Metrics& mMetrics;
  EventLog& mEvents;
};

// JobEntryService appends what callers hand in to the shard's intake itself,
// whether an owner lives or not, and asks the owner about jobs. Thread-safe; it
// holds no state.
class JobEntryService : public JobGraphApi
{
public:
  JobEntryService(ShardNumber aShards, JobEntryPorts aPorts);

  // BeginStop makes calls end after the try under way.
  void BeginStop() { mStop.Set(); }

  Result<void> Submit(const JobGraph& aJob, MonotonicTime aDeadline) override;
  Result<void> Cancel(const JobId& aJob, MonotonicTime aDeadline) override;
  Result<std::optional<JobPhase>> Phase(const JobId& aJob,
                                        MonotonicTime aDeadline) override;
  Result<uint64_t> Waiting(const QueueId& aQueue,
                           MonotonicTime aDeadline) override;

private:
  Result<void> Append(const JobId& aJob,
                      const KeyedEntry& aEntry,
                      const char* aOperation,
                      MonotonicTime aDeadline);
  Result<PeerAnswer> Ask(const PeerQuestion& aQuestion,
                         MonotonicTime aDeadline);
  void Pause();

  const ShardNumber mShards;
  JobEntryPorts mPorts;
  // One for each shard's intake.
  std::vector<std::unique_ptr<AppendBatcher>> mIntakeBatchers;
  StopSignal mStop;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_JOB_ENTRY_SERVICE_H_
