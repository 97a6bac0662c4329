// Compares ShardScheduler's orders in seeded simulations with those recorded
// when each task's worker was found by an exhaustive scan of the workers, and
// again when gangs, racks and avoided workers got rules of their own.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

#include <cstdio>

namespace mulberryvalve {
namespace {

constexpr size_t kWorkers = 14;
constexpr int kRounds = 45;

// Digest computes an FNV-1a hash over texts.
class Digest
{
public:
  void Add(const std::string& aText)
  {
    for (const char letter : aText) {
      mSum = (mSum ^ static_cast<unsigned char>(letter)) * 1099511628211U;
    }
    mCount++;
  }

  std::string Text() const
  {
    char text[40];
    std::snprintf(text,
                  sizeof(text),
                  "%016llx/%zu",
                  static_cast<unsigned long long>(mSum),
                  mCount);
    return text;
  }

private:
  uint64_t mSum = 14695981039346656037U;
  size_t mCount = 0;
};

std::string TextOf(const TaskOrder& aOrder, MonotonicTime aNow)
{
  return std::to_string(aNow.time_since_epoch().count()) +
         std::string(kOrderKindNames.Name(aOrder.mKind)) + aOrder.mTask.Text() +
         "#" + std::to_string(aOrder.mRun.Value()) + "@" +
         aOrder.mWorker.Text();
}

// Scenario submits jobs of all kinds, mostly more than there is capacity for,
// and disturbs links, workers, configuration and ownership.
class Scenario
{
public:
  explicit Scenario(uint32_t aSeed)
    : mRandom(aSeed)
    , mWorld(kWorkers)
  {
    mWorld.mDurationOf = [](const TaskRef& aTask) {
      return Milliseconds(400 + 300 * (aTask.mIndex % 5));
    };
    mWorld.mEndKindOf = [](const TaskRef& aTask, RunNumber aRun) {
      const bool fails = (aTask.mIndex + aRun.Value()) % 17 == 0;
      return fails ? EndKind::kFailed : EndKind::kDone;
    };
    mWorld.mOnOrder = [this](const TaskOrder& aOrder) {
      mDigest.Add(TextOf(aOrder, mWorld.Now()));
    };
    mWorld.AddOwner();
    mWorld.Worker(3).mInfo.mLabels = { WorkerLabel("label") };
    mWorld.Worker(8).mInfo.mLabels = { WorkerLabel("label") };
  }

  std::string Run()
  {
    for (int round = 0; round < kRounds; round++) {
      const uint32_t jobs = RandomBelow(5);
      for (uint32_t number = 0; number < jobs; number++) {
        mWorld.Submit(NextJob());
      }
      InjectDisturbance();
      mWorld.RunFor(Milliseconds(100 * (1 + RandomBelow(6))));
    }
    LastOwner().mLinks.clear();
    mWorld.mFailingWorkers.clear();
    mWorld.RunFor(Milliseconds(15000));
    return mDigest.Text();
  }

private:
  uint32_t RandomBelow(uint32_t aBelow)
  {
    return static_cast<uint32_t>(mRandom() % aBelow);
  }

  SimulatedOwner& LastOwner() { return mWorld.Owner(mOwnerCount - 1); }

  JobGraph NextJob()
  {
    JobGraph job = OneStepJob("j" + std::to_string(mJobCount++), 1, 1000);
    job.mQueue = QueueId("queue" + std::to_string(RandomBelow(3)));
    job.mRules.mPriority = static_cast<int>(RandomBelow(3));
    job.mRules.mSlack = Milliseconds(500 + RandomBelow(3000));
    job.mRules.mMaxAttempts = 4;
    job.mSteps.resize(1 + RandomBelow(3));
    for (size_t number = 0; number < job.mSteps.size(); number++) {
      StepSpec& step = job.mSteps[number];
      step.mCount = 1 + RandomBelow(18);
      step.mDemand =
        Resources{ 400 * (1 + RandomBelow(9)), 1000 * (1 + RandomBelow(9)), 0 };
      step.mEstimate = Milliseconds(500 * (1 + RandomBelow(3)));
      step.mImage = ImageId("image" + std::to_string(RandomBelow(5)));
      step.mBestEffort = RandomBelow(3) == 0;
      AddRandomConstraint(step);
      if (number > 0 && RandomBelow(2) == 0) {
        step.mDependsOn = { static_cast<uint32_t>(number - 1) };
      }
    }
    return job;
  }

  void AddRandomConstraint(StepSpec& aStep)
  {
    switch (RandomBelow(9)) {
      case 0:
        aStep.mGang = true;
        aStep.mSameRack = RandomBelow(2) == 0;
        break;
      case 1:
        aStep.mSameRack = true;
        break;
      case 2:
        aStep.mMaxPerWorker = 1 + RandomBelow(2);
        break;
      case 3:
        aStep.mRequiredLabel = WorkerLabel("label");
        break;
      case 4:
        aStep.mDataRack = RackId("r1");
        break;
      case 5:
        aStep.mLongRunning = true;
        aStep.mBestEffort = false;
        aStep.mCount = 1 + RandomBelow(4);
        break;
      default:
        break;
    }
  }

  void InjectDisturbance()
  {
    const size_t index = RandomBelow(kWorkers);
    const WorkerId worker = mWorld.Worker(index).mInfo.mId;
    switch (RandomBelow(14)) {
      case 0:
        LastOwner().mLinks[worker] = LinkState::kDisconnected;
        break;
      case 1:
        LastOwner().mLinks[worker] = LinkState::kRepliesLost;
        break;
      case 2:
        LastOwner().mLinks.clear();
        break;
      case 3:
        mWorld.RestartWorker(worker);
        break;
      case 4:
        mWorld.mFailingWorkers.insert(worker);
        break;
      case 5:
        mWorld.mFailingWorkers.clear();
        break;
      case 6:
        mWorld.Cancel(JobId("j" + std::to_string(RandomBelow(mJobCount + 1))));
        break;
      case 7:
        mWorld.Worker(index).mInfo.mState = WorkerState::kLeaving;
        break;
      case 8:
        mWorld.Worker(index).mInfo.mState = WorkerState::kLive;
        break;
      case 9:
        ToggleDomainExclusion(index);
        break;
      case 10:
        mWorld.AddOwner();
        mOwnerCount++;
        break;
      case 11:
        mWorld.Worker(index).mInfo.mCapacity.mCpuMillis =
          8000 * (1 + RandomBelow(3));
        break;
      default:
        break;
    }
  }

  void ToggleDomainExclusion(size_t aIndex)
  {
    ClusterConfig config;
    config.mVersion = ++mVersion;
    if (RandomBelow(2) == 0) {
      config.mExcludedDomains.insert(mWorld.Worker(aIndex).mInfo.mDomain);
    }
    mWorld.Configure(config);
  }

  std::mt19937 mRandom;
  ShardSimulation mWorld;
  Digest mDigest;
  size_t mOwnerCount = 1;
  uint32_t mJobCount = 0;
  uint64_t mVersion = 1;
};

const char* const kExpectedDigests[] = {
  "e834a76aa37f75b1/2934", "28212a043c989faf/3842", "3020ba5c79397c58/3626",
  "cc9a91ebabb09411/3025", "08389477584dab16/3388", "56c09e25359c1bbd/3211",
  "c8350f26e9734973/2928", "ed13bb6aae9cb40a/2660", "8f033ce6f285a50c/2806",
  "4459477196cbbdf4/3678", "9cc8c4d29420f5a0/2989", "b4688a718ca04b06/2946",
  "f1c66a6b3bb6054e/2897", "d2a513665c3a612d/3544", "4a6c2fad8eac73ee/3296",
  "052947c1f8d92d95/2636",
};

} // namespace

TEST_GROUP(OrderRegressionTest){};

// Guards against the optimised search for workers choosing differently.
TEST(OrderRegressionTest, OrdersMatchAnExhaustiveScan)
{
  uint32_t seed = 0;
  for (const char* recorded : kExpectedDigests) {
    seed++;
    const std::string digest = Scenario(seed).Run();
    const std::string label = "seed " + std::to_string(seed);
    STRCMP_EQUAL_TEXT(recorded, digest.c_str(), label.c_str());
  }
}

} // namespace mulberryvalve
