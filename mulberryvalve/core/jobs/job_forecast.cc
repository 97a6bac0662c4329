#include "mulberryvalve/core/jobs/job_forecast.h"

#include <algorithm>
#include <vector>

namespace mulberryvalve {

JobForecast ForecastOf(const JobEntry& aJob,
                       uint32_t aOccurrence,
                       const RunTimeEstimator& aRunTimes)
{
  JobForecast forecast;
  const std::vector<StepState>& states = aJob.mOccurrences.at(aOccurrence);
  std::vector<Milliseconds> chains;
  chains.reserve(states.size());
  for (size_t index = 0; index < states.size(); index++) {
    const StepSpec& spec = aJob.mGraph.mSteps[index];
    const Milliseconds expected =
      aRunTimes.Estimate(aJob.mGraph.mQueue, spec.mEstimate);
    Milliseconds chain{ 0 };
    for (const uint32_t earlier : spec.mDependsOn) {
      chain = std::max(chain, chains[earlier]);
    }
    chain += expected;
    chains.push_back(chain);
    forecast.mLongestChain = std::max(forecast.mLongestChain, chain);
    const auto remaining =
      static_cast<int64_t>(states[index].mTasks.size() - states[index].mDone);
    forecast.mRemainingWork +=
      remaining * expected.count() * spec.mDemand.mCpuMillis;
  }
  return forecast;
}

} // namespace mulberryvalve
