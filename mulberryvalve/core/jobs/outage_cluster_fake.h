// A ShardSimulation for random outages: a cluster whose log, owners and workers
// fail together, and that knows which jobs wait though there is room.
#ifndef MULBERRYVALVE_CORE_JOBS_OUTAGE_CLUSTER_FAKE_H_
#define MULBERRYVALVE_CORE_JOBS_OUTAGE_CLUSTER_FAKE_H_

#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mulberryvalve {

// LogTrouble is what the log does in an incident.
enum class LogTrouble
{
  kNone,
  kSilent,      // answers nothing: neither appends nor proofs of ownership
  kRefuses,     // takes no appends, but answers reads
  kSlow,        // takes appends late
  kAnswersLost, // takes appends, but the owner does not hear of it
};
inline constexpr uint32_t kLogTroubles =
  static_cast<uint32_t>(LogTrouble::kAnswersLost) + 1;

// OwnerFault is what happens to the owner in an incident.
enum class OwnerFault
{
  kNone,
  kKilled,
  kPartitioned, // acts on, in reach of some workers, its successor of others
  kSuperseded,  // acts on, in reach of all workers
};
inline constexpr uint32_t kOwnerFaults =
  static_cast<uint32_t>(OwnerFault::kSuperseded) + 1;

// WorkerFault is what happens to a worker in an incident.
enum class WorkerFault
{
  kUnreachable,
  kUnreachableAndUnlisted,
  kExits,
  kRestarts,
  kRestartsUnheard, // restarts, and no owner hears its answers
  kUnheard,
  kDrains,
};
inline constexpr uint32_t kWorkerFaults =
  static_cast<uint32_t>(WorkerFault::kDrains) + 1;

// OutageCluster starts with one owner. Its random choices follow from the seed
// and the calls. Not thread-safe.
class OutageCluster
{
public:
  static constexpr size_t kWorkers = 10;
  // A worker is taken away only if more than this many are usable.
  static constexpr size_t kMinUsableWorkers = 5;
  static constexpr uint32_t kMaxLastingJobs = 6;
  static constexpr Milliseconds kMaxNotice{ 1500 };
  static constexpr Milliseconds kSlow{ 7000 };

  explicit OutageCluster(uint32_t aSeed)
    : mRandom(aSeed)
    , mSimulation(kWorkers)
  {
    mSimulation.mObservesOwners = true;
    mSimulation.mGangsFailTogether = true;
    // In a third of the schedules nobody can be asked; of the owners that have
    // ended, a quarter can't be, and of their answers half are lost.
    if (aSeed % 3 != 0) {
      mSimulation.mTellsItsEnd = [this](const SimulatedOwner& aOwner) {
        return aOwner.mEpoch.Value() % 4 != 0 && Pick(2) == 0;
      };
    }
    mSimulation.mDurationOf = [](const TaskRef& aTask) {
      switch (aTask.mStep.mJob.Text()[0]) {
        case 'l':
          return TakeoverSimulation::kLong;
        case 's':
          return kSlow;
        default:
          return Milliseconds(300 + 400 * (aTask.mIndex % 7));
      }
    };
    for (size_t index = 0; index < kWorkers; index++) {
      mSimulation.Worker(index).mClockRatePerMille = 980 + Pick(21);
    }
    mSimulation.AddOwner();
  }

  ShardSimulation* operator->() { return &mSimulation; }
  const ShardSimulation& World() const { return mSimulation; }

  uint32_t Pick(int64_t aBelow)
  {
    return static_cast<uint32_t>(mRandom() % static_cast<uint64_t>(aBelow));
  }

  void MakeUnreachableFor(const WorkerId& aWorker, Milliseconds aLength)
  {
    mSimulation.MakeUnreachable(aWorker, mSimulation.Now() + aLength);
  }

  // Returns when something last failed, ended or came back.
  MonotonicTime LastDisruption() const { return mLastDisruption; }

  // Jobs are accepted only if they become durable.
  bool AcceptsJobs() const { return mAcceptsJobs; }

  void SubmitJob()
  {
    const bool isLasting = Pick(4) == 0 && mLastingJobs < kMaxLastingJobs;
    const bool isGang = !isLasting && Pick(4) == 0;
    const std::string kind = isLasting ? "l" : (isGang ? "g" : "j");
    const auto tasks = 1 + Pick(4);
    const auto taskMs = 500 * (1 + Pick(4));
    JobGraph job =
      OneStepJob(kind + std::to_string(mJobs.size()), tasks, taskMs);
    job.mSteps[0].mLongRunning = isLasting;
    job.mSteps[0].mGang = isGang;
    job.mSteps[0].mBestEffort = !isLasting && !isGang && Pick(4) == 0;
    mLastingJobs += isLasting ? 1 : 0;
    mJobs.push_back(job);
    mSimulation.Submit(job);
  }

  // Submits a job of plain tasks that run for longer than a change of owner.
  void SubmitSlowJob()
  {
    const JobGraph job =
      OneStepJob("s" + std::to_string(mJobs.size()), kWorkers, 250);
    mJobs.push_back(job);
    mSimulation.Submit(job);
  }

  void BeginTrouble(LogTrouble aTrouble)
  {
    SimulatedOwner& owner = Owner();
    owner.mCanAppend = aTrouble != LogTrouble::kSilent;
    owner.mAppendsFail = aTrouble == LogTrouble::kRefuses;
    owner.mAppendAnswersLost = aTrouble == LogTrouble::kAnswersLost;
    if (aTrouble == LogTrouble::kSlow) {
      owner.mAppendDelay = Milliseconds(200 + Pick(5800));
    }
    mAcceptsJobs =
      aTrouble != LogTrouble::kSilent && aTrouble != LogTrouble::kRefuses;
  }

  // An owner that is cut off does not reach the log when others do again.
  // Precondition: no owner was added since BeginTrouble.
  void EndTrouble(LogTrouble aTrouble, bool aIsCutOff)
  {
    SimulatedOwner& owner = Owner();
    owner.mCanAppend = !aIsCutOff;
    owner.mAppendsFail = false;
    owner.mAppendAnswersLost = false;
    owner.mAppendDelay = Milliseconds(0);
    mAcceptsJobs = true;
    if (aTrouble != LogTrouble::kNone) {
      Disrupt();
    }
  }

  // Call LoadSuccessor later, when the log answers.
  void BeginOwnerFault(OwnerFault aFault)
  {
    if (aFault == OwnerFault::kNone) {
      return;
    }
    Disrupt();
    if (aFault == OwnerFault::kKilled) {
      mSimulation.Kill(mOwnerCount - 1);
    }
    if (aFault == OwnerFault::kPartitioned) {
      Partition();
    }
  }

  void LoadSuccessor()
  {
    if (Owner().mIsActive) {
      Disrupt();
    }
    mSimulation.AddOwner();
    mOwnerCount++;
    Owner().mLinks.insert(mUnheard.begin(), mUnheard.end());
  }

  // Does nothing if too few workers are usable.
  void InjectWorkerFault(WorkerFault aFault)
  {
    const std::optional<WorkerId> picked = PickUsableWorker();
    if (!picked) {
      return;
    }
    const WorkerId& worker = *picked;
    Disrupt();
    switch (aFault) {
      case WorkerFault::kUnreachable:
        mSimulation.MakeUnreachable(worker);
        break;
      case WorkerFault::kUnreachableAndUnlisted:
        MakeUnreachableFor(worker, Milliseconds(Pick(4000)));
        break;
      case WorkerFault::kExits:
        mSimulation.Exit(worker);
        break;
      case WorkerFault::kRestarts:
        mSimulation.RestartWorker(worker);
        break;
      case WorkerFault::kRestartsUnheard:
        mSimulation.RestartWorker(worker);
        Silence(worker);
        break;
      case WorkerFault::kUnheard:
        Silence(worker);
        break;
      case WorkerFault::kDrains:
        mSimulation.Drain(worker, Milliseconds(Pick(kMaxNotice.count() + 1)));
        break;
    }
  }

  // Ends the faults of about half of the workers that have one.
  void BringWorkersBack()
  {
    for (size_t index = 0; index < kWorkers; index++) {
      if (IsUsable(index) || Pick(2) == 0) {
        continue;
      }
      const WorkerId id = IdOf(index);
      const NodeState state = mSimulation.Worker(index).mState;
      mUnheard.erase(id);
      Owner().mLinks.erase(id);
      if (state == NodeState::kUnreachable) {
        mSimulation.MakeReachable(id);
      } else if (state == NodeState::kExited) {
        mSimulation.RestartWorker(id);
      }
      Disrupt();
    }
  }

  void Step()
  {
    mSimulation.Step();
    for (size_t index = 0; index < kWorkers; index++) {
      const SimulatedWorker& worker = mSimulation.Worker(index);
      if (worker.mLeavesAt && *worker.mLeavesAt <= mSimulation.Now() &&
          worker.mState != NodeState::kExited) {
        mSimulation.Exit(IdOf(index));
        Disrupt();
      }
    }
  }

  // Returns whether under half of the usable workers' processors is in use.
  bool HasRoom()
  {
    int64_t used = 0;
    int64_t capacity = 0;
    for (size_t index = 0; index < kWorkers; index++) {
      if (!IsUsable(index)) {
        continue;
      }
      const SimulatedWorker& worker = mSimulation.Worker(index);
      capacity += worker.mInfo.mCapacity.mCpuMillis;
      for (const auto& [task, run] : worker.mRuns) {
        used += CpuOf(task);
      }
    }
    return 2 * used < capacity;
  }

  // Returns the jobs of which too little runs, and what runs: nothing, or less
  // than all of the tasks that last.
  std::map<JobId, size_t> WaitingJobs()
  {
    std::map<JobId, size_t> waiting;
    for (const JobGraph& job : mJobs) {
      const size_t runs = mSimulation.RunningOf(job.mId);
      const StepSpec& step = job.mSteps[0];
      const size_t least = step.mLongRunning ? step.mCount : 1;
      if (!IsJobOver(job.mId) && runs < least) {
        waiting[job.mId] = runs;
      }
    }
    return waiting;
  }

  // Returns the jobs that have not ended, or of which a lasting task waits.
  std::vector<JobId> UnfinishedJobs()
  {
    const std::map<JobId, size_t> waiting = WaitingJobs();
    std::vector<JobId> unfinished;
    for (const JobGraph& job : mJobs) {
      const bool isWaiting = waiting.count(job.mId) != 0;
      const bool lasts = job.mSteps[0].mLongRunning;
      if (isWaiting || !(lasts || IsJobOver(job.mId))) {
        unfinished.push_back(job.mId);
      }
    }
    return unfinished;
  }

private:
  SimulatedOwner& Owner() { return mSimulation.Owner(mOwnerCount - 1); }

  WorkerId IdOf(size_t aIndex) { return mSimulation.Worker(aIndex).mInfo.mId; }

  void Disrupt() { mLastDisruption = mSimulation.Now(); }

  bool IsJobOver(const JobId& aJob)
  {
    return IsOver(*Owner().mShard->Phase(aJob));
  }

  bool IsUsable(size_t aIndex)
  {
    const SimulatedWorker& worker = mSimulation.Worker(aIndex);
    return worker.mState == NodeState::kUp && !worker.mLeavesAt &&
           worker.mListed && mUnheard.count(worker.mInfo.mId) == 0;
  }

  std::optional<WorkerId> PickUsableWorker()
  {
    std::vector<WorkerId> usable;
    for (size_t index = 0; index < kWorkers; index++) {
      if (IsUsable(index)) {
        usable.push_back(IdOf(index));
      }
    }
    if (usable.size() <= kMinUsableWorkers) {
      return std::nullopt;
    }
    return usable[Pick(static_cast<int64_t>(usable.size()))];
  }

  // The owner keeps up to three workers, its successor gets the others.
  void Partition()
  {
    std::set<WorkerId> kept;
    const uint32_t count = 1 + Pick(3);
    for (uint32_t number = 0; number < count; number++) {
      if (const auto worker = PickUsableWorker()) {
        kept.insert(*worker);
        mUnheard[*worker] = LinkState::kDisconnected;
      }
    }
    for (size_t index = 0; index < kWorkers; index++) {
      if (kept.count(IdOf(index)) == 0) {
        Owner().mLinks[IdOf(index)] = LinkState::kDisconnected;
      }
    }
  }

  // Lets no owner hear a worker that is up.
  void Silence(const WorkerId& aWorker)
  {
    const LinkState link =
      Pick(2) == 0 ? LinkState::kDisconnected : LinkState::kRepliesLost;
    mUnheard[aWorker] = link;
    Owner().mLinks[aWorker] = link;
  }

  int64_t CpuOf(const TaskRef& aTask) const
  {
    for (const JobGraph& job : mJobs) {
      if (job.mId == aTask.mStep.mJob) {
        return job.mSteps[0].mDemand.mCpuMillis;
      }
    }
    return 0;
  }

  std::mt19937 mRandom;
  ShardSimulation mSimulation;
  size_t mOwnerCount = 1;
  std::vector<JobGraph> mJobs;
  uint32_t mLastingJobs = 0;
  bool mAcceptsJobs = true;
  MonotonicTime mLastDisruption;
  // The workers that are up and that the last owner does not hear.
  std::map<WorkerId, LinkState> mUnheard;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_OUTAGE_CLUSTER_FAKE_H_
