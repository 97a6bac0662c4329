// The pressure that best-effort tasks may put on the services of a worker.
#include "mulberryvalve/core/jobs/pressure_limit.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

TEST_GROUP(PressureLimitTest){};

// Guards against a changed default, which must admit twice what services bear
// at their peak, and against an implementation that reads the other's input.
TEST(PressureLimitTest, AdmittedPressure)
{
  struct Row
  {
    double mTolerable;
    double mTolerableSoon;
    double mByPeakLoad;
    double mByExpectedLoad;
  };
  const Row rows[] = {
    { 0, 0, 0.1, 0.1 },        // nothing was reported yet
    { 0.2, 0.2, 0.5, 0.26 },   // the services are at their peak
    { 0.2, 1.5, 0.5, 1.3 },    // the services are far below it
    { 0.8, 2.0, 1.7, 1.7 },    // the most that services are taken to bear
    { -0.3, 0.4, -0.5, 0.42 }, // the target would be missed at the peak
    { -0.3, -0.2, -0.5, -0.06 },
  };
  const ExpectedLoadPressureLimit byExpectedLoad;
  for (const Row& row : rows) {
    WorkerEntry worker;
    worker.mTolerablePressure = row.mTolerable;
    worker.mTolerableSoon = row.mTolerableSoon;
    DOUBLES_EQUAL(row.mByPeakLoad, kPeakLoadLimit.Admitted(worker), 1e-9);
    DOUBLES_EQUAL(row.mByExpectedLoad, byExpectedLoad.Admitted(worker), 1e-9);
  }
}

// Guards against a default that computes expected loads or moves services.
TEST(PressureLimitTest, OnlyTheExpectedLoadNeedsForecasts)
{
  const ExpectedLoadPressureLimit byExpectedLoad;
  CHECK_FALSE(kPeakLoadLimit.NeedsExpectedLoad());
  CHECK_TRUE(byExpectedLoad.NeedsExpectedLoad());
  CHECK_EQUAL(150, kPeakLoadLimit.MixedImagesCost());
  CHECK_EQUAL(600, byExpectedLoad.MixedImagesCost());
}

} // namespace mulberryvalve
