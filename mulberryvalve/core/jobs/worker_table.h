// The workers of a shard with their leases and the tasks charged to them.
#ifndef MULBERRYVALVE_CORE_JOBS_WORKER_TABLE_H_
#define MULBERRYVALVE_CORE_JOBS_WORKER_TABLE_H_

#include "mulberryvalve/core/jobs/interference_estimator.h"
#include "mulberryvalve/core/jobs/pace_control.h"
#include "mulberryvalve/core/jobs/worker_messages.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryvalve {

// LeaseTerms are the parameters of leases, which expire by the workers' own
// clocks.
struct LeaseTerms
{
  // Duration of a lease after each renewal; less than the longest lease that a
  // worker grants.
  Milliseconds mLength{ 5500 };
  // The longest lease that a worker grants, however much is asked for.
  Milliseconds mMaxGranted{ 6000 };
  // How long a worker delays the answer to a renewal until a run ends.
  Milliseconds mWait{ 1500 };
  // The same on workers with both best-effort and serving tasks, so that
  // reports on the latter arrive twice a second; and if none of these is near
  // its target, so that a rise is noticed within a second.
  Milliseconds mPacingWait{ 400 };
  Milliseconds mCalmPacingWait{ 900 };
  // How much slower than real time a worker's clock may run, in thousandths.
  int64_t mClockDriftPerMille = 20;
  // Added to the end of a lease before it is considered expired.
  Milliseconds mMargin{ 150 };
  // Every lease ends by this time on the worker's clock after the owner's last
  // recorded proof. Longer than a store outage of 9 s.
  Milliseconds mMaxRunsAfterProof{ 9500 };
};

// WorkerEntry is the owner's state of one worker.
struct WorkerEntry
{
  WorkerInfo mInfo;
  // Its bucket for starts without a record.
  size_t mBucket = 0;
  // False if the worker has disappeared from the list of workers.
  bool mListed = true;
  // The current incarnation of the worker has sent its run lists to this owner.
  bool mHasReportedRuns = false;
  // The last renewal was not answered; nothing is started on the worker until
  // it answers.
  bool mSilent = false;
  // The worker is on the log, so that the next owner queries it before it acts.
  bool mRecorded = false;
  // Its record is to name this owner as its last user, and does so on the log.
  bool mIsUseDeclared = false;
  bool mIsUseRecorded = false;
  // This owner renews leases there although its record does not name it yet.
  bool mIsUsedUnrecorded = false;
  // The record on the log is a handover note: it names the tasks that may
  // run there, or limits how long they may. It must be withdrawn before
  // anything is started there.
  bool mHasHandoverNote = false;
  // The record on the log limits how long the next owner waits for this worker.
  // It must be withdrawn before a lease is renewed there.
  bool mNoteLimitsWait = false;
  // The record on the log says that the next owner need not wait.
  bool mNoteSaysNoWait = false;
  // Number of tasks named in the record.
  size_t mNotedTaskCount = 0;
  WorkerIncarnation mWorkerIncarnation;
  // The last reading of the worker's clock, and when it arrived here.
  std::optional<WorkerTime> mClock;
  MonotonicTime mClockReceivedAt;
  // The latest lease end requested in any message to the worker.
  WorkerTime mLeaseUntil;
  // When the leases of all runs there have certainly expired.
  MonotonicTime mLeasesExpiredAt;
  // Numbers of the last end processed here, and of the last one that is durable
  // on the log too.
  EndNumber mLastProcessedEnd;
  EndNumber mLastDurableEnd;
  // Nothing is started on the worker before this time.
  MonotonicTime mAvoidUntil;
  // From then on a lasting task that no other worker can take may be tried.
  MonotonicTime mRetryAt;
  int mFailuresInRow = 0;
  // Failures before this time are of runs that began before it was avoided.
  MonotonicTime mCountFailuresFrom;
  // A task tries the worker, which failed all before, until then; others may be
  // started after that. Empty if none has tried it since it failed last.
  std::optional<MonotonicTime> mTrialUntil;
  // It is about to be given to another shard, so nothing is started there.
  bool mIsGiven = false;
  // Since when nothing of this shard runs there; looked at where there are
  // several shards.
  std::optional<MonotonicTime> mIdleSince;
  // What is added to the owner's epoch in calls to the worker.
  uint64_t mTokenBase = 0;
  // When a leaving worker may be gone, by its last report.
  std::optional<MonotonicTime> mLeavesAt;
  // The worker is in the list that WorkerTable::TakeChanged returns next.
  bool mIsInChangedList = false;
  // The tasks charged to the worker.
  std::set<TaskRef> mTasks;
  Resources mCharged;
  // Demand of runs on the worker that are not tasks of this owner; they are
  // being stopped. If the demand of such a run is unknown, nothing is started
  // beside it.
  Resources mForeignDemand;
  bool mForeignDemandUnknown = false;
  std::set<TaskRef> mForeignRuns;
  // Starts sent to the worker and not answered, and how many of them no longer
  // count as in flight because the worker fell silent.
  size_t mStartsInFlight = 0;
  size_t mStartsWrittenOff = 0;
  // The tasks of the ends between mLastDurableEnd and mLastProcessedEnd. The
  // worker still reports these ends; a new owner that does not query it does
  // not know of them.
  std::map<EndNumber, TaskRef> mNonDurableEnds;
  int mLongRunning = 0;
  // Long-running tasks with a target for their tail latency, and their part of
  // mCharged.
  int mServingTasks = 0;
  int64_t mServingCpu = 0;
  int mBestEffortTasks = 0;
  // What the best-effort tasks would use without limits.
  Resources mBestEffortDemand;
  // Number of serving tasks by image, and CPU demand of the best-effort tasks
  // by image.
  std::map<ImageNumber, int> mServingImages;
  std::map<ImageNumber, int64_t> mBestEffortCpuByImage;
  // When the best-effort tasks or their pace last changed.
  MonotonicTime mBestEffortChangedAt;
  // The pressure that all serving tasks tolerate at peak load.
  double mTolerablePressure = 0;
  // The same at the load that is expected in the next second, in steps of 0.1.
  // 0 unless the placement policy needs it.
  double mTolerableSoon = 0;
  // The pace of the best-effort tasks beside serving tasks.
  PaceState mPace;
  // Capacity is being freed for a long-running task; until then no others are
  // placed.
  MonotonicTime mReservedForLongRunningUntil;

  // Return whether the log tells a successor all that it has to know before a
  // task is started, or a lease renewed, there.
  bool MayBeUsed() const { return mRecorded && mIsUseRecorded; }
  bool MayBeRenewed() const
  {
    return mRecorded && (mIsUseRecorded || mIsUsedUnrecorded);
  }

  // NeedsPacing returns whether best-effort tasks may disturb serving tasks.
  bool NeedsPacing() const { return mServingTasks > 0 && mBestEffortTasks > 0; }

  // IsInfoCurrent returns whether the entry in the list of workers is of the
  // present incarnation, which may differ from the former one in all but its
  // id.
  bool IsInfoCurrent() const
  {
    return mInfo.mWorkerIncarnation == WorkerIncarnation() ||
           mInfo.mWorkerIncarnation == mWorkerIncarnation;
  }

  // IsCalm returns whether the last report had all tail latencies far below
  // their targets without any best-effort task being paced.
  bool IsCalm() const;

  // PossibleTasks returns the tasks that may run on the worker or have a
  // reported end that is not durable. It is complete once the worker has sent
  // its run lists, while nothing is started there. HasNoRuns returns whether
  // there are none.
  std::set<TaskRef> PossibleTasks() const;
  bool HasNoRuns() const
  {
    return mTasks.empty() && mForeignRuns.empty() && mNonDurableEnds.empty();
  }

  // BestEffortShares returns the CPU shares of the best-effort images at full
  // pace.
  std::vector<BestEffortShare> BestEffortShares() const;

  // CpuCapacity returns the CPU capacity in thousandths of a core, at least 1.
  int64_t CpuCapacity() const
  {
    return std::max<int64_t>(1, mInfo.mCapacity.mCpuMillis);
  }

  // FreeCapacity returns the free capacity. It is negative if the capacity of
  // the worker was reduced.
  Resources FreeCapacity() const
  {
    return mInfo.mCapacity - mCharged - mForeignDemand;
  }
};

// Why no run outlasts its owner's last recorded proof by more than
// EndOfRunsProvedAt tells: the proof is an append under the owner's epoch, and
// its time the reading of the owner's clock before the append was first sent.
// Every lease end that is requested is an absolute time on the worker's clock,
// which that clock reaches by the proof's time plus the longest real time of
// mMaxRunsAfterProof:
// - A reading of the clock was taken before it arrived, and the clock advances
//   by at least 980 of 1000 from there. The end is computed with that slowest
//   rate, so it holds for each permitted rate and however old the reading is.
// - A message that is delayed, because the owner's process was paused or its
//   call was executed late, extends nothing beyond the end that it names; a
//   start whose end has passed is refused.
// - An append that was applied without an answer, or is answered late, proves
//   no more than its first sending, as its repetitions carry the same record.
// - An owner that lost the shard gets no further proof: the log refuses its
//   appends from the next claim on.
// - An owner without a record on the log claimed before one that removed the
//   record, which it does only once all runs of the former have ended.
// - A start reaches only the incarnation of its worker whose clock it names
//   (TaskWorkerPort).
// It does not hold for an unanswered start that a worker carries out late,
// after it has restarted.
//
// WorkerTable is not synchronised.
class WorkerTable
{
public:
  explicit WorkerTable(LeaseTerms aTerms)
    : mTerms(aTerms)
  {
  }

  // Find returns the worker, or null.
  WorkerEntry* Find(const WorkerId& aId);
  const WorkerEntry* Find(const WorkerId& aId) const;

  // Add returns the worker and inserts it if it is new.
  WorkerEntry& Add(const WorkerId& aId);

  // Remove removes a worker.
  void Remove(const WorkerId& aId);

  // SetInfo updates a worker from the list of workers.
  void SetInfo(WorkerEntry& aWorker, const WorkerInfo& aFacts);

  // SetSilent records whether the last renewal failed to get an answer.
  void SetSilent(WorkerEntry& aWorker, bool aSilent);

  // MarkChanged must be called after any change that affects whether tasks can
  // be placed on a worker. Charge, Release, SetInfo and SetSilent call it.
  void MarkChanged(WorkerEntry& aWorker);

  // TakeChanged returns the workers that changed since the last call. Removals
  // counts the workers that were removed.
  std::vector<WorkerEntry*> TakeChanged();
  uint64_t Removals() const { return mRemovals; }

  // Silent and Leaving return the workers in that state.
  const std::set<WorkerId>& Silent() const { return mSilent; }
  const std::set<WorkerId>& Leaving() const { return mLeaving; }

  // All returns every worker by id.
  std::map<WorkerId, WorkerEntry>& All() { return mWorkers; }
  const std::map<WorkerId, WorkerEntry>& All() const { return mWorkers; }

  // Charge and Release add one task of aStep to a worker and remove it, with
  // the capacity that it takes.
  void Charge(WorkerEntry& aWorker,
              const TaskRef& aTask,
              const StepSpec& aStep);
  void Release(WorkerEntry& aWorker,
               const TaskRef& aTask,
               const StepSpec& aStep);

  // OnOwnershipRecorded allows leases up to the bound of a proof that was
  // recorded at aRecordedAt. Without any, no lease is requested. MayStart
  // returns whether the last proof is recent enough to start tasks.
  void OnOwnershipRecorded(MonotonicTime aRecordedAt);
  bool MayStart(MonotonicTime aNow) const;

  // NextRenewal returns the renewal to send at aNow and counts its lease as
  // granted. For a silent worker it requests the run lists only, and so it does
  // if the proof allows no lease beyond aNow.
  RenewalRequest NextRenewal(WorkerEntry& aWorker,
                             Epoch aEpoch,
                             bool aMayRenew,
                             MonotonicTime aNow);

  // LeaseForStart returns the lease for a start sent at aNow and counts it as
  // granted; nothing while the worker's clock is unknown or if the lease would
  // be too short.
  std::optional<WorkerTime> LeaseForStart(WorkerEntry& aWorker,
                                          MonotonicTime aNow);

  // InheritLease accounts for the longest lease that a former owner may have
  // granted before the worker first answered this owner, at aNow.
  void InheritLease(WorkerEntry& aWorker, MonotonicTime aNow) const;

  // EndOfLeaseRequestedBy returns when a lease of the usual length has
  // certainly expired that was requested by aRequestedBy.
  MonotonicTime EndOfLeaseRequestedBy(MonotonicTime aRequestedBy) const;

  // EndOfRunsProvedAt returns when all runs have certainly ended of an owner
  // whose last recorded proof was at aRecordedAt or before.
  MonotonicTime EndOfRunsProvedAt(MonotonicTime aRecordedAt) const;

  // EndOfRunsOrderedBy returns when all runs have certainly ended of an owner
  // that sent its last message by aOrderedBy. An unanswered start that a new
  // incarnation of its worker carries out may last for the longest lease.
  MonotonicTime EndOfRunsOrderedBy(MonotonicTime aOrderedBy) const;

  // EndOfRunsLeft returns when runs have certainly ended that went on for aLeft
  // at most after aSince, by the clock of a former owner.
  MonotonicTime EndOfRunsLeft(MonotonicTime aSince, Milliseconds aLeft) const;

  // OnStartOfFormerIncarnation accounts for a start that carries a lease by the
  // clock of a worker's former incarnation, and that the present one may accept
  // by aNow.
  void OnStartOfFormerIncarnation(WorkerEntry& aWorker,
                                  MonotonicTime aNow) const;

  // IsClockOfLaterIncarnation returns whether a reading of the worker's clock,
  // for a call that was sent at aSentAt or later, was made by a later
  // incarnation than the one whose clock is known: that one's clock would be
  // ahead of it.
  bool IsClockOfLaterIncarnation(const WorkerEntry& aWorker,
                                 const ClockReading& aReading,
                                 MonotonicTime aSentAt) const;

  // OnClockReading stores a reading of the worker's clock that arrived at aNow.
  void OnClockReading(WorkerEntry& aWorker,
                      const ClockReading& aReading,
                      MonotonicTime aNow);

private:
  WorkerTime EstimatedClock(const WorkerEntry& aWorker,
                            MonotonicTime aNow) const;
  WorkerTime NextLeaseEnd(const WorkerEntry& aWorker, MonotonicTime aNow) const;
  Milliseconds MaxRealDuration(int64_t aMilliseconds) const;
  void AssumeLease(WorkerEntry& aWorker,
                   Milliseconds aLength,
                   MonotonicTime aNow) const;
  void ExtendLease(WorkerEntry& aWorker, WorkerTime aUntil, MonotonicTime aNow);

  const LeaseTerms mTerms;
  // Until when the leases may last that the recorded proof allows.
  MonotonicTime mLeasesEndBy;
  std::map<WorkerId, WorkerEntry> mWorkers;
  std::set<WorkerId> mSilent;
  std::set<WorkerId> mLeaving;
  std::vector<WorkerEntry*> mChanged;
  uint64_t mRemovals = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_WORKER_TABLE_H_
