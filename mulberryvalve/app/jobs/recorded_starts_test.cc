// Tests that an instance starts tasks only after the log has taken the records
// of where they may be, and what it starts while the log takes none.
#include "mulberryvalve/app/jobs/faulty_log_fake.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"
#include "mulberryvalve/core/jobs/unrecorded_starts.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace mulberryvalve {
namespace {

const WorkerId kWorker("w");

// Returns the id of a small job whose task aIndex may, or may not, start on the
// worker without a record.
std::string JobWithBucket(uint32_t aIndex, bool aMayStart)
{
  int number = 0;
  while (true) {
    std::string id = "job" + std::to_string(number++);
    const TaskRef task{ { JobId(id), 0, 0 }, aIndex };
    if (MayStartUnrecorded(task, kWorker) == aMayStart) {
      return id;
    }
  }
}

} // namespace

TEST_GROUP(RecordedStartsOfInstanceTest)
{
  MemoryLog mLog;
  FaultyLog mFaulty{ mLog };
  InstantWorker mWorkers;
  JobsInstance mInstance{ mFaulty, mWorkers, 1 };

  void Submit(const JobGraph& aJob)
  {
    CHECK(mInstance.Jobs()
            .Submit(aJob, mInstance.TimeAfter(kTestTimeout))
            .has_value());
  }

  // Waits until a task has started. Returns false on timeout.
  bool AwaitStart(const TaskRef& aTask)
  {
    const MonotonicTime until = mInstance.TimeAfter(kTestTimeout);
    while (mWorkers.Starts(aTask) == 0) {
      if (until < mInstance.TimeAfter(Milliseconds(0))) {
        return false;
      }
      std::this_thread::sleep_for(Milliseconds(5));
    }
    return true;
  }
};

TEST(RecordedStartsOfInstanceTest, GangWaitsForTheLogAndBatchForItsBucket)
{
  mInstance.Start();
  mInstance.Complete("first");
  mFaulty.FailCalls(LogCall::kAppendFenced, FailureKind::kLogUnavailable);
  JobGraph gang = SmallJob("gang");
  gang.mSteps[0].mGang = true;
  mWorkers.EndTogether(StepRef{ gang.mId, 0, 0 }, gang.mSteps[0].mCount);
  Submit(gang);
  const std::string batch = JobWithBucket(0, true);
  Submit(SmallJob(batch.c_str()));
  const StepRef gangStep{ JobId("gang"), 0, 0 };
  const StepRef batchStep{ JobId(batch), 0, 0 };
  // This start shows that the records are overdue.
  CHECK(AwaitStart(TaskRef{ batchStep, 0 }));
  CHECK_EQUAL(0U, mWorkers.Starts(TaskRef{ batchStep, 1 }));
  CHECK_EQUAL(0U, mWorkers.Starts(TaskRef{ gangStep, 0 }));
  CHECK_EQUAL(0U, mWorkers.Starts(TaskRef{ gangStep, 1 }));
  mFaulty.ClearFailures();
  CHECK(mInstance.Await("gang", JobPhase::kCompleted));
  CHECK(mInstance.Await(batch.c_str(), JobPhase::kCompleted));
  for (const StepRef& step : { gangStep, batchStep }) {
    CHECK_EQUAL(1U, mWorkers.Starts(TaskRef{ step, 0 }));
    CHECK_EQUAL(1U, mWorkers.Starts(TaskRef{ step, 1 }));
  }
}

// A start waits for one append, and nothing else: neither for the next regular
// decision nor for the next regular append, which are 100 ms apart.
TEST(RecordedStartsOfInstanceTest, StartFollowsItsRecordAtOnce)
{
  constexpr int kRounds = 11;
  mInstance.Start();
  mInstance.Complete("first");
  std::vector<Milliseconds> delays;
  for (int round = 0; round < kRounds; round++) {
    const std::string id = "next" + std::to_string(round);
    Submit(SmallJob(id.c_str()));
    const MonotonicTime submittedAt = mInstance.TimeAfter(Milliseconds(0));
    CHECK(AwaitStart(TaskRef{ { JobId(id), 0, 0 }, 0 }));
    delays.push_back(std::chrono::duration_cast<Milliseconds>(
      mInstance.TimeAfter(Milliseconds(0)) - submittedAt));
    CHECK(mInstance.Await(id.c_str(), JobPhase::kCompleted));
  }
  std::sort(delays.begin(), delays.end());
  // One append of this log takes no time, and two appends are 25 ms apart.
  CHECK(delays[kRounds / 2] < Milliseconds(80));
}

} // namespace mulberryvalve
