// JobShard: the decisions of a shard's owner under one epoch: what is started
// where, what is stopped, and what is to be made durable.
#ifndef MULBERRYVALVE_CORE_JOBS_JOB_SHARD_H_
#define MULBERRYVALVE_CORE_JOBS_JOB_SHARD_H_

#include "mulberryvalve/core/jobs/cluster_config.h"
#include "mulberryvalve/core/jobs/former_workers.h"
#include "mulberryvalve/core/jobs/job_book.h"
#include "mulberryvalve/core/jobs/job_decision.h"
#include "mulberryvalve/core/jobs/job_placement.h"
#include "mulberryvalve/core/jobs/known_worker.h"
#include "mulberryvalve/core/jobs/placement_pass.h"
#include "mulberryvalve/core/jobs/run_time_book.h"
#include "mulberryvalve/core/jobs/start_window.h"
#include "mulberryvalve/core/jobs/usage_sum.h"
#include "mulberryvalve/core/jobs/waiting_order.h"
#include "mulberryvalve/core/jobs/worker_search.h"
#include "mulberryvalve/core/jobs/worker_table.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryvalve {

// JobShardOptions are the figures of one owner.
struct JobShardOptions
{
  Epoch mEpoch;
  LeaseTerms mLease;
  // A former owner acts no more this long after its last proof of ownership.
  Milliseconds mProofLimit{ 6000 };
  // A job that was read after the last proof of ownership is started for this
  // long after that proof only: several renewals of the membership.
  Milliseconds mFreshProof{ 1500 };
  // How long callers can ask for a job that is over.
  Milliseconds mKeepOver{ 150000 };
};

// JobPolicies are what varies in the decisions of an owner; all must outlive
// it.
struct JobPolicies
{
  const JobPlacement& mPlacement;
  const WaitingOrder& mOrder;
};

// OwnershipProof is how well an owner knows that it still is one.
struct OwnershipProof
{
  // When the last call was sent whose answer showed that nobody else had
  // claimed the shard.
  MonotonicTime mProvedAt;
  // The proof is recent enough to start something.
  bool mMayStart = false;
};

// ProgressBatch is what is to be made durable next. OnDurable takes it back.
struct ProgressBatch
{
  // EndsTaken says up to where a worker's ends are part of the batch.
  struct EndsTaken
  {
    WorkerId mWorker;
    Birth mBirth;
    EndNumber mNumber;
  };

  std::vector<JobRecord> mJobs;
  std::vector<JobId> mRetired;
  std::vector<KnownWorker> mWorkers;
  std::vector<WorkerId> mForgotten;
  std::vector<EndsTaken> mEnds;
  // Set from time to time, when there is something else to append.
  std::optional<LearnedRecord> mLearned;

  // Empty tells whether nothing needs an append.
  bool Empty() const
  {
    return mJobs.empty() && mRetired.empty() && mWorkers.empty() &&
           mForgotten.empty();
  }
};

// JobShard is not synchronised: its owner holds the shard's lock. It sends
// nothing: orders are returned, and their answers are given back.
class JobShard
{
public:
  // aClaimedAt is when the claim of the epoch was durable.
  JobShard(JobShardOptions aOptions,
           JobPolicies aPolicies,
           MonotonicTime aClaimedAt);

  // Inherit takes in a job that was handed in before the claim, with its
  // durable progress. InheritWorker takes in a worker of former owners.
  void Inherit(JobGraph aGraph, const JobRecord* aRecord);
  void InheritWorker(const KnownWorker& aWorker);

  // InheritLearned takes over what the former owner had learned.
  void InheritLearned(const LearnedRecord& aLearned);

  // OnJob and OnCancel take in what callers handed in, in the order of the log.
  // A job or a cancellation that is known changes nothing.
  // aNotBefore is a time before which the job was certainly not on the log,
  // aNow when it was read.
  void OnJob(JobGraph aGraph, MonotonicTime aNotBefore, MonotonicTime aNow);
  void OnCancel(const JobId& aJob, MonotonicTime aNow);

  // OnConfig puts a configuration in force.
  void OnConfig(const ClusterConfig& aConfig);

  // OnWorkers takes in the whole list of workers of this shard.
  void OnWorkers(const std::vector<WorkerFacts>& aWorkers, MonotonicTime aNow);

  // NextHold returns the renewal that is due for a worker, or nothing when the
  // worker is not known any more. aMayRenew says whether ownership is proved.
  std::optional<HoldOrder> NextHold(const WorkerId& aWorker,
                                    bool aMayRenew,
                                    MonotonicTime aNow);

  // OnHold takes in the answer to aOrder, which was sent at aSentAt.
  void OnHold(const HoldOrder& aOrder,
              const HoldReply& aReply,
              MonotonicTime aSentAt,
              MonotonicTime aNow);

  // OnOrder takes in the answer to aOrder.
  void OnOrder(const TaskOrder& aOrder,
               const OrderReply& aReply,
               MonotonicTime aNow);

  // IsWanted tells whether a start that was ordered is still to be sent; stops
  // always are.
  bool IsWanted(const TaskOrder& aOrder, MonotonicTime aNow) const;

  // So many workers a call of Decide looks at before it leaves the rest of the
  // steps that wait to the next call; one step more is looked at as a whole.
  static constexpr size_t kLooksPerDecide = 4000;

  // Decide returns the orders to send now.
  std::vector<TaskOrder> Decide(const OwnershipProof& aProof,
                                MonotonicTime aNow,
                                WallTime aWall);

  // HasMoreToPlace tells whether the last call of Decide left steps to the next
  // one, which is to come soon even when nothing happens. What waits for
  // answers to starts does not count.
  bool HasMoreToPlace() const
  {
    return mPass.IsUnderWay() && !mWindow.IsFull();
  }

  // TakeWindowFigures returns how many starts may be and are under way.
  StartWindowFigures TakeWindowFigures() { return mWindow.TakeFigures(); }

  // TakeProgress returns what changed since the last call. OnDurable says that
  // it is on the log.
  ProgressBatch TakeProgress(MonotonicTime aNow);
  void OnDurable(const ProgressBatch& aBatch);

  // NeedsAppend tells whether TakeProgress would return something.
  bool NeedsAppend() const
  {
    return !mDirtyJobs.empty() || !mDirtyWorkers.empty() || !mForgotten.empty();
  }

  // Phase returns what a caller may be told of a job, or nothing when there is
  // no such job.
  std::optional<JobPhase> Phase(const JobId& aJob) const;

  // CancelledAt returns when the cancellation of a job was read, or nothing
  // when it was not cancelled.
  std::optional<MonotonicTime> CancelledAt(const JobId& aJob) const;

  // Waiting counts the jobs of a queue of which no task was started.
  size_t Waiting(const QueueId& aQueue) const { return mBook.Waiting(aQueue); }

  // IsFenced tells whether a worker obeys a newer owner: this one must end.
  bool IsFenced() const { return mFenced; }

  // TakeDecisions returns the decisions since the last call, oldest first.
  std::vector<JobDecision> TakeDecisions();

  // Learned returns what is known of images and queues.
  LearnedRecord Learned() const;

  // Workers returns the present view of the workers.
  const WorkerTable& Workers() const { return mWorkers; }

private:
  // A stop without a sign of its end is sent again after this.
  static constexpr Milliseconds kRepeatStop{ 700 };

  struct ForeignRun
  {
    TaskRef mTask;
    RunNumber mRun;
    WorkerId mWorker;

    friend bool operator<(const ForeignRun& aLeft, const ForeignRun& aRight)
    {
      return std::tie(aLeft.mTask, aLeft.mRun, aLeft.mWorker) <
             std::tie(aRight.mTask, aRight.mRun, aRight.mWorker);
    }
  };

  // HeldTasks counts what waits for workers of former owners.
  struct HeldTasks
  {
    size_t mJobs = 0;
    size_t mTasks = 0;
    size_t mWorkers = 0;

    friend bool operator==(const HeldTasks& aLeft, const HeldTasks& aRight)
    {
      return std::tie(aLeft.mJobs, aLeft.mTasks, aLeft.mWorkers) ==
             std::tie(aRight.mJobs, aRight.mTasks, aRight.mWorkers);
    }
  };

  // ListedRun is a row of a worker's list, with the task that it names.
  struct ListedRun
  {
    const RunningRow& mRow;
    TaskPlace mPlace;
  };

  std::vector<JobId> Retirable(MonotonicTime aNow) const;
  void NoteDurable(const KnownWorker& aWorker);

  // Notes for the successor, and those of the former owner
  // (job_shard_notes.cc).
  KnownWorker RecordOf(const WorkerRoom& aWorker, MonotonicTime aNow) const;
  KnownWorker TakeRecord(WorkerRoom& aWorker, MonotonicTime aNow);
  void TakeBackNote(WorkerRoom& aWorker);
  void FollowNotes(MonotonicTime aNow);
  void NoteFormer(MonotonicTime aNow);
  void FollowNote(const WorkerRoom& aWorker, bool aAgain);
  void ForgetGone(MonotonicTime aNow);
  bool IsGone(const WorkerRoom& aWorker, MonotonicTime aNow) const;
  bool IsBlocked(const JobEntry& aJob, MonotonicTime aNow) const;
  bool IsHeld(const JobEntry& aJob,
              const StepRef& aStep,
              MonotonicTime aNow) const;
  HeldTasks CountHeld() const;
  void ReportHeld(MonotonicTime aNow);

  // Ends and lists (job_shard_lists.cc).
  void TakeLists(WorkerRoom& aWorker,
                 const HoldReply& aReply,
                 MonotonicTime aSentAt,
                 MonotonicTime aNow);
  void TakeEnd(WorkerRoom& aWorker, const EndedRow& aRow, MonotonicTime aNow);
  void NoteEnd(const EndedRow& aRow, const WorkerId& aWorker);
  void CountEnd(const TaskPlace& aPlace,
                const EndedRow& aRow,
                const WorkerId& aWorker);
  void LearnRunTime(const TaskPlace& aPlace,
                    const EndedRow& aRow,
                    MonotonicTime aNow);
  void JudgeWorker(WorkerRoom& aWorker,
                   const EndedRow& aRow,
                   MonotonicTime aNow);
  void TakeRunning(WorkerRoom& aWorker,
                   const ListedRun& aRun,
                   MonotonicTime aNow);
  void FreeMissing(WorkerRoom& aWorker,
                   const std::vector<ListedRun>& aRunning,
                   MonotonicTime aSentAt);
  void FollowTails(WorkerRoom& aWorker,
                   const std::vector<ListedRun>& aRunning,
                   MonotonicTime aSentAt,
                   MonotonicTime aNow);
  double LearnFrom(const WorkerRoom& aWorker,
                   const ListedRun& aRun,
                   double aLoad,
                   const std::vector<FillingShare>& aFilling,
                   MonotonicTime aNow);
  std::vector<FillingShare> ReportedFilling(
    const WorkerRoom& aWorker,
    const std::vector<ListedRun>& aRunning) const;
  bool StopHeavy(const WorkerRoom& aWorker, ImageNumber aServing, int aWorst);
  void OnSilent(WorkerRoom& aWorker, OrderOutcome aOutcome);
  void ResetLife(WorkerRoom& aWorker, Birth aBirth, MonotonicTime aNow);
  void FreeAll(WorkerRoom& aWorker, const char* aWhy, MonotonicTime aEndedBy);
  void FreeLapsed(const OwnershipProof& aProof, MonotonicTime aNow);
  void FinishTask(const TaskRef& aTask);
  void FinishGang(const TaskRef& aTask, MonotonicTime aNow);
  void FollowJob(JobEntry& aJob, MonotonicTime aNow);
  void EndJob(JobEntry& aJob, JobPhase aPhase, MonotonicTime aNow);

  // Steps that wait (job_shard_waiting.cc).
  std::vector<WaitingStep> WaitingSteps(MonotonicTime aNow);
  const KnownForecast& Forecast(JobEntry& aJob, const OpenStep& aStep) const;
  MonotonicTime AcceptedAt(JobEntry& aJob, MonotonicTime aNow) const;
  bool HasWaited(const JobEntry& aJob,
                 const StepState& aStep,
                 MonotonicTime aNow) const;
  static StepRef RefOf(const JobEntry& aJob, const OpenStep& aStep);
  static MonotonicTime ExplainAt(const StepState& aStep);
  void ExplainWait(const JobEntry& aJob,
                   const StepRef& aStep,
                   MonotonicTime aNow);

  // Orders (job_shard_orders.cc).
  void TakeChanges(MonotonicTime aNow);
  void PlaceOpen(MonotonicTime aNow);
  void BeginPass(MonotonicTime aNow);
  void PlaceStep(JobEntry& aJob, OpenStep aStep, MonotonicTime aNow);
  void DropPass();
  void HoldPass();
  bool MayPlace(const TaskRef& aRef, const StepTask& aTask) const;
  bool PlaceOne(JobEntry& aJob, const TaskRef& aTask, MonotonicTime aNow);
  void PlaceGang(JobEntry& aJob, const StepRef& aStep, MonotonicTime aNow);
  PlacementQuery QueryFor(const JobEntry& aJob,
                          const StepRef& aStep,
                          MonotonicTime aNow);
  void MakeRoom(const JobEntry& aJob, const StepRef& aStep, MonotonicTime aNow);
  void StopFilling(const WorkerRoom& aWorker, const std::string& aWhy);
  void OrderStart(JobEntry& aJob,
                  const TaskRef& aTask,
                  WorkerRoom& aWorker,
                  RunNumber aRun,
                  MonotonicTime aNow);
  void OrderStop(const TaskRef& aTask, const std::string& aWhy);
  TaskOrder OrderFor(OrderKind aKind,
                     const TaskRef& aTask,
                     RunNumber aRun,
                     const WorkerRoom& aWorker) const;
  void SendStop(const TaskRef& aTask,
                RunNumber aRun,
                const WorkerRoom& aWorker);
  void SendPaces(const WorkerRoom& aWorker);
  void RepeatStops(MonotonicTime aNow);
  void MoveOffLeaving(MonotonicTime aNow);
  bool IsProvedFor(const JobEntry& aJob, MonotonicTime aNow) const;
  RunNumber NextRun(JobEntry& aJob);
  void CountAnswer(WorkerRoom& aWorker,
                   MonotonicTime aDecidedAt,
                   MonotonicTime aNow);
  void OnStartOutcome(const TaskOrder& aOrder,
                      OrderOutcome aOutcome,
                      MonotonicTime aNow);
  void OnStopOutcome(const TaskOrder& aOrder,
                     OrderOutcome aOutcome,
                     MonotonicTime aNow);

  void Free(const TaskRef& aTask);
  void Avoid(WorkerRoom& aWorker, MonotonicTime aUntil, const char* aWhy);
  const QueueRules& RulesOf(const JobEntry& aJob) const;
  static JobDecision DecisionOn(DecisionKind aKind,
                                const TaskRef& aTask,
                                const WorkerId& aWorker,
                                RunNumber aRun,
                                std::string aWhy);
  void Note(JobDecision aDecision);
  void Note(DecisionKind aKind,
            const TaskRef& aTask,
            const WorkerId& aWorker,
            RunNumber aRun,
            std::string aWhy);
  void NoteJob(DecisionKind aKind, const JobId& aJob, std::string aWhy);
  void NoteWorker(DecisionKind aKind,
                  const WorkerId& aWorker,
                  std::string aWhy);

  // TailReport is the load that a serving task's last report told of.
  struct TailReport
  {
    double mLoad = 0;
    // The most that it was lately; it falls slowly.
    double mPeak = 0;
    MonotonicTime mAt;
  };

  const JobShardOptions mOptions;
  const JobPolicies mPolicies;
  const MonotonicTime mClaimedAt;
  JobBook mBook;
  WorkerTable mWorkers;
  WorkerSearch mSearch;
  PlacementPass mPass;
  StartWindow mWindow;
  // The pass stopped since no more starts may be under way.
  bool mPassIsHeld = false;
  UsageSum mUsage;
  ClusterConfig mConfig;
  uint64_t mConfigVersion = 0;
  InterferenceBook mInterference;
  RunTimeBook mRunTimes;
  WallTime mWall;
  // The reports of the tasks of each step, by their index.
  std::map<StepRef, std::map<uint32_t, TailReport>> mTails;
  FormerWorkers mFormer;
  MonotonicTime mNoteWaitsAt;
  // What was said last of the tasks that are held back, and when to say it
  // again.
  HeldTasks mHeldSaid;
  MonotonicTime mReportHeldAt;
  bool mHeldAll = false;
  // The list of workers was read.
  bool mHasList = false;
  MonotonicTime mNoteLearnedAt;
  MonotonicTime mRetireAt;
  std::set<JobId> mCancelledEarly;
  std::set<JobId> mDirtyJobs;
  std::set<WorkerId> mDirtyWorkers;
  std::set<WorkerId> mForgotten;
  // Stops to send again when there is no sign of the end by then.
  std::map<TaskRef, MonotonicTime> mRepeat;
  std::map<ForeignRun, MonotonicTime> mForeign;
  std::vector<TaskOrder> mOrders;
  std::vector<JobDecision> mDecisions;
  bool mMostIsUnused = false;
  uint64_t mPressureVersion = 0;
  // The proof that the last decision rested on.
  MonotonicTime mProvedAt;
  // Something happened that may let a waiting task start.
  bool mChanged = true;
  MonotonicTime mPlaceAgainAt;
  bool mFenced = false;
  uint64_t mLastListNumber = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_SHARD_H_
