// Synchronous caller requests and their typed outcomes.
#ifndef MULBERRYVALVE_CORE_MODEL_REQUEST_H_
#define MULBERRYVALVE_CORE_MODEL_REQUEST_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"

#include <string>
#include <vector>

namespace mulberryvalve {

enum class RequestKind
{
  kIdempotent,
  kNonIdempotent,
};

inline constexpr EnumTable<RequestKind, 2> kRequestKindNames{ { {
  { RequestKind::kIdempotent, "idempotent" },
  { RequestKind::kNonIdempotent, "non_idempotent" },
} } };

// RequestStatus is what a caller may conclude about its request. kNotRun is
// reported only if no byte can have reached an upstream, or if the upstream
// refused the request before running it.
enum class RequestStatus
{
  kAnswered,
  kNotRun,
  kUnknown,
};

inline constexpr EnumTable<RequestStatus, 3> kRequestStatusNames{ { {
  { RequestStatus::kAnswered, "answered" },
  { RequestStatus::kNotRun, "not_run" },
  { RequestStatus::kUnknown, "unknown" },
} } };

// RequestReason explains a RequestStatus.
enum class RequestReason
{
  kNone,
  kNoUpstream,
  kOverloaded,
  kDeadlinePassed,
  kLogUnavailable,
  kUpstreamRefused,
  kConnectFailed,
  kAnswerLost,
  kAnswerMismatch,
  kKeyInFlight,
  kShuttingDown,
  kNotReady,
  kAnswerNotKept,
};

inline constexpr EnumTable<RequestReason, 13> kRequestReasonNames{ { {
  { RequestReason::kNone, "none" },
  { RequestReason::kNoUpstream, "no_upstream" },
  { RequestReason::kOverloaded, "overloaded" },
  { RequestReason::kDeadlinePassed, "deadline_passed" },
  { RequestReason::kLogUnavailable, "log_unavailable" },
  { RequestReason::kUpstreamRefused, "upstream_refused" },
  { RequestReason::kConnectFailed, "connect_failed" },
  { RequestReason::kAnswerLost, "answer_lost" },
  { RequestReason::kAnswerMismatch, "answer_mismatch" },
  { RequestReason::kKeyInFlight, "key_in_flight" },
  { RequestReason::kShuttingDown, "shutting_down" },
  { RequestReason::kNotReady, "not_ready" },
  { RequestReason::kAnswerNotKept, "answer_not_kept" },
} } };

// Request is one call of a caller. mKey is set for non-idempotent requests.
// mFirstAsk is the caller's guarantee that it has never used mKey before.
struct Request
{
  RequestKind mKind = RequestKind::kIdempotent;
  IdempotencyKey mKey;
  bool mFirstAsk = false;
  std::string mBody;
  MonotonicTime mDeadline;
};

// RequestOutcome is the complete result of one Request. mUpstreamStatus and
// mBody come from the upstream if mStatus is kAnswered. mSafeToRetry is true if
// a retry (with the same idempotency key, if any) cannot run the request twice
// and may obtain an answer.
struct RequestOutcome
{
  RequestStatus mStatus = RequestStatus::kNotRun;
  RequestReason mReason = RequestReason::kNone;
  int mUpstreamStatus = 0;
  std::string mBody;
  WorkerId mWorker;
  std::vector<AttemptId> mAttempts;
  bool mSafeToRetry = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_MODEL_REQUEST_H_
