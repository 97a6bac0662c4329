// JobBook's count of the jobs of which no task was started.
#include "mulberryvalve/core/jobs/job_book.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const char kQueue[] = "q";

JobGraph JobOf(const char* aId)
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

TEST_GROUP(JobBookTest)
{
  JobBook mBook;

  size_t Waiting() const
  {
    return mBook.Waiting(QueueId(kQueue));
  }
};

// The count was made anew over all jobs for each question.
TEST(JobBookTest, WaitingJobsAreCountedUntilTheirFirstStart)
{
  CHECK_EQUAL(0U, Waiting());
  mBook.Add(JobOf("a"));
  mBook.Add(JobOf("b"));
  mBook.Add(JobOf("b"));
  CHECK_EQUAL(2U, Waiting());
  mBook.Place(FirstTask("a"), WorkerId("w"), RunNumber(1));
  CHECK_EQUAL(1U, Waiting());
  // A job whose only task waits again was started.
  mBook.Settle(FirstTask("a"));
  CHECK_EQUAL(1U, Waiting());
  mBook.Place(FirstTask("a"), WorkerId("w"), RunNumber(2));
  CHECK_EQUAL(1U, Waiting());
  CHECK_EQUAL(0U, mBook.Waiting(QueueId("other")));
}

TEST(JobBookTest, JobsThatAreOverDoNotWait)
{
  JobEntry& cancelled = *mBook.Add(JobOf("a"));
  JobEntry& started = *mBook.Add(JobOf("b"));
  mBook.Add(JobOf("c"));
  mBook.Place(FirstTask("b"), WorkerId("w"), RunNumber(1));
  CHECK_EQUAL(2U, Waiting());
  cancelled.mPhase = JobPhase::kCancelled;
  mBook.Close(cancelled);
  started.mPhase = JobPhase::kCompleted;
  mBook.Close(started);
  CHECK_EQUAL(1U, Waiting());
  mBook.Retire(JobId("a"));
  CHECK_EQUAL(1U, Waiting());
}

TEST(JobBookTest, ARestoredJobWaitsWhenNothingOfItIsKnown)
{
  JobRecord untouched;
  untouched.mId = JobId("a");
  mBook.Restore(*mBook.Add(JobOf("a")), untouched);
  CHECK_EQUAL(1U, Waiting());
  JobRecord begun;
  begun.mId = JobId("b");
  begun.mTasks.resize(1);
  mBook.Restore(*mBook.Add(JobOf("b")), begun);
  CHECK_EQUAL(1U, Waiting());
  JobRecord over;
  over.mId = JobId("c");
  over.mPhase = JobPhase::kFailed;
  mBook.Restore(*mBook.Add(JobOf("c")), over);
  CHECK_EQUAL(1U, Waiting());
}

} // namespace mulberryvalve
