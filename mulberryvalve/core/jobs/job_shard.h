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
  Milliseconds mNewJobProofLimit{ 1500 };
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
  static constexpr Milliseconds kStopResendInterval{ 700 };

  struct UnwantedRun
  {
    TaskRef mTask;
    RunNumber mRun;
    WorkerId mWorker;

    friend bool operator<(const UnwantedRun& aLeft, const UnwantedRun& aRight)
    {
      return std::tie(aLeft.mTask, aLeft.mRun, aLeft.mWorker) <
             std::tie(aRight.mTask, aRight.mRun, aRight.mWorker);
    }
  };

  // BlockedTaskCounts counts what waits for workers of former owners.
  struct BlockedTaskCounts
  {
    size_t mJobs = 0;
    size_t mTasks = 0;
    size_t mWorkers = 0;

    friend bool operator==(const BlockedTaskCounts& aLeft,
                           const BlockedTaskCounts& aRight)
    {
      return std::tie(aLeft.mJobs, aLeft.mTasks, aLeft.mWorkers) ==
             std::tie(aRight.mJobs, aRight.mTasks, aRight.mWorkers);
    }
  };

  // ReportedRun is a row of a worker's list, with the task that it names.
  struct ReportedRun
  {
    const RunningRow& mRow;
    TaskPlace mPlace;
  };

  std::vector<JobId> FindRetirableJobs(MonotonicTime aNow) const;
  void OnWorkerRecordDurable(const KnownWorker& aWorker);

  // Notes for the successor, and those of the former owner
  // (job_shard_notes.cc).
  KnownWorker BuildWorkerRecord(const WorkerRoom& aWorker,
                                MonotonicTime aNow) const;
  KnownWorker TakeWorkerRecord(WorkerRoom& aWorker, MonotonicTime aNow);
  void RevokeHandoverNote(WorkerRoom& aWorker);
  void RefreshHandoverNotes(MonotonicTime aNow);
  void RefreshInheritedNotes(MonotonicTime aNow);
  void RefreshNoteOf(const WorkerRoom& aWorker, bool aAgain);
  void RemoveGoneWorkers(MonotonicTime aNow);
  bool IsGone(const WorkerRoom& aWorker, MonotonicTime aNow) const;
  bool IsJobBlocked(const JobEntry& aJob, MonotonicTime aNow) const;
  bool IsStepBlocked(const JobEntry& aJob,
                     const StepRef& aStep,
                     MonotonicTime aNow) const;
  BlockedTaskCounts CountBlockedTasks() const;
  void ReportBlockedTasks(MonotonicTime aNow);

  // Ends and lists (job_shard_lists.cc).
  void ProcessReport(WorkerRoom& aWorker,
                     const HoldReply& aReply,
                     MonotonicTime aSentAt,
                     MonotonicTime aNow);
  void ProcessEnd(WorkerRoom& aWorker,
                  const EndedRow& aRow,
                  MonotonicTime aNow);
  void LogEnd(const EndedRow& aRow, const WorkerId& aWorker);
  void RecordEnd(const TaskPlace& aPlace,
                 const EndedRow& aRow,
                 const WorkerId& aWorker);
  void LearnRunTime(const TaskPlace& aPlace,
                    const EndedRow& aRow,
                    MonotonicTime aNow);
  void TrackWorkerFailures(WorkerRoom& aWorker,
                           const EndedRow& aRow,
                           MonotonicTime aNow);
  void ProcessRunning(WorkerRoom& aWorker,
                      const ReportedRun& aRun,
                      MonotonicTime aNow);
  void ReleaseMissingTasks(WorkerRoom& aWorker,
                           const std::vector<ReportedRun>& aRunning,
                           MonotonicTime aSentAt);
  void UpdatePacing(WorkerRoom& aWorker,
                    const std::vector<ReportedRun>& aRunning,
                    MonotonicTime aSentAt,
                    MonotonicTime aNow);
  double LearnInterference(const WorkerRoom& aWorker,
                           const ReportedRun& aRun,
                           double aLoad,
                           const std::vector<FillingShare>& aFilling,
                           MonotonicTime aNow);
  std::vector<FillingShare> ReportedFillingShares(
    const WorkerRoom& aWorker,
    const std::vector<ReportedRun>& aRunning) const;
  bool StopDisturbingTasks(const WorkerRoom& aWorker,
                           ImageNumber aServing,
                           int aWorst);
  void OnWorkerSilent(WorkerRoom& aWorker, OrderOutcome aOutcome);
  void ResetIncarnation(WorkerRoom& aWorker, Birth aBirth, MonotonicTime aNow);
  void ReleaseAllTasks(WorkerRoom& aWorker,
                       const char* aWhy,
                       MonotonicTime aEndedBy);
  void ReleaseExpiredWorkers(const OwnershipProof& aProof, MonotonicTime aNow);
  void FinishTask(const TaskRef& aTask);
  void FinishGang(const TaskRef& aTask, MonotonicTime aNow);
  void UpdateJobPhase(JobEntry& aJob, MonotonicTime aNow);
  void EndJob(JobEntry& aJob, JobPhase aPhase, MonotonicTime aNow);

  // Steps that wait (job_shard_waiting.cc).
  std::vector<WaitingStep> CollectWaitingSteps(MonotonicTime aNow);
  const KnownForecast& Forecast(JobEntry& aJob, const OpenStep& aStep) const;
  MonotonicTime AcceptedAt(JobEntry& aJob, MonotonicTime aNow) const;
  bool HasWaitedTooLong(const JobEntry& aJob,
                        const StepState& aStep,
                        MonotonicTime aNow) const;
  static StepRef StepRefOf(const JobEntry& aJob, const OpenStep& aStep);
  static MonotonicTime NextWaitLogAt(const StepState& aStep);
  void LogWaitReason(const JobEntry& aJob,
                     const StepRef& aStep,
                     MonotonicTime aNow);

  // Orders (job_shard_orders.cc).
  void ApplyWorkerChanges(MonotonicTime aNow);
  void RunPlacement(MonotonicTime aNow);
  void BeginPass(MonotonicTime aNow);
  void PlaceStep(JobEntry& aJob, OpenStep aStep, MonotonicTime aNow);
  void AbortPass();
  void PausePass();
  bool MayPlace(const TaskRef& aRef, const StepTask& aTask) const;
  bool PlaceTask(JobEntry& aJob, const TaskRef& aTask, MonotonicTime aNow);
  void PlaceGang(JobEntry& aJob, const StepRef& aStep, MonotonicTime aNow);
  PlacementQuery MakePlacementQuery(const JobEntry& aJob,
                                    const StepRef& aStep,
                                    MonotonicTime aNow);
  void PreemptForLasting(const JobEntry& aJob,
                         const StepRef& aStep,
                         MonotonicTime aNow);
  void StopFillingTasks(const WorkerRoom& aWorker, const std::string& aWhy);
  void OrderStart(JobEntry& aJob,
                  const TaskRef& aTask,
                  WorkerRoom& aWorker,
                  RunNumber aRun,
                  MonotonicTime aNow);
  void OrderStop(const TaskRef& aTask, const std::string& aWhy);
  TaskOrder MakeOrder(OrderKind aKind,
                      const TaskRef& aTask,
                      RunNumber aRun,
                      const WorkerRoom& aWorker) const;
  void QueueStop(const TaskRef& aTask,
                 RunNumber aRun,
                 const WorkerRoom& aWorker);
  void QueuePaceOrders(const WorkerRoom& aWorker);
  void ResendStops(MonotonicTime aNow);
  void EvacuateLeavingWorkers(MonotonicTime aNow);
  bool IsOwnershipProvedFor(const JobEntry& aJob, MonotonicTime aNow) const;
  RunNumber NextRunNumber(JobEntry& aJob);
  void OnStartAnswered(WorkerRoom& aWorker,
                       MonotonicTime aDecidedAt,
                       MonotonicTime aNow);
  void OnStartOutcome(const TaskOrder& aOrder,
                      OrderOutcome aOutcome,
                      MonotonicTime aNow);
  void OnStopOutcome(const TaskOrder& aOrder,
                     OrderOutcome aOutcome,
                     MonotonicTime aNow);

  void ReleaseTask(const TaskRef& aTask);
  void AvoidWorker(WorkerRoom& aWorker, MonotonicTime aUntil, const char* aWhy);
  const QueueRules& RulesOf(const JobEntry& aJob) const;
  static JobDecision MakeTaskDecision(DecisionKind aKind,
                                      const TaskRef& aTask,
                                      const WorkerId& aWorker,
                                      RunNumber aRun,
                                      std::string aWhy);
  void LogDecision(JobDecision aDecision);
  void LogDecision(DecisionKind aKind,
                   const TaskRef& aTask,
                   const WorkerId& aWorker,
                   RunNumber aRun,
                   std::string aWhy);
  void LogJobDecision(DecisionKind aKind, const JobId& aJob, std::string aWhy);
  void LogWorkerDecision(DecisionKind aKind,
                         const WorkerId& aWorker,
                         std::string aWhy);

  // ServiceLoad is the load that a serving task's last report told of.
  struct ServiceLoad
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
  bool mIsPassPaused = false;
  UsageSum mUsage;
  ClusterConfig mConfig;
  uint64_t mConfigVersion = 0;
  InterferenceBook mInterference;
  RunTimeBook mRunTimes;
  WallTime mWall;
  // The reports of the tasks of each step, by their index.
  std::map<StepRef, std::map<uint32_t, ServiceLoad>> mServiceLoads;
  InheritedWorkers mInheritedWorkers;
  MonotonicTime mRefreshNotesAt;
  // What was said last of the tasks that are held back, and when to say it
  // again.
  BlockedTaskCounts mLastReportedCounts;
  MonotonicTime mReportBlockedAt;
  bool mReportedAllBlocked = false;
  // The list of workers was read.
  bool mHasWorkerList = false;
  MonotonicTime mSaveLearnedAt;
  MonotonicTime mRetireJobsAt;
  std::set<JobId> mCancelledUnknownJobs;
  std::set<JobId> mDirtyJobs;
  std::set<WorkerId> mDirtyWorkers;
  std::set<WorkerId> mForgotten;
  // Stops to send again when there is no sign of the end by then.
  std::map<TaskRef, MonotonicTime> mResendStopAt;
  std::map<UnwantedRun, MonotonicTime> mForeign;
  std::vector<TaskOrder> mOrders;
  std::vector<JobDecision> mDecisions;
  bool mIsMostlyUnused = false;
  uint64_t mPressureVersion = 0;
  // The proof that the last decision rested on.
  MonotonicTime mProvedAt;
  // Something happened that may let a waiting task start.
  bool mNeedsPlacement = true;
  MonotonicTime mRetryPlacementAt;
  bool mFenced = false;
  uint64_t mLastListNumber = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_JOB_SHARD_H_
