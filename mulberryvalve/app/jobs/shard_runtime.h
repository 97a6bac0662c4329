// Runs one owned shard under one epoch: reads the shard's records, job intake
// and workers, lets ShardScheduler decide, then sends the orders and appends
// the progress.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_RUNTIME_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_RUNTIME_H_

#include "mulberryvalve/app/jobs/account_metrics.h"
#include "mulberryvalve/app/jobs/append_pace.h"
#include "mulberryvalve/app/jobs/append_splitting.h"
#include "mulberryvalve/app/jobs/config_view.h"
#include "mulberryvalve/app/jobs/failure_log_limiter.h"
#include "mulberryvalve/app/jobs/held_task_metrics.h"
#include "mulberryvalve/app/jobs/last_proof_time.h"
#include "mulberryvalve/app/jobs/owner_delay_metrics.h"
#include "mulberryvalve/app/jobs/owner_watchdog.h"
#include "mulberryvalve/app/jobs/ownership_stamp.h"
#include "mulberryvalve/app/jobs/shard_owners.h"
#include "mulberryvalve/app/jobs/worker_sender.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/jobs/ended_ownerships.h"
#include "mulberryvalve/core/jobs/shard_scheduler.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/cluster_feeds.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/job_log_codec.h"
#include "mulberryvalve/ports/out/keyed_log.h"
#include "mulberryvalve/ports/out/metrics.h"
#include "mulberryvalve/ports/out/peer_query.h"
#include "mulberryvalve/ports/out/shard_group.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace mulberryvalve {

// Creates the feeds of the worker list. Each shard owner reads a feed of its
// own.
class WorkerFeedFactory
{
public:
  virtual ~WorkerFeedFactory() = default;

  // Returns a new feed. Thread-safe.
  virtual std::unique_ptr<WorkerFeed> Open() = 0;
};

// Identifies the owned shard and its owner, and sets the owner's time limits.
struct ShardRuntimeOptions
{
  ShardNumber mShard = 0;
  ShardNumber mShards = 1;
  Epoch mEpoch;
  std::string mInstance;
  // This process: where it answers its peers, and its number, which no other
  // process at that endpoint has.
  Endpoint mPeer;
  Incarnation mProcess;
  LeaseTerms mLease;
  // Once the last proof of ownership is older than this, no task is started and
  // no lease is renewed.
  Milliseconds mProofLimit{ 6000 };
  // An owner gives the shard up if its work has failed for this long while the
  // group kept answering. It equals mProofLimit because an owner without a
  // proof for as long could start nothing either.
  Milliseconds mStallTimeout{ 6000 };
  // How long the phase of a finished job can still be queried.
  Milliseconds mKeepOver{ 150000 };
  // What this instance observed of the owners before this one.
  OwnerObservations mObservations{};
  // Asks other shards for idle workers. Gives workers to those that ask, and
  // uses workers that were moved, in any case.
  bool mMovesWorkers = false;
};

// Ports that a shard owner uses. All references must outlive it.
struct ShardRuntimePorts
{
  KeyedLog& mLog;
  const JobLogCodec& mCodec;
  TaskWorkerPort& mWorkers;
  WorkerFeedFactory& mWorkerFeeds;
  PeerQueryClient& mPeers;
  const ConfigView& mConfig;
  SchedulingPolicies mPolicies;
  const Clock& mClock;
  Metrics& mMetrics;
  HeldTaskMetrics& mHeldTasks;
  AccountMetrics& mAccounts;
  EventLog& mEvents;
  // Where there are several shards: their owners.
  ShardOwners* mOwners = nullptr;
};

// Assign jobs and workers to shards by a hash of their id, which spreads every
// failure domain over all shards. The shard of a job never
// changes; a worker may be moved from the one that it is dealt to.
ShardNumber ShardOfJob(const JobId& aJob, ShardNumber aShards);
ShardNumber ShardOfWorker(const WorkerId& aWorker, ShardNumber aShards);

// Thread-safe. One mutex guards the shard's state; it is acquired before the
// mutexes of mSender.
class ShardRuntime : private WorkerSenderDelegate
{
public:
  ShardRuntime(ShardRuntimeOptions aOptions, ShardRuntimePorts aPorts);
  ~ShardRuntime() override;

  // Starts the threads. Call once.
  void Start();

  // Records that the group confirmed this instance as owner, in the answer to a
  // call sent at aSentAt. Does not wait for a running decision pass. Logs a
  // stall, and gives the shard up if the stall lasts for mStallTimeout.
  void OnOwnershipProof(MonotonicTime aSentAt);

  // Gives the shard up, because a peer has claimed it under a higher epoch.
  void OnSuperseded();

  // Stops all decisions. The threads end once their calls in flight have
  // returned.
  void BeginStop();

  // Returns whether all threads have ended, so that destroying this object does
  // not block.
  bool HasEnded() const { return mHasEnded; }

  // Returns since when this ownership has sent nothing and what it did, or null
  // until all threads have ended.
  std::shared_ptr<const OwnershipEnd> End() const
  {
    return mHasEnded ? mEnd : nullptr;
  }

  // Returns whether another instance owns the shard or this one gave it up.
  bool IsOwnershipOver() const { return mIsOwnershipOver; }

  // Returns whether the shard was given up because this instance can't do the
  // owner's work, so that another instance should become owner.
  bool ShouldLeaveGroup() const { return mShouldLeaveGroup; }

  // Returns whether the owner is making decisions and no activity exceeds its
  // time limit.
  bool IsMakingProgress() const
  {
    return mWatchdog.IsMakingProgress(mPorts.mClock.Now());
  }

  // Returns the epoch of this ownership.
  Epoch EpochHeld() const { return mOptions.mEpoch; }

  // Returns the epoch of the other owner that Claim found on the log, or zero
  // if there was none.
  Epoch CompetingEpoch() const { return Epoch(mCompetingEpoch); }

  // Returns how long this ownership has been active.
  OwnerAge Age() const { return mStamp.AgeAt(mPorts.mClock.Now()); }

  // Returns what the owner knows. The answer says that the shard is not owned
  // here before the shard's records are loaded, without a valid proof of
  // ownership, or if the requested data may be on the log but not read yet.
  PeerQueryResult Answer(const PeerQuery& aQuestion) const;

  // Answers a query of kind kRoom, whose mRoom is set, in the same cases.
  PeerQueryResult GiveRoom(const PeerQuery& aQuestion);

private:
  // The entries of an append, and the time in the owner's record among them;
  // unset if the record does not fit.
  struct StampedAppend
  {
    std::vector<KeyedEntry> mEntries;
    std::optional<MonotonicTime> mRecordedAt{};
  };

  // Output of a decision pass that is processed without holding mMutex.
  struct PassResult
  {
    std::vector<TaskOrder> mOrders;
    std::vector<JobDecision> mDecisions;
  };

  // What the log holds of the shard when it is taken over.
  struct ShardRecords
  {
    KeyedPage mProgress;
    KeyedPage mIntake;
  };

  std::optional<RenewalRequest> NextRenewal(const WorkerId& aWorker) override;
  bool OnRenewalReply(const RenewalRequest& aOrder,
                      const RenewalReply& aReply,
                      MonotonicTime aSentAt) override;
  bool MaySend(const TaskOrder& aOrder) override;
  void OnOrderAnswered(const TaskOrder& aOrder,
                       const OrderReply& aReply) override;
  MonotonicTime Now() const override;

  void Run();
  bool Claim();
  void FindCompetingEpoch();
  bool Load();
  std::optional<ShardRecords> ReadRecords();
  std::map<JobId, JobRecord> RestoreProgress(
    const std::vector<KeyedEntry>& aEntries,
    ShardScheduler& aShard);
  void ApplyObservation(const OwnershipRecord& aFormer,
                        ShardScheduler& aShard) const;
  size_t RestoreIntake(const std::vector<KeyedEntry>& aEntries,
                       const std::map<JobId, JobRecord>& aRecords,
                       MonotonicTime aClaimedAt,
                       ShardScheduler& aShard);
  void RunDecisionPasses();
  bool WaitForDecisionPass(std::chrono::steady_clock::time_point aEarliest,
                           std::chrono::steady_clock::time_point aDecisionDue);
  void RequestDecisionPass() MV_REQUIRES(mMutex);
  void RunProgressWriter();
  std::optional<ProgressBatch> NextProgress(const AppendPace& aPace);
  void AppendProgress(const ProgressBatch& aBatch);
  KeyedLogLimits LimitsBesideRecord() const;
  OwnershipRecord RecordAt(MonotonicTime aNow) const;
  StampedAppend Stamp(std::vector<KeyedEntry> aEntries) const;
  bool RenewRecord(Milliseconds aMaxAge);
  bool AppendWithRetries(std::vector<KeyedEntry> aEntries);
  void OnAppended(const ProgressBatch& aBatch);
  Result<void> AppendOnce(const std::vector<KeyedEntry>& aEntries);
  void RetireJobs();
  Result<void> RemoveFromIntake(const std::vector<JobId>& aJobs,
                                uint64_t aReadTo);
  void FollowIntake();
  void ApplyIntake(const std::vector<KeyedEntry>& aEntries,
                   MonotonicTime aNotBefore,
                   MonotonicTime aReadAt);
  uint64_t IntakeReadTo() const;
  void OnIntakeRead(MonotonicTime aReadUpTo, uint64_t aReadTo);
  ShardWorkers CurrentWorkers() const;
  void FollowWorkers();
  void RestoreMoves(const ShardRecords& aRecords, ShardScheduler& aShard);
  template<typename Item>
  void RestoreMove(const Result<Item>& aItem, ShardScheduler& aShard);
  void ApplyMove(const WorkerMove& aMove) MV_REQUIRES(mMutex);
  void ReportRefusedMove(const WorkerMove& aMove, MoveOutcome aOutcome);
  void FollowRoom();
  void DeliverMoves();
  Result<void> DeliverMovesTo(ShardNumber aShard,
                              const std::vector<WorkerMove>& aMoves);
  void AskForRoom();
  std::optional<RoomAnswer> AskForRoomIn(ShardNumber aShard,
                                         const RoomRequest& aRequest);
  void ReportRefusedRequest(const RoomRequest& aRequest, RoomOutcome aOutcome);
  void FollowFormerOwners();
  void AskFormerOwner(const FormerOwnerQuestion& aQuestion);
  void LogFormerOwnerEnded(const FormerOwnerEnd& aEnd);
  void StartRenewals() MV_REQUIRES(mMutex);
  PassResult RunDecisionPass() MV_REQUIRES(mMutex);
  void DispatchDecisions(PassResult aResult);
  void LogDecisions(const std::vector<JobDecision>& aDecisions);
  void RecordDelays(Microseconds aPassDuration) MV_REQUIRES(mMutex);
  void RecordLockWait(MonotonicTime aSince);
  bool IsProofValidAt(MonotonicTime aNow) const;
  bool SleepUntil(std::chrono::steady_clock::time_point aUntil);
  void GiveUp(const char* aReason);
  void GiveUpAndLeaveGroup(const char* aReason);
  void LogEvent(EventLevel aLevel,
                std::string_view aName,
                std::vector<EventField> aFields);
  void LogGiveUp(const char* aReason);
  void LogFailure(std::string_view aCall, const Failure& aFailure);
  void LogActivityFailure(OwnerActivity aActivity, const Failure& aFailure);
  void WriteFailure(const FailureSummary& aSummary);
  void ReportStall();
  void LogEnd();
  void RecordEnd();
  TopicPartition Place(KeyedTopic aTopic) const
  {
    return TopicPartition{ aTopic, mOptions.mShard };
  }

  const ShardRuntimeOptions mOptions;
  ShardRuntimePorts mPorts;
  const OwnershipStamp mStamp;
  LastProofTime mLastProof;
  // The time in the owner's newest record that is on the log.
  LastProofTime mLastRecord;
  OwnerDelayMetrics mDelays;
  OwnerWatchdog mWatchdog;
  FailureLogLimiter mFailureLog;
  mutable Mutex mMutex;
  // Wakes sleeping threads when the ownership ends.
  CondVar mStopCond;
  // Wakes the progress writer when there is something to append.
  CondVar mWriteCond;
  // Wakes the decision thread when the state has changed.
  CondVar mDecideCond;
  std::unique_ptr<ShardScheduler> mShard MV_GUARDED_BY(mMutex);
  std::shared_ptr<const ClusterConfig> mConfig MV_GUARDED_BY(mMutex);
  MonotonicTime mIntakeReadAt MV_GUARDED_BY(mMutex);
  // The offset up to which the intake has been passed to mShard, as of when its
  // end was last reached.
  uint64_t mIntakeReadTo MV_GUARDED_BY(mMutex) = 0;
  // When the metrics by account are updated next.
  MonotonicTime mReportAccountsAt MV_GUARDED_BY(mMutex);
  // The state has changed since the last decision pass.
  bool mIsPassRequested MV_GUARDED_BY(mMutex) = false;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  // Sequence number of the next append. Used by mThread only.
  uint64_t mSequence = 0;
  // When finished jobs may be removed from the intake again after a removal
  // failed. Used by mThread only.
  std::chrono::steady_clock::time_point mRetireJobsAt;
  std::atomic<uint64_t> mCompetingEpoch{ 0 };
  std::atomic<bool> mIsOwnershipOver{ false };
  std::atomic<bool> mShouldLeaveGroup{ false };
  // Set before mHasEnded, and not changed after that.
  std::shared_ptr<const OwnershipEnd> mEnd;
  std::atomic<bool> mHasEnded{ false };
  WorkerSender mSender;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_RUNTIME_H_
