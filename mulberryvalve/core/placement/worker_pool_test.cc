#include "mulberryvalve/core/colocation/scored_placement_policy.h"
#include "mulberryvalve/core/placement/baseline_policies.h"

#include <deque>
#include <memory>
#include <random>
#include <string>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr int kPools = 2000;

TaskEntry RandomTask(std::mt19937_64& aRandom, int aNumber)
{
  auto demand = std::make_shared<TaskDemand>();
  demand->mResources = { int64_t(aRandom() % 20000),
                         int64_t(aRandom() % 70000),
                         int64_t(aRandom() % 4) };
  demand->mKind = aRandom() % 4 == 0 ? TaskKind::kWatcher : TaskKind::kBatch;
  demand->mClass = TaskClass(std::to_string(aRandom() % 6));
  TaskEntry task;
  task.mId = TaskId("t" + std::to_string(aNumber));
  task.mJob = JobId("j" + std::to_string(aNumber % 3));
  task.mDemand = demand;
  return task;
}

WorkerPool RandomPool(std::mt19937_64& aRandom)
{
  WorkerPool pool;
  const size_t workers = aRandom() % 20;
  for (size_t index = 0; index < workers; index++) {
    PooledWorker worker;
    worker.mSpec.mId = WorkerId("w" + std::to_string(index));
    worker.mSpec.mRack = RackId(std::to_string(index / 4));
    worker.mSpec.mCapacity = { 16000, 61440, int64_t(aRandom() % 4) };
    worker.mReserve = { 2000, 4096, 0 };
    worker.mReachable = aRandom() % 5 != 0;
    worker.mQuarantined = aRandom() % 7 == 0;
    worker.mSpec.mState =
      aRandom() % 6 == 0 ? WorkerState::kLeaving : WorkerState::kLive;
    pool.Add(worker);
  }
  return pool;
}

bool FitsSomewhere(const WorkerPool& aPool, const TaskEntry& aTask)
{
  for (const PooledWorker& worker : aPool.All()) {
    if (worker.Fits(aTask.mDemand->mResources)) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(Policies){};

// A selected worker always accepts tasks and has room, and a worker is found
// whenever one has room, except by SeparateBatchPolicy, which may find none.
TEST(Policies, HardConstraintsHoldOverRandomPools)
{
  InterferenceModel model;
  TaskClassEstimates classEstimates;
  UsageTracker usage(model, classEstimates);
  std::unique_ptr<PlacementPolicy> policies[] = {
    std::make_unique<FirstFitPolicy>(),
    std::make_unique<LeastLoadedPolicy>(),
    std::make_unique<BestFitPolicy>(),
    std::make_unique<TwoChoicesPlacementPolicy>(
      [](const WorkerId&) { return 0.0; }),
    std::make_unique<ScoredPlacementPolicy>(
      ScoreOptions(), model, classEstimates, usage),
    std::make_unique<SeparateBatchPolicy>(
      [](const WorkerSpec& aSpec) { return aSpec.mId.Text() < "w5"; }),
  };
  std::mt19937_64 random(7);
  for (int round = 0; round < kPools; round++) {
    WorkerPool pool = RandomPool(random);
    std::deque<TaskEntry> tasks;
    PlacementPolicy& policy = *policies[round % 6];
    for (int index = 0; index < 12; index++) {
      const TaskEntry& task = tasks.emplace_back(RandomTask(random, index));
      const bool fits = FitsSomewhere(pool, task);
      const PlacementChoice choice = policy.Choose(task, pool);
      CHECK(choice.mWorker ? fits : !fits || round % 6 == 5);
      if (choice.mWorker) {
        CHECK(pool.Find(*choice.mWorker)->Fits(task.mDemand->mResources));
        pool.ChargeTask(*choice.mWorker, task);
      }
    }
  }
}

TEST(Policies, WatchersOfOneJobGoToDifferentRacks)
{
  InterferenceModel model;
  TaskClassEstimates classEstimates;
  UsageTracker usage(model, classEstimates);
  ScoredPlacementPolicy policy({}, model, classEstimates, usage);
  WorkerPool pool;
  for (int index = 0; index < 12; index++) {
    PooledWorker worker;
    worker.mSpec.mId = WorkerId("w" + std::to_string(index));
    worker.mSpec.mRack = RackId(std::to_string(index / 4));
    worker.mSpec.mCapacity = { 16000, 61440, 0 };
    worker.mReachable = true;
    pool.Add(worker);
  }
  auto demand = std::make_shared<TaskDemand>();
  demand->mKind = TaskKind::kWatcher;
  demand->mResources = { 500, 500, 0 };
  std::deque<TaskEntry> tasks;
  for (int part = 0; part < 3; part++) {
    TaskEntry& task = tasks.emplace_back();
    task.mId = TaskId("job/" + std::to_string(part));
    task.mJob = JobId("job");
    task.mDemand = demand;
    pool.ChargeTask(*policy.Choose(task, pool).mWorker, task);
  }
  for (int rack = 0; rack < 3; rack++) {
    LONGS_EQUAL(1,
                pool.TasksOnRack(RackId(std::to_string(rack)), JobId("job")));
  }
}

} // namespace mulberryvalve
