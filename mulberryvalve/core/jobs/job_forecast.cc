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
  std::vector<Milliseconds> remainingChains;
  remainingChains.reserve(states.size());
  for (size_t index = 0; index < states.size(); index++) {
    const StepSpec& spec = aJob.mGraph.mSteps[index];
    const Milliseconds expected =
      aRunTimes.Estimate(aJob.mGraph.mQueue, spec.mEstimate);
    const auto remaining =
      static_cast<int64_t>(states[index].mTasks.size() - states[index].mDone);
    Milliseconds chain{ 0 };
    Milliseconds remainingChain{ 0 };
    for (const uint32_t earlier : spec.mDependsOn) {
      chain = std::max(chain, chains[earlier]);
      remainingChain = std::max(remainingChain, remainingChains[earlier]);
    }
    chain += expected;
    remainingChain += remaining > 0 ? expected : Milliseconds(0);
    chains.push_back(chain);
    remainingChains.push_back(remainingChain);
    forecast.mLongestChain = std::max(forecast.mLongestChain, chain);
    forecast.mRemainingChain =
      std::max(forecast.mRemainingChain, remainingChain);
    forecast.mRemainingWork +=
      remaining * expected.count() * spec.mDemand.mCpuMillis;
  }
  return forecast;
}

} // namespace mulberryvalve
