// Tests that appends stay within the log's limits for a record and for a call.
#include "mulberryvalve/app/jobs/append_batcher.h"
#include "mulberryvalve/app/jobs/append_splitting.h"
#include "mulberryvalve/app/jobs/faulty_log_fake.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"
#include "mulberryvalve/core/jobs/unrecorded_starts.h"

#include "CppUTest/TestHarness.h"

#include <atomic>

namespace mulberryvalve {
namespace {

// The record of a job with ten tasks fits into a call, two do not.
constexpr KeyedLogLimits kSmallLimits{ 600, 700 };
constexpr size_t kJobs = 30;

size_t BytesOf(const std::vector<KeyedEntry>& aEntries)
{
  size_t bytes = 0;
  for (const KeyedEntry& entry : aEntries) {
    bytes += RecordBytes(entry) + kRecordOverhead;
  }
  return bytes;
}

ProgressBatch LargeBatch()
{
  ProgressBatch batch;
  for (size_t job = 0; job < kJobs; job++) {
    JobRecord record{ JobId("job" + std::to_string(job)),
                      JobPhase::kRunning,
                      {} };
    record.mTasks.resize(10);
    batch.mJobs.push_back(record);
  }
  batch.mRetired = { RetiredJob{ JobId("old") } };
  batch.mAckedEnds = { { WorkerId("w"), WorkerIncarnation(1), EndNumber(9) } };
  return batch;
}

} // namespace

TEST_GROUP(AppendSplittingTest){};

TEST(AppendSplittingTest, ABatchIsSplitInOrderWithTheEndReportsLast)
{
  const JobLogJson codec;
  const ProgressBatch batch = LargeBatch();
  const ProgressAppends appends = SplitBatch(batch, codec, kSmallLimits);
  CHECK(appends.mAppends.size() > 1);
  CHECK(appends.mTooLarge.empty());
  std::vector<std::string> jobs;
  size_t ends = 0;
  for (const ProgressAppend& append : appends.mAppends) {
    CHECK(BytesOf(append.mEntries) <= kSmallLimits.mRequestBytes);
    CHECK_FALSE(append.mEntries.empty());
    for (const JobRecord& record : append.mBatch.mJobs) {
      jobs.push_back(record.mId.Text());
    }
    ends += append.mBatch.mAckedEnds.size();
  }
  CHECK_EQUAL(kJobs, jobs.size());
  STRCMP_EQUAL("job0", jobs.front().c_str());
  CHECK_EQUAL(1U, ends);
  CHECK_EQUAL(1U, appends.mAppends.back().mBatch.mAckedEnds.size());
  CHECK_EQUAL(1U, appends.mAppends.back().mBatch.mRetired.size());
}

// Guards against a record above the limit that makes every append fail, and
// against a key whose length does not fit its length field.
TEST(AppendSplittingTest, ARecordAboveTheLimitIsReportedAndNotAppended)
{
  const JobLogJson codec;
  ProgressBatch batch = LargeBatch();
  batch.mJobs[3].mTasks.resize(500);
  // The length of a key is encoded in one byte.
  batch.mRemovedWorkers.emplace_back(std::string(250, 'w'));
  const ProgressAppends appends = SplitBatch(batch, codec, kSmallLimits);
  CHECK_EQUAL(2U, appends.mTooLarge.size());
  CHECK(FailureKind::kTooLarge == appends.mTooLarge[0].mKind);
  STRCMP_EQUAL("job/job3", appends.mTooLarge[0].mField.c_str());
  size_t jobs = 0;
  for (const ProgressAppend& append : appends.mAppends) {
    jobs += append.mBatch.mJobs.size();
    for (const KeyedEntry& entry : append.mEntries) {
      CHECK(RecordBytes(entry) <= kSmallLimits.mRecordBytes);
    }
  }
  CHECK_EQUAL(kJobs, jobs);
}

// Guards against progress that is never written because the changes that
// accumulated during an outage exceed the limit of one call.
TEST(AppendSplittingTest, AccumulatedProgressIsWrittenInSeveralAppends)
{
  MemoryLog log;
  FaultyLog limited(log);
  limited.Limit(kSmallLimits);
  InstantWorker workers;
  JobsInstance instance(limited, workers, 1);
  instance.Start();
  instance.Complete("first");
  limited.FailCalls(LogCall::kAppendFenced, FailureKind::kLogUnavailable);
  // Without its record, a task starts only on a worker in its bucket.
  std::vector<std::string> ids;
  for (size_t job = 0; ids.size() < kJobs; job++) {
    const std::string id = "job" + std::to_string(job);
    const TaskRef first{ { JobId(id), 0, 0 }, 0 };
    if (!MayStartUnrecorded(first, WorkerId("w"))) {
      continue;
    }
    ids.push_back(id);
    CHECK(
      instance.Jobs()
        .Submit(SmallJob(ids.back().c_str()), instance.TimeAfter(kTestTimeout))
        .has_value());
  }
  for (const std::string& id : ids) {
    CHECK(instance.Await(id.c_str(), JobPhase::kRunning));
  }
  limited.ClearFailures();
  for (const std::string& id : ids) {
    CHECK(instance.Await(id.c_str(), JobPhase::kCompleted));
  }
  // The removal takes several appends too.
  const MonotonicTime until = instance.TimeAfter(kTestTimeout);
  for (const std::string& id : ids) {
    while (log.Holds(KeyedTopic::kIntake, id) &&
           instance.TimeAfter(Milliseconds(0)) < until) {
      CHECK(instance.Jobs()
              .Phase(JobId(id), instance.TimeAfter(kTestTimeout))
              .has_value());
    }
    CHECK_FALSE(log.Holds(KeyedTopic::kIntake, id));
  }
}

// Guards against telling a caller to retry a job that is too large for any
// record.
TEST(AppendSplittingTest, AJobAboveTheRecordLimitIsRefusedAsTooLarge)
{
  MemoryLog log;
  FaultyLog limited(log);
  limited.Limit(kSmallLimits);
  InstantWorker workers;
  JobsInstance instance(limited, workers, 1);
  JobGraph job = SmallJob("large");
  job.mSpecification = std::string(1000, 'x');
  const Result<void> done =
    instance.Jobs().Submit(job, instance.TimeAfter(kTestTimeout));
  CHECK_FALSE(done.has_value());
  CHECK(FailureKind::kTooLarge == done.error().mKind);
  CHECK_FALSE(log.Holds(KeyedTopic::kIntake, "large"));
}

// Guards against accepting a job that no owner can decode.
TEST(AppendSplittingTest, AJobThatNoOwnerCanDecodeIsRefused)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  JobGraph job = SmallJob("odd");
  job.mSteps[0].mDemand.mCpuMillis = -1;
  Result<void> done =
    instance.Jobs().Submit(job, instance.TimeAfter(kTestTimeout));
  CHECK_FALSE(done.has_value());
  CHECK(FailureKind::kInvalidInput == done.error().mKind);
  STRCMP_EQUAL("cpu_millis", done.error().mField.c_str());
  job = SmallJob("odd");
  job.mRules.mPriority = -1;
  done = instance.Jobs().Submit(job, instance.TimeAfter(kTestTimeout));
  CHECK_FALSE(done.has_value());
  CHECK_FALSE(log.Holds(KeyedTopic::kIntake, "odd"));
}

// Guards against refusing all concurrent callers because their entries together
// exceed the limit of a call, or because one entry exceeds the limit of a
// record.
TEST(AppendSplittingTest, CallersShareCallsOnlyWithinTheLimits)
{
  MemoryLog log;
  log.SetAppendTime(Milliseconds(20));
  FaultyLog limited(log);
  limited.Limit(kSmallLimits);
  const RealClock clock;
  AppendBatcher group(limited, clock, TopicPartition{ KeyedTopic::kIntake, 0 });
  std::atomic<size_t> taken{ 0 };
  std::vector<std::thread> callers;
  for (size_t caller = 0; caller < kJobs; caller++) {
    callers.emplace_back([&, caller] {
      const KeyedEntry entry{ "key" + std::to_string(caller),
                              std::string(200, 'x') };
      taken +=
        group.Append(entry, AppendTerms{ {}, MonotonicTime::max() }) ? 1 : 0;
    });
  }
  const KeyedEntry large{ "large", std::string(1000, 'x') };
  const Result<void> refused =
    group.Append(large, AppendTerms{ {}, MonotonicTime::max() });
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK_EQUAL(kJobs, taken.load());
  CHECK(FailureKind::kTooLarge == refused.error().mKind);
  CHECK_EQUAL(0U, limited.Failures(LogCall::kAppend));
}

} // namespace mulberryvalve
