// FullCluster: a cluster without room, of which a test loses the owner and some
// workers at once.
#ifndef MULBERRYVALVE_CORE_JOBS_FULL_CLUSTER_FAKE_H_
#define MULBERRYVALVE_CORE_JOBS_FULL_CLUSTER_FAKE_H_

#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include "CppUTest/TestHarness.h"

#include <map>
#include <string_view>

namespace mulberryvalve {

inline constexpr size_t kWorkers = 20;
inline constexpr uint32_t kWaitingTasks = 40;
inline constexpr uint32_t kWaitingLastingTasks = 4;
inline constexpr uint32_t kWaitingMembers = 3;
inline constexpr Milliseconds kPlacementLimit =
  TakeoverSimulation::kPlacementLimit;
inline constexpr Milliseconds kTakeoverDelay =
  TakeoverSimulation::kTakeoverDelay;
inline constexpr Milliseconds kOutage{ 5500 };
// A successor that loads this long after an owner's end finds its runs lapsed.
inline constexpr Milliseconds kLateTakeoverDelay{ 6700 };
// A lasting task runs again within this after the last disruption: the time
// until workers count as in touch, and the time that its rule allows.
inline constexpr Milliseconds kLastingTaskLimit{ 4000 + 7000 };
// Longer than every lease and wait.
inline constexpr Milliseconds kSettleTime{ 30000 };

// How an owner ends.
enum class OwnerLoss
{
  kKilled,
  kPartitioned, // acts on, in reach of the unreachable worker only
};

// UnreachableKind is a way in which a worker does not answer a successor.
struct UnreachableKind
{
  std::string_view mName;
  NodeState mState;
  LinkState mLinkToSuccessor;
  bool mIsListed;
  bool mRestarts;
};

inline constexpr UnreachableKind kUnreachableKind{ "unreachable",
                                                   NodeState::kUnreachable,
                                                   LinkState::kConnected,
                                                   true,
                                                   false };

// Another worker can answer at the address only once this one has ended.
inline constexpr UnreachableKind kUnheardKinds[] = {
  { "disconnected", NodeState::kUp, LinkState::kDisconnected, true, false },
  { "replies lost", NodeState::kUp, LinkState::kRepliesLost, true, false },
  { "address reused",
    NodeState::kExited,
    LinkState::kAddressReused,
    false,
    false },
};

// FullCluster is full of lasting and batch tasks while others wait for room,
// until EndFillers. mUnreachable are the workers that become unreachable.
class FullCluster
{
public:
  FullCluster()
  {
    mSim->Submit(LongRunningJob("lasting", kWorkers, 4000));
    mSim->Submit(OneStepJob("batch", kWorkers, 4000));
    mSim->RunFor(Milliseconds(500));
    mSim->Submit(OneStepJob("filler", 8 * kWorkers, 1000));
    mSim->RunFor(Milliseconds(1000));
    mSim->Submit(OneStepJob("waiting", kWaitingTasks, 1000));
    mSim->Submit(LongRunningJob("more", kWaitingLastingTasks, 1000));
    JobGraph gang = OneStepJob("gang", kWaitingMembers, 1000);
    gang.mSteps[0].mGang = true;
    mSim->Submit(gang);
    mSim->RunFor(Milliseconds(500));
    CHECK_EQUAL(10 * kWorkers, mSim->Running());
    for (const std::string job : { "lasting", "batch" }) {
      for (uint32_t index = 0; index < kWorkers; index++) {
        const TaskRef task = TaskOf(job, index);
        mRanOn[task] = mSim.WorkerOf(task);
      }
    }
    mUnreachable = { mRanOn.at(TaskOf("lasting", 3)) };
    for (const auto& [task, worker] : mRanOn) {
      if (mUnreachable.size() < 2 && worker != mUnreachable[0]) {
        mUnreachable.push_back(worker);
      }
    }
  }

  // The log takes no appends for aLength.
  void RunOutage(Milliseconds aLength)
  {
    BeginOutage();
    mSim->RunFor(aLength);
  }
  void BeginOutage() { mSim->Owner(mOwners - 1).mCanAppend = false; }

  void LoseUnreachableWorkers(const UnreachableKind& aKind = kUnreachableKind)
  {
    mKind = aKind;
    for (const WorkerId& id : mUnreachable) {
      LoseWorker(id);
    }
  }

  // Ends the owner. Its successor loads after aDelay.
  void ReplaceOwner(Milliseconds aDelay)
  {
    mSim.KillOwner();
    EndFillers();
    mSim->RunFor(aDelay);
    LoadOwner();
  }

  // Runs until the time by which waiting tasks must be placed, and returns what
  // is not placed then though it can't be on a unreachable worker; empty if
  // nothing.
  std::string NotPlacedInTime()
  {
    mSim->RunFor(kPlacementLimit);
    std::string findings = NotRunningOf("lasting");
    findings += NotRunningOf("batch");
    findings += WaitingBatchTasksNotRunning();
    findings += TooFewOf("more", kWaitingLastingTasks);
    findings += TooFewOf("gang", kWaitingMembers);
    return findings;
  }

  // Runs until every lasting task runs on a worker that is not unreachable.
  // Returns what to say if that is later than kLastingTaskLimit after aSince.
  std::string LastingTasksTooLate(MonotonicTime aSince)
  {
    const MonotonicTime stop = mSim->Now() + kSettleTime;
    while (!LastingTasksRun() && mSim->Now() < stop) {
      mSim->Step();
    }
    const auto after =
      std::chrono::duration_cast<Milliseconds>(mSim->Now() - aSince);
    return after <= kLastingTaskLimit
             ? ""
             : "lasting: run " + std::to_string(after.count()) + " ms after\n";
  }

  // Returns what breaks an invariant before all waits have ended.
  std::string ViolationsUntilSettled()
  {
    mSim->RunFor(kSettleTime);
    return mSim.AllViolations();
  }

  // Ends the owner and the unreachable workers at once, and loads its
  // successor.
  void LoseAll(OwnerLoss aLoss, Milliseconds aDelay)
  {
    if (aLoss == OwnerLoss::kKilled) {
      LoseUnreachableWorkers();
      ReplaceOwner(aDelay);
      return;
    }
    mUnreachable.resize(1);
    EndFillers();
    mSim.PartitionOff(mUnreachable[0]);
    mOwners++;
  }

  ShardSimulation* operator->() { return mSim.operator->(); }

  std::vector<WorkerId> mUnreachable;

private:
  bool IsUnreachable(const WorkerId& aWorker) const
  {
    return std::find(mUnreachable.begin(), mUnreachable.end(), aWorker) !=
           mUnreachable.end();
  }

  void LoseWorker(const WorkerId& aWorker)
  {
    if (mKind.mRestarts) {
      mSim->RestartWorker(aWorker);
    }
    if (mKind.mState == NodeState::kExited) {
      mSim->Exit(aWorker);
    } else if (mKind.mState == NodeState::kUnreachable) {
      mSim->MakeUnreachable(aWorker);
    }
    mSim->Worker(mSim.IndexOf(aWorker)).mListed = mKind.mIsListed;
  }

  // Ends the tasks that leave no room for others.
  void EndFillers()
  {
    for (size_t index = 0; index < kWorkers; index++) {
      for (auto& [task, run] : mSim->Worker(index).mRuns) {
        if (task.mStep.mJob == JobId("filler")) {
          run.mEndsAt = mSim->Now();
        }
      }
    }
  }

  void LoadOwner()
  {
    SimulatedOwner& owner = mSim.LoadOwner();
    mOwners++;
    for (const WorkerId& id : mUnreachable) {
      owner.mLinks[id] = mKind.mLinkToSuccessor;
    }
  }

  bool RunsOnAnsweringWorker(const TaskRef& aTask)
  {
    const std::vector<WorkerId> where = mSim->WorkersRunning(aTask);
    return std::any_of(where.begin(), where.end(), [this](const WorkerId& aId) {
      return !IsUnreachable(aId);
    });
  }

  bool LastingTasksRun()
  {
    for (uint32_t index = 0; index < kWorkers; index++) {
      if (!RunsOnAnsweringWorker(TaskOf("lasting", index))) {
        return false;
      }
    }
    return true;
  }

  // Names the tasks of a job that ran on answering workers, and don't run.
  std::string NotRunningOf(const std::string& aJob)
  {
    size_t expected = 0;
    size_t found = 0;
    for (const auto& [task, worker] : mRanOn) {
      if (task.mStep.mJob == JobId(aJob) && !IsUnreachable(worker) &&
          !MayRunUnrecorded(task)) {
        expected++;
        found += RunsOnAnsweringWorker(task) ? 1 : 0;
      }
    }
    return found == expected ? "" : Shortfall(aJob, found, expected);
  }

  std::string WaitingBatchTasksNotRunning()
  {
    size_t expected = 0;
    size_t found = 0;
    for (uint32_t index = 0; index < kWaitingTasks; index++) {
      const TaskRef task = TaskOf("waiting", index);
      if (!MayRunUnrecorded(task)) {
        expected++;
        found += RunsOnAnsweringWorker(task) ? 1 : 0;
      }
    }
    return found == expected ? "" : Shortfall("waiting", found, expected);
  }

  // A plain batch task may have been started without a record, but only on the
  // workers of its bucket.
  bool MayRunUnrecorded(const TaskRef& aTask) const
  {
    return aTask.mStep.mJob != JobId("lasting") &&
           std::any_of(mUnreachable.begin(),
                       mUnreachable.end(),
                       [&aTask](const WorkerId& aId) {
                         return MayStartUnrecorded(aTask, aId);
                       });
  }

  std::string TooFewOf(const std::string& aJob, size_t aLeast)
  {
    const size_t found = mSim->RunningOf(JobId(aJob));
    return found >= aLeast ? "" : Shortfall(aJob, found, aLeast);
  }

  static std::string Shortfall(const std::string& aJob,
                               size_t aFound,
                               size_t aExpected)
  {
    return aJob + ": " + std::to_string(aFound) + " of " +
           std::to_string(aExpected) + " run\n";
  }

  TakeoverSimulation mSim{ kWorkers };
  size_t mOwners = 1;
  UnreachableKind mKind = kUnreachableKind;
  std::map<TaskRef, WorkerId> mRanOn;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_FULL_CLUSTER_FAKE_H_
