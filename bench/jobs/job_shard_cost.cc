// Measures the cost of a shard owner's decisions per task run, for several
// numbers of workers with the same load per worker.
#include "bench/jobs/shard_load_simulation.h"

#include <cstdio>
#include <cstdlib>

namespace mulberryvalve {
namespace {

constexpr double kJobsPerSecondAndWorker = 25.0 / 350;
constexpr double kLastingPerSecondAndWorker = 0.65 / 350;

void MeasureRun(size_t aWorkers, double aBurst, size_t aAccounts = 0)
{
  ShardLoadSimulationOptions options;
  options.mWorkers = aWorkers;
  const auto workers = static_cast<double>(aWorkers);
  options.mJobsPerSecond = kJobsPerSecondAndWorker * workers;
  options.mLongRunningJobsPerSecond = kLastingPerSecondAndWorker * workers;
  options.mBurstFactor = aBurst;
  options.mAccounts = aAccounts;
  ShardLoadSimulation world(options);
  const ShardCosts costs = world.Play();
  double sum = 0;
  for (const double part : costs.mMicroseconds) {
    sum += part;
  }
  const double seconds =
    std::chrono::duration<double>(options.mDuration).count();
  std::printf("workers=%zu burst=%.0f accounts=%zu us_a_run=%.1f cores=%.3f "
              "longest_decide_ms=%.2f runs=%zu jobs=%zu over=%zu",
              aWorkers,
              aBurst,
              aAccounts,
              sum / static_cast<double>(costs.mRuns),
              sum / 1e6 / seconds,
              costs.mMaxDecideMicroseconds / 1e3,
              costs.mRuns,
              costs.mJobs,
              costs.mEndedJobs);
  for (size_t part = 0; part < costs.mMicroseconds.size(); part++) {
    std::printf(" %s=%.1f/%zu",
                kCostCategoryNames.Name(static_cast<CostCategory>(part)).data(),
                costs.mMicroseconds[part] / static_cast<double>(costs.mRuns),
                costs.mCalls[part]);
  }
  std::printf("\n");
  std::fflush(stdout);
}

} // namespace
} // namespace mulberryvalve

// job_shard_cost [WORKERS BURST [ACCOUNTS]]
int main(int aCount, char** aArguments)
{
  if (aCount >= 3) {
    mulberryvalve::MeasureRun(
      std::strtoul(aArguments[1], nullptr, 10),
      std::strtod(aArguments[2], nullptr),
      aCount > 3 ? std::strtoul(aArguments[3], nullptr, 10) : 0);
    return 0;
  }
  for (const double burst : { 1.0, 4.0 }) {
    for (const size_t workers : { 50, 350, 1100 }) {
      mulberryvalve::MeasureRun(workers, burst);
    }
  }
  return 0;
}
