// Workers that hold more ends than one report lists.
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include "CppUTest/TestHarness.h"

#include <map>

namespace mulberryvalve {
namespace {

constexpr size_t kWorkers = 2;
constexpr uint32_t kTasks = 60;
constexpr size_t kListedEnds = 5;
constexpr Milliseconds kStartTime{ 100 };
// While appends fail, more ends wait on each worker than a report lists.
constexpr Milliseconds kOutage{ 4000 };
constexpr Milliseconds kSettleTime{ 20000 };

// A job of short tasks, whose ends can't be made durable for a while.
class ManyEnds
{
public:
  ManyEnds()
    : mSim(kWorkers)
  {
    mSim->mMaxListedEnds = kListedEnds;
    mSim->mDurationOf = [](const TaskRef&) { return Milliseconds(300); };
    mSim->mOnOrder = [this](const TaskOrder& aOrder) {
      mStarts[aOrder.mTask] += aOrder.mKind == OrderKind::kStart ? 1 : 0;
    };
    for (size_t index = 0; index < kWorkers; index++) {
      mSim->Worker(index).mInfo.mCapacity = Resources{ 64000, 64000, 0 };
    }
    mSim->RunFor(Milliseconds(300));
    mSim->Submit(OneStepJob("j", kTasks, 2000));
    mSim->RunFor(kStartTime);
    CHECK_EQUAL(kTasks, mSim->Running());
    mSim->Owner(0).mAppendsFail = true;
    mSim->RunFor(kOutage);
    for (size_t index = 0; index < kWorkers; index++) {
      CHECK(mSim->Worker(index).mEnded.size() > kListedEnds);
    }
  }

  void CheckOneStartEach(const ShardScheduler& aOwner)
  {
    mSim->RunFor(kSettleTime);
    STRCMP_EQUAL("", mSim.AllViolations().c_str());
    for (const auto& [task, starts] : mStarts) {
      CHECK_EQUAL_TEXT(1, starts, task.Text().c_str());
    }
    CHECK(aOwner.Phase(JobId("j")) == JobPhase::kCompleted);
  }

  TakeoverSimulation mSim;

private:
  std::map<TaskRef, int> mStarts;
};

} // namespace

TEST_GROUP(ListedEndsTest){};

// Guards against a task being taken for lost, and started again, because its
// end is not listed yet (review/2).
TEST(ListedEndsTest, ATaskWhoseEndIsNotListedYetIsNotLost)
{
  ManyEnds ends;
  ends.mSim->Owner(0).mAppendsFail = false;
  ends.CheckOneStartEach(*ends.mSim->Owner(0).mShard);
}

// The same for a successor, which learns of the ends by and by. Its appends
// fail for longer than it waits for a worker that does not answer.
TEST(ListedEndsTest, ASuccessorWaitsForTheEndsThatAreNotListedYet)
{
  for (const int outageMs : { 0, 2000, 20000 }) {
    ManyEnds ends;
    ends.mSim.ReplaceOwner();
    SimulatedOwner& next = ends.mSim->Owner(1);
    next.mAppendsFail = true;
    ends.mSim->RunFor(Milliseconds(outageMs));
    next.mAppendsFail = false;
    ends.CheckOneStartEach(*next.mShard);
  }
}

} // namespace mulberryvalve
