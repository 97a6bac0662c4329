// Random takeovers while workers drain, exit, restart, move, disconnect and
// reconnect, while former owners keep acting, and while the log takes no
// appends for a while.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kSeeds = 120;
constexpr size_t kWorkers = 7;
// So many that most buckets of starts without a record have a worker.
constexpr size_t kWorkersOfAllBuckets = 40;
constexpr int kRounds = 40;
// Longer than all leases, waits and tasks.
constexpr Milliseconds kSettleTime{ 45000 };

struct FaultScheduleOptions
{
  size_t mWorkers = kWorkers;
  // The owners' appends fail now and then, superseded owners go on reading
  // submissions, and some orders are late.
  bool mLogFails = false;
};

// FaultSchedule runs the schedule of one seed.
class FaultSchedule
{
public:
  FaultSchedule(uint32_t aSeed, const FaultScheduleOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aSeed)
    , mSimulation(aOptions.mWorkers)
  {
    mSimulation.mGangsFailTogether = true;
    mSimulation.mDurationOf = [](const TaskRef& aTask) {
      return Milliseconds(300 + 400 * (aTask.mIndex % 6));
    };
    if (aOptions.mLogFails) {
      mSimulation.mDelayOf = [this](const TaskOrder&) { return PickDelay(); };
    }
    for (size_t index = 0; index < mOptions.mWorkers; index++) {
      mSimulation.Worker(index).mClockRatePerMille = 980 + 10 * Pick(4);
    }
    mSimulation.AddOwner();
  }

  void Run()
  {
    for (int round = 0; round < kRounds; round++) {
      mSimulation.Submit(NextJob(round));
      InjectFault();
      if (mOptions.mLogFails) {
        InjectLogFault();
      }
      mSimulation.RunFor(Milliseconds(40 * (1 + Pick(25))));
    }
    for (size_t number = 0; number < mOwnerCount; number++) {
      mSimulation.Owner(number).mLinks.clear();
      mSimulation.Owner(number).mAppendsFail = false;
    }
    for (size_t index = 0; index < mOptions.mWorkers; index++) {
      Restore(index);
    }
    mSimulation.RunFor(kSettleTime);
  }

  ShardSimulation& World() { return mSimulation; }

private:
  uint32_t Pick(uint32_t aBelow)
  {
    return static_cast<uint32_t>(mRandom() % aBelow);
  }

  void MakeUnreachableFor(const WorkerId& aWorker, Milliseconds aLength)
  {
    mSimulation.MakeUnreachable(aWorker, mSimulation.Now() + aLength);
  }

  JobGraph NextJob(int aRound)
  {
    const auto tasks = 1 + Pick(6);
    const auto taskMs = 500 * (1 + Pick(12));
    JobGraph job = OneStepJob("j" + std::to_string(aRound), tasks, taskMs);
    job.mSteps[0].mGang = Pick(4) == 0;
    job.mSteps[0].mBestEffort = !job.mSteps[0].mGang && Pick(4) == 0;
    return job;
  }

  void InjectFault()
  {
    const size_t index = Pick(static_cast<uint32_t>(mOptions.mWorkers));
    const WorkerId id = mSimulation.Worker(index).mInfo.mId;
    SimulatedOwner& owner = mSimulation.Owner(mOwnerCount - 1);
    switch (Pick(12)) {
      case 0:
        owner.mLinks[id] = LinkState::kDisconnected;
        break;
      case 1:
        owner.mLinks[id] = LinkState::kRepliesLost;
        break;
      case 2:
        owner.mLinks.clear();
        break;
      case 3:
        owner.mIsActive = Pick(2) == 0;
        AddOwner();
        break;
      case 4:
        AddOwner();
        break;
      default:
        InjectWorkerFault(index, id);
        break;
    }
  }

  void InjectLogFault()
  {
    SimulatedOwner& owner = mSimulation.Owner(mOwnerCount - 1);
    owner.mReadsSubmissions = true;
    owner.mAppendsFail = Pick(3) == 0;
  }

  std::optional<Milliseconds> PickDelay()
  {
    if (Pick(20) != 0) {
      return std::nullopt;
    }
    return Milliseconds(20 * (1 + Pick(40)));
  }

  // Adds an owner that knows which former owners have ended.
  void AddOwner()
  {
    ShardScheduler& added = *mSimulation.AddOwner().mShard;
    for (size_t number = 0; number < mOwnerCount; number++) {
      const SimulatedOwner& former = mSimulation.Owner(number);
      if (!former.mIsActive) {
        added.OnFormerOwnerEnded(FormerOwnerEnd{
          former.mEpoch, mSimulation.Now(), mSimulation.Now() });
      }
    }
    mOwnerCount++;
  }

  void InjectWorkerFault(size_t aIndex, const WorkerId& aWorker)
  {
    SimulatedWorker& worker = mSimulation.Worker(aIndex);
    if (worker.mState != NodeState::kUp || !worker.mListed) {
      Restore(aIndex);
      return;
    }
    switch (Pick(5)) {
      case 0:
        mSimulation.Drain(aWorker, Milliseconds(1000 + 500 * Pick(6)));
        break;
      case 1:
        mSimulation.Exit(aWorker);
        break;
      case 2:
        mSimulation.MakeUnreachable(aWorker);
        break;
      case 3:
        MakeUnreachableFor(aWorker, Milliseconds(500 * Pick(5)));
        break;
      default:
        mSimulation.ChangeEndpoint(aWorker,
                                   Endpoint{ "elsewhere", mNextPort++ });
        break;
    }
  }

  // Ends the faults of a worker: one that exited restarts, one that moved is
  // listed again, and one that drains stays.
  void Restore(size_t aIndex)
  {
    SimulatedWorker& worker = mSimulation.Worker(aIndex);
    const WorkerId id = worker.mInfo.mId;
    if (worker.mState == NodeState::kExited) {
      mSimulation.RestartWorker(id);
      return;
    }
    mSimulation.MakeReachable(id);
    worker.mListed = true;
    worker.mInfo.mState = WorkerState::kLive;
    worker.mLeavesAt.reset();
  }

  const FaultScheduleOptions mOptions;
  std::mt19937 mRandom;
  ShardSimulation mSimulation;
  size_t mOwnerCount = 1;
  uint16_t mNextPort = 7000;
};

} // namespace

TEST_GROUP(TakeoverFaultsTest){
  void CheckSchedules(const FaultScheduleOptions& aOptions){
    for (uint32_t seed = 1; seed <= kSeeds;
         seed++){ FaultSchedule schedule(seed, aOptions);
schedule.Run();
const std::string label = "seed " + std::to_string(seed);
for (const std::string& finding : schedule.World().Violations()) {
  STRCMP_EQUAL_TEXT("", finding.c_str(), label.c_str());
}
CHECK_EQUAL_TEXT(0U, schedule.World().Running(), label.c_str());
}
}
}
;

// Guards against a handover note that names fewer tasks than may still run,
// which the successor would then start a second time.
TEST(TakeoverFaultsTest, NoTaskRunsTwiceAndAllEnd)
{
  CheckSchedules(FaultScheduleOptions());
}

// Guards against a task that a successor starts a second time, because it was
// started without a record.
TEST(TakeoverFaultsTest, NoTaskRunsTwiceWhileTheLogFails)
{
  FaultScheduleOptions options;
  options.mLogFails = true;
  CheckSchedules(options);
  options.mWorkers = kWorkersOfAllBuckets;
  CheckSchedules(options);
}

} // namespace mulberryvalve
