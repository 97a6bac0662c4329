// Copies of a job's record that are appended late, after the job was over.
#include "mulberryvalve/core/jobs/intake_copies_fake.h"
#include "mulberryvalve/core/jobs/single_worker_shard_fake.h"
#include "tests/support/setting.h"

#include <cstdio>

namespace mulberryvalve {
namespace {

const JobId kJob("j");
constexpr Milliseconds kKeepOver = ShardSchedulerOptions().mKeepOver;
// Longer than an owner waits between two looks for jobs to retire.
constexpr Milliseconds kRetireInterval{ 1100 };
constexpr Milliseconds kSecond{ 1000 };

// MULBERRYVALVE_SCHEDULES sets another number of schedules.
constexpr uint64_t kDefaultSchedules = 60;

uint64_t Schedules()
{
  return SettingOr("MULBERRYVALVE_SCHEDULES", kDefaultSchedules);
}

} // namespace

TEST_GROUP(JobRetentionTest)
{
  SingleWorkerShard mOwner;

  void setup() override
  {
    mOwner.ReadWorkerList();
    mOwner.AnswerHold();
    mOwner.PersistAll();
  }

  void Wait(Milliseconds aTime)
  {
    mOwner.mNow += aTime;
    mOwner.AnswerHold();
  }

  void ReadCopy()
  {
    mOwner.Submit(OneStepJob("j", 1, 1000));
    mOwner.CountStarts();
    mOwner.PersistAll();
  }

  // The job is not started by its owner.
  void ReadCopyOnly()
  {
    mOwner.Submit(OneStepJob("j", 1, 1000));
    mOwner.PersistAll();
  }

  void ReadCancellation()
  {
    mOwner.mShard.OnJobCancelled(kJob, mOwner.mNow);
    mOwner.PersistAll();
  }

  // Removes from the log what the owner keeps no longer, and returns the number
  // of jobs that were removed from the intake.
  size_t Retire()
  {
    Wait(kRetireInterval);
    const std::vector<JobId> jobs =
      mOwner.mShard.TakeRetirableJobs(mOwner.mNow);
    mOwner.mShard.OnRemovedFromIntake(jobs, mOwner.mNow);
    mOwner.PersistAll();
    return jobs.size();
  }

  void CheckRetired(size_t aExpected)
  {
    const size_t retired = Retire();
    CHECK_EQUAL(aExpected, retired);
  }

  void CheckNotStarted()
  {
    const size_t starts = mOwner.CountStarts();
    CHECK_EQUAL(0U, starts);
  }

  bool IsCancelled() const
  {
    return mOwner.mShard.Phase(kJob) == JobPhase::kCancelled;
  }
};

// Guards against a cancelled job being started by an owner that is older than
// the retention, as the first of two late copies took the cancellation out of
// the log (review/11).
TEST(JobRetentionTest, ACancelledJobStaysCancelledForEveryLateCopy)
{
  Wait(2 * kKeepOver);
  ReadCancellation();
  Wait(kSecond);
  ReadCopy();
  CHECK(IsCancelled());
  CheckRetired(0);
  ReadCopy();
  CHECK(IsCancelled());
  CheckNotStarted();
}

// Guards against a cancelled job being started by a copy that followed another
// one after the retention had begun at the job's end (review/11, later copies).
TEST(JobRetentionTest, ACopyOfAJobThatIsOverExtendsTheRetention)
{
  ReadCopy();
  ReadCancellation();
  Wait(kKeepOver - kSecond);
  ReadCopy();
  Wait(2 * kSecond);
  CheckRetired(0);
  ReadCopy();
  CHECK(IsCancelled());
  CheckNotStarted();
}

// The same for a caller that repeats its cancellation.
TEST(JobRetentionTest, AnotherCancellationExtendsTheRetention)
{
  ReadCopy();
  ReadCancellation();
  Wait(kKeepOver - kSecond);
  ReadCancellation();
  Wait(2 * kSecond);
  CheckRetired(0);
}

TEST(JobRetentionTest, AJobThatIsOverIsRetiredOnceNoCopyHasComeForLong)
{
  ReadCopyOnly();
  ReadCancellation();
  ReadCopyOnly();
  Wait(kKeepOver);
  CheckRetired(1);
  CHECK_FALSE(mOwner.mShard.Phase(kJob).has_value());
}

// Guards against an accepted job that its owner no longer knows: a copy came
// after the job was removed from the intake and before its progress was.
TEST(JobRetentionTest, ACopyReadWhileItsJobIsRetiredKeepsTheJob)
{
  ReadCopyOnly();
  ReadCancellation();
  Wait(kKeepOver + kRetireInterval);
  mOwner.mShard.OnRemovedFromIntake(
    mOwner.mShard.TakeRetirableJobs(mOwner.mNow), mOwner.mNow);
  const ProgressBatch batch = mOwner.TakeBatch();
  CHECK_EQUAL(1U, batch.mRetired.size());
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mShard.OnDurable(batch);
  CHECK(IsCancelled());
  const ProgressBatch next = mOwner.TakeBatch();
  CHECK_EQUAL(1U, next.mJobs.size());
  CHECK(next.mJobs.at(0).mPhase == JobPhase::kCancelled);
}

// Guards against an owner that ends by a null pointer when a worker answers: it
// had forgotten a job whose stop that worker never reported.
TEST(JobRetentionTest, AJobIsNotForgottenWhileAWorkerMayRunItsTask)
{
  ReadCopy();
  ReadCancellation();
  Wait(kKeepOver + kRetireInterval);
  CheckRetired(0);
  mOwner.AnswerHold();
  CHECK(IsCancelled());
}

// Guards against an intake that grows with each cancellation of a job that
// nobody handed in.
TEST(JobRetentionTest, TheCancellationOfAJobThatNeverComesIsRemoved)
{
  ReadCancellation();
  CheckRetired(0);
  Wait(kKeepOver);
  CheckRetired(1);
  Wait(kKeepOver);
  CheckRetired(0);
}

// Guards against the removal of what a job's copy has just made valid again.
TEST(JobRetentionTest, ACopyReadDuringTheRemovalOfItsCancellationIsCancelled)
{
  ReadCancellation();
  Wait(kKeepOver + kRetireInterval);
  const std::vector<JobId> jobs = mOwner.mShard.TakeRetirableJobs(mOwner.mNow);
  CHECK_EQUAL(1U, jobs.size());
  ReadCopy();
  mOwner.mShard.OnRemovedFromIntake(jobs, mOwner.mNow);
  mOwner.PersistAll();
  CHECK(IsCancelled());
  CheckNotStarted();
}

// A new owner can't know when a cancellation came, so it keeps each for long.
TEST(JobRetentionTest, ASuccessorKeepsTheCancellationOfAJobThatHasNotCome)
{
  ShardScheduler successor(
    ShardSchedulerOptions(),
    SchedulingPolicies{ mOwner.mPlacement, mOwner.mOrder },
    mOwner.mNow);
  successor.OnJobCancelled(kJob, mOwner.mNow);
  const MonotonicTime later = mOwner.mNow + kKeepOver - kSecond;
  CHECK(successor.TakeRetirableJobs(later).empty());
  successor.OnJobSubmitted(OneStepJob("j", 1, 1000), later, later);
  CHECK(successor.NeedsAppend());
  CHECK(successor.TakeProgress(later).mJobs.at(0).mPhase ==
        JobPhase::kCancelled);
}

// Guards against a successor that forgets a cancellation which came between the
// removals of its job from the intake and from the progress.
TEST(JobRetentionTest, ACancellationIsKeptBesideProgressOfARemovedJob)
{
  JobRecord former;
  former.mId = kJob;
  former.mPhase = JobPhase::kCancelled;
  ReadCancellation();
  mOwner.mShard.RestoreProgressOffIntake(former);
  mOwner.PersistAll();
  ReadCopy();
  CHECK(IsCancelled());
}

// The same while the owner that removed the job is still there.
TEST(JobRetentionTest, ACancellationReadWhileItsJobIsRetiredKeepsTheJob)
{
  ReadCopyOnly();
  ReadCancellation();
  Wait(kKeepOver + kRetireInterval);
  const std::vector<JobId> jobs = mOwner.mShard.TakeRetirableJobs(mOwner.mNow);
  mOwner.mShard.OnRemovedFromIntake(jobs, mOwner.mNow);
  ReadCancellation();
  mOwner.PersistAll();
  ReadCopy();
  CHECK(IsCancelled());
}

// Draws late and repeated appends of jobs and cancellations beside late
// removals and changes of owner, with a retention that the play is longer than.
TEST(JobRetentionTest, CancelledJobsAreNotStartedUnderRandomLateAppends)
{
  size_t lateCopies = 0;
  for (uint64_t seed = 1; seed <= Schedules(); seed++) {
    IntakeCopies intake(seed);
    intake.Play(Milliseconds(120000));
    intake.Settle();
    lateCopies += intake.LateCopies();
    for (const std::string& violation : intake.Violations()) {
      std::printf("seed %llu: %s\n",
                  static_cast<unsigned long long>(seed),
                  violation.c_str());
    }
    CHECK(intake.Violations().empty());
  }
  CHECK(lateCopies > Schedules());
}

// The same with the number of records: what is over leaves the intake.
TEST(JobRetentionTest, TheIntakeHoldsOnlyJobsThatAreNotOver)
{
  for (uint64_t seed = 1; seed <= Schedules(); seed++) {
    IntakeCopies intake(seed);
    intake.Play(Milliseconds(60000));
    intake.Settle();
    CHECK_EQUAL(intake.OpenJobs(), intake.Keys());
  }
}

} // namespace mulberryvalve
