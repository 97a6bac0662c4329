// What may still run on workers that have not answered a new owner.
#include "mulberryvalve/core/jobs/former_workers.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const WorkerId kFirst("a");
const WorkerId kSecond("b");
const StepRef kStep{ JobId("j"), 0, 1 };
const TaskRef kTask{ kStep, 3 };

MonotonicTime At(int aMilliseconds)
{
  return MonotonicTime(Milliseconds(aMilliseconds));
}

} // namespace

TEST_GROUP(FormerWorkersTest)
{
  FormerWorkers mFormer;
};

TEST(FormerWorkersTest, AWorkerOfWhichNothingIsKnownHoldsAll)
{
  mFormer.Add(kFirst, FormerWorker{ At(100), std::nullopt });
  mFormer.Advance(At(99));
  CHECK(mFormer.HoldsAll());
  CHECK(mFormer.IsWaitedFor(kFirst));
  mFormer.Advance(At(100));
  CHECK_FALSE(mFormer.HoldsAll());
  CHECK_FALSE(mFormer.IsWaitedFor(kFirst));
  // Its wait is still known, so that it is not begun anew.
  CHECK(At(100) == mFormer.Find(kFirst)->mUntil);
}

TEST(FormerWorkersTest, ATaskIsHeldUntilTheLastOfItsWorkersIsOver)
{
  mFormer.Add(kFirst, FormerWorker{ At(100), std::vector<TaskRef>{ kTask } });
  mFormer.Add(kSecond, FormerWorker{ At(200), std::vector<TaskRef>{ kTask } });
  mFormer.Advance(At(100));
  CHECK_FALSE(mFormer.HoldsAll());
  CHECK(mFormer.Holds(kTask));
  CHECK(mFormer.HoldsAnyOf(kStep));
  CHECK_FALSE(mFormer.Holds(TaskRef{ kStep, 2 }));
  CHECK_FALSE(mFormer.HoldsAnyOf(StepRef{ JobId("j"), 0, 0 }));
  CHECK_FALSE(mFormer.HoldsAnyOf(StepRef{ JobId("j"), 0, 2 }));
  CHECK_EQUAL(1U, mFormer.WaitedCount());
  CHECK(At(200) == mFormer.LongestWait());
  mFormer.Advance(At(200));
  CHECK_FALSE(mFormer.Holds(kTask));
  CHECK_FALSE(mFormer.HoldsAnyOf(kStep));
}

TEST(FormerWorkersTest, AWorkerThatAnsweredHoldsNothing)
{
  mFormer.Add(kFirst, FormerWorker{ At(100), std::nullopt });
  mFormer.Add(kSecond, FormerWorker{ At(100), std::vector<TaskRef>{ kTask } });
  mFormer.Remove(kFirst);
  mFormer.Remove(kFirst);
  CHECK_FALSE(mFormer.HoldsAll());
  CHECK(mFormer.Holds(kTask));
  mFormer.SetOver(kSecond, At(50));
  mFormer.SetOver(kSecond, At(60));
  CHECK_FALSE(mFormer.Holds(kTask));
  CHECK(At(50) == mFormer.Find(kSecond)->mUntil);
  CHECK(mFormer.Find(kSecond)->mMayRun->empty());
  CHECK(mFormer.Waited().empty());
}

} // namespace mulberryvalve
