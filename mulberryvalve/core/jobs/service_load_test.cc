// The load that is expected of one serving task.
#include "mulberryvalve/core/jobs/service_load.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kSiblings = 5;
constexpr uint32_t kOwnTask = kSiblings;

MonotonicTime At(int aMilliseconds)
{
  return MonotonicTime(std::chrono::seconds(1000)) +
         Milliseconds(aMilliseconds);
}

double Report(ServiceLoads& aLoads,
              uint32_t aTask,
              double aLoad,
              double aPeak,
              double aPressure,
              MonotonicTime aNow)
{
  aLoads.Tasks()[aTask].mLoad = aLoad;
  aLoads.Tasks()[aTask].mPeak = aPeak;
  return aLoads.ExpectedLoad(aTask, aPressure, aNow);
}

} // namespace

TEST_GROUP(ServiceLoadTest){};

// The siblings have a load of 0.5 and no pressure. Guards against an expected
// load that ignores wrongly learned pressure on one task, that follows it
// without a bound, or that is above the recent peak.
TEST(ServiceLoadTest, FollowsTheTaskWithinBounds)
{
  struct Row
  {
    double mLoad; // of the task, corrected for the learned pressure
    double mPeak;
    double mPressure;
    double mLow;
    double mHigh;
  };
  const Row rows[] = {
    { 0.5, 0.9, 0, 0.49, 0.51 },    // like its siblings
    { 0.6, 0.9, 0, 0.57, 0.65 },    // disturbed more than learned
    { 0.6, 0.9, 1, 0.58, 0.65 },    // the same under pressure
    { 0.9, 0.95, 1, 0.72, 0.85 },   // no more than 1.5 times the job's load
    { 0.4, 0.9, 0, 0.36, 0.42 },    // below its siblings
    { 0.1, 0.9, 0, 0.3, 0.4 },      // no less than 0.8 times the job's load
    { 0.5, 0.45, 0, 0.449, 0.451 }, // no more than the recent peak
    { 0.9, 0.6, 0, 0.599, 0.601 },  { 0, 0.4, 0, 0.2, 0.4 },
    { 0.2, 0.4, 200, 0.39, 0.4 }, // the task hardly counts
  };
  for (const Row& row : rows) {
    ServiceLoads loads;
    double expected = 0;
    for (int now = 0; now < 10000; now += 500) {
      for (uint32_t task = 0; task < kSiblings; task++) {
        const int offset = 80 * static_cast<int>(task);
        Report(loads, task, 0.5, 0.9, 0, At(now + offset));
      }
      expected = Report(
        loads, kOwnTask, row.mLoad, row.mPeak, row.mPressure, At(now + 400));
    }
    CHECK(expected >= row.mLow);
    CHECK(expected <= row.mHigh);
  }
}

// Guards against an expected load from too few reports.
TEST(ServiceLoadTest, PeakIsExpectedOfTasksWithFewReports)
{
  struct Row
  {
    int mIntervalMs;
    double mPressure;
    double mExpected;
  };
  const Row rows[] = {
    { 300, 0, 0.5 }, { 500, 0, 0.8 }, { 300, 1, 0.8 }, { 5000, 0, 0.8 }
  };
  for (const Row& row : rows) {
    ServiceLoads loads;
    DOUBLES_EQUAL(0.8, Report(loads, 0, 0.5, 0.8, 0, At(0)), 1e-9);
    double expected = 0;
    for (int number = 1; number < 30; number++) {
      const MonotonicTime now = At(number * row.mIntervalMs);
      expected = Report(loads, 0, 0.5, 0.8, row.mPressure, now);
    }
    DOUBLES_EQUAL(row.mExpected, expected, 1e-6);
  }
}

// Guards against batch that is admitted until a rising load has risen: the
// higher one of the present load and that in a second counts.
TEST(ServiceLoadTest, HigherEndOfTheNextSecondCounts)
{
  struct Row
  {
    double mSlopePerSecond;
    double mExpected;
  };
  const Row rows[] = { { 0.05, 0.55 }, { -0.05, 0.5 } };
  for (const Row& row : rows) {
    ServiceLoads loads;
    double expected = 0;
    for (int now = 0; now <= 5000; now += 250) {
      const double load = 0.5 + row.mSlopePerSecond * (now - 5000) / 1000;
      expected = Report(loads, 0, load, 0.9, 0, At(now));
    }
    DOUBLES_EQUAL(row.mExpected, expected, 0.01);
  }
}

// Guards against loads that are kept for jobs that were forgotten.
TEST(ServiceLoadTest, StepsOfAForgottenJobAreRemoved)
{
  ServiceLoadTable table;
  const char* const jobs[] = { "a", "b", "bb", "c" };
  for (const char* job : jobs) {
    table.Of(StepRef{ JobId(job), 0, 0 }).Tasks()[0].mPeak = 0.5;
    table.Of(StepRef{ JobId(job), 0, 1 });
    table.Of(StepRef{ JobId(job), 7, 0 });
  }
  CHECK_EQUAL(12U, table.Steps());
  table.Forget(JobId("b"));
  CHECK_EQUAL(9U, table.Steps());
  table.Forget(JobId("b"));
  table.Forget(JobId("unknown"));
  CHECK_EQUAL(9U, table.Steps());
  DOUBLES_EQUAL(
    0.5, table.Of(StepRef{ JobId("bb"), 0, 0 }).Tasks()[0].mPeak, 1e-9);
  CHECK_EQUAL(9U, table.Steps());
}

} // namespace mulberryvalve
