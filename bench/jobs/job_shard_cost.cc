// Measures what the decisions of a shard's owner cost, by the run of a task, at
// several numbers of workers under the same load a worker.
#include "bench/jobs/shard_world.h"

#include <cstdio>
#include <cstdlib>

namespace mulberryvalve {
namespace {

constexpr double kJobsPerSecondAndWorker = 25.0 / 350;
constexpr double kLastingPerSecondAndWorker = 0.65 / 350;

void MeasurePlay(size_t aWorkers, double aBurst)
{
  ShardWorldOptions options;
  options.mWorkers = aWorkers;
  const auto workers = static_cast<double>(aWorkers);
  options.mJobsPerSecond = kJobsPerSecondAndWorker * workers;
  options.mLastingPerSecond = kLastingPerSecondAndWorker * workers;
  options.mBurst = aBurst;
  ShardWorld world(options);
  const ShardCosts costs = world.Play();
  double sum = 0;
  for (const double part : costs.mParts) {
    sum += part;
  }
  const double seconds = std::chrono::duration<double>(options.mLength).count();
  std::printf("workers=%zu burst=%.0f us_a_run=%.1f cores=%.3f "
              "longest_decide_ms=%.2f runs=%zu jobs=%zu over=%zu",
              aWorkers,
              aBurst,
              sum / static_cast<double>(costs.mRuns),
              sum / 1e6 / seconds,
              costs.mLongestDecide / 1e3,
              costs.mRuns,
              costs.mJobs,
              costs.mJobsOver);
  for (size_t part = 0; part < costs.mParts.size(); part++) {
    std::printf(" %s=%.1f/%zu",
                kCostPartNames.Name(static_cast<CostPart>(part)).data(),
                costs.mParts[part] / static_cast<double>(costs.mRuns),
                costs.mCalls[part]);
  }
  std::printf("\n");
  std::fflush(stdout);
}

} // namespace
} // namespace mulberryvalve

// job_shard_cost [WORKERS BURST]
int main(int aCount, char** aArguments)
{
  if (aCount == 3) {
    mulberryvalve::MeasurePlay(std::strtoul(aArguments[1], nullptr, 10),
                               std::strtod(aArguments[2], nullptr));
    return 0;
  }
  for (const double burst : { 1.0, 4.0 }) {
    for (const size_t workers : { 50, 350, 1100 }) {
      mulberryvalve::MeasurePlay(workers, burst);
    }
  }
  return 0;
}
