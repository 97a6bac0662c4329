// A simulation of one shard for tests: workers that implement the contract of
// TaskWorkerPort on a manual clock, and a checker of the scheduler's
// invariants.
#ifndef MULBERRYVALVE_CORE_JOBS_SHARD_SIMULATION_FAKE_H_
#define MULBERRYVALVE_CORE_JOBS_SHARD_SIMULATION_FAKE_H_

#include "mulberryvalve/core/jobs/shard_scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mulberryvalve {

// The longest lease that a simulated worker grants.
inline constexpr int64_t kMaxSimulatedLeaseMs = 6000;

// SimulatedRun is a run on a simulated worker.
struct SimulatedRun
{
  RunNumber mRun;
  MonotonicTime mStartedAt;
  MonotonicTime mEndsAt;
  EndKind mEnd = EndKind::kDone;
  bool mStopping = false;
  // The pace that it was last told.
  int mPacePercent = kFullPace;
};

// LinkState tells which messages between an owner and a worker get through.
enum class LinkState
{
  kConnected,     // orders and replies arrive
  kDisconnected,  // neither orders nor replies arrive
  kRepliesLost,   // orders arrive, replies don't
  kAddressReused, // another worker answers at the address
};

// NodeState is the state of a worker's process and network.
enum class NodeState
{
  kUp,
  kUnreachable, // keeps running, but no owner can reach it
  kExited,      // its process has ended, and nothing listens at its address
};

inline constexpr EnumTable<NodeState, 3> kNodeStateNames{ { {
  { NodeState::kUp, "up" },
  { NodeState::kUnreachable, "dark" },
  { NodeState::kExited, "left" },
} } };

// SimulatedWorker is one simulated worker.
struct SimulatedWorker
{
  // What the worker reports of itself, with its present address.
  WorkerInfo mInfo;
  NodeState mState = NodeState::kUp;
  // The list of workers contains it, until mUnlistedAt if that is set.
  bool mListed = true;
  std::optional<MonotonicTime> mUnlistedAt;
  // When a draining worker exits, as last announced.
  std::optional<MonotonicTime> mLeavesAt;
  // The rate of its clock, in thousandths; 1000 is exact.
  int64_t mClockRatePerMille = 1000;
  WorkerIncarnation mWorkerIncarnation{ 1 };
  MonotonicTime mIncarnationStart;
  Epoch mFencingEpoch;
  WorkerTime mLeaseEnd;
  std::map<TaskRef, SimulatedRun> mRuns;
  std::vector<RunEndReport> mEnded;
  EndNumber mLastEnd;
  // The last end that was reported before its lease last expired. An
  // acknowledgement that arrives after that doesn't prove that the end was
  // recorded.
  EndNumber mExpiredUpTo;
  std::map<TaskRef, RunNumber> mLastClosedRun;
  // The tail latency that it reports for a serving task, in milliseconds.
  std::function<int64_t(const SimulatedWorker&, const TaskRef&)> mTailLatencyMs;

  WorkerTime ClockAt(MonotonicTime aNow) const;

  // IsListedAt returns whether the list of workers contains it, and FactsAt its
  // entry there.
  bool IsListedAt(MonotonicTime aNow) const;
  WorkerInfo FactsAt(MonotonicTime aNow) const;
};

// SimulatedSubmission is a job on the log that an owner has not read yet.
struct SimulatedSubmission
{
  JobGraph mJob;
  MonotonicTime mSubmittedAt;
};

// SimulatedAppend is an append that the log has not taken yet.
struct SimulatedAppend
{
  ProgressBatch mBatch;
  std::map<Epoch, Milliseconds> mFormerRunsLeft;
  bool mRecordsUse = false;
  MonotonicTime mSentAt;
  MonotonicTime mArrivesAt;
};

// SimulatedOwner is an owner with its own links to the workers and its own
// proof of ownership.
struct SimulatedOwner
{
  std::unique_ptr<ShardScheduler> mShard;
  Epoch mEpoch;
  std::map<WorkerId, LinkState> mLinks;
  std::map<WorkerId, MonotonicTime> mNextRenewalAt;
  // Workers that its orders don't reach, though lease renewals do.
  std::set<WorkerId> mLostOrders;
  // Workers whose orders wait in the send queue until DeliverHeldOrders.
  std::set<WorkerId> mHeldOrders;
  std::vector<TaskOrder> mSendQueue;
  // What the held orders were answered, until AnswerHeldOrders.
  std::vector<std::pair<TaskOrder, OrderReply>> mHeldReplies;
  MonotonicTime mProvedAt;
  // When it claimed the shard, when its last append was sent that it knows to
  // be on the log, and when the last one was sent that is.
  MonotonicTime mClaimedAt;
  MonotonicTime mRecordedAt;
  MonotonicTime mStoredAt;
  std::map<Epoch, Milliseconds> mStoredFormerRunsLeft;
  bool mStoredRecordsUse = false;
  bool mIsActive = true;
  MonotonicTime mEndedAt;
  // If false, none of its decisions becomes durable.
  bool mCanAppend = true;
  // Its appends fail, though its ownership is proved.
  bool mAppendsFail = false;
  // How long an append takes, and the one in flight. The next one begins only
  // when it has been answered.
  Milliseconds mAppendDelay{ 0 };
  std::optional<SimulatedAppend> mAppend;
  // Its appends take effect, but while this is true it doesn't hear of it.
  bool mAppendAnswersLost = false;
  // It still reads submissions, though its claim is superseded.
  bool mReadsSubmissions = false;
  // While this is false, it does not read the list of workers.
  bool mReadsWorkerList = true;
  // While this is false, submissions reach it only once it is true again.
  bool mReadsIntake = true;
  std::vector<SimulatedSubmission> mUnreadSubmissions;
};

// ShardSimulation advances in ticks. Each finding of its checker is a text that
// begins with the invariant that was violated. Not thread-safe.
class ShardSimulation
{
public:
  explicit ShardSimulation(size_t aWorkers);
  ShardSimulation(size_t aWorkers, const QueueingPolicy& aOrder);
  ShardSimulation(size_t aWorkers, const JobPlacementPolicy& aPlacement);
  ShardSimulation(size_t aWorkers,
                  const QueueingPolicy& aOrder,
                  const JobPlacementPolicy& aPlacement);

  // Claims the shard for a new owner, which restores the durable state. Former
  // owners continue until they are killed or fenced.
  SimulatedOwner& AddOwner();

  // Submits a job, which becomes durable at once.
  void Submit(JobGraph aJob);

  // Cancels a job, which becomes durable at once.
  void Cancel(const JobId& aJob);

  // Advances everything by one tick and checks the invariants.
  void Step();

  // Runs ticks until aLength has passed.
  void RunFor(Milliseconds aLength);

  // DeliverHeldOrders sends the orders of an owner that wait in its send queue
  // and are still needed, and AnswerHeldOrders passes the replies on.
  void DeliverHeldOrders(SimulatedOwner& aOwner);
  void AnswerHeldOrders(SimulatedOwner& aOwner);

  // Restarts a worker as a new incarnation, with no runs and no fencing token.
  void RestartWorker(const WorkerId& aWorker);

  // Makes a worker announce that it leaves, after aRemaining at the earliest.
  void Drain(const WorkerId& aWorker, Milliseconds aRemaining);

  // Ends a worker's process with everything that runs there, and removes it
  // from the list of workers.
  void Exit(const WorkerId& aWorker);

  // Disconnects a worker from every owner. It keeps running until its lease
  // expires. It stays on the list until aUnlistedAt, or for good if that is
  // unset.
  void MakeUnreachable(const WorkerId& aWorker,
                       std::optional<MonotonicTime> aUnlistedAt = std::nullopt);

  // Reconnects an unreachable worker.
  void MakeReachable(const WorkerId& aWorker);

  // Gives a worker another address; nothing listens at the former one. It is
  // off the list until mListed is set again.
  void ChangeEndpoint(const WorkerId& aWorker, const Endpoint& aEndpoint);

  // Ends an owner's process.
  void Kill(size_t aOwner)
  {
    mOwners[aOwner]->mIsActive = false;
    mOwners[aOwner]->mEndedAt = mNow;
  }

  // Lets an owner ask the former ones. Those that have ended tell it since when
  // and what they did.
  void AskFormerOwners(SimulatedOwner& aOwner);

  // Applies a configuration to all owners.
  void Configure(const ClusterConfig& aConfig);

  SimulatedWorker& Worker(size_t aIndex);
  SimulatedOwner& Owner(size_t aIndex) { return *mOwners[aIndex]; }
  MonotonicTime Now() const { return mNow; }
  const std::vector<std::string>& Violations() const { return mViolations; }
  const std::set<Epoch>& RemovedClaims() const { return mRemovedClaims; }
  size_t Running() const;

  // Returns the number of runs of a job, including those on unreachable
  // workers.
  size_t RunningOf(const JobId& aJob) const;

  // Returns the workers on which a task runs.
  std::vector<WorkerId> WorkersRunning(const TaskRef& aTask) const;

  // How long a task runs, and how it ends.
  std::function<Milliseconds(const TaskRef&)> mDurationOf;
  std::function<EndKind(const TaskRef&, RunNumber)> mEndKindOf;
  // If set, is called with each order before it is delivered.
  std::function<void(const TaskOrder&)> mOnOrder;
  // If set, is called with the number of orders of each decision.
  std::function<void(size_t)> mOnDecided;
  // Workers on which every task fails.
  std::set<WorkerId> mFailingWorkers;
  // If set and it returns a time, the order gets no reply and is applied that
  // much later, unless its worker has restarted or exited by then.
  std::function<std::optional<Milliseconds>(const TaskOrder&)> mDelayOf;
  // The most ends that a report lists, the oldest first.
  size_t mMaxListedEnds = 500;
  // Whether the answers to orders tell the worker's incarnation.
  bool mOrderRepliesTellIncarnation = true;
  // Whether calls reach only the incarnation that they name, as TaskWorkerPort
  // promises. Otherwise any incarnation of the worker carries them out, as it
  // may carry out unanswered orders that are late.
  bool mCallsReachOneIncarnation = false;
  // Whether new owners know when the last append of each former one was sent.
  bool mObservesOwners = false;
  // If set, each owner asks the former ones in each tick, and one that has
  // ended answers if it returns true.
  std::function<bool(const SimulatedOwner&)> mTellsItsEnd;
  // Whether the end of one member of a gang ends the others.
  bool mGangsFailTogether = false;

private:
  // DelayedOrder is an order in transit to one incarnation of a worker.
  struct DelayedOrder
  {
    MonotonicTime mArrivesAt;
    WorkerIncarnation mWorkerIncarnation;
    TaskOrder mOrder;
  };

  void StepWorker(SimulatedWorker& aWorker);
  void StepOwner(SimulatedOwner& aOwner);
  void DecideAndDeliver(SimulatedOwner& aOwner, const OwnershipProof& aProof);
  void ReadIntake(SimulatedOwner& aOwner);
  static FormerOwner RecordOf(const SimulatedOwner& aOwner);
  SimulatedAppend NextAppend(SimulatedOwner& aOwner) const;
  void Deliver(SimulatedOwner& aOwner, const TaskOrder& aOrder);
  bool DelayOrder(const TaskOrder& aOrder);
  void DeliverDelayed();
  OrderReply SendOrder(const TaskOrder& aOrder);
  RenewalReply SendRenewal(RenewalRequest aOrder);
  OrderReply Apply(SimulatedWorker& aWorker, const TaskOrder& aOrder);
  OrderOutcome Start(SimulatedWorker& aWorker, const TaskOrder& aOrder);
  RenewalReply RenewLease(SimulatedWorker& aWorker,
                          const RenewalRequest& aOrder);
  void End(SimulatedWorker& aWorker, const TaskRef& aTask, EndKind aEndKind);
  void EndGang(const TaskRef& aEnded, RunNumber aRun);
  bool IsListeningAt(const WorkerId& aWorker, const Endpoint& aEndpoint) const;
  void CheckStart(const SimulatedWorker& aWorker, const TaskRef& aTask);
  const StepSpec& SpecOf(const TaskRef& aTask) const;
  bool Persist(SimulatedOwner& aOwner);
  void Store(const ProgressBatch& aBatch);

  const LearnedPlacementPolicy mLearnedPlacement;
  const LeastRemainingWorkPolicy mLeastWork;
  const JobPlacementPolicy& mPlacement;
  const QueueingPolicy& mOrder;
  MonotonicTime mNow;
  std::map<WorkerId, SimulatedWorker> mWorkers;
  std::vector<std::unique_ptr<SimulatedOwner>> mOwners;
  std::vector<JobGraph> mJobs;
  std::set<JobId> mCancelled;
  std::map<JobId, std::map<uint32_t, JobRecord>> mJobRecords;
  std::map<WorkerId, UsedWorkerRecord> mWorkerRecords;
  LearnedRecord mLearned;
  std::set<Epoch> mRemovedClaims;
  std::set<TaskRef> mAckedDone;
  ClusterConfig mConfig;
  Epoch mLastEpoch;
  std::vector<DelayedOrder> mDelayedOrders;
  std::vector<std::string> mViolations;
};

// OneStepJob returns a job of one step with aCount tasks of aCpu thousandths of
// a core each.
JobGraph OneStepJob(const std::string& aId, uint32_t aCount, int64_t aCpu);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_SHARD_SIMULATION_FAKE_H_
