// The workers of a shard with their leases and the tasks charged to them.
#ifndef MULBERRYVALVE_CORE_JOBS_WORKER_TABLE_H_
#define MULBERRYVALVE_CORE_JOBS_WORKER_TABLE_H_

#include "mulberryvalve/core/jobs/interference_book.h"
#include "mulberryvalve/core/jobs/pace_control.h"
#include "mulberryvalve/core/jobs/worker_orders.h"

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
  // How long a worker delays the answer to a renewal until a run ends.
  Milliseconds mWait{ 1500 };
  // The same on workers with both best-effort and serving tasks, so that
  // reports on the latter arrive twice a second.
  Milliseconds mPacingWait{ 400 };
  // How much slower than real time a worker's clock may run, in thousandths.
  int64_t mClockDriftPerMille = 20;
  // Added to the end of a lease before it is considered expired.
  Milliseconds mMargin{ 150 };
};

// WorkerRoom is the owner's state of one worker.
struct WorkerRoom
{
  WorkerFacts mFacts;
  // False if the worker has disappeared from the list of workers.
  bool mListed = true;
  // The current incarnation of the worker has sent its run lists to this owner.
  bool mInventoried = false;
  // The last renewal was not answered; nothing is started on the worker until
  // it answers.
  bool mSilent = false;
  // The worker is on the log, so that the next owner queries it before it acts.
  bool mRecorded = false;
  // The record on the log is a hint for a takeover: it names the tasks that may
  // run there, or limits how long they may. It must be withdrawn before
  // anything is started there.
  bool mNoted = false;
  // The record on the log limits how long the next owner waits for this worker.
  // It must be withdrawn before a lease is renewed there.
  bool mWaitNoted = false;
  // The record on the log says that the next owner need not wait.
  bool mNoWaitNoted = false;
  // Number of tasks named in the record.
  size_t mNotedTasks = 0;
  Birth mBirth;
  // The last reading of the worker's clock, and when it arrived here.
  std::optional<WorkerTime> mClock;
  MonotonicTime mClockReceivedAt;
  // The latest lease end requested in any message to the worker.
  WorkerTime mLeaseUntil;
  // When the leases of all runs there have certainly expired.
  MonotonicTime mLapsesAt;
  // Numbers of the last end processed here, and of the last one that is durable
  // on the log too.
  EndNumber mTaken;
  EndNumber mDurable;
  // Nothing is started on the worker before this time.
  MonotonicTime mAvoidUntil;
  int mFailuresInRow = 0;
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
  Resources mForeign;
  bool mForeignUnknown = false;
  std::set<TaskRef> mForeignRuns;
  // Starts sent to the worker and not answered, and how many of them no longer
  // count as in flight because the worker fell silent.
  size_t mStartsUnderWay = 0;
  size_t mStartsGivenUp = 0;
  // The tasks of the ends between mDurable and mTaken. The worker still reports
  // these ends; a new owner that does not query it does not know of them.
  std::map<EndNumber, TaskRef> mEndsNotDurable;
  int mLasting = 0;
  // Long-running tasks with a target for their tail latency, and their part of
  // mCharged.
  int mServing = 0;
  int64_t mServingCpu = 0;
  int mFilling = 0;
  // What the best-effort tasks would use without limits.
  Resources mBestEffortDemand;
  // Number of serving tasks by image, and CPU demand of the best-effort tasks
  // by image.
  std::map<ImageNumber, int> mServingImages;
  std::map<ImageNumber, int64_t> mBestEffortCpuByImage;
  // When the best-effort tasks or their pace last changed.
  MonotonicTime mFillingSince;
  // The pressure that all serving tasks tolerate at peak load.
  double mBearablePressure = 0;
  // The pace of the best-effort tasks beside serving tasks.
  PaceState mPace;
  // Capacity is being freed for a long-running task; until then no others are
  // placed.
  MonotonicTime mKeptForLastingUntil;

  // NeedsPacing returns whether best-effort tasks may disturb serving tasks.
  bool NeedsPacing() const { return mServing > 0 && mFilling > 0; }

  // MayRun returns the tasks that may run on the worker or have a reported end
  // that is not durable. It is complete once the worker has sent its run lists,
  // while nothing is started there. RunsNothing returns whether there are none.
  std::set<TaskRef> MayRun() const;
  bool RunsNothing() const
  {
    return mTasks.empty() && mForeignRuns.empty() && mEndsNotDurable.empty();
  }

  // Filling returns the CPU shares of the best-effort images at aPercent of
  // full pace, with aAddedCpu thousandths of a core more for aImage.
  std::vector<FillingShare> Filling(int aPercent,
                                    ImageNumber aImage,
                                    int64_t aAddedCpu) const;

  // CpuCapacity returns the CPU capacity in thousandths of a core, at least 1.
  int64_t CpuCapacity() const
  {
    return std::max<int64_t>(1, mFacts.mCapacity.mCpuMillis);
  }

  // Room returns the free capacity. It is negative if the capacity of the
  // worker was reduced.
  Resources Room() const { return mFacts.mCapacity - mCharged - mForeign; }
};

// WorkerTable is not synchronised.
class WorkerTable
{
public:
  explicit WorkerTable(LeaseTerms aTerms)
    : mTerms(aTerms)
  {
  }

  // Find returns the worker, or null.
  WorkerRoom* Find(const WorkerId& aId);
  const WorkerRoom* Find(const WorkerId& aId) const;

  // Add returns the worker and inserts it if it is new.
  WorkerRoom& Add(const WorkerId& aId);

  // Remove removes a worker.
  void Remove(const WorkerId& aId);

  // SetFacts updates a worker from the list of workers.
  void SetFacts(WorkerRoom& aWorker, const WorkerFacts& aFacts);

  // SetSilent records whether the last renewal failed to get an answer.
  void SetSilent(WorkerRoom& aWorker, bool aSilent);

  // NoteChange must be called after any change that affects whether tasks can
  // be placed on a worker. Charge, Release, SetFacts and SetSilent call it.
  void NoteChange(WorkerRoom& aWorker);

  // TakeChanged returns the workers that changed since the last call. Removals
  // counts the workers that were removed.
  std::vector<WorkerRoom*> TakeChanged();
  uint64_t Removals() const { return mRemovals; }

  // Silent and Leaving return the workers in that state.
  const std::set<WorkerId>& Silent() const { return mSilent; }
  const std::set<WorkerId>& Leaving() const { return mLeaving; }

  // All returns every worker by id.
  std::map<WorkerId, WorkerRoom>& All() { return mWorkers; }
  const std::map<WorkerId, WorkerRoom>& All() const { return mWorkers; }

  // Charge and Release add one task of aStep to a worker and remove it, with
  // the capacity that it takes.
  void Charge(WorkerRoom& aWorker, const TaskRef& aTask, const StepSpec& aStep);
  void Release(WorkerRoom& aWorker,
               const TaskRef& aTask,
               const StepSpec& aStep);

  // NextHold returns the renewal to send at aNow and counts its lease as
  // granted. For a silent worker it requests the run lists only.
  HoldOrder NextHold(WorkerRoom& aWorker,
                     Epoch aEpoch,
                     bool aMayRenew,
                     MonotonicTime aNow);

  // LeaseForStart returns the lease for a start sent at aNow and counts it as
  // granted; nothing while the worker's clock is unknown.
  std::optional<WorkerTime> LeaseForStart(WorkerRoom& aWorker,
                                          MonotonicTime aNow);

  // InheritLease accounts for the longest lease that a former owner may have
  // granted before the worker first answered this owner, at aNow.
  void InheritLease(WorkerRoom& aWorker, MonotonicTime aNow) const;

  // OnReading stores a reading of the worker's clock that arrived at aNow.
  void OnReading(WorkerRoom& aWorker,
                 const WorkerReading& aReading,
                 MonotonicTime aNow);

private:
  WorkerTime EstimatedClock(const WorkerRoom& aWorker,
                            MonotonicTime aNow) const;
  Milliseconds MaxRealDuration(int64_t aMilliseconds) const;
  void ExtendLease(WorkerRoom& aWorker, WorkerTime aUntil, MonotonicTime aNow);

  const LeaseTerms mTerms;
  std::map<WorkerId, WorkerRoom> mWorkers;
  std::set<WorkerId> mSilent;
  std::set<WorkerId> mLeaving;
  std::vector<WorkerRoom*> mChanged;
  uint64_t mRemovals = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_WORKER_TABLE_H_
