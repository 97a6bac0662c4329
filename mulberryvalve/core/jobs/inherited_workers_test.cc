// Tests which tasks stay blocked by workers that have not answered a new owner.
#include "mulberryvalve/core/jobs/inherited_workers.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const WorkerId kFirst("a");
const WorkerId kSecond("b");
const StepRef kStep{ JobId("j"), 0, 1 };
const TaskRef kTask{ kStep, 3 };
const TaskRef kOther{ kStep, 4 };

// Returns the task of kStep that may start on aWorker without a record.
TaskRef UnrecordedTaskOn(const WorkerId& aWorker)
{
  TaskRef task{ kStep, 0 };
  while (!MayStartUnrecorded(task, aWorker)) {
    task.mIndex++;
  }
  return task;
}

MonotonicTime At(int aMilliseconds)
{
  return MonotonicTime(Milliseconds(aMilliseconds));
}

} // namespace

TEST_GROUP(InheritedWorkersTest)
{
  InheritedWorkers mInheritedWorkers;
};

TEST(InheritedWorkersTest, WorkerWithoutNoteBlocksItsRecordedTasksAndItsBucket)
{
  mInheritedWorkers.Add(kFirst, InheritedWorker{ At(100), std::nullopt });
  CHECK(mInheritedWorkers.AddRecordedTask(kFirst, kTask));
  mInheritedWorkers.ExpireWaits(At(99));
  CHECK(mInheritedWorkers.BlocksTask(kTask));
  CHECK_FALSE(mInheritedWorkers.BlocksTask(kOther));
  CHECK(mInheritedWorkers.BlocksStep(kStep));
  CHECK(mInheritedWorkers.HasUnnotedWorkers());
  const TaskRef unrecorded = UnrecordedTaskOn(kFirst);
  for (uint32_t index = 0; index < kStartBuckets; index++) {
    CHECK_EQUAL(index == unrecorded.mIndex,
                mInheritedWorkers.BlocksUnrecorded(TaskRef{ kStep, index }));
  }
  CHECK(mInheritedWorkers.MayRunTasks(kFirst));
  mInheritedWorkers.ExpireWaits(At(100));
  CHECK_FALSE(mInheritedWorkers.BlocksTask(kTask));
  CHECK_FALSE(mInheritedWorkers.BlocksUnrecorded(unrecorded));
  CHECK_FALSE(mInheritedWorkers.HasUnnotedWorkers());
  CHECK_FALSE(mInheritedWorkers.MayRunTasks(kFirst));
  // The end of the wait stays known, so that the wait does not start over.
  CHECK(At(100) == mInheritedWorkers.Find(kFirst)->mWaitUntil);
}

TEST(InheritedWorkersTest, TaskIsFreeOnceAllWorkersOfItsRecordAreSettled)
{
  const WorkerId dark("c");
  for (const WorkerId& worker : { kFirst, kSecond, dark }) {
    mInheritedWorkers.Add(worker, InheritedWorker{ At(100), std::nullopt });
  }
  mInheritedWorkers.AddRecordedTask(kFirst, kTask);
  mInheritedWorkers.AddRecordedTask(kSecond, kTask);
  mInheritedWorkers.AddRecordedTask(dark, kOther);
  mInheritedWorkers.Remove(kFirst);
  CHECK(mInheritedWorkers.BlocksTask(kTask));
  mInheritedWorkers.MarkIdle(kSecond, At(20));
  CHECK_FALSE(mInheritedWorkers.BlocksTask(kTask));
  CHECK(mInheritedWorkers.BlocksTask(kOther));
  const auto settled = mInheritedWorkers.TakeSettled();
  CHECK_EQUAL(2U, settled.size());
  CHECK(settled[0].first == kFirst);
  CHECK(settled[1].first == kSecond);
  CHECK(settled[1].second == std::vector<TaskRef>{ kTask });
  CHECK(mInheritedWorkers.TakeSettled().empty());
}

TEST(InheritedWorkersTest, NoteIsMorePreciseThanRecords)
{
  mInheritedWorkers.Add(
    kFirst, InheritedWorker{ At(100), std::vector<TaskRef>{ kTask } });
  CHECK_FALSE(mInheritedWorkers.AddRecordedTask(kFirst, kOther));
  CHECK(mInheritedWorkers.AddRecordedTask(kFirst, kTask));
  CHECK_FALSE(mInheritedWorkers.BlocksTask(kOther));
  CHECK_FALSE(mInheritedWorkers.BlocksUnrecorded(UnrecordedTaskOn(kFirst)));
  mInheritedWorkers.Remove(kFirst);
  CHECK_FALSE(mInheritedWorkers.BlocksTask(kTask));
}

TEST(InheritedWorkersTest, WorkerThatIsNotKnownRunsNothing)
{
  CHECK_FALSE(mInheritedWorkers.AddRecordedTask(kFirst, kTask));
  mInheritedWorkers.Add(kSecond, InheritedWorker{ At(100), std::nullopt });
  mInheritedWorkers.ExpireWaits(At(100));
  CHECK_FALSE(mInheritedWorkers.AddRecordedTask(kSecond, kTask));
  CHECK_FALSE(mInheritedWorkers.BlocksTask(kTask));
}

TEST(InheritedWorkersTest, TaskStaysBlockedUntilTheWaitsForAllItsWorkersEnd)
{
  mInheritedWorkers.Add(
    kFirst, InheritedWorker{ At(100), std::vector<TaskRef>{ kTask } });
  mInheritedWorkers.Add(
    kSecond, InheritedWorker{ At(200), std::vector<TaskRef>{ kTask } });
  mInheritedWorkers.ExpireWaits(At(100));
  CHECK_FALSE(mInheritedWorkers.HasUnnotedWorkers());
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
  CHECK_FALSE(mInheritedWorkers.HasUnnotedWorkers());
  CHECK(mInheritedWorkers.BlocksTask(kTask));
  mInheritedWorkers.MarkIdle(kSecond, At(50));
  mInheritedWorkers.MarkIdle(kSecond, At(60));
  CHECK_FALSE(mInheritedWorkers.BlocksTask(kTask));
  CHECK(At(50) == mInheritedWorkers.Find(kSecond)->mWaitUntil);
  CHECK(mInheritedWorkers.Find(kSecond)->mPossibleTasks->empty());
  CHECK(mInheritedWorkers.PendingWorkers().empty());
}

// Guards against a start of an owner of an earlier version, which recorded no
// placements, while instances are replaced one after another.
TEST(InheritedWorkersTest, TasksOfAnOwnerWithoutRecordsWaitForAllUnnotedWorkers)
{
  InheritedWorkers inherited;
  inherited.Add(
    WorkerId("a"),
    InheritedWorker{ MonotonicTime(Milliseconds(9)), std::nullopt, true });
  StepSpec lasting;
  lasting.mLongRunning = true;
  const TaskRef task{ { JobId("j"), 0, 0 }, 0 };
  CHECK_FALSE(inherited.MayRun(task, lasting, true));
  inherited.OnStartsWithoutRecords();
  CHECK(inherited.MayRun(task, lasting, true));
  CHECK_FALSE(inherited.MayRun(task, lasting, false));
  inherited.Remove(WorkerId("a"));
  CHECK_FALSE(inherited.MayRun(task, lasting, true));
}

} // namespace mulberryvalve
