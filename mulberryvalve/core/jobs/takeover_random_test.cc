// Random takeovers that overlap with workers that drain, exit, restart, move,
// become unreachable or lose one owner, and with orders that are lost or late.
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"
#include "tests/support/setting.h"

#include "CppUTest/TestHarness.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace mulberryvalve {
namespace {

constexpr uint32_t kSeeds = 60;
constexpr size_t kWorkers = 8;
// A worker is taken away only if more than this many are up and stay.
constexpr size_t kMinWorkersUp = 4;
constexpr int kRounds = 80;
// Once the faults are over, all jobs end within this, and long-running tasks
// run.
constexpr Milliseconds kRecoveryTime{ 15000 };

// Fault is what may happen in a round.
enum class Fault
{
  kKilledOwner,
  kSupersededOwner,
  kSplitBrain,
  kDrain,
  kCrash,
  kUnreachable,
  kReconnect,
  kDisconnected,
  kRepliesLost,
  kRestoreLinks,
  kRestart,
  kChangeEndpoint,
  kLateOrders,
  kLostOrders,
  kCancel,
  kNone,
};
constexpr uint32_t kFaultKinds = static_cast<uint32_t>(Fault::kNone) + 1;

// What a schedule draws beside changes of owner.
enum class Draws
{
  kFaults,
  // An owner loses the store for some time before it is replaced, and its
  // successor knows since when.
  kLostStores,
  // Gangs that last, and steps for one rack.
  kGroups,
};

// RandomSchedule runs the schedule of one seed.
class RandomSchedule
{
public:
  explicit RandomSchedule(uint32_t aSeed, Draws aDraws = Draws::kFaults)
    : mRandom(aSeed)
    , mSimulation(kWorkers)
    , mDraws(aDraws)
  {
    mSimulation.mObservesOwners = aDraws == Draws::kLostStores;
    mSimulation.mGangsFailTogether = true;
    // In a third of the schedules nobody can be asked; of the owners that have
    // ended, a quarter can't be, and of their answers half are lost.
    if (aSeed % 3 != 0) {
      mSimulation.mTellsItsEnd = [this](const SimulatedOwner& aOwner) {
        return aOwner.mEpoch.Value() % 4 != 0 && Pick(2) == 0;
      };
    }
    mSimulation.mDurationOf = [](const TaskRef& aTask) {
      return DurationOf(aTask);
    };
    mSimulation.mDelayOf = [this](const TaskOrder&) { return PickDelay(); };
    for (size_t index = 0; index < kWorkers; index++) {
      mSimulation.Worker(index).mClockRatePerMille = 980 + Pick(21);
    }
    mSimulation.AddOwner();
  }

  void Run()
  {
    for (mRound = 0; mRound < kRounds; mRound++) {
      mSimulation.Submit(NextJob());
      InjectFault(static_cast<Fault>(Pick(kFaultKinds)));
      RunFor(Milliseconds(100 * (1 + Pick(10))));
    }
    RestoreAll();
    RunFor(kRecoveryTime);
  }

  // Returns the invariants that were violated.
  const std::vector<std::string>& Violations() const
  {
    return mSimulation.Violations();
  }

  // Returns a description of the first job that has not ended, or whose lasting
  // tasks don't all run; empty if there is none.
  std::string Unfinished()
  {
    for (const JobGraph& job : mJobs) {
      const std::string& id = job.mId.Text();
      const bool isLongRunning = job.mSteps[0].mLongRunning;
      const bool isOver = IsOver(*Owner().mShard->Phase(job.mId));
      const size_t runs = mSimulation.RunningOf(job.mId);
      if (isLongRunning && !isOver && runs != job.mSteps[0].mCount) {
        return id + " lasts, and " + std::to_string(runs) + " run";
      }
      if (!isLongRunning && (!isOver || runs != 0)) {
        return id + " is not over, " + std::to_string(runs) + " run";
      }
    }
    return "";
  }

private:
  static Milliseconds DurationOf(const TaskRef& aTask)
  {
    switch (aTask.mStep.mJob.Text()[0]) {
      case 'l':
        return TakeoverSimulation::kLong;
      case 'g':
        return Milliseconds(1500);
      default:
        return Milliseconds(300 + 400 * (aTask.mIndex % 7));
    }
  }

  uint32_t Pick(uint32_t aBelow)
  {
    return static_cast<uint32_t>(mRandom() % aBelow);
  }

  SimulatedOwner& Owner() { return mSimulation.Owner(mOwnerCount - 1); }

  JobGraph NextJob()
  {
    const uint32_t kind = Pick(6);
    const bool isLongRunning = kind <= 1 && mRound % 2 == 0;
    const bool gang = kind == 2;
    const std::string id =
      std::string(isLongRunning ? "l" : (gang ? "g" : "j")) +
      std::to_string(mRound);
    const auto tasks = 1 + Pick(6);
    const auto taskMs = 500 * (1 + Pick(10));
    JobGraph job = OneStepJob(id, tasks, taskMs);
    StepSpec& step = job.mSteps[0];
    step.mLongRunning = isLongRunning;
    step.mGang = gang;
    step.mBestEffort = kind == 3;
    if (isLongRunning || gang) {
      step.mCount = 1 + Pick(3);
      step.mDemand.mCpuMillis = 1000;
    }
    if (mDraws == Draws::kGroups) {
      step.mSameRack = Pick(2) == 0;
      step.mGang = step.mGang || (isLongRunning && Pick(2) == 0);
    }
    mJobs.push_back(job);
    return job;
  }

  std::optional<Milliseconds> PickDelay()
  {
    if (!mOrdersAreLate || Pick(3) != 0) {
      return std::nullopt;
    }
    return Milliseconds(100 + Pick(2900));
  }

  // Picks a listed worker in aState. To pick one that is up, more than
  // kMinWorkersUp have to be up and not leaving.
  std::optional<WorkerId> PickWorker(NodeState aState)
  {
    std::vector<WorkerId> ids;
    for (size_t index = 0; index < kWorkers; index++) {
      const SimulatedWorker& worker = mSimulation.Worker(index);
      const bool isAway = worker.mLeavesAt || mRelistAt.count(worker.mInfo.mId);
      if (worker.mState == aState && !(aState == NodeState::kUp && isAway)) {
        ids.push_back(worker.mInfo.mId);
      }
    }
    const size_t minCount = aState == NodeState::kUp ? kMinWorkersUp : 0;
    if (ids.size() <= minCount) {
      return std::nullopt;
    }
    return ids[Pick(static_cast<uint32_t>(ids.size()))];
  }

  void WithWorker(NodeState aState,
                  const std::function<void(WorkerId)>& aInject)
  {
    const std::optional<WorkerId> worker = PickWorker(aState);
    if (worker) {
      aInject(*worker);
    }
  }

  void AddOwner()
  {
    if (mDraws == Draws::kLostStores) {
      Owner().mCanAppend = false;
      RunFor(Milliseconds(Pick(7000)));
    }
    mSimulation.AddOwner();
    mOwnerCount++;
  }

  void KillOwner()
  {
    mSimulation.Kill(mOwnerCount - 1);
    RunFor(Milliseconds(100 * (1 + Pick(15))));
    AddOwner();
  }

  // The former owner keeps some of the workers, its successor gets the others.
  void SplitOwner()
  {
    SimulatedOwner& former = Owner();
    AddOwner();
    former.mLinks.clear();
    for (size_t index = 0; index < kWorkers; index++) {
      SimulatedOwner& disconnectedOwner = Pick(3) == 0 ? Owner() : former;
      disconnectedOwner.mLinks[mSimulation.Worker(index).mInfo.mId] =
        LinkState::kDisconnected;
    }
  }

  void InjectFault(Fault aFault)
  {
    const WorkerId anyWorker = mSimulation.Worker(Pick(kWorkers)).mInfo.mId;
    switch (aFault) {
      case Fault::kKilledOwner:
        KillOwner();
        break;
      case Fault::kSupersededOwner:
        AddOwner();
        break;
      case Fault::kSplitBrain:
        SplitOwner();
        break;
      case Fault::kDisconnected:
        Owner().mLinks[anyWorker] = LinkState::kDisconnected;
        break;
      case Fault::kRepliesLost:
        Owner().mLinks[anyWorker] = LinkState::kRepliesLost;
        break;
      case Fault::kRestoreLinks:
        Owner().mLinks.clear();
        Owner().mLostOrders.clear();
        break;
      case Fault::kLateOrders:
        mOrdersAreLate = !mOrdersAreLate;
        break;
      case Fault::kLostOrders:
        Owner().mLostOrders.insert(anyWorker);
        break;
      case Fault::kCancel:
        mSimulation.Cancel(
          mJobs[Pick(static_cast<uint32_t>(mJobs.size()))].mId);
        break;
      default:
        InjectWorkerFault(aFault);
        break;
    }
  }

  void InjectWorkerFault(Fault aFault)
  {
    switch (aFault) {
      case Fault::kDrain:
        WithWorker(NodeState::kUp, [this](const WorkerId& aId) {
          mSimulation.Drain(aId, Milliseconds(500 + Pick(4000)));
        });
        break;
      case Fault::kCrash:
        WithWorker(NodeState::kUp,
                   [this](const WorkerId& aId) { mSimulation.Exit(aId); });
        break;
      case Fault::kUnreachable:
        WithWorker(NodeState::kUp, [this](const WorkerId& aId) {
          const Milliseconds length(Pick(8000));
          mSimulation.MakeUnreachable(aId, mSimulation.Now() + length);
        });
        break;
      case Fault::kReconnect:
        WithWorker(NodeState::kUnreachable, [this](const WorkerId& aId) {
          mSimulation.MakeReachable(aId);
        });
        break;
      case Fault::kRestart:
        WithWorker(Pick(2) == 0 ? NodeState::kUp : NodeState::kExited,
                   [this](const WorkerId& aId) {
                     mExitedEmpty.erase(aId);
                     mSimulation.RestartWorker(aId);
                   });
        break;
      case Fault::kChangeEndpoint:
        WithWorker(NodeState::kUp,
                   [this](const WorkerId& aId) { ChangeEndpoint(aId); });
        break;
      default:
        break;
    }
  }

  void ChangeEndpoint(const WorkerId& aWorker)
  {
    mEndpointChanges++;
    mSimulation.ChangeEndpoint(
      aWorker, Endpoint{ "moved-" + std::to_string(mEndpointChanges), 7000 });
    const Milliseconds delay(Pick(3000));
    mRelistAt[aWorker] = mSimulation.Now() + delay;
  }

  void RunFor(Milliseconds aLength)
  {
    const MonotonicTime until = mSimulation.Now() + aLength;
    while (mSimulation.Now() < until) {
      mSimulation.Step();
      for (size_t index = 0; index < kWorkers; index++) {
        ApplyDueEvents(mSimulation.Worker(index));
      }
    }
  }

  // Makes a drained worker exit, and lists a moved one again, when it is due.
  void ApplyDueEvents(SimulatedWorker& aWorker)
  {
    const WorkerId id = aWorker.mInfo.mId;
    const bool leaves =
      aWorker.mLeavesAt && *aWorker.mLeavesAt <= mSimulation.Now();
    if (leaves && aWorker.mState != NodeState::kExited) {
      const bool seenByOwner = aWorker.mState == NodeState::kUp &&
                               Owner().mIsActive &&
                               Owner().mLinks.count(id) == 0;
      if (seenByOwner && aWorker.mRuns.empty()) {
        mExitedEmpty.insert(id);
      }
      mSimulation.Exit(id);
    }
    const auto relist = mRelistAt.find(id);
    if (relist != mRelistAt.end() && relist->second <= mSimulation.Now()) {
      aWorker.mListed = aWorker.mState != NodeState::kExited;
      mRelistAt.erase(relist);
    }
  }

  // Ends all faults for the last owner. Workers that exited empty, as their
  // owner could see, stay away; the other exited workers restart.
  void RestoreAll()
  {
    mOrdersAreLate = false;
    for (size_t number = 0; number < mOwnerCount; number++) {
      mSimulation.Owner(number).mLinks.clear();
      mSimulation.Owner(number).mLostOrders.clear();
    }
    for (size_t index = 0; index < kWorkers; index++) {
      SimulatedWorker& worker = mSimulation.Worker(index);
      if (worker.mState == NodeState::kUnreachable) {
        mSimulation.MakeReachable(worker.mInfo.mId);
      }
      if (worker.mState == NodeState::kExited &&
          mExitedEmpty.count(worker.mInfo.mId) == 0) {
        mSimulation.RestartWorker(worker.mInfo.mId);
      }
    }
  }

  std::mt19937 mRandom;
  ShardSimulation mSimulation;
  const Draws mDraws;
  size_t mOwnerCount = 1;
  int mRound = 0;
  int mEndpointChanges = 0;
  bool mOrdersAreLate = false;
  std::vector<JobGraph> mJobs;
  std::map<WorkerId, MonotonicTime> mRelistAt;
  std::set<WorkerId> mExitedEmpty;
};

} // namespace

TEST_GROUP(TakeoverRandomTest){};

// Guards against combinations of faults in which a task is started twice,
// beyond a worker's capacity or after its end was acknowledged.
TEST(TakeoverRandomTest, KeepsInvariantsDuringRandomTakeovers)
{
  std::string violations;
  for (uint32_t seed = 1; seed <= kSeeds; seed++) {
    RandomSchedule schedule(seed);
    schedule.Run();
    for (const std::string& finding : schedule.Violations()) {
      violations += "seed " + std::to_string(seed) + ": " + finding + "\n";
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}

// The same, after outages of the store. A successor that knows how long the
// former owner recorded nothing waits for less long.
TEST(TakeoverRandomTest, KeepsInvariantsAfterOutagesOfTheStore)
{
  std::string violations;
  for (uint32_t seed = 1; seed <= kSeeds; seed++) {
    RandomSchedule schedule(seed, Draws::kLostStores);
    schedule.Run();
    for (const std::string& finding : schedule.Violations()) {
      violations += "seed " + std::to_string(seed) + ": " + finding + "\n";
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}

// Guards against combinations of faults that leave tasks waiting for ever once
// the faults are over.
TEST(TakeoverRandomTest, EverythingEndsAfterRandomTakeovers)
{
  std::string violations;
  for (uint32_t seed = 1; seed <= kSeeds; seed++) {
    RandomSchedule schedule(seed);
    schedule.Run();
    const std::string left = schedule.Unfinished();
    if (!left.empty()) {
      violations += "seed " + std::to_string(seed) + ": " + left + "\n";
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}

// The same with gangs that last and steps for one rack.
TEST(TakeoverRandomTest, GangsAndRacksKeepInvariantsAndEverythingEnds)
{
  const uint64_t schedules = SettingOr("MULBERRYVALVE_SCHEDULES", kSeeds);
  std::string violations;
  for (uint32_t seed = 1; seed <= schedules; seed++) {
    RandomSchedule schedule(seed, Draws::kGroups);
    schedule.Run();
    for (const std::string& finding : schedule.Violations()) {
      violations += "seed " + std::to_string(seed) + ": " + finding + "\n";
    }
    const std::string left = schedule.Unfinished();
    if (!left.empty()) {
      violations += "seed " + std::to_string(seed) + ": " + left + "\n";
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}

} // namespace mulberryvalve
