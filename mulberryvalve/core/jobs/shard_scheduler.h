// ShardScheduler: the scheduling decisions of a shard's owner during one epoch:
// which tasks to start on which worker, which to stop, and what to append to
// the log.
#ifndef MULBERRYVALVE_CORE_JOBS_SHARD_SCHEDULER_H_
#define MULBERRYVALVE_CORE_JOBS_SHARD_SCHEDULER_H_

#include "mulberryvalve/core/jobs/account_scheduling.h"
#include "mulberryvalve/core/jobs/cluster_config.h"
#include "mulberryvalve/core/jobs/cluster_usage.h"
#include "mulberryvalve/core/jobs/decision_log.h"
#include "mulberryvalve/core/jobs/former_owners.h"
#include "mulberryvalve/core/jobs/held_starts.h"
#include "mulberryvalve/core/jobs/held_task_report.h"
#include "mulberryvalve/core/jobs/inherited_workers.h"
#include "mulberryvalve/core/jobs/job_placement_policy.h"
#include "mulberryvalve/core/jobs/job_retention.h"
#include "mulberryvalve/core/jobs/job_table.h"
#include "mulberryvalve/core/jobs/placement_pass.h"
#include "mulberryvalve/core/jobs/progress_batch.h"
#include "mulberryvalve/core/jobs/queueing_policy.h"
#include "mulberryvalve/core/jobs/room_exchange.h"
#include "mulberryvalve/core/jobs/run_time_estimator.h"
#include "mulberryvalve/core/jobs/service_load.h"
#include "mulberryvalve/core/jobs/shard_scheduler_options.h"
#include "mulberryvalve/core/jobs/start_window.h"
#include "mulberryvalve/core/jobs/unread_jobs.h"
#include "mulberryvalve/core/jobs/unrecorded_start_list.h"
#include "mulberryvalve/core/jobs/unwanted_run.h"
#include "mulberryvalve/core/jobs/used_worker_record.h"
#include "mulberryvalve/core/jobs/worker_search.h"
#include "mulberryvalve/core/jobs/worker_table.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryvalve {

// Not thread-safe: the owner holds the shard's lock. ShardScheduler does no
// I/O: it returns the orders to send, and the replies are passed to OnOrder and
// OnRenewalReply.
class ShardScheduler
{
public:
  // aClaimedAt is when the claim of the epoch became durable.
  ShardScheduler(ShardSchedulerOptions aOptions,
                 SchedulingPolicies aPolicies,
                 MonotonicTime aClaimedAt);

  // RestoreJob restores a job that was submitted before the claim, with its
  // durable progress or null. RestoreWorker restores a worker that former
  // owners used. Restore all workers before the first job.
  void RestoreJob(JobGraph aGraph, const JobRecord* aRecord);
  void RestoreWorker(const UsedWorkerRecord& aWorker);

  // Restores a claim of an owner before this one. Call before the first
  // Decide. OnFormerOwnerProof records that the proofs that bound the leases of
  // a former owner were recorded by aProvedBy.
  void RestoreFormerOwner(FormerOwner aOwner);
  void OnFormerOwnerProof(Epoch aEpoch,
                          MonotonicTime aProvedBy,
                          RunsEndEvidence aEvidence);

  // Returns when the runs of each former owner end.
  std::vector<RunsEnd> EndsOfFormerRuns() const
  {
    return mFormerOwners.EndsOfRuns(mWorkers);
  }

  // Returns for how long after aNow runs of each former owner may go on, as far
  // as that is known: what a successor is to know.
  std::map<Epoch, Milliseconds> FormerRunsLeft(MonotonicTime aNow) const;

  // Returns whether this owner has used, and will use, no worker whose durable
  // record does not name it, and has appended since its claim.
  bool RecordsUse() const { return mHasAppended && mUsedUnrecorded.empty(); }

  // Returns the former owners whose answers would shorten a wait or release a
  // task, and what to ask of them; then call OnFormerOwnerEnded. Once there are
  // none, there will be none later.
  std::vector<FormerOwnerQuestion> FormerOwnersToAsk() const;

  // Records that a former owner has ended, and what it told.
  void OnFormerOwnerEnded(const FormerOwnerEnd& aEnd);

  // Returns what this owner did on its workers. Call it once nothing is sent
  // any more and no reply can arrive.
  OwnershipSummary Summary() const;

  // Restores the run times and the interference that former owners learned.
  void RestoreLearned(const LearnedRecord& aLearned);

  // OnJobSubmitted and OnJobCancelled handle submissions and cancellations in
  // the order of the log. Duplicates are ignored. The job was certainly not on
  // the log before aNotBefore, and was read at aNow.
  void OnJobSubmitted(JobGraph aGraph,
                      MonotonicTime aNotBefore,
                      MonotonicTime aNow);
  void OnJobCancelled(const JobId& aJob, MonotonicTime aNow);

  // Records that every job that was on the log at aReadUpTo has been passed to
  // RestoreJob or OnJobSubmitted.
  void OnIntakeRead(MonotonicTime aReadUpTo)
  {
    mUnreadJobs.OnLogRead(aReadUpTo);
  }

  // Applies a new configuration.
  void OnConfig(const ClusterConfig& aConfig);

  // Handles the complete list of the shard's workers.
  void OnWorkerList(const std::vector<WorkerInfo>& aWorkers,
                    MonotonicTime aNow);

  // Returns the lease renewal that is due for a worker, or nothing if the
  // worker is unknown. aMayRenew tells whether ownership is proved.
  std::optional<RenewalRequest> NextRenewal(const WorkerId& aWorker,
                                            bool aMayRenew,
                                            MonotonicTime aNow);

  // Handles the reply to aOrder, which was sent at aSentAt.
  void OnRenewalReply(const RenewalRequest& aOrder,
                      const RenewalReply& aReply,
                      MonotonicTime aSentAt,
                      MonotonicTime aNow);

  // Handles the reply to aOrder.
  void OnOrder(const TaskOrder& aOrder,
               const OrderReply& aReply,
               MonotonicTime aNow);

  // Returns whether an order is still to be sent. A start may have become
  // obsolete since it was decided; stops never do.
  bool IsStillNeeded(const TaskOrder& aOrder, MonotonicTime aNow) const;

  // Decide leaves the remaining waiting steps to the next call once it has
  // checked this many workers. It always finishes the step that it is at.
  static constexpr size_t kMaxWorkersCheckedPerDecide = 4000;

  // Returns the orders to send now.
  std::vector<TaskOrder> Decide(const OwnershipProof& aProof,
                                MonotonicTime aNow,
                                WallTime aWallTime);

  // Returns whether the last call of Decide left steps to the next one, which
  // should then follow soon even if nothing else happens. Steps that wait for
  // replies to starts do not count.
  bool HasMoreToPlace() const { return mPass.HasNext() && !mWindow.IsFull(); }

  // Returns the size and the use of the window of unanswered starts.
  StartWindowStats TakeWindowStats() { return mWindow.TakeStats(); }

  // Returns the tasks that are held back for workers of former owners, and how
  // waits for these workers ended since the last call.
  HeldTaskStats TakeHeldTaskStats(MonotonicTime aNow)
  {
    return mHeldTasks.TakeStats(aNow);
  }

  // TakeRetirableJobs returns jobs that are over, and cancelled ones that never
  // came, whose retention has ended: at most some, and not on every call.
  // Remove them from the intake and call OnRemovedFromIntake once that is
  // durable. Their progress goes only then, as a job without it looks new.
  std::vector<JobId> TakeRetirableJobs(MonotonicTime aNow);
  void OnRemovedFromIntake(const std::vector<JobId>& aJobs, MonotonicTime aNow);

  // Restores the progress of a job that a former owner removed from the intake.
  void RestoreProgressOffIntake(const JobRecord& aRecord);

  // TakeProgress returns what changed since the last call. Call OnDurable once
  // the batch is on the log, or for each part of it in order; the next batch
  // may be appended only after that. Then call Decide soon: starts wait for it.
  ProgressBatch TakeProgress(MonotonicTime aNow);
  void OnDurable(const ProgressBatch& aBatch);

  // Tells whether TakeProgress would return something that needs an append, and
  // whether starts wait for it.
  AppendDemand NeededAppend() const;
  bool NeedsAppend() const { return NeededAppend() != AppendDemand::kNone; }

  // Returns the phase to report to callers, or nothing if the job is unknown.
  std::optional<JobPhase> Phase(const JobId& aJob) const;

  // Returns when the cancellation of a job was read, or nothing if it was not
  // cancelled.
  std::optional<MonotonicTime> CancelledAt(const JobId& aJob) const;

  // Returns the number of jobs of a queue of which no task was started.
  size_t Waiting(const QueueId& aQueue) const
  {
    return mJobTable.Waiting(aQueue);
  }

  // Returns whether a worker has accepted a newer owner: this owner must stop.
  bool IsFenced() const { return mIsFenced; }
  // Returns the decisions since the last call, oldest first.
  std::vector<JobDecision> TakeDecisions() { return mDecisions.Take(); }

  // Returns what was learned about images (interference) and queues (run
  // times).
  LearnedRecord Learned() const;

  // What the tasks of client accounts use, a report of it by account, and how
  // many workers were evaluated for tasks.
  const AccountUsage& Accounts() const { return mAccounts.Usage(); }
  std::vector<AccountLoad> AccountLoads() const { return mAccounts.Loads(); }
  size_t PlacementEvaluations() const { return mSearch.EvaluationCount(); }
  // Returns what is given to other shards and asked of them.
  RoomExchange& Room() { return mRoom; }
  const RoomExchange& Room() const { return mRoom; }
  // Return the current state of the workers, and what is kept of jobs that are
  // over.
  const WorkerTable& Workers() const { return mWorkers; }
  const JobRetention& Retention() const { return mRetention; }

private:
  // A stop whose task is still not reported as ended is sent again after this.
  static constexpr Milliseconds kStopResendInterval{ 700 };

  // ReportedRun is a run that a worker reported, with the task that it belongs
  // to.
  struct ReportedRun
  {
    const RunReport& mRow;
    TaskLookup mPlace;
  };

  void OnWorkerRecordDurable(const UsedWorkerRecord& aWorker);
  // How long the intake holds a job (shard_scheduler_retention.cc).
  void KeepOver(JobEntry& aJob, MonotonicTime aNow);
  void OnCopyRead(JobEntry& aJob, MonotonicTime aNow);
  void OnRetired(const JobId& aJob);

  // Handover notes for the successor, and waits inherited from the former owner
  // (shard_scheduler_handover.cc). A handover note is a worker's record that
  // says which tasks may run there, or for how long at most.
  std::optional<Epoch> LastUserOf(const WorkerEntry& aWorker,
                                  const InheritedWorker* aInherited) const;
  UsedWorkerRecord BuildWorkerRecord(const WorkerEntry& aWorker,
                                     MonotonicTime aNow) const;
  UsedWorkerRecord TakeWorkerRecord(WorkerEntry& aWorker, MonotonicTime aNow);
  void DeclareUse(WorkerEntry& aWorker);
  void UseUnrecordedIfAllowed(WorkerEntry& aWorker);
  void RevokeHandoverNote(WorkerEntry& aWorker);
  void RefreshHandoverNotes(MonotonicTime aNow);
  void RefreshInheritedNotes(MonotonicTime aNow);
  void RefreshNoteOf(const WorkerEntry& aWorker, bool aRefreshDue);
  Milliseconds MaxFormerRuns() const;
  void ShortenInheritedWaits();
  bool HasOpenStart(const WorkerEntry& aWorker) const;
  void RemoveEndedClaims(MonotonicTime aNow);
  void RemoveGoneWorkers(MonotonicTime aNow);
  void RemoveWorker(const WorkerId& aWorker);
  Epoch TokenFor(const WorkerEntry& aWorker) const;
  bool IsGone(const WorkerEntry& aWorker, MonotonicTime aNow) const;
  bool IsJobBlocked(const JobEntry& aJob, MonotonicTime aNow) const;
  bool IsStepBlocked(const JobEntry& aJob,
                     const StepRef& aStep,
                     MonotonicTime aNow) const;
  void ReportHeldTasks(MonotonicTime aNow);

  // Worker reports (shard_scheduler_reports.cc).
  void ProcessReport(WorkerEntry& aWorker,
                     const RenewalReply& aReply,
                     MonotonicTime aSentAt,
                     MonotonicTime aNow);
  bool IsJobKnown(const TaskRef& aTask) const;
  void ApplyKeptReports(JobEntry& aJob, MonotonicTime aNow);
  EndNumber LastSettledEnd(const WorkerEntry& aWorker) const;
  void ProcessRunning(WorkerEntry& aWorker,
                      const ReportedRun& aRun,
                      MonotonicTime aNow);
  void StopUnwantedRun(const WorkerEntry& aWorker,
                       const RunReport& aRow,
                       MonotonicTime aNow);
  void ReleaseMissingTasks(WorkerEntry& aWorker,
                           const std::vector<ReportedRun>& aRunning,
                           MonotonicTime aSentAt);
  void UpdatePacing(WorkerEntry& aWorker,
                    const std::vector<ReportedRun>& aRunning,
                    MonotonicTime aSentAt,
                    MonotonicTime aNow);
  double LearnInterference(
    const WorkerEntry& aWorker,
    const ReportedRun& aRun,
    double aLoad,
    const std::vector<BestEffortShare>& aBestEffortShares,
    MonotonicTime aNow);
  std::vector<BestEffortShare> ReportedBestEffortShares(
    const WorkerEntry& aWorker,
    const std::vector<ReportedRun>& aRunning) const;
  bool StopDisturbingTasks(const WorkerEntry& aWorker,
                           ImageNumber aServing,
                           int aTailPercent);
  void OnUnnamedIncarnation(WorkerEntry& aWorker);
  void OnWorkerSilent(WorkerEntry& aWorker, OrderOutcome aOutcome);
  void ResetIncarnation(WorkerEntry& aWorker,
                        WorkerIncarnation aBirth,
                        MonotonicTime aNow);
  void ReleaseTasksOfFormerIncarnation(WorkerEntry& aWorker,
                                       MonotonicTime aNow);
  void ReleaseLostTask(const TaskRef& aTask,
                       const char* aWhy,
                       MonotonicTime aEndedBy);
  void ReleaseAllTasks(WorkerEntry& aWorker,
                       const char* aWhy,
                       MonotonicTime aEndedBy);
  void ReleaseExpiredWorkers(const OwnershipProof& aProof, MonotonicTime aNow);

  // Ends of runs (shard_scheduler_ends.cc).
  void ProcessEnd(WorkerEntry& aWorker,
                  const RunEndReport& aRow,
                  MonotonicTime aNow);
  void ApplyEnd(WorkerEntry& aWorker,
                const RunEndReport& aRow,
                MonotonicTime aNow);
  void LogEnd(const RunEndReport& aRow, const WorkerId& aWorker);
  void RecordEnd(const TaskLookup& aPlace,
                 const RunEndReport& aRow,
                 const WorkerId& aWorker);
  void LearnRunTime(const TaskLookup& aPlace,
                    const RunEndReport& aRow,
                    MonotonicTime aNow);
  void TrackWorkerFailures(WorkerEntry& aWorker,
                           const RunEndReport& aRow,
                           MonotonicTime aNow);
  void BeginTrial(WorkerEntry& aWorker, MonotonicTime aNow);
  void EndTrial(WorkerEntry& aWorker, MonotonicTime aNow);
  void FinishTask(const TaskRef& aTask);
  void FinishGang(const TaskRef& aTask, MonotonicTime aNow);
  void UpdateJobPhase(JobEntry& aJob, MonotonicTime aNow);
  void EndJob(JobEntry& aJob, JobPhase aPhase, MonotonicTime aNow);

  // Waiting steps (shard_scheduler_waiting.cc).
  std::vector<WaitingStep> CollectWaitingSteps(MonotonicTime aNow);
  const CachedForecast& Forecast(JobEntry& aJob,
                                 const ReadyStepKey& aStep) const;
  MonotonicTime AcceptedAt(JobEntry& aJob, MonotonicTime aNow) const;
  bool HasWaitedTooLong(const JobEntry& aJob,
                        const StepState& aStep,
                        MonotonicTime aNow) const;
  static StepRef StepRefOf(const JobEntry& aJob, const ReadyStepKey& aStep);
  static MonotonicTime NextWaitLogAt(const StepState& aStep);
  void LogWaitReason(const JobEntry& aJob,
                     const StepRef& aStep,
                     MonotonicTime aNow);

  // Orders and placement (shard_scheduler_placement.cc).
  void ApplyWorkerChanges(MonotonicTime aNow);
  void RunPlacement(MonotonicTime aNow);
  void BeginPass(MonotonicTime aNow);
  void PlaceStep(JobEntry& aJob, ReadyStepKey aStep, MonotonicTime aNow);
  void AbortPass();
  void PausePass();
  bool PlaceTasks(JobEntry& aJob,
                  const StepRef& aStep,
                  uint32_t aFirst,
                  uint32_t aInterval,
                  MonotonicTime aNow);
  bool CanPlace(const JobEntry& aJob, const TaskRef& aTask) const;
  bool IsTaskBlocked(const JobEntry& aJob, const TaskRef& aTask) const;
  bool PlaceTask(JobEntry& aJob, const TaskRef& aTask, MonotonicTime aNow);
  void PlaceGang(JobEntry& aJob, const StepRef& aStep, MonotonicTime aNow);
  void StopGang(const StepRef& aStep);
  PlacementQuery MakePlacementQuery(const JobEntry& aJob,
                                    const StepRef& aStep,
                                    MonotonicTime aNow);
  void PreemptForLongRunning(const JobEntry& aJob,
                             const StepRef& aStep,
                             MonotonicTime aNow);
  void StopBestEffortTasks(const WorkerEntry& aWorker, const std::string& aWhy);
  void OrderStop(const TaskRef& aTask, const std::string& aWhy);
  TaskOrder MakeOrder(OrderKind aKind,
                      const TaskRef& aTask,
                      RunNumber aRun,
                      const WorkerEntry& aWorker) const;
  void QueueStop(const TaskRef& aTask,
                 RunNumber aRun,
                 const WorkerEntry& aWorker);
  void QueuePaceOrders(const WorkerEntry& aWorker,
                       const std::vector<ReportedRun>& aRunning);
  void QueuePaceOrder(const WorkerEntry& aWorker,
                      const TaskRef& aTask,
                      const TaskLookup& aPlace);
  void ResendStops(MonotonicTime aNow);
  void EvacuateLeavingWorkers(MonotonicTime aNow);
  bool IsOwnershipProvedFor(const JobEntry& aJob, MonotonicTime aNow) const;
  RunNumber NextRunNumber(JobEntry& aJob);
  void OnStartAnswered(WorkerEntry& aWorker,
                       MonotonicTime aDecidedAt,
                       MonotonicTime aNow);
  void LearnIncarnation(WorkerEntry& aWorker,
                        WorkerIncarnation aIncarnation,
                        MonotonicTime aNow);
  void OnStartOutcome(const TaskOrder& aOrder,
                      const OrderReply& aReply,
                      MonotonicTime aNow);
  void OnStartAccepted(const TaskOrder& aOrder,
                       WorkerIncarnation aIncarnation,
                       MonotonicTime aNow);
  void OnStopOutcome(const TaskOrder& aOrder,
                     OrderOutcome aOutcome,
                     MonotonicTime aNow);

  // Starts (shard_scheduler_starts.cc).
  void AssignTask(const TaskRef& aTask, WorkerEntry& aWorker, RunNumber aRun);
  void OrderStart(JobEntry& aJob,
                  const TaskRef& aTask,
                  WorkerEntry& aWorker,
                  RunNumber aRun,
                  MonotonicTime aNow);
  void HandleHeldStarts(bool aMayStart, MonotonicTime aNow);
  void SendStarts(MonotonicTime aNow);
  void SendStart(TaskOrder aOrder, MonotonicTime aNow);
  bool MaySend(const HeldStart& aStart) const;
  bool IsPermitted(const TaskOrder& aOrder, const WorkerInfo& aWorker) const;
  bool IsStartPossible(const TaskOrder& aOrder, MonotonicTime aNow) const;
  void DropHeldStart(const TaskRef& aTask, const char* aWhy);
  void DropHeldStartsOn(const WorkerEntry& aWorker, const char* aWhy);
  void ForgetSettledWorkers();
  void RestorePossibleWorkers(const JobEntry& aJob, const TaskRecord& aRecord);

  void ReleaseTask(const TaskRef& aTask);
  void AvoidWorker(WorkerEntry& aWorker,
                   MonotonicTime aUntil,
                   const char* aWhy);
  const QueueRules& RulesOf(const JobEntry& aJob) const;

  const ShardSchedulerOptions mOptions;
  const SchedulingPolicies mPolicies;
  const MonotonicTime mClaimedAt;
  JobTable mJobTable;
  WorkerTable mWorkers;
  WorkerSearch mSearch;
  PlacementPass mPass;
  StartWindow mWindow;
  // The pass is paused because the window of unanswered starts is full.
  bool mIsPassPaused = false;
  ClusterUsage mUsage;
  ClusterConfig mConfig;
  uint64_t mConfigVersion = 0;
  InterferenceEstimator mInterference;
  RunTimeEstimator mRunTimes;
  WallTime mWallTime;
  ServiceLoadTable mServiceLoads;
  FormerOwners mFormerOwners;
  // More is known of them than the waits reflect.
  bool mFormerOwnersChanged = false;
  std::vector<Epoch> mEndedClaims;
  InheritedWorkers mInheritedWorkers;
  AccountScheduling mAccounts;
  HeldTaskReport mHeldTasks;
  HeldStarts mHeldStarts;
  UnrecordedStartList mUnrecordedStarts;
  UnreadJobs mUnreadJobs;
  JobRetention mRetention;
  RoomExchange mRoom;
  MonotonicTime mRefreshNotesAt;
  // A list of workers was received.
  bool mHasWorkerList = false;
  MonotonicTime mSaveLearnedAt;
  MonotonicTime mRetireJobsAt;
  std::set<JobId> mDirtyJobs;
  std::set<WorkerId> mDirtyWorkers;
  std::set<WorkerId> mRemovedWorkers;
  // The log has taken an append of this owner after its claim.
  bool mHasAppended = false;
  // Where leases were renewed before the worker's record named this owner.
  std::set<WorkerId> mUsedUnrecorded;
  // When to send a stop again unless the end was reported by then.
  std::map<TaskRef, MonotonicTime> mResendStopAt;
  // When to send the stop of an unwanted run again.
  std::map<UnwantedRun, MonotonicTime> mUnwantedStopAt;
  // The workers to free for lasting tasks after the present pass.
  std::vector<WorkerId> mPreempted;
  std::vector<TaskOrder> mPendingOrders;
  DecisionLog mDecisions;
  // Most of the workers' processors were unused when the pass began.
  bool mIsMostlyUnused = false;
  // The version of mInterference that the remembered refusals are based on.
  uint64_t mPressureVersion = 0;
  // The proof of ownership that the last call of Decide used.
  MonotonicTime mProvedAt;
  // Something changed that may allow a waiting task to start.
  bool mNeedsPlacement = true;
  MonotonicTime mRetryPlacementAt;
  bool mIsFenced = false;
  uint64_t mLastReportNumber = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_SHARD_SCHEDULER_H_
