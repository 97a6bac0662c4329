// Prints, for each load, what callers get from their jobs under each queueing
// policy. Jobs are counted as in time/late/lost.
#include "bench/jobs/baseline_queueing_policies.h"
#include "mulberryvalve/core/jobs/caller_cost_policy.h"
#include "mulberryvalve/core/jobs/queueing_load_fake.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

namespace mulberryvalve {
namespace {

// Outcomes are summed over this many seeds from kFirstSeed on.
constexpr uint32_t kSeeds = 2;
constexpr uint32_t kFirstSeed = 1;

struct NamedPolicy
{
  std::string mName;
  std::unique_ptr<QueueingPolicy> mPolicy;
};

std::vector<NamedPolicy> AllPolicies()
{
  std::vector<NamedPolicy> all;
  all.push_back({ "acceptance", std::make_unique<FifoPolicy>() });
  all.push_back({ "least-work", std::make_unique<LeastRemainingWorkPolicy>() });
  all.push_back({ "deadline", std::make_unique<EarliestDeadlinePolicy>() });
  all.push_back({ "slack", std::make_unique<LeastSlackPolicy>() });
  all.push_back(
    { "classes",
      std::make_unique<ThreeClassesPolicy>(ClassOrder::kLeastWork) });
  all.push_back(
    { "urgency", std::make_unique<ThreeClassesPolicy>(ClassOrder::kUrgency) });
  all.push_back({ "caller-cost", std::make_unique<CallerCostPolicy>() });
  return all;
}

void PrintOutcomes(const JobOutcomes& aOutcomes)
{
  const std::string text = std::to_string(aOutcomes.mInTime) + "/" +
                           std::to_string(aOutcomes.mLate) + "/" +
                           std::to_string(aOutcomes.mLost);
  std::printf(" %14s", text.c_str());
}

void PrintHeader(const QueueingResult& aResult)
{
  std::printf("%-12s %6s %14s", "policy", "worth", "all");
  for (const auto& [kind, outcomes] : aResult.mByKind) {
    std::printf(" %14s", kind.c_str());
  }
  for (const auto& [size, outcomes] : aResult.mBySize) {
    std::printf(" %14s", kJobSizeNames.Name(size).data());
  }
  std::printf("  longest in s (unfinished)\n");
}

void PrintRow(const std::string& aPolicy, const QueueingResult& aResult)
{
  std::printf("%-12s %6.3f",
              aPolicy.c_str(),
              aResult.mAll.Worth() / aResult.mAll.Total());
  PrintOutcomes(aResult.mAll);
  for (const auto& [kind, outcomes] : aResult.mByKind) {
    PrintOutcomes(outcomes);
  }
  for (const auto& [size, outcomes] : aResult.mBySize) {
    PrintOutcomes(outcomes);
  }
  for (const auto& [kind, longest] : aResult.mLongestByKind) {
    std::printf("  %s %.1f (%d)",
                kind.c_str(),
                std::chrono::duration<double>(longest).count(),
                aResult.mUnfinishedByKind.at(kind));
  }
  std::printf("\n");
}

// Returns the number of violated invariants.
size_t PrintLoad(QueueingLoad aLoad, const std::vector<NamedPolicy>& aPolicies)
{
  std::printf("load %s\n", kQueueingLoadNames.Name(aLoad).data());
  size_t violations = 0;
  for (const NamedPolicy& policy : aPolicies) {
    const QueueingResult sum =
      SimulateLoad(aLoad, *policy.mPolicy, kFirstSeed, kSeeds);
    if (&policy == &aPolicies.front()) {
      PrintHeader(sum);
    }
    PrintRow(policy.mName, sum);
    violations += sum.mViolations;
  }
  std::printf("\n");
  std::fflush(stdout);
  return violations;
}

int PrintAllLoads()
{
  const std::vector<NamedPolicy> policies = AllPolicies();
  size_t violations = 0;
  for (const auto& row : kQueueingLoadNames.mRows) {
    violations += PrintLoad(row.mValue, policies);
  }
  std::printf("violated invariants: %zu\n", violations);
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace
} // namespace mulberryvalve

int main()
{
  return mulberryvalve::PrintAllLoads();
}
