// JobTable's count of the jobs of which no task was started, and the
// occurrences of its recurring jobs.
#include "mulberryvalve/core/jobs/job_table.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const char kQueue[] = "q";
constexpr uint32_t kTimes = 60000;
constexpr WallTime kFirst{ 1700000000000 };
constexpr Milliseconds kInterval{ 60000 };

JobGraph MakeJob(const char* aId)
{
  JobGraph job;
  job.mId = JobId(aId);
  job.mQueue = QueueId(kQueue);
  job.mSteps.resize(1);
  return job;
}

// Returns a job whose only task runs once a minute, from kFirst on.
JobGraph RecurringJob(const char* aId)
{
  JobGraph job = MakeJob(aId);
  job.mRecurrence = Recurrence{ kTimes, kFirst, kInterval };
  return job;
}

// Returns when the occurrence of this number is due.
WallTime After(int64_t aOccurrence)
{
  return WallTime{ kFirst.mMilliseconds + aOccurrence * kInterval.count() };
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

// Guards against jobs being left out of the count that no worker took a task of
// (MIXED, found by the second review).
TEST(JobTableTest, JobsWhoseStartsWereAllRefusedAreCountedAsWaiting)
{
  mJobTable.Add(MakeJob("a"));
  mJobTable.MarkStarted(JobId("a"));
  mJobTable.MarkStarted(JobId("a"));
  mJobTable.TakeBackStart(JobId("a"));
  CHECK_EQUAL(0U, Waiting());
  mJobTable.TakeBackStart(JobId("a"));
  CHECK_EQUAL(1U, Waiting());
  mJobTable.MarkStarted(JobId("a"));
  CHECK_EQUAL(0U, Waiting());
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

// Guards against all occurrences of jobs being built when they are read, which
// took more memory than an owner and its successors had (13 jobs of 60,000).
TEST(JobTableTest, OnlyOccurrencesThatAreDueTakeMemory)
{
  JobEntry& entry = *mJobTable.Add(RecurringJob("a"));
  CHECK_EQUAL(0U, entry.mOccurrences.size());
  CHECK_EQUAL(uint64_t{ kTimes }, entry.mTaskCount);
  mJobTable.AddDueSteps(kFirst);
  CHECK_EQUAL(1U, entry.mOccurrences.size());
  CHECK_EQUAL(1U, mJobTable.ReadySteps().size());
  mJobTable.AddDueSteps(After(2));
  CHECK_EQUAL(3U, entry.mOccurrences.size());
  CHECK_EQUAL(3U, mJobTable.ReadySteps().size());
}

// The occurrence was due by the former owner's clock.
TEST(JobTableTest, ProgressOfAnOccurrenceThatIsNotDueIsKept)
{
  JobEntry& entry = *mJobTable.Add(RecurringJob("a"));
  const TaskRef last{ { JobId("a"), kTimes - 1, 0 }, 0 };
  JobRecord record;
  record.mId = JobId("a");
  record.mTasks.resize(1);
  record.mTasks[0].mOccurrence = kTimes - 1;
  record.mTasks[0].mProcessedEnds = { RunNumber(1) };
  mJobTable.Restore(entry, record);
  CHECK(mJobTable.FindTask(last)->HasProcessedEnd(RunNumber(1)));
  CHECK(mJobTable.FindTask(TaskRef{ { JobId("a"), kTimes, 0 }, 0 }) == nullptr);
  CHECK_EQUAL(0U, mJobTable.ReadySteps().size());
  mJobTable.MarkDirty(last);
  const std::vector<JobRecord> parts = mJobTable.TakeDirtyParts(entry);
  CHECK_EQUAL(1U, parts.size());
  CHECK_EQUAL((kTimes - 1) / kTasksPerRecord, uint64_t{ parts[0].mPart });
  CHECK_EQUAL(1U, parts[0].mTasks.size());
  CHECK_EQUAL(kTimes - 1, parts[0].mTasks[0].mOccurrence);
}

// Guards against a task that waits for ever: its occurrence was due, and it is
// to run again after the time of day was set back.
TEST(JobTableTest, AnOccurrenceThatWasDueStaysDue)
{
  mJobTable.Add(RecurringJob("a"));
  mJobTable.AddDueSteps(kFirst);
  mJobTable.Assign(FirstTask("a"), WorkerId("w"), RunNumber(1));
  CHECK_EQUAL(0U, mJobTable.ReadySteps().size());
  mJobTable.AddDueSteps(After(-1));
  mJobTable.Unassign(FirstTask("a"));
  CHECK_EQUAL(1U, mJobTable.ReadySteps().size());
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
