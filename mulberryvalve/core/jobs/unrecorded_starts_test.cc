// Tests which starts need no record.
#include "mulberryvalve/core/jobs/unrecorded_starts.h"

#include "CppUTest/TestHarness.h"

#include <set>

namespace mulberryvalve {
namespace {

TaskRef TaskAt(const char* aJob,
               uint32_t aOccurrence,
               uint32_t aStep,
               uint32_t aIndex)
{
  return TaskRef{ { JobId(aJob), aOccurrence, aStep }, aIndex };
}

} // namespace

TEST_GROUP(UnrecordedStartsTest){};

// Owners of different versions have to agree on the buckets.
TEST(UnrecordedStartsTest, BucketsOfTasksNeverChange)
{
  struct Row
  {
    TaskRef mTask;
    size_t mBucket;
  };
  const Row rows[] = {
    { TaskAt("", 0, 0, 0), 9 },     { TaskAt("j-1", 0, 0, 0), 5 },
    { TaskAt("j-1", 0, 0, 1), 6 },  { TaskAt("j-1", 0, 0, 4294967295), 4 },
    { TaskAt("j-1", 0, 1, 0), 2 },  { TaskAt("j-1", 1, 0, 0), 9 },
    { TaskAt("j-2", 0, 0, 0), 12 },
  };
  for (const Row& row : rows) {
    CHECK_EQUAL(row.mBucket, BucketOf(row.mTask));
  }
}

TEST(UnrecordedStartsTest, BucketsOfWorkersNeverChange)
{
  struct Row
  {
    const char* mWorker;
    size_t mBucket;
  };
  const Row rows[] = {
    { "", 9 }, { "w-1", 14 }, { "w-2", 12 }, { "w100", 9 }, { "w101", 1 },
  };
  for (const Row& row : rows) {
    CHECK_EQUAL(row.mBucket, BucketOf(WorkerId(row.mWorker)));
  }
}

TEST(UnrecordedStartsTest, NeighboursInAStepFillAllBuckets)
{
  std::set<size_t> buckets;
  for (uint32_t index = 0; index < kStartBuckets; index++) {
    buckets.insert(BucketOf(TaskAt("j", 3, 2, index)));
  }
  CHECK_EQUAL(kStartBuckets, buckets.size());
}

TEST(UnrecordedStartsTest, OnlyWorkersOfTheBucketGetUnrecordedStarts)
{
  const TaskRef task = TaskAt("j", 0, 0, 0);
  size_t allowed = 0;
  constexpr size_t kWorkers = 1600;
  for (size_t number = 0; number < kWorkers; number++) {
    const WorkerId worker("w" + std::to_string(number));
    CHECK_EQUAL(BucketOf(task) == BucketOf(worker),
                MayStartUnrecorded(task, worker));
    allowed += MayStartUnrecorded(task, worker) ? 1 : 0;
  }
  // A sixteenth of them, give or take half.
  CHECK(allowed > kWorkers / kStartBuckets / 2);
  CHECK(allowed < kWorkers / kStartBuckets * 3 / 2);
}

TEST(UnrecordedStartsTest, StepsThatLastOrDependNeedRecords)
{
  struct Row
  {
    bool mLongRunning;
    bool mGang;
    bool mMayStart;
  };
  for (const Row& row : { Row{ false, false, true },
                          Row{ true, false, false },
                          Row{ false, true, false },
                          Row{ true, true, false } }) {
    StepSpec step;
    step.mLongRunning = row.mLongRunning;
    step.mGang = row.mGang;
    CHECK_EQUAL(row.mMayStart, MayStartUnrecorded(step));
  }
}

} // namespace mulberryvalve
