// How many workers an owner's placement decisions evaluate.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kTasks = 20;
constexpr Milliseconds kStartupTime{ 400 };

// CountingPlacementPolicy counts the evaluations by LearnedPlacementPolicy.
class CountingPlacementPolicy : public JobPlacementPolicy
{
public:
  std::optional<int64_t> CostOn(const PlacementQuery& aQuery,
                                const WorkerEntry& aWorker) const override
  {
    mEvaluations++;
    return mPolicy.CostOn(aQuery, aWorker);
  }

  PlacementRefusal RefusalOn(const PlacementQuery& aQuery,
                             const WorkerEntry& aWorker) const override
  {
    return mPolicy.RefusalOn(aQuery, aWorker);
  }

  mutable size_t mEvaluations = 0;

private:
  LearnedPlacementPolicy mPolicy;
};

JobGraph BatchJob(size_t aNumber)
{
  JobGraph job = OneStepJob("j" + std::to_string(aNumber), kTasks, 4000);
  job.mSteps[0].mImage = ImageId("image" + std::to_string(aNumber % 5));
  return job;
}

// Returns the evaluations per hundred starts from a backlog of one job per
// worker, a fifth of which fits into the cluster.
size_t EvaluationsPerHundredStarts(size_t aWorkers)
{
  const CountingPlacementPolicy placement;
  ShardSimulation world(aWorkers, placement);
  world.AddOwner();
  size_t starts = 0;
  world.mOnOrder = [&](const TaskOrder& aOrder) {
    starts += aOrder.mKind == OrderKind::kStart ? 1 : 0;
  };
  // Run ends are spread over time, so that each pass has a few of them.
  uint32_t next = 0;
  world.mDurationOf = [&](const TaskRef&) {
    next++;
    return Milliseconds(2000 + 20 * (next * 37 % 100));
  };
  world.RunFor(kStartupTime);
  for (size_t number = 0; number < aWorkers; number++) {
    world.Submit(BatchJob(number));
  }
  world.RunFor(Milliseconds(1500));
  placement.mEvaluations = 0;
  starts = 0;
  world.RunFor(Milliseconds(3000));
  CHECK(starts > aWorkers);
  return placement.mEvaluations * 100 / starts;
}

} // namespace

TEST_GROUP(PlacementSearchCostTest){};

// Guards against an owner too busy to keep its ownership alive: every task of a
// step evaluated every worker.
TEST(PlacementSearchCostTest, TasksOfAStepShareOneScanOfWorkers)
{
  constexpr size_t kWorkers = 60;
  const CountingPlacementPolicy placement;
  ShardSimulation world(kWorkers, placement);
  world.AddOwner();
  world.RunFor(kStartupTime);
  placement.mEvaluations = 0;
  world.Submit(BatchJob(1));
  world.RunFor(kStartupTime);
  CHECK_EQUAL(static_cast<size_t>(kTasks), world.Running());
  CHECK(placement.mEvaluations <= kWorkers + kTasks);
}

// Guards against an owner too busy to keep its ownership alive: every end of a
// task evaluated every worker for the waiting steps.
TEST(PlacementSearchCostTest, BacklogStartCostIsIndependentOfWorkerCount)
{
  CHECK(EvaluationsPerHundredStarts(80) < 2 * EvaluationsPerHundredStarts(20));
}

// The same while nothing changes.
TEST(PlacementSearchCostTest, BacklogIsNotRescannedWhileNothingChanges)
{
  constexpr size_t kWorkers = 40;
  const CountingPlacementPolicy placement;
  ShardSimulation world(kWorkers, placement);
  world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
  world.RunFor(kStartupTime);
  for (size_t number = 0; number < 2 * kWorkers; number++) {
    world.Submit(BatchJob(number));
  }
  world.RunFor(Milliseconds(1000));
  placement.mEvaluations = 0;
  world.RunFor(Milliseconds(1000));
  CHECK_EQUAL(0U, placement.mEvaluations);
}

// Guards against an owner that sends no sign of life for more than a second
// because a single decision serves a whole burst of jobs.
TEST(PlacementSearchCostTest, JobBurstIsServedInBoundedDecisions)
{
  constexpr size_t kWorkers = 600;
  constexpr size_t kJobs = 60;
  const CountingPlacementPolicy placement;
  ShardSimulation world(kWorkers, placement);
  world.AddOwner();
  world.RunFor(kStartupTime);
  size_t before = placement.mEvaluations;
  size_t decisions = 0;
  world.mOnDecided = [&](size_t) {
    const size_t evaluations = placement.mEvaluations - before;
    before = placement.mEvaluations;
    decisions += evaluations > 0 ? 1 : 0;
    CHECK(evaluations <=
          ShardScheduler::kMaxWorkersCheckedPerDecide + kWorkers + kTasks);
  };
  for (size_t number = 0; number < kJobs; number++) {
    world.Submit(BatchJob(number));
  }
  world.Step();
  CHECK_EQUAL(kJobs * kTasks, world.Running());
  CHECK(decisions >=
        kJobs * kWorkers / ShardScheduler::kMaxWorkersCheckedPerDecide);
}

// Guards against steps that are skipped or served out of order where one
// bounded decision ends and the next continues.
TEST(PlacementSearchCostTest, BoundedDecisionsKeepQueueOrder)
{
  constexpr size_t kWorkers = 600;
  constexpr size_t kJobs = 30;
  ShardSimulation world(kWorkers);
  world.AddOwner();
  world.RunFor(kStartupTime);
  std::vector<JobId> served;
  world.mOnOrder = [&](const TaskOrder& aOrder) {
    const JobId& job = aOrder.mTask.mStep.mJob;
    if (served.empty() || !(served.back() == job)) {
      served.push_back(job);
    }
  };
  std::vector<JobId> expected;
  for (size_t number = 0; number < kJobs; number++) {
    JobGraph job = BatchJob(number);
    // The least remaining work is served first.
    job.mSteps[0].mEstimate = Milliseconds(100 * (kJobs - number));
    expected.insert(expected.begin(), job.mId);
    world.Submit(job);
  }
  world.Step();
  CHECK_EQUAL(kJobs, served.size());
  for (size_t number = 0; number < kJobs; number++) {
    CHECK(expected[number] == served[number]);
  }
}

} // namespace mulberryvalve
