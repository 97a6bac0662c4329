// The placement policies that the benchmark compares.
#ifndef BENCH_PLACEMENT_POLICIES_H_
#define BENCH_PLACEMENT_POLICIES_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/placement/baseline_policies.h"

#include <memory>

namespace mulberryvalve::bench {

enum class PolicyKind
{
  kFirstFit,
  kLeastLoaded,
  kLargerReserve,
  kBestFit,
  kTwoChoices,
  kSeparateBatch,
  kLearned,
};

inline constexpr EnumTable<PolicyKind, 7> kPolicyKindNames{ { {
  { PolicyKind::kFirstFit, "first fit" },
  { PolicyKind::kLeastLoaded, "least loaded" },
  { PolicyKind::kLargerReserve, "least loaded, 4 cores kept free" },
  { PolicyKind::kBestFit, "best fit" },
  { PolicyKind::kTwoChoices, "two choices" },
  { PolicyKind::kSeparateBatch, "separate batch" },
  { PolicyKind::kLearned, "ours" },
} } };

// Returns the baseline policy of aKind, or null for the learned policy.
// Whatever aLoad refers to must outlive the policy.
std::unique_ptr<PlacementPolicy> MakeBaseline(PolicyKind aKind,
                                              AdvisoryLoad aLoad);

// Returns whether aWorker receives requests under aKind. kSeparateBatch sends
// requests to every other worker only.
bool ServesRequests(PolicyKind aKind, const WorkerSpec& aWorker);

} // namespace mulberryvalve::bench

#endif // BENCH_PLACEMENT_POLICIES_H_
