// Batch beside services whose load swings: what the expected load admits, and
// what the peak load admits.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace mulberryvalve {
namespace {

// Batch may use every third worker, so that most tasks of each service are
// undisturbed. Where most are disturbed alike, the learned pressure drifts, and
// the results depend on that more than on the limit.
constexpr size_t kWorkers = 18;
constexpr size_t kWorkersPerBatchWorker = 3;
constexpr uint32_t kServiceTasks = 9;
constexpr int kServices = 6;
// More than can run. It is one job, since one without a running task is placed
// regardless of the limit once it has waited.
constexpr uint32_t kBatchTasks = 4000;
const WorkerLabel kBatchLabel("batch");
constexpr int64_t kTargetMs = 18;
constexpr Milliseconds kSwing{ 20000 };
constexpr Milliseconds kWarmUp{ 20000 };
constexpr int kStepMs = 20;
constexpr int kSteps = 5000;
// How much more batch the expected load must admit in the troughs.
constexpr double kMinGainInTroughs = 1.1;
// How much longer at a time, and in which further part of the time in percent,
// services may be over their target. The pace is halved after a second over the
// target, which takes effect half a second later.
constexpr int kMaxLongerOverTargetMs = 1500;
constexpr double kMaxMoreOverTargetPercent = 5;
// A service that is over its target for this long counts as not served.
constexpr int kNotServedMs = 4000;
// A batch task raises the load of a service beside it by this part.
constexpr double kTaskPressure = 0.2;

bool IsService(const TaskRef& aTask)
{
  return aTask.mStep.mJob.Text()[0] == 's';
}

// FormerLimit is the rule that applied before the load could be chosen.
class FormerLimit : public PressureLimit
{
public:
  double Admitted(const WorkerEntry& aWorker) const override
  {
    return 2.0 * aWorker.mTolerablePressure + 0.1;
  }
  bool NeedsExpectedLoad() const override { return false; }
  int64_t MixedImagesCost() const override { return 150; }
};

// Results are what a run has shown after the warm-up.
struct Results
{
  // The mean number of running batch tasks.
  double mBatchInTroughs = 0;
  // The longest time that a service was over its target.
  int mLongestOverTargetMs = 0;
  // The part of the time, in percent, that services were over their target.
  double mOverTargetPercent = 0;
  // The starts and stops that were ordered.
  std::vector<std::string> mOrders;
};

// Runs services on all workers, with a load that swings between 0.25 and 0.65,
// and more batch than can run. aPhase, in parts of a swing, is where the load
// begins.
Results Run(const PressureLimit& aLimit, double aPhase)
{
  const LearnedPlacementPolicy placement(aLimit);
  ShardSimulation world(kWorkers, placement);
  world.AddOwner();
  const MonotonicTime begin = world.Now();
  const auto wave = [&] {
    constexpr double kPi = 3.14159265358979;
    const std::chrono::duration<double> elapsed = world.Now() - begin;
    const std::chrono::duration<double> swing = kSwing;
    return std::sin(2 * kPi * (aPhase + elapsed.count() / swing.count()));
  };
  world.mDurationOf = [](const TaskRef& aTask) {
    return IsService(aTask) ? Milliseconds(600000) : Milliseconds(1500);
  };
  Results results;
  world.mOnOrder = [&](const TaskOrder& aOrder) {
    if (aOrder.mKind == OrderKind::kStart || aOrder.mKind == OrderKind::kStop) {
      results.mOrders.push_back(
        std::to_string((world.Now() - begin).count()) + " " +
        std::to_string(static_cast<int>(aOrder.mKind)) + " " +
        std::string(aOrder.mTask.mStep.mJob.Text()) + " " +
        std::to_string(aOrder.mTask.mIndex) + " " +
        std::string(aOrder.mWorker.Text()));
    }
  };
  for (size_t number = 0; number < kWorkers; number += kWorkersPerBatchWorker) {
    world.Worker(number).mInfo.mLabels = { kBatchLabel };
  }
  for (size_t number = 0; number < kWorkers; number++) {
    world.Worker(number).mTailLatencyMs = [&](const SimulatedWorker& aWorker,
                                              const TaskRef&) {
      double pressure = 0;
      for (const auto& [task, run] : aWorker.mRuns) {
        pressure +=
          IsService(task) ? 0 : kTaskPressure * run.mPacePercent / kFullPace;
      }
      const double load = (0.45 + 0.2 * wave()) * (1 + pressure);
      return static_cast<int64_t>(4 / (1 - std::min(0.98, load)));
    };
  }
  for (int number = 0; number < kServices; number++) {
    JobGraph job =
      OneStepJob("s" + std::to_string(number), kServiceTasks, 3000);
    job.mSteps[0].mLongRunning = true;
    job.mSteps[0].mTailLatencyTarget = Milliseconds(kTargetMs);
    job.mSteps[0].mImage = ImageId("service");
    world.Submit(job);
  }
  world.RunFor(Milliseconds(2000));
  JobGraph batch = OneStepJob("b", kBatchTasks, 1200);
  batch.mSteps[0].mBestEffort = true;
  batch.mSteps[0].mRequiredLabel = kBatchLabel;
  batch.mSteps[0].mImage = ImageId("batch");
  world.Submit(batch);
  std::map<TaskRef, int> overTargetMs;
  int troughSteps = 0;
  int serviceSteps = 0;
  int overTargetSteps = 0;
  for (int step = 0; step < kSteps; step++) {
    world.Step();
    if (world.Now() < begin + kWarmUp) {
      continue;
    }
    const auto running =
      static_cast<double>(world.Running() - kServices * kServiceTasks);
    results.mBatchInTroughs += wave() < -0.5 ? running : 0;
    troughSteps += wave() < -0.5 ? 1 : 0;
    for (size_t number = 0; number < kWorkers; number++) {
      const SimulatedWorker& worker = world.Worker(number);
      for (const auto& [task, run] : worker.mRuns) {
        if (!IsService(task)) {
          continue;
        }
        const bool isOver = worker.mTailLatencyMs(worker, task) > kTargetMs;
        int& currentMs = overTargetMs[task];
        currentMs = isOver ? currentMs + kStepMs : 0;
        serviceSteps++;
        overTargetSteps += isOver ? 1 : 0;
        results.mLongestOverTargetMs =
          std::max(results.mLongestOverTargetMs, currentMs);
      }
    }
  }
  results.mBatchInTroughs /= troughSteps;
  results.mOverTargetPercent = 100.0 * overTargetSteps / serviceSteps;
  for (const std::string& finding : world.Violations()) {
    FAIL(finding.c_str());
  }
  return results;
}

} // namespace

TEST_GROUP(ExpectedLoadTest){};

// Guards against batch that waits while the load of the services is low, and
// against services that are over their target for much longer in exchange.
TEST(ExpectedLoadTest, MoreBatchRunsInTroughs)
{
  const ExpectedLoadPressureLimit expectedLoadLimit;
  double batchByPeak = 0;
  double batchByExpected = 0;
  double overByPeak = 0;
  double overByExpected = 0;
  const double phases[] = { 0, 0.2, 0.4, 0.6, 0.8 };
  for (const double phase : phases) {
    const Results byPeak = Run(kPeakLoadLimit, phase);
    const Results byExpected = Run(expectedLoadLimit, phase);
    batchByPeak += byPeak.mBatchInTroughs;
    batchByExpected += byExpected.mBatchInTroughs;
    overByPeak += byPeak.mOverTargetPercent;
    overByExpected += byExpected.mOverTargetPercent;
    CHECK(byExpected.mLongestOverTargetMs <=
          byPeak.mLongestOverTargetMs + kMaxLongerOverTargetMs);
    CHECK(byExpected.mLongestOverTargetMs < kNotServedMs);
  }
  CHECK(batchByExpected > kMinGainInTroughs * batchByPeak);
  const double moreOver = (overByExpected - overByPeak) / std::size(phases);
  CHECK(moreOver <= kMaxMoreOverTargetPercent);
}

// Guards against a default that decides differently than before.
TEST(ExpectedLoadTest, DefaultDecidesAsBefore)
{
  const FormerLimit formerLimit;
  const Results former = Run(formerLimit, 0);
  const Results byDefault = Run(kPeakLoadLimit, 0);
  CHECK(former.mOrders.size() > 100);
  CHECK(former.mOrders == byDefault.mOrders);
}

} // namespace mulberryvalve
