// request_bench: compares request policies on the same seeded arrivals. Usage:
// request_bench [--seeds N]. The output is determined by the seeds.
#include "bench/requests/request_sim.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace mulberryvalve::bench {
namespace {

constexpr int kLoads[] = { 30, 60, 85, 110 };

struct Row
{
  const char* mName;
  std::unique_ptr<UpstreamPolicy> (*mMake)();
  bool mProtectionEnabled;
  bool mSharedCounter;
  int mDigestMs;
};

template<typename Policy>
std::unique_ptr<UpstreamPolicy> Make()
{
  return std::make_unique<Policy>();
}

const Row kRows[] = {
  { "random", Make<RandomPolicy>, false, false, 500 },
  { "round robin", Make<RoundRobinPolicy>, false, false, 500 },
  { "least in flight", Make<LeastInFlightPolicy>, false, false, 500 },
  { "two choices", Make<AdaptiveTwoChoicesPolicy>, false, false, 500 },
  { "lowest cost", Make<LowestCostPolicy>, false, false, 500 },
  { "random +guards", Make<RandomPolicy>, true, false, 500 },
  { "round robin +guards", Make<RoundRobinPolicy>, true, false, 500 },
  { "least in flight +guards", Make<LeastInFlightPolicy>, true, false, 500 },
  { "two choices +guards", Make<AdaptiveTwoChoicesPolicy>, true, false, 500 },
  { "lowest cost +guards", Make<LowestCostPolicy>, true, false, 500 },
  { "lowest cost, digest 50 ms", Make<LowestCostPolicy>, true, false, 50 },
  { "lowest cost, shared counter", Make<LowestCostPolicy>, true, true, 500 },
};

void PrintRow(const Row& aRow, int aLoad, uint64_t aSeeds)
{
  SimResult sum;
  double p50 = 0;
  double p99 = 0;
  double idle = 0;
  for (uint64_t seed = 1; seed <= aSeeds; seed++) {
    SimSettings settings;
    settings.mSeed = seed;
    settings.mLoadPercent = aLoad;
    settings.mProtectionEnabled = aRow.mProtectionEnabled;
    settings.mSharedCounter = aRow.mSharedCounter;
    settings.mDigestInterval = Milliseconds(aRow.mDigestMs);
    settings.mPolicy = aRow.mMake;
    const SimResult result = Simulate(settings);
    sum.mRequests += result.mRequests;
    sum.mOnTime += result.mOnTime;
    sum.mNotRun += result.mNotRun;
    sum.mErrors += result.mErrors;
    sum.mLate += result.mLate;
    sum.mRetries += result.mRetries;
    sum.mRefusals += result.mRefusals;
    sum.mOverruns += result.mOverruns;
    p50 += static_cast<double>(result.mP50.count()) / 1000;
    p99 += static_cast<double>(result.mP99.count()) / 1000;
    idle += result.mIdleWhileQueued;
  }
  const auto runs = static_cast<double>(aSeeds);
  const auto all = static_cast<double>(sum.mRequests) / 100;
  std::printf("| %d | %s | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f | %.2f | "
              "%.2f | %llu | %.1f |\n",
              aLoad,
              aRow.mName,
              static_cast<double>(sum.mOnTime) / all,
              static_cast<double>(sum.mNotRun) / all,
              static_cast<double>(sum.mErrors) / all,
              static_cast<double>(sum.mLate) / all,
              p50 / runs,
              p99 / runs,
              static_cast<double>(sum.mRetries) / all,
              static_cast<double>(sum.mRefusals) / all,
              static_cast<unsigned long long>(sum.mOverruns),
              idle / runs);
}

void Print(uint64_t aSeeds)
{
  std::printf(
    "| load %% | policy | in time %% | not run %% | error %% | late %% | "
    "p50 ms | p99 ms | retries %% | refused sends %% | overruns | "
    "idle slots while queued |\n"
    "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const int load : kLoads) {
    for (const Row& row : kRows) {
      PrintRow(row, load, aSeeds);
    }
  }
}

} // namespace
} // namespace mulberryvalve::bench

int main(int aArgc, char** aArgv)
{
  uint64_t seeds = 3;
  if (aArgc == 3 && std::strcmp(aArgv[1], "--seeds") == 0) {
    seeds = std::strtoull(aArgv[2], nullptr, 10);
  }
  mulberryvalve::bench::Print(seeds == 0 ? 1 : seeds);
  return 0;
}
