// ShardRuntime: owns one shard under one epoch: it follows the shard's records
// and workers, lets JobShard decide and carries out what was decided.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_RUNTIME_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_RUNTIME_H_

#include "mulberryvalve/app/jobs/append_parts.h"
#include "mulberryvalve/app/jobs/config_view.h"
#include "mulberryvalve/app/jobs/fault_tally.h"
#include "mulberryvalve/app/jobs/owner_meter.h"
#include "mulberryvalve/app/jobs/owner_watch.h"
#include "mulberryvalve/app/jobs/proof_clock.h"
#include "mulberryvalve/app/jobs/worker_lanes.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/jobs/job_shard.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/cluster_feeds.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/job_log_codec.h"
#include "mulberryvalve/ports/out/keyed_log.h"
#include "mulberryvalve/ports/out/metrics.h"
#include "mulberryvalve/ports/out/peer_calls.h"
#include "mulberryvalve/ports/out/shard_group.h"

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace mulberryvalve {

// WorkerFeeds opens feeds of the list of workers, one a shard's owner.
class WorkerFeeds
{
public:
  virtual ~WorkerFeeds() = default;

  // Open returns a new feed. Thread-safe.
  virtual std::unique_ptr<WorkerFeed> Open() = 0;
};

// ShardRuntimeOptions say which shard is owned, as whom.
struct ShardRuntimeOptions
{
  ShardNumber mShard = 0;
  ShardNumber mShards = 1;
  Epoch mEpoch;
  std::string mInstance;
  LeaseTerms mLease;
  // Without a proof of ownership for this long nothing is started or renewed.
  Milliseconds mProofLimit{ 6000 };
  // An owner whose work has failed for so long, while the group answered, gives
  // the shard up. An owner without proof for as long would start nothing
  // either.
  Milliseconds mStallTimeout{ 6000 };
  // How long callers can ask for a job that is over.
  Milliseconds mKeepOver{ 150000 };
};

// ShardRuntimePorts are what an owner works with; all must outlive it.
struct ShardRuntimePorts
{
  KeyedLog& mLog;
  const JobLogCodec& mCodec;
  TaskWorkerPort& mWorkers;
  WorkerFeeds& mFeeds;
  const ConfigView& mConfig;
  JobPolicies mPolicies;
  const Clock& mClock;
  Metrics& mMetrics;
  EventLog& mEvents;
};

// ShardOfJob and ShardOfWorker deal jobs and workers to shards by a hash of
// their id, so that each shard has its part of every failure domain. Neither
// moves during its life.
ShardNumber ShardOfJob(const JobId& aJob, ShardNumber aShards);
ShardNumber ShardOfWorker(const WorkerId& aWorker, ShardNumber aShards);

// ShardRuntime's methods are thread-safe. Its state has one lock, which is
// taken before the locks of its lanes.
class ShardRuntime : private WorkerSenderDelegate
{
public:
  ShardRuntime(ShardRuntimeOptions aOptions, ShardRuntimePorts aPorts);
  ~ShardRuntime() override;

  // Start begins the threads. Call once.
  void Start();

  // OnOwnershipProof says that the group has answered that the shard was still
  // held by a call sent at aSentAt. It does not wait for a decision under way.
  // It tells when the work stalls, and gives the shard up when that lasts.
  void OnOwnershipProof(MonotonicTime aSentAt);

  // BeginStop ends all decisions; the threads end after the calls under way.
  void BeginStop();

  // HasEnded tells whether all threads have ended, so that destroying this
  // object does not block.
  bool HasEnded() const { return mHasEnded; }

  // IsOwnershipOver tells whether the shard is owned by another or given up.
  bool IsOwnershipOver() const { return mIsOwnershipOver; }

  // ShouldLeaveGroup tells whether the shard was given up because this instance
  // can't do an owner's work, so that another is to own it.
  bool ShouldLeaveGroup() const { return mShouldLeaveGroup; }

  // IsMakingProgress tells whether the owner does its work at present.
  bool IsMakingProgress() const
  {
    return mWatchdog.IsMakingProgress(mPorts.mClock.Now());
  }

  // EpochHeld returns the epoch of this ownership.
  Epoch EpochHeld() const { return mOptions.mEpoch; }

  // CompetingEpoch returns the epoch of the owner that the claim met on the
  // log; zero when there was none.
  Epoch CompetingEpoch() const { return Epoch(mCompetingEpoch); }

  // Answer returns what is known. Before the shard's records are read, without
  // proof of ownership, or when what is asked may be on the log unread, it says
  // that the shard is not owned.
  PeerAnswer Answer(const PeerQuestion& aQuestion) const;

private:
  // How soon a claim, or the loading after it, is tried again.
  static constexpr Milliseconds kLoadRetryDelay{ 200 };

  // PassResult is what a pass leaves to be done without the lock.
  struct PassResult
  {
    std::vector<TaskOrder> mOrders;
    std::vector<JobDecision> mDecisions;
  };

  std::optional<HoldOrder> NextRenewal(const WorkerId& aWorker) override;
  bool OnRenewalReply(const HoldOrder& aOrder,
                      const HoldReply& aReply,
                      MonotonicTime aSentAt) override;
  bool MaySend(const TaskOrder& aOrder) override;
  void OnOrderAnswered(const TaskOrder& aOrder,
                       const OrderReply& aReply) override;
  MonotonicTime Now() const override;

  void Run();
  bool Claim();
  void FindCompetingEpoch();
  bool Load();
  void RunDecisionPasses();
  bool WaitForDecisionPass(std::chrono::steady_clock::time_point aEarliest,
                           std::chrono::steady_clock::time_point aDecisionDue);
  void RequestDecisionPass() MV_REQUIRES(mMutex);
  void RunProgressWriter();
  void AppendProgress(const ProgressBatch& aBatch);
  bool AppendWithRetries(const ProgressAppend& aAppend);
  void OnAppended(const ProgressBatch& aBatch);
  Result<void> AppendOnce(const std::vector<KeyedEntry>& aEntries);
  void RemoveFromIntake(const std::vector<JobId>& aRetiredJobs);
  void FollowIntake();
  void ApplyIntake(const std::vector<KeyedEntry>& aEntries,
                   MonotonicTime aNotBefore,
                   MonotonicTime aReadAt);
  void FollowWorkers();
  void OpenSendQueues() MV_REQUIRES(mMutex);
  PassResult RunDecisionPass() MV_REQUIRES(mMutex);
  void DispatchDecisions(PassResult aResult);
  void LogDecisions(const std::vector<JobDecision>& aDecisions);
  void RecordDelays(Microseconds aPassDuration) MV_REQUIRES(mMutex);
  void RecordLockWait(MonotonicTime aSince);
  bool ProvedAt(MonotonicTime aNow) const;
  bool SleepUntil(std::chrono::steady_clock::time_point aUntil);
  void GiveUp(const char* aReason);
  void GiveUpAndLeaveGroup(const char* aReason);
  void LogEvent(EventLevel aLevel,
                std::string_view aName,
                std::vector<EventField> aFields);
  void LogGiveUp(const char* aReason);
  void LogFailure(std::string_view aWhat, const Failure& aFailure);
  void LogActivityFailure(OwnerActivity aActivity, const Failure& aFailure);
  void WriteFailure(const FailureSummary& aLine);
  void ReportStall();
  void LogEnd();
  KeyedPlace Place(KeyedTopic aTopic) const
  {
    return KeyedPlace{ aTopic, mOptions.mShard };
  }

  const ShardRuntimeOptions mOptions;
  ShardRuntimePorts mPorts;
  LastProofTime mLastProof;
  OwnerDelayMetrics mDelays;
  OwnerWatchdog mWatchdog;
  FailureLogLimiter mFailureLog;
  mutable Mutex mMutex;
  // Wakes pauses, when the ownership ends.
  CondVar mStopCond;
  // Wakes the writer, when something is to be made durable.
  CondVar mWriteCond;
  // Wakes the thread that decides, when something happened.
  CondVar mDecideCond;
  std::unique_ptr<JobShard> mShard MV_GUARDED_BY(mMutex);
  std::shared_ptr<const ClusterConfig> mConfig MV_GUARDED_BY(mMutex);
  MonotonicTime mIntakeReadAt MV_GUARDED_BY(mMutex);
  // Something happened since the last decision.
  bool mIsPassRequested MV_GUARDED_BY(mMutex) = false;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  uint64_t mSequence = 0;
  uint64_t mIntakeNext = 0;
  std::atomic<uint64_t> mCompetingEpoch{ 0 };
  std::atomic<bool> mIsOwnershipOver{ false };
  std::atomic<bool> mShouldLeaveGroup{ false };
  std::atomic<bool> mHasEnded{ false };
  WorkerSender mSender;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_RUNTIME_H_
