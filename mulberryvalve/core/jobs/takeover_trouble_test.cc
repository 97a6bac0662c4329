// Seeded changes of owner while workers drain, leave, go dark, come back, move
// and are born anew, and former owners act on.
#include "mulberryvalve/core/jobs/job_world_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kSeeds = 120;
constexpr size_t kWorkers = 7;
constexpr int kRounds = 40;
// Long enough for all leases, waits and tasks to be over.
constexpr Milliseconds kSettled{ 45000 };

// Trouble plays one seed.
class Trouble
{
public:
  explicit Trouble(uint32_t aSeed)
    : mRandom(aSeed)
    , mWorld(kWorkers)
  {
    mWorld.mGangsBreak = true;
    mWorld.mDurationOf = [](const TaskRef& aTask) {
      return Milliseconds(300 + 400 * (aTask.mIndex % 6));
    };
    for (size_t index = 0; index < kWorkers; index++) {
      mWorld.Worker(index).mClockPerMille = 980 + 10 * Pick(4);
    }
    mWorld.AddOwner();
  }

  void Play()
  {
    for (int round = 0; round < kRounds; round++) {
      mWorld.Submit(NextJob(round));
      Disturb();
      mWorld.RunFor(Milliseconds(40 * (1 + Pick(25))));
    }
    for (size_t number = 0; number < mOwners; number++) {
      mWorld.Owner(number).mLinks.clear();
    }
    for (size_t index = 0; index < kWorkers; index++) {
      Restore(index);
    }
    mWorld.RunFor(kSettled);
  }

  JobWorld& World() { return mWorld; }

private:
  uint32_t Pick(uint32_t aBelow)
  {
    return static_cast<uint32_t>(mRandom() % aBelow);
  }

  JobGraph NextJob(int aRound)
  {
    JobGraph job = OneStepJob(
      "j" + std::to_string(aRound), 1 + Pick(6), 500 * (1 + Pick(12)));
    job.mSteps[0].mGang = Pick(4) == 0;
    job.mSteps[0].mFills = !job.mSteps[0].mGang && Pick(4) == 0;
    return job;
  }

  void Disturb()
  {
    const size_t index = Pick(kWorkers);
    const WorkerId id = mWorld.Worker(index).mFacts.mId;
    FakeOwner& owner = mWorld.Owner(mOwners - 1);
    switch (Pick(12)) {
      case 0:
        owner.mLinks[id] = LinkState::kCut;
        break;
      case 1:
        owner.mLinks[id] = LinkState::kNoAnswers;
        break;
      case 2:
        owner.mLinks.clear();
        break;
      case 3:
        owner.mActs = Pick(2) == 0;
        mWorld.AddOwner();
        mOwners++;
        break;
      case 4:
        mWorld.AddOwner();
        mOwners++;
        break;
      default:
        DisturbWorker(index, id);
        break;
    }
  }

  void DisturbWorker(size_t aIndex, const WorkerId& aWorker)
  {
    FakeWorkerNode& worker = mWorld.Worker(aIndex);
    if (worker.mState != NodeState::kUp || !worker.mListed) {
      Restore(aIndex);
      return;
    }
    switch (Pick(5)) {
      case 0:
        mWorld.Drain(aWorker, Milliseconds(1000 + 500 * Pick(6)));
        break;
      case 1:
        mWorld.Leave(aWorker);
        break;
      case 2:
        mWorld.GoDark(aWorker);
        break;
      case 3:
        mWorld.GoDark(aWorker, mWorld.Now() + Milliseconds(500 * Pick(5)));
        break;
      default:
        mWorld.Move(aWorker, Endpoint{ "elsewhere", mNextPort++ });
        break;
    }
  }

  // A worker that left is born anew, one that moved is listed, and one that
  // drains stays after all.
  void Restore(size_t aIndex)
  {
    FakeWorkerNode& worker = mWorld.Worker(aIndex);
    const WorkerId id = worker.mFacts.mId;
    if (worker.mState == NodeState::kLeft) {
      mWorld.Reborn(id);
      return;
    }
    mWorld.Return(id);
    worker.mListed = true;
    worker.mFacts.mState = WorkerState::kLive;
    worker.mLeavesAt.reset();
  }

  std::mt19937 mRandom;
  JobWorld mWorld;
  size_t mOwners = 1;
  uint16_t mNextPort = 7000;
};

} // namespace

TEST_GROUP(TakeoverTroubleTest){};

// Guards against a note for the successor that says less than what may run: the
// successor would start that beside it.
TEST(TakeoverTroubleTest, NothingRunsTwiceAndAllEnds)
{
  for (uint32_t seed = 1; seed <= kSeeds; seed++) {
    Trouble trouble(seed);
    trouble.Play();
    const std::string label = "seed " + std::to_string(seed);
    for (const std::string& finding : trouble.World().Findings()) {
      STRCMP_EQUAL_TEXT("", finding.c_str(), label.c_str());
    }
    CHECK_EQUAL_TEXT(0U, trouble.World().Running(), label.c_str());
  }
}

} // namespace mulberryvalve
