// What a successor does while it takes a shard over.
#include "mulberryvalve/adapters/json/job_log_json.h"
#include "mulberryvalve/app/jobs/jobs_fake.h"

#include <atomic>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kPatience{ 20000 };

// CountingCodec counts the records of the intake that are decoded.
class CountingCodec : public JobLogJson
{
public:
  Result<IntakeItem> DecodeIntake(const KeyedEntry& aEntry) const override
  {
    mDecoded++;
    return JobLogJson::DecodeIntake(aEntry);
  }

  size_t Decoded() const { return mDecoded; }

private:
  mutable std::atomic<size_t> mDecoded{ 0 };
};

const LearnedPlacement kPlacement;
const LeastWorkOrder kOrder;

// Owner is one ownership of the shard.
class Owner
{
public:
  Owner(MemoryLog& aLog, TaskWorkerPort& aWorkers, uint64_t aEpoch)
    : mRuntime(OptionsOf(aEpoch),
               ShardRuntimePorts{ aLog,
                                  mCodec,
                                  aWorkers,
                                  mFeeds,
                                  mConfig,
                                  JobPolicies{ kPlacement, kOrder },
                                  mClock,
                                  mMetrics,
                                  mEvents })
  {
    ClusterConfig config;
    config.mVersion = 1;
    mConfig.Put(config);
    mRuntime.Start();
  }

  // Await asks until the job is in aPhase; false when time is up.
  bool Await(const char* aJob, JobPhase aPhase) const
  {
    PeerQuestion question;
    question.mKind = PeerQuestionKind::kJobPhase;
    question.mJob = JobId(aJob);
    const MonotonicTime until = mClock.Now() + kPatience;
    while (mClock.Now() < until) {
      const PeerAnswer answer = mRuntime.Answer(question);
      if (answer.mOwns && answer.mPhase == aPhase) {
        return true;
      }
    }
    return false;
  }

  const CountingCodec& Codec() const { return mCodec; }

private:
  static ShardRuntimeOptions OptionsOf(uint64_t aEpoch)
  {
    ShardRuntimeOptions options;
    options.mEpoch = Epoch(aEpoch);
    return options;
  }

  RealClock mClock;
  NoMetrics mMetrics;
  SilentEvents mEvents;
  CountingCodec mCodec;
  OneWorkerFeeds mFeeds;
  ConfigView mConfig;
  ShardRuntime mRuntime;
};

void HandIn(MemoryLog& aLog, const char* aJob)
{
  JobGraph job;
  job.mId = JobId(aJob);
  job.mQueue = QueueId("queue");
  job.mRules.mService = ServiceId("service");
  StepSpec step;
  step.mDemand = Resources{ 1000, 100, 0 };
  job.mSteps.push_back(step);
  const JobLogJson codec;
  CHECK(aLog.Append(KeyedPlace{ KeyedTopic::kIntake, 0 }, { codec.Encode(job) })
          .has_value());
}

} // namespace

TEST_GROUP(TakeOverTest){};

// Guards against a chain of owners each of which loses the shard while it
// loads: all jobs of the last minutes were decoded, most of them over.
TEST(TakeOverTest, ASuccessorDecodesOnlyJobsThatAreNotOver)
{
  MemoryLog log;
  InstantWorker workers;
  {
    const Owner former(log, workers, 64);
    for (const char* job : { "a", "b", "c" }) {
      HandIn(log, job);
      CHECK(former.Await(job, JobPhase::kCompleted));
    }
  }
  HandIn(log, "d");
  const Owner next(log, workers, 128);
  CHECK(next.Await("d", JobPhase::kCompleted));
  CHECK(next.Await("a", JobPhase::kCompleted));
  CHECK_EQUAL(1U, next.Codec().Decoded());
}

} // namespace mulberryvalve
