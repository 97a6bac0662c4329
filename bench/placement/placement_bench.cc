// Compares the placement policies in all scenarios and writes a report.
//
//   placement_bench [--quick] [--seeds N] [--only SCENARIO] [--out FOLDER]
#include "bench/placement/report.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>

namespace mulberryvalve::bench {
namespace {

constexpr int kThreads = 4;
constexpr int kSeeds = 20;

std::vector<Site> Sites()
{
  return { { "Lochside", 3, 50, 20, 11 }, { "Harbor & Vine", 4, 65, 30, 14 } };
}

std::vector<ScenarioFaults> Scenarios()
{
  std::vector<ScenarioFaults> all(8);
  all[0].mName = "steady";
  all[1].mName = "load shift";
  all[1].mLoadShift = true;
  all[2].mName = "noisy wave";
  all[2].mInterferenceWave = true;
  all[3].mName = "sizes off 5 times";
  all[3].mWrongDemands = true;
  all[4].mName = "domain out and back";
  all[4].mDomainOut = true;
  all[5].mName = "10% of workers fail";
  all[5].mWorkersFail = true;
  all[6].mName = "log outage";
  all[6].mLogOutage = true;
  all[7] = ScenarioFaults{ "all together", true, true, true, true, true, true };
  return all;
}

struct Run
{
  size_t mRow = 0;
  PolicyKind mPolicy = PolicyKind::kLearned;
  uint64_t mSeed = 0;
  Site mSite;
  ScenarioFaults mFaults;
  RunMetrics mMetrics;
};

std::vector<Run> PlanRuns(int aSeeds,
                          const std::string& aOnly,
                          std::vector<Row>& aRows)
{
  std::vector<Run> runs;
  runs.reserve(Sites().size() * Scenarios().size() *
               kPolicyKindNames.mRows.size() * static_cast<size_t>(aSeeds));
  for (const Site& site : Sites()) {
    for (const ScenarioFaults& faults : Scenarios()) {
      if (!aOnly.empty() && aOnly != faults.mName) {
        continue;
      }
      aRows.push_back(Row{ site.mName, faults.mName, {} });
      for (const auto& policy : kPolicyKindNames.mRows) {
        for (int seed = 1; seed <= aSeeds; seed++) {
          runs.push_back(Run{ aRows.size() - 1,
                              policy.mValue,
                              static_cast<uint64_t>(seed),
                              site,
                              faults,
                              {} });
        }
      }
    }
  }
  return runs;
}

void RunAll(std::vector<Run>& aRuns)
{
  std::atomic<size_t> next{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int index = 0; index < kThreads; index++) {
    threads.emplace_back([&] {
      for (size_t at = next++; at < aRuns.size(); at = next++) {
        Run& run = aRuns[at];
        run.mMetrics =
          World(run.mSite, run.mFaults, run.mPolicy, run.mSeed).Run();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::string Page(const std::vector<Row>& aRows, int aSeeds)
{
  std::string text = "# Placement policies\n\nWritten by `placement_bench";
  text += aSeeds == kSeeds ? "" : " --seeds " + std::to_string(aSeeds);
  text += " --out docs/measurements`: " + std::to_string(aSeeds) +
          " seeds a scenario, means over the seeds.\n\n"
          "Targets: Lochside 15% more batch and 20% more work in the "
          "transition at equal tail; Harbor & Vine 30% fewer late requests at "
          "95% or more of the batch.\n\n![plot](placement.svg)\n\n";
  return text + "## Against the baselines\n\n" + Verdicts(aRows) +
         "\n## All figures\n\n" + MarkdownTable(aRows);
}

int Main(int aArgc, char** aArgv)
{
  int seeds = kSeeds;
  std::string folder;
  std::string only;
  for (int index = 1; index < aArgc; index++) {
    const std::string flag = aArgv[index];
    if (flag == "--quick") {
      seeds = 1;
    } else if (flag == "--seeds" && index + 1 < aArgc) {
      seeds = std::atoi(aArgv[++index]);
    } else if (flag == "--only" && index + 1 < aArgc) {
      only = aArgv[++index];
    } else if (flag == "--out" && index + 1 < aArgc) {
      folder = aArgv[++index];
    } else {
      std::fprintf(stderr, "unknown flag %s\n", flag.c_str());
      return 2;
    }
  }
  std::vector<Row> rows;
  std::vector<Run> runs = PlanRuns(seeds, only, rows);
  RunAll(runs);
  uint64_t exceeded = 0;
  for (const Run& run : runs) {
    rows[run.mRow].mCells[static_cast<size_t>(run.mPolicy)].Add(run.mMetrics);
    exceeded += run.mMetrics.mOvercommitments;
  }
  const std::string page = Page(rows, seeds);
  if (folder.empty()) {
    std::fputs(page.c_str(), stdout);
  } else {
    std::ofstream(folder + "/placement.md") << page;
    std::ofstream(folder + "/placement.svg") << Plot(rows);
  }
  return exceeded == 0 ? 0 : 1;
}

} // namespace
} // namespace mulberryvalve::bench

int main(int aArgc, char** aArgv)
{
  return mulberryvalve::bench::Main(aArgc, aArgv);
}
