// ShardOwner: schedules one shard while this instance holds its claim: places
// tasks, starts them, renews their leases, records outcomes and hands tasks
// over to other shards.
#ifndef MULBERRYVALVE_APP_OWNER_SHARD_OWNER_H_
#define MULBERRYVALVE_APP_OWNER_SHARD_OWNER_H_

#include "mulberryvalve/app/directory/worker_source.h"
#include "mulberryvalve/app/executor/command_runner.h"
#include "mulberryvalve/app/owner/task_in_flight_state.h"
#include "mulberryvalve/app/peers/owner_election.h"
#include "mulberryvalve/app/streams/record_appender.h"
#include "mulberryvalve/app/streams/stream_replica.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/colocation/colocation_controller.h"
#include "mulberryvalve/core/config/config_state_machine.h"
#include "mulberryvalve/core/ownership/shard_ownership.h"
#include "mulberryvalve/core/reconcile/reconcile.h"
#include "mulberryvalve/core/reconcile/worker_sync_state.h"
#include "mulberryvalve/core/scheduler/scheduling_round.h"
#include "mulberryvalve/core/shards/shard_map.h"
#include "mulberryvalve/ports/out/bundle_reader.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/metrics.h"
#include "mulberryvalve/ports/out/worker_port.h"

#include <map>
#include <memory>
#include <thread>

namespace mulberryvalve {

// ShardOwnerOptions configure a ShardOwner.
struct ShardOwnerOptions
{
  WriterId mSelf;
  ShardId mShard;
  OwnershipOptions mOwnership;
  WorkerSyncOptions mWorkerSync;
  Milliseconds mLease{ 30000 };
  Milliseconds mRenewalWindow{ 600000 };
  Milliseconds mRoundInterval{ 100 };
};

// RecordSink appends records to the stream of another shard.
class RecordSink
{
public:
  virtual ~RecordSink() = default;

  // AppendTo queues aRecords to be appended to aShard's stream; see
  // RecordAppender::Submit.
  virtual void AppendTo(const ShardId& aShard,
                        std::vector<Record> aRecords,
                        AppendDone aDone) = 0;
};

// ShardOwnerPorts are the dependencies of a ShardOwner; all must outlive it.
struct ShardOwnerPorts
{
  StreamReplica<ShardStateMachine>& mShard;
  StreamReplica<ConfigStateMachine>& mConfig;
  RecordAppender& mWriter;
  RecordSink& mOtherShards;
  const ShardMap& mShards;
  const WorkerSource& mDirectory;
  const OwnerElection& mPeers;
  WorkerPort& mWorkers;
  const BundleReader& mBundles;
  CommandRunner& mExecutor;
  const Clock& mClock;
  Metrics& mMetrics;
  EventLog& mLog;
};

// ShardOwner runs scheduling rounds on its own thread and blocking commands on
// the executor. Its lock is acquired before the locks of streams. Each command
// checks its deadlines again immediately before it is sent.
class ShardOwner
{
public:
  ShardOwner(ShardOwnerOptions aOptions,
             ShardOwnerPorts aPorts,
             std::unique_ptr<ColocationController> aColocation);
  ~ShardOwner();

  // Start starts the thread. Call once.
  void Start();

  // Wake triggers the next round immediately. Thread-safe, does not block.
  void Wake();

  // RunRound runs one scheduling round: it applies claim and bundle changes,
  // submits records and posts commands. Called by the thread; if Start was not
  // called, by one thread at a time. Does not block.
  void RunRound();

  // BeginRelease makes the following rounds release the shard. Thread-safe,
  // does not block.
  void BeginRelease();

  // Release releases the shard and blocks until the release is durable or
  // aDeadline passes. It returns whether the shard is no longer held.
  bool Release(MonotonicTime aDeadline);

  // Stop stops and joins the thread.
  void Stop();

  // IsActing returns whether this instance currently acts as the shard's owner.
  bool IsActing() const;

  // Explain returns this owner's decisions about aTask and their reasons. The
  // decisions of former owners are not known. Thread-safe.
  Explanation Explain(const TaskId& aTask) const;

private:
  // In-flight states of terminal tasks are pruned above this number of entries.
  static constexpr size_t kPruneThreshold = 512;

  void Run();
  void ApplyClaim(MonotonicTime aNow) MV_REQUIRES(mMutex);
  void ApplyBundle() MV_REQUIRES(mMutex);
  void PruneInFlightStates() MV_REQUIRES(mMutex);
  OwnershipStep Decide(MonotonicTime aNow) MV_REQUIRES(mMutex);
  void SubmitOwnership(Record aRecord, Epoch aEpoch);
  void RunOwnerSteps(MonotonicTime aNow) MV_REQUIRES(mMutex);
  void SyncDueWorkers(MonotonicTime aNow) MV_REQUIRES(mMutex);
  void RecordExpiredLeases(MonotonicTime aNow) MV_REQUIRES(mMutex);
  WorkerPool BuildPool(MonotonicTime aNow) MV_REQUIRES(mMutex);
  void PlaceAndCommand(MonotonicTime aNow) MV_REQUIRES(mMutex);
  void SendHandovers() MV_REQUIRES(mMutex);
  void ConfirmHandover(const TaskId& aTask,
                       Epoch aEpoch,
                       const Result<Offset>& aResult);
  void Propose(std::vector<Record> aRecords) MV_REQUIRES(mMutex);
  void OnProposed(const std::vector<TaskId>& aTasks,
                  Epoch aEpoch,
                  const Result<Offset>& aFirst);
  bool IsBusy(const TaskId& aTask, Offset aFolded) MV_REQUIRES(mMutex);
  bool WasCommandSent(const TaskEntry& aTask, TaskCommandKind aKind) const
    MV_REQUIRES(mMutex);
  TaskInFlightState& InFlightStateOf(const TaskId& aTask, Attempt aAttempt)
    MV_REQUIRES(mMutex);
  WorkerSyncState& SyncStateOf(const WorkerId& aWorker) MV_REQUIRES(mMutex);
  bool DomainIsOut() const;

  MonotonicTime HeadsValidUntil() const;
  MonotonicTime RenewalsAllowedUntil() const;
  std::optional<WorkerSpec> FindWorker(const WorkerId& aWorker) const;

  void RunCommand(const TaskCommand& aCommand, Epoch aEpoch);
  void RunStart(const TaskCommand& aCommand, Epoch aEpoch);
  std::optional<StartCommand> PrepareStart(const TaskCommand& aCommand,
                                           Epoch aEpoch);
  void RunStop(const TaskCommand& aCommand, Epoch aEpoch);
  void RunThrottle(const TaskCommand& aCommand, Epoch aEpoch);
  void RunSync(const WorkerSpec& aWorker, Epoch aEpoch);
  std::optional<SyncRequest> PrepareSync(const WorkerSpec& aWorker,
                                         Epoch aEpoch,
                                         MonotonicTime aNow);
  void OnInventory(const WorkerSpec& aWorker,
                   Epoch aEpoch,
                   MonotonicTime aRequestedAt,
                   const SyncReply& aReply);
  ReconcileView ViewOf(const ShardStateMachine& aState,
                       const WorkerId& aWorker,
                       MonotonicTime aRequestedAt) MV_REQUIRES(mMutex);

  const ShardOwnerOptions mOptions;
  const DomainId mDomain;
  ShardOwnerPorts mPorts;
  mutable Mutex mMutex;
  CondVar mCondVar;
  std::unique_ptr<ColocationController> mColocation MV_GUARDED_BY(mMutex);
  BundleVersion mBundle MV_GUARDED_BY(mMutex);
  ShardOwnership mOwnership MV_GUARDED_BY(mMutex);
  OwnershipStep mStep MV_GUARDED_BY(mMutex) = OwnershipStep::kIdle;
  std::map<WorkerId, WorkerSyncState> mSyncStates MV_GUARDED_BY(mMutex);
  std::map<WorkerId, Resources> mUnknownLeaseCharges MV_GUARDED_BY(mMutex);
  std::map<WorkerId, std::vector<LeaseId>> mRenew MV_GUARDED_BY(mMutex);
  std::map<WorkerId, std::vector<LeaseId>> mAcknowledge MV_GUARDED_BY(mMutex);
  std::unordered_map<TaskId, TaskInFlightState> mInFlightStates
    MV_GUARDED_BY(mMutex);
  size_t mPruneThreshold MV_GUARDED_BY(mMutex) = kPruneThreshold;
  bool mClaimInFlight MV_GUARDED_BY(mMutex) = false;
  Offset mClaimAppendedAt MV_GUARDED_BY(mMutex);
  bool mReleasing MV_GUARDED_BY(mMutex) = false;
  bool mWakeRequested MV_GUARDED_BY(mMutex) = false;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_OWNER_SHARD_OWNER_H_
