// WorkerTable: the workers of a shard, their leases and what is charged to
// them.
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

// LeaseTerms are the figures of the leases on workers' own clocks.
struct LeaseTerms
{
  // How far each renewal reaches; below the longest lease a worker grants.
  Milliseconds mLength{ 5500 };
  // How long a renewal waits for an end before it answers.
  Milliseconds mWait{ 1500 };
  // The same where tasks that fill work beside tasks that serve, so that the
  // reports of these are seen twice a second.
  Milliseconds mPacingWait{ 400 };
  // What a worker's clock may lag behind, in parts of a thousand.
  int64_t mClockDriftPerMille = 20;
  // Added to the end of a lease before it counts as over.
  Milliseconds mMargin{ 150 };
};

// WorkerRoom is one worker as the owner sees it.
struct WorkerRoom
{
  WorkerFacts mFacts;
  // False once the list of workers names it no more.
  bool mListed = true;
  // It has answered this owner with its lists in its present life.
  bool mInventoried = false;
  // The last renewal had no answer; nothing new is started meanwhile.
  bool mSilent = false;
  // Its name is durable, so that a successor asks it before it acts.
  bool mRecorded = false;
  // Its record says what may run there, or how long at most; that is taken back
  // before anything is started there.
  bool mNoted = false;
  // Its record says how long a successor has to wait for it at most; that is
  // taken back before what runs there is renewed.
  bool mWaitNoted = false;
  // Its record says that there is nothing to wait for.
  bool mNoWaitNoted = false;
  // So many tasks its record names.
  size_t mNotedTasks = 0;
  Birth mBirth;
  // The last reading of its clock and when that arrived here.
  std::optional<WorkerTime> mClock;
  MonotonicTime mClockReceivedAt;
  // The farthest lease that any message to it asked for.
  WorkerTime mLeaseUntil;
  // When all that runs there has ended for lack of renewal.
  MonotonicTime mLapsesAt;
  // Ends up to mTaken are taken in here, up to mDurable on the log as well.
  EndNumber mTaken;
  EndNumber mDurable;
  // Nothing is started there before this time.
  MonotonicTime mAvoidUntil;
  int mFailuresInRow = 0;
  // When a leaving worker may be gone, by its last word.
  std::optional<MonotonicTime> mLeavesAt;
  // It is among those that WorkerTable::TakeChanged returns next.
  bool mIsInChangedList = false;
  // The tasks that are charged to it.
  std::set<TaskRef> mTasks;
  Resources mCharged;
  // What runs there and is no task of this owner's: it is being stopped. When
  // the demand of such a run is not known, nothing is started beside it.
  Resources mForeign;
  bool mForeignUnknown = false;
  std::set<TaskRef> mForeignRuns;
  // Starts that were ordered there and are not answered, and how many of them
  // count no more as under way, since it fell silent meanwhile.
  size_t mStartsUnderWay = 0;
  size_t mStartsGivenUp = 0;
  // The tasks of the ends between mDurable and mTaken. It lists them still, so
  // a successor that does not ask it knows nothing of them.
  std::map<EndNumber, TaskRef> mEndsNotDurable;
  int mLasting = 0;
  // The lasting tasks whose tail has a target, and their share of mCharged.
  int mServing = 0;
  int64_t mServingCpu = 0;
  int mFilling = 0;
  // What the tasks that fill would take if nothing limited them.
  Resources mBestEffortDemand;
  // How many serving tasks of each image it has, and what share of its
  // processors the tasks of each image that fill ask for.
  std::map<ImageNumber, int> mServingImages;
  std::map<ImageNumber, int64_t> mBestEffortCpuByImage;
  // When what fills, or its pace, last changed.
  MonotonicTime mFillingSince;
  // The pressure that every serving task bears at the top of its load.
  double mBearablePressure = 0;
  // How fast the tasks that fill work beside those that serve.
  PaceState mPace;
  // Room is being made for a lasting task; until then only such are placed.
  MonotonicTime mKeptForLastingUntil;

  // NeedsPacing tells whether tasks that fill may disturb tasks that serve.
  bool NeedsPacing() const { return mServing > 0 && mFilling > 0; }

  // MayRun returns the tasks that may run there, or of which an end is not
  // durable. It holds once the worker was inventoried, while nothing is started
  // there. RunsNothing tells whether there are none.
  std::set<TaskRef> MayRun() const;
  bool RunsNothing() const
  {
    return mTasks.empty() && mForeignRuns.empty() && mEndsNotDurable.empty();
  }

  // Filling returns the shares of what fills at aPercent of its speed, with
  // aAddedCpu thousandths of a core of aImage added.
  std::vector<FillingShare> Filling(int aPercent,
                                    ImageNumber aImage,
                                    int64_t aAddedCpu) const;

  // CpuCapacity returns the thousandths of a core that it has, one at least.
  int64_t CpuCapacity() const
  {
    return std::max<int64_t>(1, mFacts.mCapacity.mCpuMillis);
  }

  // Room returns what is not committed. It is negative when the worker shrank.
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

  // Add returns the worker, new or known.
  WorkerRoom& Add(const WorkerId& aId);

  // Remove forgets a worker.
  void Remove(const WorkerId& aId);

  // SetFacts takes in what the list of workers says of one.
  void SetFacts(WorkerRoom& aWorker, const WorkerFacts& aFacts);

  // SetSilent says whether the last renewal had no answer.
  void SetSilent(WorkerRoom& aWorker, bool aSilent);

  // NoteChange is called when something changes on which it depends whether
  // tasks may be placed on a worker. Charge, Release, SetFacts and SetSilent
  // call it.
  void NoteChange(WorkerRoom& aWorker);

  // TakeChanged returns the workers that changed since the last call. Removals
  // counts the workers that were removed.
  std::vector<WorkerRoom*> TakeChanged();
  uint64_t Removals() const { return mRemovals; }

  // Silent and Leaving name the workers in that state.
  const std::set<WorkerId>& Silent() const { return mSilent; }
  const std::set<WorkerId>& Leaving() const { return mLeaving; }

  // All returns every worker by id.
  std::map<WorkerId, WorkerRoom>& All() { return mWorkers; }
  const std::map<WorkerId, WorkerRoom>& All() const { return mWorkers; }

  // Charge and Release move one task of aStep onto and off a worker.
  void Charge(WorkerRoom& aWorker, const TaskRef& aTask, const StepSpec& aStep);
  void Release(WorkerRoom& aWorker,
               const TaskRef& aTask,
               const StepSpec& aStep);

  // NextHold returns the renewal to send at aNow and counts its lease as
  // granted. A silent worker is asked for its lists only.
  HoldOrder NextHold(WorkerRoom& aWorker,
                     Epoch aEpoch,
                     bool aMayRenew,
                     MonotonicTime aNow);

  // LeaseForStart returns the lease that a start at aNow carries, counted as
  // granted, or nothing while the worker's clock is not known.
  std::optional<WorkerTime> LeaseForStart(WorkerRoom& aWorker,
                                          MonotonicTime aNow);

  // InheritLease counts the longest lease that a former owner may have granted
  // before the worker first answered this owner, at aNow.
  void InheritLease(WorkerRoom& aWorker, MonotonicTime aNow) const;

  // OnReading takes in a reading of the worker's clock that arrived at aNow.
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
