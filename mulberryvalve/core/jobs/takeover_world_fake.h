// A JobWorld for tests of changes of owner: its owners follow each other, its
// workers have slow clocks, and its tasks run on unless told otherwise.
#ifndef MULBERRYVALVE_CORE_JOBS_TAKEOVER_WORLD_FAKE_H_
#define MULBERRYVALVE_CORE_JOBS_TAKEOVER_WORLD_FAKE_H_

#include "mulberryvalve/core/jobs/job_world_fake.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

// The task of this index in the first step of a job.
inline TaskRef TaskOf(const std::string& aJob, uint32_t aIndex)
{
  return TaskRef{ { JobId(aJob), 0, 0 }, aIndex };
}

// LastingJob returns a job of one step whose tasks run until it is cancelled.
inline JobGraph LastingJob(const std::string& aId,
                           uint32_t aCount,
                           int64_t aCpu)
{
  JobGraph job = OneStepJob(aId, aCount, aCpu);
  job.mSteps[0].mLasting = true;
  return job;
}

// TakeoverWorld has one owner at first.
class TakeoverWorld
{
public:
  // Much longer than a test lasts.
  static constexpr Milliseconds kLong{ 600000 };
  // From the end of an owner to the load of its successor.
  static constexpr Milliseconds kTakeoverDelay{ 600 };
  // What waits is placed within this after a load.
  static constexpr Milliseconds kPlacementLimit{ 500 };
  // All that a lease may last: its length by a clock that is 2% slow, and what
  // is added before it counts as over.
  static constexpr Milliseconds kMaxLease{ 5762 };
  // An owner notes this often what its successors have to wait for.
  static constexpr Milliseconds kNoteInterval{ 1000 };

  explicit TakeoverWorld(size_t aWorkers)
    : mSimulation(aWorkers)
    , mSize(aWorkers)
  {
    mSimulation.mDurationOf = [](const TaskRef&) { return kLong; };
    mSimulation.mGangsFailTogether = true;
    for (size_t index = 0; index < aWorkers; index++) {
      mSimulation.Worker(index).mClockRatePerMille = 980;
    }
    mSimulation.AddOwner();
  }

  JobWorld* operator->() { return &mSimulation; }

  WorkerId IdOf(size_t aWorker)
  {
    return mSimulation.Worker(aWorker).mFacts.mId;
  }

  size_t IndexOf(const WorkerId& aWorker)
  {
    size_t index = 0;
    while (IdOf(index) != aWorker) {
      index++;
    }
    return index;
  }

  // The first worker on which a task runs; it must run.
  WorkerId WorkerOf(const TaskRef& aTask) const
  {
    return mSimulation.WorkersRunning(aTask).at(0);
  }

  // These workers drain and leave at the time that they announced. Returns what
  // still ran there then.
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

  void KillOwner() { mSimulation.Kill(mOwners - 1); }

  // LoadOwner makes a new owner inherit what is durable now.
  FakeOwner& LoadOwner()
  {
    mOwners++;
    return mSimulation.AddOwner();
  }

  // ReplaceOwner kills the present owner; its successor loads after
  // kTakeoverDelay.
  void ReplaceOwner()
  {
    KillOwner();
    mSimulation.RunFor(kTakeoverDelay);
    LoadOwner();
  }

  // The same, and a job of so many small tasks is handed in between. Returns
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

  // A new owner loads, which the present one is not told of: that one goes on
  // with one worker, the new one with the others.
  void SplitOff(const WorkerId& aWorker)
  {
    FakeOwner& former = mSimulation.Owner(mOwners - 1);
    FakeOwner& next = LoadOwner();
    for (size_t index = 0; index < mSize; index++) {
      const WorkerId id = IdOf(index);
      FakeOwner& cut = id == aWorker ? next : former;
      cut.mLinks[id] = LinkState::kCut;
    }
  }

  // What runs on a worker ends by itself.
  void EndRunsOf(const WorkerId& aWorker)
  {
    for (auto& [task, run] : mSimulation.Worker(IndexOf(aWorker)).mRuns) {
      run.mEndsAt = mSimulation.Now();
    }
  }

  // Runs until a task runs on another worker than aWorker; tells whether that
  // was at aLatest or before.
  bool RunsElsewhereBy(const TaskRef& aTask,
                       const WorkerId& aWorker,
                       MonotonicTime aLatest)
  {
    while (!RunsElsewhere(aTask, aWorker) && mSimulation.Now() < aLatest) {
      mSimulation.Step();
    }
    return RunsElsewhere(aTask, aWorker);
  }

  // When the leases of a worker that fell silent at aSince are over, and a
  // successor can know that, with so many changes of owner meanwhile.
  static MonotonicTime LeaseEndKnownBy(MonotonicTime aSince, int aChanges)
  {
    return aSince + kMaxLease + kNoteInterval + aChanges * kTakeoverDelay +
           kPlacementLimit;
  }

  // AllFindings returns what the checker found, one a line.
  std::string AllFindings() const
  {
    std::string all;
    for (const std::string& finding : mSimulation.Findings()) {
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

  JobWorld mSimulation;
  size_t mSize;
  size_t mOwners = 1;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_TAKEOVER_WORLD_FAKE_H_
