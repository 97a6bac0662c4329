// JobTable's count of the jobs of which no task was started.
#include "mulberryvalve/core/jobs/job_table.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const char kQueue[] = "q";

JobGraph MakeJob(const char* aId)
{
  JobGraph job;
  job.mId = JobId(aId);
  job.mQueue = QueueId(kQueue);
  job.mSteps.resize(1);
  return job;
}

TaskRef FirstTask(const char* aId)
{
  return TaskRef{ { JobId(aId), 0, 0 }, 0 };
}

} // namespace

TEST_GROUP(JobTableTest)
{
  JobTable mJobTable;

  size_t Waiting() const
  {
    return mJobTable.Waiting(QueueId(kQueue));
  }
};

// The count is kept up to date by each change; it was once computed from all
// jobs for each query.
TEST(JobTableTest, WaitingJobsAreCountedUntilTheirFirstStart)
{
  CHECK_EQUAL(0U, Waiting());
  mJobTable.Add(MakeJob("a"));
  mJobTable.Add(MakeJob("b"));
  mJobTable.Add(MakeJob("b"));
  CHECK_EQUAL(2U, Waiting());
  // A task that is given to a worker has not been sent there yet.
  mJobTable.Assign(FirstTask("a"), WorkerId("w"), RunNumber(1));
  CHECK_EQUAL(2U, Waiting());
  mJobTable.MarkStarted(JobId("a"));
  CHECK_EQUAL(1U, Waiting());
  // A job whose only task waits again still counts as started.
  mJobTable.Unassign(FirstTask("a"));
  CHECK_EQUAL(1U, Waiting());
  mJobTable.Assign(FirstTask("a"), WorkerId("w"), RunNumber(2));
  CHECK_EQUAL(1U, Waiting());
  CHECK_EQUAL(0U, mJobTable.Waiting(QueueId("other")));
}

TEST(JobTableTest, FinishedJobsAreNotCountedAsWaiting)
{
  JobEntry& cancelled = *mJobTable.Add(MakeJob("a"));
  JobEntry& started = *mJobTable.Add(MakeJob("b"));
  mJobTable.Add(MakeJob("c"));
  mJobTable.Assign(FirstTask("b"), WorkerId("w"), RunNumber(1));
  mJobTable.MarkStarted(JobId("b"));
  CHECK_EQUAL(2U, Waiting());
  cancelled.mPhase = JobPhase::kCancelled;
  mJobTable.RemoveReadySteps(cancelled);
  started.mPhase = JobPhase::kCompleted;
  mJobTable.RemoveReadySteps(started);
  CHECK_EQUAL(1U, Waiting());
  mJobTable.Forget(JobId("a"));
  CHECK_EQUAL(1U, Waiting());
}

TEST(JobTableTest, RestoredJobWaitsOnlyWithoutProgress)
{
  JobRecord untouched;
  untouched.mId = JobId("a");
  mJobTable.Restore(*mJobTable.Add(MakeJob("a")), untouched);
  CHECK_EQUAL(1U, Waiting());
  JobRecord begun;
  begun.mId = JobId("b");
  begun.mTasks.resize(1);
  begun.mTasks[0].mProcessedEnds = { RunNumber(1) };
  mJobTable.Restore(*mJobTable.Add(MakeJob("b")), begun);
  CHECK_EQUAL(1U, Waiting());
  JobRecord over;
  over.mId = JobId("c");
  over.mPhase = JobPhase::kFailed;
  mJobTable.Restore(*mJobTable.Add(MakeJob("c")), over);
  CHECK_EQUAL(1U, Waiting());
  // The start that was to go to the worker may never have been sent.
  JobRecord assigned;
  assigned.mId = JobId("d");
  assigned.mTasks.resize(1);
  assigned.mTasks[0].mPossibleWorkers = { WorkerId("w") };
  mJobTable.Restore(*mJobTable.Add(MakeJob("d")), assigned);
  CHECK_EQUAL(2U, Waiting());
}

} // namespace mulberryvalve
