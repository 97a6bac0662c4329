// A ShardSimulation for takeover tests: its owners follow each other, its
// workers have slow clocks, and its tasks run until a test ends them.
#ifndef MULBERRYVALVE_CORE_JOBS_TAKEOVER_SIMULATION_FAKE_H_
#define MULBERRYVALVE_CORE_JOBS_TAKEOVER_SIMULATION_FAKE_H_

#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

// Returns the task with this index in the first step of a job.
inline TaskRef TaskOf(const std::string& aJob, uint32_t aIndex)
{
  return TaskRef{ { JobId(aJob), 0, 0 }, aIndex };
}

// Returns a job of one step whose tasks run until it is cancelled.
inline JobGraph LongRunningJob(const std::string& aId,
                               uint32_t aCount,
                               int64_t aCpu)
{
  JobGraph job = OneStepJob(aId, aCount, aCpu);
  job.mSteps[0].mLongRunning = true;
  return job;
}

// TakeoverSimulation starts with one owner. Not thread-safe.
class TakeoverSimulation
{
public:
  // Much longer than any test.
  static constexpr Milliseconds kLong{ 600000 };
  // The time from an owner's end until its successor loads the durable state.
  static constexpr Milliseconds kTakeoverDelay{ 600 };
  // Waiting tasks have to be placed within this after a load.
  static constexpr Milliseconds kPlacementLimit{ 500 };
  // The longest that a lease may last: its length by a clock that is 2% slow,
  // plus the margin before it counts as expired.
  static constexpr Milliseconds kMaxLease{ 5762 };
  // How often an owner refreshes its handover notes.
  static constexpr Milliseconds kNoteInterval{ 1000 };

  explicit TakeoverSimulation(size_t aWorkers)
    : mSimulation(aWorkers)
    , mWorkerCount(aWorkers)
  {
    mSimulation.mDurationOf = [](const TaskRef&) { return kLong; };
    mSimulation.mGangsFailTogether = true;
    for (size_t index = 0; index < aWorkers; index++) {
      mSimulation.Worker(index).mClockRatePerMille = 980;
    }
    mSimulation.AddOwner();
  }

  ShardSimulation* operator->() { return &mSimulation; }

  WorkerId IdOf(size_t aWorker)
  {
    return mSimulation.Worker(aWorker).mInfo.mId;
  }

  size_t IndexOf(const WorkerId& aWorker)
  {
    size_t index = 0;
    while (IdOf(index) != aWorker) {
      index++;
    }
    return index;
  }

  // Returns the first worker that runs a task. The task must be running.
  WorkerId WorkerOf(const TaskRef& aTask) const
  {
    return mSimulation.WorkersRunning(aTask).at(0);
  }

  // Drains the workers and ends them at the time that they announced. Returns
  // the number of tasks that still ran there then.
  size_t DrainAndExit(const std::vector<WorkerId>& aWorkers)
  {
    const Milliseconds remaining(2000);
    for (const WorkerId& id : aWorkers) {
      mSimulation.Drain(id, remaining);
    }
    mSimulation.RunFor(remaining);
    size_t left = 0;
    for (const WorkerId& id : aWorkers) {
      left += mSimulation.Worker(IndexOf(id)).mRuns.size();
      mSimulation.Exit(id);
    }
    return left;
  }

  std::vector<WorkerId> FirstWorkers(size_t aCount)
  {
    std::vector<WorkerId> ids;
    for (size_t index = 0; index < aCount; index++) {
      ids.push_back(IdOf(index));
    }
    return ids;
  }

  void KillOwner() { mSimulation.Kill(mOwnerCount - 1); }

  // Adds an owner that restores the present durable state.
  SimulatedOwner& LoadOwner()
  {
    mOwnerCount++;
    return mSimulation.AddOwner();
  }

  // Kills the present owner; its successor loads after kTakeoverDelay.
  void ReplaceOwner()
  {
    KillOwner();
    mSimulation.RunFor(kTakeoverDelay);
    LoadOwner();
  }

  // Replaces the owner while a job of aTasks small tasks is submitted. Returns
  // how many of them run kPlacementLimit after the load.
  size_t PlacedAfterTakeover(const std::string& aJob, uint32_t aTasks)
  {
    KillOwner();
    mSimulation.Submit(OneStepJob(aJob, aTasks, 1000));
    mSimulation.RunFor(kTakeoverDelay);
    LoadOwner();
    mSimulation.RunFor(kPlacementLimit);
    return mSimulation.RunningOf(JobId(aJob));
  }

  // Adds an owner without stopping the present one, which stays connected to
  // aWorker only, while the new owner is connected to all others.
  void PartitionOff(const WorkerId& aWorker)
  {
    SimulatedOwner& former = mSimulation.Owner(mOwnerCount - 1);
    SimulatedOwner& next = LoadOwner();
    for (size_t index = 0; index < mWorkerCount; index++) {
      const WorkerId id = IdOf(index);
      SimulatedOwner& disconnectedOwner = id == aWorker ? next : former;
      disconnectedOwner.mLinks[id] = LinkState::kDisconnected;
    }
  }

  // Ends all runs on a worker, as if they had finished.
  void EndRunsOf(const WorkerId& aWorker)
  {
    for (auto& [task, run] : mSimulation.Worker(IndexOf(aWorker)).mRuns) {
      run.mEndsAt = mSimulation.Now();
    }
  }

  // Runs until the task runs on a worker other than aWorker. Returns whether
  // that happened by aLatest.
  bool RunsElsewhereBy(const TaskRef& aTask,
                       const WorkerId& aWorker,
                       MonotonicTime aLatest)
  {
    while (!RunsElsewhere(aTask, aWorker) && mSimulation.Now() < aLatest) {
      mSimulation.Step();
    }
    return RunsElsewhere(aTask, aWorker);
  }

  // Returns when a task must run elsewhere at the latest whose worker became
  // unresponsive at aSince, with aTakeovers takeovers since then: its lease has
  // expired by then, a successor knows it, and has placed the task.
  static MonotonicTime PlacementDeadline(MonotonicTime aSince, int aTakeovers)
  {
    return aSince + kMaxLease + kNoteInterval + aTakeovers * kTakeoverDelay +
           kPlacementLimit;
  }

  // Returns the violated invariants, one per line.
  std::string AllViolations() const
  {
    std::string all;
    for (const std::string& finding : mSimulation.Violations()) {
      all += finding + "\n";
    }
    return all;
  }

private:
  bool RunsElsewhere(const TaskRef& aTask, const WorkerId& aWorker) const
  {
    const std::vector<WorkerId> where = mSimulation.WorkersRunning(aTask);
    return std::any_of(where.begin(), where.end(), [&](const WorkerId& aId) {
      return aId != aWorker;
    });
  }

  ShardSimulation mSimulation;
  size_t mWorkerCount;
  size_t mOwnerCount = 1;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_TAKEOVER_SIMULATION_FAKE_H_
