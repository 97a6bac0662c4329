// A world of one shard for tests: workers that keep the contract of
// TaskWorkerPort on a manual clock, and a checker of what must always hold.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_WORLD_FAKE_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_WORLD_FAKE_H_

#include "mulberryvalve/core/jobs/job_shard.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mulberryvalve {

// FakeRun is a run present on a fake worker.
struct FakeRun
{
  RunNumber mRun;
  MonotonicTime mStartedAt;
  MonotonicTime mEndsAt;
  EndKind mEnd = EndKind::kDone;
  bool mStopping = false;
};

// LinkState is what becomes of messages between an owner and a worker.
enum class LinkState
{
  kWhole,
  kCut,           // nothing arrives
  kNoAnswers,     // orders arrive, answers do not
  kAddressReused, // another worker answers at the address
};

// NodeState is what has become of a worker.
enum class NodeState
{
  kUp,
  kUnreachable, // no owner reaches it, and it runs on
  kExited,      // its process has ended, and nothing listens at its address
};

inline constexpr EnumTable<NodeState, 3> kNodeStateNames{ { {
  { NodeState::kUp, "up" },
  { NodeState::kUnreachable, "dark" },
  { NodeState::kExited, "left" },
} } };

// FakeWorkerNode is one worker.
struct FakeWorkerNode
{
  // What it says of itself; its present address is part of it.
  WorkerFacts mFacts;
  NodeState mState = NodeState::kUp;
  // The list of workers names it, until mUnlistedAt when that is set.
  bool mListed = true;
  std::optional<MonotonicTime> mUnlistedAt;
  // When a draining worker leaves, by its last word.
  std::optional<MonotonicTime> mLeavesAt;
  // The course of its clock; 1000 is true.
  int64_t mClockRatePerMille = 1000;
  Birth mBirth{ 1 };
  MonotonicTime mBornAt;
  Epoch mFencingEpoch;
  WorkerTime mLease;
  std::map<TaskRef, FakeRun> mRuns;
  std::vector<EndedRow> mEnded;
  EndNumber mLastEnd;
  // Its lease has lapsed since these ends; one that is told as seen only after
  // that does not count as noted.
  EndNumber mExpiredUpTo;
  std::map<TaskRef, RunNumber> mLastClosedRun;
  // What its reports say of serving tasks, in milliseconds.
  std::function<int64_t(const FakeWorkerNode&, const TaskRef&)> mTail;

  WorkerTime ClockAt(MonotonicTime aNow) const;

  // IsListedAt tells whether the list names it, and FactsAt what that says.
  bool IsListedAt(MonotonicTime aNow) const;
  WorkerFacts FactsAt(MonotonicTime aNow) const;
};

// FakeOwner is an owner with its own view of time, links and proof.
struct FakeOwner
{
  std::unique_ptr<JobShard> mShard;
  Epoch mEpoch;
  std::map<WorkerId, LinkState> mLinks;
  std::map<WorkerId, MonotonicTime> mNextHold;
  // Workers that its orders do not reach, though renewals do.
  std::set<WorkerId> mLostOrders;
  MonotonicTime mProvedAt;
  bool mActs = true;
  // While false nothing that it decides becomes durable.
  bool mReachesLog = true;
  // It still reads what callers hand in, though its claim is superseded.
  bool mReadsSubmissions = false;
};

// JobWorld advances in steps. Findings of its checker are texts that begin with
// the name of what was broken.
class JobWorld
{
public:
  explicit JobWorld(size_t aWorkers);
  JobWorld(size_t aWorkers, const WaitingOrder& aOrder);
  JobWorld(size_t aWorkers, const JobPlacement& aPlacement);
  JobWorld(size_t aWorkers,
           const WaitingOrder& aOrder,
           const JobPlacement& aPlacement);

  // AddOwner claims the shard for a new owner and makes it inherit what is
  // durable. The former owners go on until they are told or fenced.
  FakeOwner& AddOwner();

  // Submit hands a job in; it is durable at once.
  void Submit(JobGraph aJob);

  // Cancel makes a cancellation durable.
  void Cancel(const JobId& aJob);

  // Step advances all by one tick and checks.
  void Step();

  // RunFor steps for a time.
  void RunFor(Milliseconds aLength);

  // Reborn ends a worker's life and begins the next.
  void Reborn(const WorkerId& aWorker);

  // Drain makes a worker announce that it leaves after a time at the earliest.
  void Drain(const WorkerId& aWorker, Milliseconds aRemaining);

  // Exit ends a worker's process, and with it all that runs there; the list
  // names it no more.
  void Exit(const WorkerId& aWorker);

  // MakeUnreachable cuts a worker off from every owner. It runs on until its
  // lease is over. The list names it until aUnlistedAt, or on when that is not
  // set.
  void MakeUnreachable(const WorkerId& aWorker,
                       std::optional<MonotonicTime> aUnlistedAt = std::nullopt);

  // MakeReachable ends the darkness of a worker.
  void MakeReachable(const WorkerId& aWorker);

  // ChangeEndpoint gives a worker another address; nothing listens at the
  // former one. The list names it again once mListed is set.
  void ChangeEndpoint(const WorkerId& aWorker, const Endpoint& aEndpoint);

  // Kill ends an owner's process.
  void Kill(size_t aOwner) { mOwners[aOwner]->mActs = false; }

  // Configure puts a configuration in force for all owners.
  void Configure(const ClusterConfig& aConfig);

  FakeWorkerNode& Worker(size_t aIndex);
  FakeOwner& Owner(size_t aIndex) { return *mOwners[aIndex]; }
  MonotonicTime Now() const { return mNow; }
  const std::vector<std::string>& Findings() const { return mViolations; }
  size_t Running() const;

  // RunningOf counts the runs of a job that are present, also on dark workers.
  size_t RunningOf(const JobId& aJob) const;

  // WorkersRunning names the workers on which a task runs.
  std::vector<WorkerId> WorkersRunning(const TaskRef& aTask) const;

  // How long a task runs once started; an end kind may be set by mEndOf.
  std::function<Milliseconds(const TaskRef&)> mDurationOf;
  std::function<EndKind(const TaskRef&, RunNumber)> mEndOf;
  // Sees each order before it is carried, when set.
  std::function<void(const TaskOrder&)> mOnOrder;
  // Sees the number of orders of each decision, when set.
  std::function<void(size_t)> mOnDecided;
  // Workers that fail all that they start.
  std::set<WorkerId> mFailing;
  // An order for which it returns a time gets no answer, and is carried out so
  // much later if its worker lives on.
  std::function<std::optional<Milliseconds>(const TaskOrder&)> mDelayOf;
  // The end of one member of a gang ends the others.
  bool mGangsFailTogether = false;

private:
  // DelayedOrder is an order on its way to one life of a worker.
  struct DelayedOrder
  {
    MonotonicTime mArrivesAt;
    Birth mBirth;
    TaskOrder mOrder;
  };

  void StepWorker(FakeWorkerNode& aWorker);
  void StepOwner(FakeOwner& aOwner);
  void Deliver(FakeOwner& aOwner, const TaskOrder& aOrder);
  bool DelayOrder(const TaskOrder& aOrder);
  void DeliverDelayed();
  OrderReply Apply(FakeWorkerNode& aWorker, const TaskOrder& aOrder);
  OrderOutcome Start(FakeWorkerNode& aWorker, const TaskOrder& aOrder);
  HoldReply RenewLease(FakeWorkerNode& aWorker, const HoldOrder& aOrder);
  void End(FakeWorkerNode& aWorker, const TaskRef& aTask, EndKind aHow);
  void EndGang(const TaskRef& aEnded, RunNumber aRun);
  bool IsListeningAt(const WorkerId& aWorker, const Endpoint& aEndpoint) const;
  void CheckStart(const FakeWorkerNode& aWorker, const TaskRef& aTask);
  const StepSpec& SpecOf(const TaskRef& aTask) const;
  void Persist(FakeOwner& aOwner);

  const LearnedPlacement mLearnedPlacement;
  const LeastWorkOrder mLeastWork;
  const JobPlacement& mPlacement;
  const WaitingOrder& mOrder;
  MonotonicTime mNow;
  std::map<WorkerId, FakeWorkerNode> mWorkers;
  std::vector<std::unique_ptr<FakeOwner>> mOwners;
  std::vector<JobGraph> mJobs;
  std::set<JobId> mCancelled;
  std::map<JobId, JobRecord> mJobRecords;
  std::map<WorkerId, KnownWorker> mWorkerRecords;
  LearnedRecord mLearned;
  std::set<TaskRef> mAckedDone;
  ClusterConfig mConfig;
  Epoch mLastEpoch;
  std::vector<DelayedOrder> mDelayedOrders;
  std::vector<std::string> mViolations;
};

// OneStepJob returns a job of one step.
JobGraph OneStepJob(const std::string& aId, uint32_t aCount, int64_t aCpu);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_WORLD_FAKE_H_
