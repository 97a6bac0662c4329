// EvictionCause: why an attempt ended before its task completed.
#ifndef MULBERRYVALVE_CORE_MODEL_EVICTION_CAUSE_H_
#define MULBERRYVALVE_CORE_MODEL_EVICTION_CAUSE_H_

#include "mulberryvalve/core/base/enum_table.h"

namespace mulberryvalve {

enum class EvictionCause
{
  kDomainOut,
  kWorkerLost,
  kWorkerLeaving,
  kNeverStarted,
  kLeaseExpired,
  kInterference,
  kPriority,
  kAttemptFailed,
};

inline constexpr EnumTable<EvictionCause, 8> kEvictionCauseNames{ { {
  { EvictionCause::kDomainOut, "domain_out" },
  { EvictionCause::kWorkerLost, "worker_lost" },
  { EvictionCause::kWorkerLeaving, "worker_leaving" },
  { EvictionCause::kNeverStarted, "never_started" },
  { EvictionCause::kLeaseExpired, "lease_expired" },
  { EvictionCause::kInterference, "interference" },
  { EvictionCause::kPriority, "priority" },
  { EvictionCause::kAttemptFailed, "attempt_failed" },
} } };

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_MODEL_EVICTION_CAUSE_H_
