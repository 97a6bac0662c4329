// Batch work beside services: interference is learned by pairs of images, and
// best-effort tasks are throttled before a tail latency is above its target for
// long.
#include "mulberryvalve/core/jobs/interference_estimator.h"
#include "mulberryvalve/core/jobs/pace_control.h"
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr ImageNumber kService = 0;
constexpr ImageNumber kLight = 1;
constexpr ImageNumber kHeavy = 2;

MonotonicTime At(int aMilliseconds)
{
  return MonotonicTime(std::chrono::seconds(1000)) +
         Milliseconds(aMilliseconds);
}

ServingReport Report(double aLoad, double aPressure)
{
  ServingReport report;
  report.mLoad = aLoad;
  report.mLimit = 0.78;
  report.mPressure = aPressure;
  return report;
}

constexpr size_t kWorkers = 12;

// A heavy task raises the load of a service by half; a light one hardly raises
// it.
void SetUpServices(ShardSimulation& aWorld)
{
  aWorld.mDurationOf = [](const TaskRef& aTask) {
    const bool isService = aTask.mStep.mJob.Text()[0] == 's';
    return isService ? Milliseconds(600000) : Milliseconds(3000);
  };
  for (size_t number = 0; number < kWorkers; number++) {
    aWorld.Worker(number).mTailLatencyMs = [](const SimulatedWorker& aWorker,
                                              const TaskRef&) {
      double pressure = 0;
      for (const auto& [task, run] : aWorker.mRuns) {
        const char kind = task.mStep.mJob.Text()[0];
        pressure += kind == 'h' ? 0.5 : kind == 'l' ? 0.04 : 0;
      }
      const double load = std::min(0.98, 0.5 * (1 + pressure));
      return static_cast<int64_t>(4 / (1 - load));
    };
  }
  for (int number = 0; number < 6; number++) {
    JobGraph job = OneStepJob("s" + std::to_string(number), 6, 3000);
    job.mSteps[0].mLongRunning = true;
    job.mSteps[0].mTailLatencyTarget = Milliseconds(18);
    job.mSteps[0].mImage = ImageId("service");
    aWorld.Submit(job);
  }
}

// Alternates jobs of the heavy and of the light image.
void SubmitBatch(ShardSimulation& aWorld, int aRound)
{
  const bool isHeavy = aRound % 2 == 0;
  JobGraph job =
    OneStepJob((isHeavy ? "h" : "l") + std::to_string(aRound), 4, 1800);
  job.mSteps[0].mBestEffort = true;
  job.mSteps[0].mImage = ImageId(isHeavy ? "heavy" : "light");
  aWorld.Submit(job);
}

} // namespace

TEST_GROUP(InterferenceTest){};

// Two best-effort images run side by side and only one of them interferes.
TEST(InterferenceTest, LearnsWhichImageInterferes)
{
  InterferenceEstimator book;
  for (int round = 0; round < 200; round++) {
    const double light = 0.05 + 0.01 * (round % 20);
    const double isHeavy = 0.05 + 0.01 * (round % 7);
    const double excess = 0.4 * light + 6 * isHeavy;
    book.Learn(kService, excess, { { kLight, light }, { kHeavy, isHeavy } });
  }
  CHECK(book.Weight(kService, kHeavy) > 4);
  CHECK(book.Weight(kService, kLight) < 1.5);
}

// Measured excess load is noisy: it is off by 0.3 in either direction.
TEST(InterferenceTest, NoiseDoesNotInflateWeight)
{
  InterferenceEstimator book;
  for (int round = 0; round < 400; round++) {
    const double noise = round % 2 == 0 ? 0.3 : -0.3;
    book.Learn(kService, 0.05 + noise, { { kLight, 0.1 } });
  }
  CHECK(book.Weight(kService, kLight) < 2.5);
}

TEST(InterferenceTest, LoadIsDerivedFromTailLatency)
{
  InterferenceEstimator book;
  DOUBLES_EQUAL(0.2, book.LoadFromTail(kService, 5), 0.001);
  DOUBLES_EQUAL(0.6, book.LoadFromTail(kService, 10), 0.001);
  DOUBLES_EQUAL(0.8, book.LoadLimit(kService, 20), 0.001);
}

TEST(InterferenceTest, PaceMatchesTolerablePressure)
{
  PaceState state;
  CHECK(PaceAction::kKeep ==
        UpdatePace(state, { Report(0.5, 0.2) }, At(0), At(10)));
  CHECK(PaceAction::kChange ==
        UpdatePace(state, { Report(0.9, 0.8) }, At(20), At(30)));
  CHECK(state.mPercent < 90);
  CHECK(state.mPercent > 30);
}

// A report that was requested before the pace changed does not reflect the
// change.
TEST(InterferenceTest, ReportsFromBeforeAPaceChangeAreIgnored)
{
  PaceState state;
  UpdatePace(state, { Report(0.9, 0.8) }, At(0), At(10));
  const int once = state.mPercent;
  CHECK(PaceAction::kKeep ==
        UpdatePace(state, { Report(0.95, 0.8) }, At(5), At(100)));
  CHECK_EQUAL(once, state.mPercent);
}

TEST(InterferenceTest, PaceRecoversWhenLoadDrops)
{
  PaceState state;
  UpdatePace(state, { Report(0.95, 0.8) }, At(0), At(10));
  UpdatePace(state, { Report(0.3, 0.8) }, At(1000), At(1010));
  CHECK_EQUAL(kFullPace, state.mPercent);
}

// The learned pressure is wrong, so that the tail latency stays above its
// target. Best-effort tasks must be evicted well before four seconds.
TEST(InterferenceTest, BestEffortIsEvictedBeforeFourSecondsOverTarget)
{
  PaceState state;
  int movedAt = 0;
  for (int now = 0; now < 4000 && movedAt == 0; now += 400) {
    const PaceAction verdict =
      UpdatePace(state, { Report(0.9, 0.0) }, At(now), At(now + 10));
    movedAt = verdict == PaceAction::kEvict ? now : 0;
  }
  CHECK(movedAt > 0);
  CHECK(movedAt <= 2800);
}

// A burst of batch jobs with a heavy and a light image reaches workers that all
// run serving tasks. No tail latency may be above its target for four seconds,
// and batch jobs must still get most of the unused CPU.
TEST(InterferenceTest, BatchBurstKeepsTailLatencyTargets)
{
  ShardSimulation world(kWorkers);
  world.AddOwner();
  std::map<TaskRef, int> overTargetMs;
  int longestOverTargetMs = 0;
  SetUpServices(world);
  world.RunFor(Milliseconds(2000));
  size_t runningBatchSum = 0;
  for (int round = 0; round < 100; round++) {
    SubmitBatch(world, round);
    for (int step = 0; step < 10; step++) {
      world.Step();
      runningBatchSum += world.Running() - 36;
      for (size_t number = 0; number < kWorkers; number++) {
        SimulatedWorker& worker = world.Worker(number);
        for (const auto& [task, run] : worker.mRuns) {
          if (task.mStep.mJob.Text()[0] != 's') {
            continue;
          }
          int& currentOverTargetMs = overTargetMs[task];
          currentOverTargetMs = worker.mTailLatencyMs(worker, task) > 18
                                  ? currentOverTargetMs + 20
                                  : 0;
          longestOverTargetMs =
            std::max(longestOverTargetMs, currentOverTargetMs);
        }
      }
    }
  }
  CHECK(longestOverTargetMs < 4000);
  CHECK(runningBatchSum / 1000 >= 20);
  for (const std::string& finding : world.Violations()) {
    FAIL(finding.c_str());
  }
}

// Guards against a takeover that loses what was learned: the new owner placed
// heavy images beside services until it had learned again.
TEST(InterferenceTest, SuccessorRestoresLearnedInterference)
{
  ShardSimulation world(kWorkers);
  SimulatedOwner& former = world.AddOwner();
  SetUpServices(world);
  for (int round = 0; round < 100; round++) {
    SubmitBatch(world, round);
    world.RunFor(Milliseconds(200));
  }
  const LearnedRecord before = former.mShard->Learned();
  const LearnedRecord after = world.AddOwner().mShard->Learned();
  CHECK_EQUAL(2U, before.mPairs.size());
  CHECK_EQUAL(2U, after.mPairs.size());
  for (size_t pair = 0; pair < before.mPairs.size(); pair++) {
    CHECK(before.mPairs[pair].mBestEffortImage ==
          after.mPairs[pair].mBestEffortImage);
    CHECK(after.mPairs[pair].mObservations > 0);
    DOUBLES_EQUAL(before.mPairs[pair].mWeight,
                  after.mPairs[pair].mWeight,
                  before.mPairs[pair].mWeight / 2);
  }
  CHECK_EQUAL(before.mTails.size(), after.mTails.size());
  CHECK_EQUAL(before.mTimes.size(), after.mTimes.size());
}

// Guards against batch tasks that stay throttled after the services beside them
// have gone, until something else is started there.
// Guards against image numbers that depend on the compiler: the two images of a
// restored pair were numbered by two arguments of one call.
TEST(InterferenceTest, RestoredImagesAreNumberedInTheOrderOfTheRecord)
{
  LearnedRecord record;
  record.mPairs = { { ImageId("service"), ImageId("heavy"), 0.5, 8 } };
  ImageTable images;
  InterferenceEstimator estimator;
  estimator.Restore(record, images);
  CHECK_EQUAL(0U, images.NumberOf(ImageId("service")));
  CHECK_EQUAL(1U, images.NumberOf(ImageId("heavy")));
}

TEST(InterferenceTest, PaceIsRestoredWhenTheServicesHaveGone)
{
  ShardSimulation world(1);
  world.AddOwner();
  int64_t tailMs = 4;
  world.mDurationOf = [](const TaskRef&) { return Milliseconds(600000); };
  world.Worker(0).mTailLatencyMs = [&](const SimulatedWorker&, const TaskRef&) {
    return tailMs;
  };
  JobGraph service = OneStepJob("s", 2, 3000);
  service.mSteps[0].mLongRunning = true;
  service.mSteps[0].mTailLatencyTarget = Milliseconds(18);
  service.mSteps[0].mImage = ImageId("service");
  world.Submit(service);
  world.RunFor(Milliseconds(1000));
  JobGraph batch = OneStepJob("b", 4, 1800);
  batch.mSteps[0].mBestEffort = true;
  batch.mSteps[0].mImage = ImageId("batch");
  world.Submit(batch);
  world.RunFor(Milliseconds(1000));
  const TaskRef task{ { JobId("b"), 0, 0 }, 0 };
  const auto paceNow = [&] {
    return world.Worker(0).mRuns.at(task).mPacePercent;
  };
  CHECK_EQUAL(kFullPace, paceNow());
  tailMs = 19;
  world.RunFor(Milliseconds(1500));
  CHECK(paceNow() < kFullPace);
  world.Cancel(JobId("s"));
  world.RunFor(Milliseconds(2500));
  CHECK_EQUAL(kFullPace, paceNow());
}

// An owner of a thousand workers can't afford two reports a second of each. A
// service far below its target is asked less often, but within a second.
TEST(InterferenceTest, CalmWorkersAreAskedLessOften)
{
  struct Row
  {
    int mPacePercent;
    int mTailPercent;
    bool mIsCalm;
  };
  const Row rows[] = {
    { kFullPace, 30, true },
    { kFullPace, 59, true },
    { kFullPace, 60, false },
    { 90, 30, false },
    // Nothing was reported yet.
    { kFullPace, 0, false },
  };
  const LeaseTerms terms;
  CHECK(terms.mCalmPacingWait <= Milliseconds(1000));
  for (const Row& row : rows) {
    WorkerTable workers(terms);
    WorkerEntry& worker = workers.Add(WorkerId("w"));
    worker.mRecorded = true;
    worker.mIsUseRecorded = true;
    worker.mClock = WorkerTime{ 1 };
    worker.mServingTasks = 1;
    worker.mBestEffortTasks = 1;
    worker.mPace.mPercent = row.mPacePercent;
    worker.mPace.mTailPercentOfTarget = row.mTailPercent;
    const RenewalRequest renewal =
      workers.NextRenewal(worker, Epoch(1), true, At(0));
    CHECK(renewal.mWait ==
          (row.mIsCalm ? terms.mCalmPacingWait : terms.mPacingWait));
  }
}

} // namespace mulberryvalve
