// The order of waiting steps during a burst of more batch jobs than there is
// capacity.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

#include <map>
#include <random>

namespace mulberryvalve {
namespace {

// Two workers run 16 tasks at a time. One job in ten has 16 tasks and the
// others 3 each, so that 3.7 jobs a second use all capacity. The usual rate is
// 2.6 jobs a second, and 2.6 times that in the burst.
constexpr size_t kWorkers = 2;
constexpr int64_t kTaskCpu = 2000;
constexpr Milliseconds kTaskDuration{ 1000 };
constexpr uint32_t kSmallJobTasks = 3;
constexpr uint32_t kLargeJobTasks = 16;
constexpr int kLargeJobInterval = 10;
constexpr Milliseconds kObjective{ 4000 };
constexpr Milliseconds kBetweenJobs{ 385 };
constexpr Milliseconds kBetweenJobsInBurst{ 148 };
constexpr Milliseconds kBurstFrom{ 5000 };
constexpr Milliseconds kBurstTo{ 11000 };
constexpr Milliseconds kSimulatedTime{ 40000 };

struct BurstResult
{
  int mJobs = 0;
  int mInTime = 0;
  int mLarge = 0;
  int mLargeServed = 0;
  int mServed = 0;
};

bool IsLarge(int aNumber)
{
  return aNumber % kLargeJobInterval == 0;
}

JobGraph MakeJob(int aNumber)
{
  const uint32_t count = IsLarge(aNumber) ? kLargeJobTasks : kSmallJobTasks;
  JobGraph job = OneStepJob("j" + std::to_string(aNumber), count, kTaskCpu);
  job.mSteps[0].mEstimate = kTaskDuration;
  job.mRules.mSlack = kObjective - kTaskDuration;
  return job;
}

// Simulates the burst and counts the jobs that meet their objective and those
// that finish within three times the objective.
BurstResult SimulateBurst(const QueueingPolicy& aOrder)
{
  ShardSimulation world(kWorkers, aOrder);
  SimulatedOwner& owner = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kTaskDuration; };
  world.RunFor(Milliseconds(400));
  const MonotonicTime begin = world.Now();
  std::vector<MonotonicTime> acceptedAt;
  std::map<size_t, MonotonicTime> overAt;
  MonotonicTime submitAt = begin;
  while (world.Now() < begin + kSimulatedTime) {
    const bool open = world.Now() < begin + kSimulatedTime - 3 * kObjective;
    if (open && world.Now() >= submitAt) {
      world.Submit(MakeJob(static_cast<int>(acceptedAt.size())));
      acceptedAt.push_back(world.Now());
      const bool burst =
        submitAt >= begin + kBurstFrom && submitAt < begin + kBurstTo;
      submitAt += burst ? kBetweenJobsInBurst : kBetweenJobs;
    }
    world.Step();
    for (size_t number = 0; number < acceptedAt.size(); number++) {
      const JobId id("j" + std::to_string(number));
      if (owner.mShard->Phase(id) == JobPhase::kCompleted) {
        overAt.try_emplace(number, world.Now());
      }
    }
  }
  BurstResult result;
  for (size_t number = 0; number < acceptedAt.size(); number++) {
    const auto over = overAt.find(number);
    const bool isOver = over != overAt.end();
    const auto took =
      isOver ? over->second - acceptedAt[number] : kSimulatedTime;
    const bool served = isOver && took <= 3 * kObjective;
    const bool large = IsLarge(static_cast<int>(number));
    result.mJobs++;
    result.mLarge += large ? 1 : 0;
    result.mInTime += isOver && took <= kObjective ? 1 : 0;
    result.mServed += served ? 1 : 0;
    result.mLargeServed += served && large ? 1 : 0;
  }
  return result;
}

} // namespace

TEST_GROUP(QueueingPolicyTest){};

TEST(QueueingPolicyTest, MostJobsMeetTheirObjectiveUnderOverload)
{
  const BurstResult fifo = SimulateBurst(FifoPolicy());
  const BurstResult leastWork = SimulateBurst(LeastRemainingWorkPolicy());
  CHECK_EQUAL(fifo.mJobs, leastWork.mJobs);
  CHECK(leastWork.mInTime > fifo.mInTime);
  // All small jobs, nine out of ten, fit into the capacity.
  CHECK(leastWork.mInTime * 10 >= leastWork.mJobs * 9);
}

TEST(QueueingPolicyTest, LargeJobsAreNotStarved)
{
  const BurstResult result = SimulateBurst(LeastRemainingWorkPolicy());
  CHECK(2 * result.mLargeServed * result.mJobs >=
        result.mServed * result.mLarge);
}

TEST(QueueingPolicyTest, PriorityPrecedesRemainingWork)
{
  std::vector<WaitingStep> steps(2);
  const uint64_t small = 1;
  const uint64_t large = 2;
  steps[0].mStep.mArrivalNumber = small;
  steps[0].mPriority = 1;
  steps[0].mRemainingWork = 10;
  steps[1].mStep.mArrivalNumber = large;
  steps[1].mPriority = 0;
  steps[1].mRemainingWork = 1000;
  LeastRemainingWorkPolicy().Sort(steps, MonotonicTime());
  CHECK_EQUAL(large, steps[0].mStep.mArrivalNumber);
  CHECK_EQUAL(small, steps[1].mStep.mArrivalNumber);
}

TEST(QueueingPolicyTest, AgingReducesTheWeightOfRemainingWork)
{
  const MonotonicTime now(std::chrono::seconds(1000));
  std::vector<WaitingStep> steps(2);
  const uint64_t fresh = 1;
  const uint64_t old = 2;
  steps[0].mStep.mArrivalNumber = fresh;
  steps[0].mAcceptedAt = now;
  steps[0].mObjectiveAt = now + kObjective;
  steps[0].mRemainingWork = 100;
  steps[1].mStep.mArrivalNumber = old;
  steps[1].mAcceptedAt = now - 9 * kObjective;
  steps[1].mObjectiveAt = now - 8 * kObjective;
  steps[1].mRemainingWork = 500;
  LeastRemainingWorkPolicy().Sort(steps, now);
  CHECK_EQUAL(old, steps[0].mStep.mArrivalNumber);
  CHECK_EQUAL(fresh, steps[1].mStep.mArrivalNumber);
}

TEST(QueueingPolicyTest, LearnsRunTimesWhenDeclaredOnesAreWrong)
{
  RunTimeEstimator book;
  const QueueId queue("q");
  std::mt19937 random(7);
  std::lognormal_distribution<double> error(0, 0.9);
  for (int number = 0; number < 200; number++) {
    const Milliseconds declared(
      std::max<int64_t>(1, static_cast<int64_t>(2000 * error(random))));
    book.Learn(queue, declared, Milliseconds(2000));
  }
  const int64_t expected = book.Estimate(queue, Milliseconds(8000)).count();
  CHECK(expected < 3000);
  CHECK(expected > 1500);
  // Nothing is known of another queue.
  CHECK_EQUAL(8000, book.Estimate(QueueId("r"), Milliseconds(8000)).count());
}

} // namespace mulberryvalve
