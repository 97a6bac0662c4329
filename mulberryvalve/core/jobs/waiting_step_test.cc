// What the scheduler tells a queueing policy of a waiting step.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

#include <map>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kEstimate{ 700 };
// More than a worker has.
constexpr int64_t kTooMuchCpu = 17000;

// RecordingPolicy keeps what it was last asked to sort.
class RecordingPolicy : public QueueingPolicy
{
public:
  explicit RecordingPolicy(std::vector<WaitingStep>& aLast)
    : mLast(aLast)
  {
  }

  void Sort(std::vector<WaitingStep>& aSteps,
            MonotonicTime /*aNow*/) const override
  {
    if (!aSteps.empty()) {
      mLast = aSteps;
    }
  }

private:
  std::vector<WaitingStep>& mLast;
};

JobGraph TwoStepJob()
{
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mSteps[0].mEstimate = kEstimate;
  StepSpec second = job.mSteps[0];
  second.mDependsOn = { 0 };
  second.mDemand.mCpuMillis = kTooMuchCpu;
  job.mSteps.push_back(second);
  return job;
}

} // namespace

TEST_GROUP(WaitingStepTest)
{
  std::vector<WaitingStep> mLast;
  RecordingPolicy mOrder{ mLast };
};

// Guards against completed steps that make a job look past use.
TEST(WaitingStepTest, RemainingChainLeavesOutCompletedSteps)
{
  ShardSimulation world(1, mOrder);
  world.AddOwner();
  world.RunFor(Milliseconds(400));
  world.Submit(TwoStepJob());
  world.Step();
  CHECK_EQUAL(1, mLast.size());
  CHECK(2 * kEstimate == mLast[0].mRemainingChain);
  CHECK(mLast[0].mAcceptedAt == mLast[0].mDueAt);
  world.RunFor(Milliseconds(2000));
  CHECK_EQUAL(1, mLast.size());
  CHECK_EQUAL(1, mLast[0].mStep.mStep);
  CHECK(kEstimate == mLast[0].mRemainingChain);
  CHECK_FALSE(mLast[0].mIsLongRunning);
}

// Guards against a wait of a later occurrence that counts from the acceptance
// of the job. The wall clock of the simulation stands at zero.
TEST(WaitingStepTest, AnOccurrenceOfARecurringJobIsDueAfterItsAcceptance)
{
  ShardSimulation world(1, mOrder);
  world.AddOwner();
  world.RunFor(Milliseconds(400));
  JobGraph job = OneStepJob("j", 1, kTooMuchCpu);
  job.mRecurrence.mTimes = 3;
  job.mRecurrence.mFirst.mMilliseconds = -1000;
  job.mRecurrence.mInterval = Milliseconds(500);
  const MonotonicTime acceptedAt = world.Now();
  world.Submit(job);
  world.RunFor(Milliseconds(3000));
  std::map<uint32_t, WaitingStep> byOccurrence;
  for (const WaitingStep& step : mLast) {
    byOccurrence[step.mStep.mOccurrence] = step;
  }
  CHECK_EQUAL(3, byOccurrence.size());
  const MonotonicTime now = byOccurrence[2].mDueAt;
  CHECK(now > acceptedAt + Milliseconds(2000));
  CHECK(now - Milliseconds(500) == byOccurrence[1].mDueAt);
  CHECK(now - Milliseconds(1000) == byOccurrence[0].mDueAt);
}

} // namespace mulberryvalve
