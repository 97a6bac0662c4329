// Tests which tasks stay blocked by workers that have not answered a new owner.
#include "mulberryvalve/core/jobs/inherited_workers.h"

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

TEST_GROUP(InheritedWorkersTest)
{
  InheritedWorkers mInheritedWorkers;
};

TEST(InheritedWorkersTest, WorkerWithUnknownTasksBlocksAllTasks)
{
  mInheritedWorkers.Add(kFirst, InheritedWorker{ At(100), std::nullopt });
  mInheritedWorkers.ExpireWaits(At(99));
  CHECK(mInheritedWorkers.BlocksAllTasks());
  CHECK(mInheritedWorkers.MayRunTasks(kFirst));
  mInheritedWorkers.ExpireWaits(At(100));
  CHECK_FALSE(mInheritedWorkers.BlocksAllTasks());
  CHECK_FALSE(mInheritedWorkers.MayRunTasks(kFirst));
  // The end of the wait stays known, so that the wait does not start over.
  CHECK(At(100) == mInheritedWorkers.Find(kFirst)->mWaitUntil);
}

TEST(InheritedWorkersTest, TaskStaysBlockedUntilTheWaitsForAllItsWorkersEnd)
{
  mInheritedWorkers.Add(
    kFirst, InheritedWorker{ At(100), std::vector<TaskRef>{ kTask } });
  mInheritedWorkers.Add(
    kSecond, InheritedWorker{ At(200), std::vector<TaskRef>{ kTask } });
  mInheritedWorkers.ExpireWaits(At(100));
  CHECK_FALSE(mInheritedWorkers.BlocksAllTasks());
  CHECK(mInheritedWorkers.BlocksTask(kTask));
  CHECK(mInheritedWorkers.BlocksStep(kStep));
  CHECK_FALSE(mInheritedWorkers.BlocksTask(TaskRef{ kStep, 2 }));
  CHECK_FALSE(mInheritedWorkers.BlocksStep(StepRef{ JobId("j"), 0, 0 }));
  CHECK_FALSE(mInheritedWorkers.BlocksStep(StepRef{ JobId("j"), 0, 2 }));
  CHECK_EQUAL(1U, mInheritedWorkers.PendingCount());
  CHECK(At(200) == mInheritedWorkers.LatestWaitEnd());
  mInheritedWorkers.ExpireWaits(At(200));
  CHECK_FALSE(mInheritedWorkers.BlocksTask(kTask));
  CHECK_FALSE(mInheritedWorkers.BlocksStep(kStep));
}

TEST(InheritedWorkersTest, WorkerThatAnsweredBlocksNothing)
{
  mInheritedWorkers.Add(kFirst, InheritedWorker{ At(100), std::nullopt });
  mInheritedWorkers.Add(
    kSecond, InheritedWorker{ At(100), std::vector<TaskRef>{ kTask } });
  mInheritedWorkers.Remove(kFirst);
  mInheritedWorkers.Remove(kFirst);
  CHECK_FALSE(mInheritedWorkers.BlocksAllTasks());
  CHECK(mInheritedWorkers.BlocksTask(kTask));
  mInheritedWorkers.MarkIdle(kSecond, At(50));
  mInheritedWorkers.MarkIdle(kSecond, At(60));
  CHECK_FALSE(mInheritedWorkers.BlocksTask(kTask));
  CHECK(At(50) == mInheritedWorkers.Find(kSecond)->mWaitUntil);
  CHECK(mInheritedWorkers.Find(kSecond)->mPossibleTasks->empty());
  CHECK(mInheritedWorkers.PendingWorkers().empty());
}

} // namespace mulberryvalve
