// Jobs that are over for long are removed from the log, in an order in which no
// refused append and no end of the owner makes them look new.
#include "mulberryvalve/app/jobs/faulty_log_fake.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"

#include <functional>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kPollInterval{ 5 };

// Polls until aCondition holds. Returns false on timeout.
bool Eventually(const std::function<bool()>& aCondition)
{
  const RealClock clock;
  const MonotonicTime until = clock.Now() + kTestTimeout;
  while (!aCondition()) {
    if (clock.Now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

const TaskRef kFirstTask{ { JobId("a"), 0, 0 }, 0 };

} // namespace

TEST_GROUP(RetiredJobsTest)
{
  MemoryLog mMemory;
  FaultyLog mLog{ mMemory };
  InstantWorker mWorkers;
  JobLogJson mCodec;

  bool IsOnLog(KeyedTopic aTopic, const std::string& aKey) const
  {
    return mMemory.Holds(aTopic, aKey);
  }
};

// Guards against a completed job being run again by the next owner, because its
// progress was removed and the removal of the job itself was refused
// (review/3).
TEST(RetiredJobsTest, AJobWhoseRemovalWasRefusedIsNotRunAgain)
{
  {
    JobsInstance former(mLog, mWorkers, 1);
    former.Start();
    former.Complete("a");
    mLog.FailCalls(LogCall::kAppendAt, FailureKind::kLogUnavailable);
    CHECK(Eventually([&] { return mLog.Failures(LogCall::kAppendAt) > 0; }));
  }
  mLog.ClearFailures();
  JobsInstance next(mLog, mWorkers, 2);
  next.Start();
  next.Complete("b");
  CHECK_EQUAL(1U, mWorkers.Starts(kFirstTask));
}

TEST(RetiredJobsTest, ARefusedRemovalIsRepeated)
{
  JobsInstance owner(mLog, mWorkers, 1);
  owner.Start();
  owner.Complete("a");
  mLog.FailCalls(LogCall::kAppendAt, FailureKind::kLogUnavailable);
  CHECK(Eventually([&] { return mLog.Failures(LogCall::kAppendAt) > 0; }));
  CHECK(IsOnLog(KeyedTopic::kIntake, "a"));
  CHECK(IsOnLog(KeyedTopic::kProgress, "job/a"));
  mLog.ClearFailures();
  CHECK(Eventually([&] { return !IsOnLog(KeyedTopic::kProgress, "job/a"); }));
  CHECK_FALSE(IsOnLog(KeyedTopic::kIntake, "a"));
}

// The former owner ended after it had removed the job and before it removed the
// job's progress.
TEST(RetiredJobsTest, ProgressOfAJobThatIsGoneIsRemovedByTheNextOwner)
{
  {
    JobsInstance former(mLog, mWorkers, 1);
    former.Start();
    former.Complete("a");
  }
  CHECK(mMemory
          .Append(TopicPartition{ KeyedTopic::kIntake, 0 },
                  mCodec.EncodeIntakeTombstones(JobId("a")))
          .has_value());
  CHECK(IsOnLog(KeyedTopic::kProgress, "job/a"));
  JobsInstance next(mLog, mWorkers, 2);
  next.Start();
  CHECK(Eventually([&] { return !IsOnLog(KeyedTopic::kProgress, "job/a"); }));
  CHECK_EQUAL(1U, mWorkers.Starts(kFirstTask));
}

// Guards against an accepted job that is gone after a change of owner, as a
// former removal of the same id was carried out late.
TEST(RetiredJobsTest, ALateRemovalLeavesAJobThatWasHandedInAgain)
{
  {
    JobsInstance former(mLog, mWorkers, 1);
    former.Start();
    former.Complete("a");
    mLog.HoldNextRemoval();
    CHECK(Eventually([&] { return mLog.HoldsRemoval(); }));
    CHECK(Eventually([&] { return !IsOnLog(KeyedTopic::kProgress, "job/a"); }));
    former.Complete("a");
    (void)mLog.DeliverHeldRemoval();
  }
  CHECK(IsOnLog(KeyedTopic::kIntake, "a"));
  JobsInstance next(mLog, mWorkers, 2);
  next.Start();
  CHECK(next.Await("a", JobPhase::kCompleted));
}

// Guards against an intake that keeps each cancellation of an unknown job.
TEST(RetiredJobsTest, TheCancellationOfAJobThatNeverComesLeavesTheLog)
{
  JobsInstance owner(mLog, mWorkers, 1);
  owner.Start();
  CHECK(owner.Jobs()
          .Cancel(JobId("none"), owner.TimeAfter(kTestTimeout))
          .has_value());
  CHECK(IsOnLog(KeyedTopic::kIntake, "cancel/none"));
  CHECK(
    Eventually([&] { return !IsOnLog(KeyedTopic::kIntake, "cancel/none"); }));
}

// Guards against a cancelled job being run by the successor of an owner that
// was older than the retention and took the first late copy of the job, and the
// cancellation with it, out of the log (review/11, a change of owner between
// the copies).
TEST(RetiredJobsTest, ASuccessorDoesNotRunALaterCopyOfACancelledJob)
{
  constexpr Milliseconds keepOver{ 4000 };
  // Longer than an owner waits between two looks for jobs to retire.
  constexpr Milliseconds untilRetired{ 1500 };
  const TopicPartition intake{ KeyedTopic::kIntake, 0 };
  const std::vector<KeyedEntry> copy{ mCodec.Encode(SmallJob("a")) };
  ShardMembershipOptions options = JobsInstance::OptionsAt(0, 1);
  options.mOwner.mKeepOver = keepOver;
  const auto start = [&](uint64_t aGeneration) {
    auto owner = std::make_unique<JobsInstance>(
      mLog,
      mWorkers,
      std::make_unique<SoleMemberGroup>(aGeneration),
      options,
      std::make_unique<FixedRandom>());
    owner->Start();
    return owner;
  };
  {
    const auto former = start(1);
    former->Complete("b");
    std::this_thread::sleep_for(keepOver);
    CHECK(former->Jobs()
            .Cancel(JobId("a"), former->TimeAfter(kTestTimeout))
            .has_value());
    CHECK(mMemory.Append(intake, copy).has_value());
    CHECK(former->Await("a", JobPhase::kCancelled));
    std::this_thread::sleep_for(untilRetired);
  }
  const auto next = start(2);
  CHECK(mMemory.Append(intake, copy).has_value());
  CHECK(next->Await("a", JobPhase::kCancelled));
  next->Complete("c");
  CHECK_EQUAL(0U, mWorkers.Starts(kFirstTask));
}

} // namespace mulberryvalve
