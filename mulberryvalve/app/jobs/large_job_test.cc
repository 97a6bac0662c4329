// Jobs whose progress does not fit into one record of the log.
#include "mulberryvalve/app/jobs/faulty_log_fake.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kTasks = 1200;
constexpr Milliseconds kPollInterval{ 5 };

// Returns a job whose first step ends, and whose second one fits on no worker.
JobGraph LargeJob()
{
  JobGraph job = SmallJob("large");
  job.mSteps[0].mCount = kTasks;
  job.mSteps[0].mDemand = Resources{ 1, 1, 0 };
  StepSpec never;
  never.mCount = 1;
  never.mDemand = Resources{ 1000000000, 1, 0 };
  never.mDependsOn = { 0 };
  job.mSteps.push_back(never);
  return job;
}

// Waits until all ends that the workers reported were acknowledged. Returns
// false on timeout.
bool AwaitAcknowledged(const InstantWorker& aWorkers)
{
  const RealClock clock;
  const MonotonicTime until = clock.Now() + kTestTimeout;
  while (aWorkers.Starts() < kTasks || aWorkers.PendingEnds() > 0) {
    if (clock.Now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

} // namespace

TEST_GROUP(LargeJobTest){};

// Guards against finished tasks being run again by the next owner because the
// progress of their job was above the record limit, and was left out.
TEST(LargeJobTest, FinishedTasksAreNotRunAgainByTheNextOwner)
{
  MemoryLog memory;
  FaultyLog log(memory);
  KeyedLogLimits limits;
  limits.mRecordBytes = 16 * 1024;
  limits.mRequestBytes = 64 * 1024;
  log.Limit(limits);
  InstantWorker workers;
  {
    JobsInstance former(log, workers, 1);
    former.Start();
    CHECK(former.Jobs()
            .Submit(LargeJob(), former.TimeAfter(kTestTimeout))
            .has_value());
    CHECK(AwaitAcknowledged(workers));
  }
  JobsInstance next(log, workers, 2);
  next.Start();
  next.Complete("b");
  CHECK_EQUAL(kTasks + 2, workers.Starts());
}

} // namespace mulberryvalve
