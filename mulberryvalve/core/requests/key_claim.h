// KeyClaimResult: the result of claiming an idempotency key.
#ifndef MULBERRYVALVE_CORE_REQUESTS_KEY_CLAIM_H_
#define MULBERRYVALVE_CORE_REQUESTS_KEY_CLAIM_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/records/record.h"

#include <optional>

namespace mulberryvalve {

// KeyClaimStatus tells who holds an idempotency key after a claim. kUnclaimed
// is returned only while waiting for the outcome of another claim: the attempt
// of that claim certainly did not run, and the key is free again.
enum class KeyClaimStatus
{
  kWon,
  kTaken,
  kLogUnreachable,
  kUnclaimed,
};

inline constexpr EnumTable<KeyClaimStatus, 4> kKeyClaimStatusNames{ { {
  { KeyClaimStatus::kWon, "won" },
  { KeyClaimStatus::kTaken, "taken" },
  { KeyClaimStatus::kLogUnreachable, "no_log" },
  { KeyClaimStatus::kUnclaimed, "free" },
} } };

// KeyClaimResult is a claim's status and, for a key held by another claim, the
// recorded outcome if there is one yet.
struct KeyClaimResult
{
  KeyClaimStatus mStatus = KeyClaimStatus::kLogUnreachable;
  std::optional<KeySettled> mSettled;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_KEY_CLAIM_H_
