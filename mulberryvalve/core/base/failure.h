// Failure: the typed error of fallible operations, and Result, which holds a
// value or a Failure.
#ifndef MULBERRYVALVE_CORE_BASE_FAILURE_H_
#define MULBERRYVALVE_CORE_BASE_FAILURE_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/result.h"
#include "mulberryvalve/core/base/time.h"

#include <string>
#include <utility>

namespace mulberryvalve {

enum class FailureKind
{
  kInvalidInput,
  kNotFound,
  kConflict,
  kUnsigned,
  kNotReady,
  kNotOwner,
  kLogUnavailable,
  kLogRateLimited,
  kLogAnswerLost,
  kOffsetExpired,
  kPeerUnreachable,
  kPeerNotListening,
  kWorkerUnreachable,
  kWorkerRefused,
  kWorkerFenced,
  kWorkerAnswerLost,
  kDeadlinePassed,
  kOverloaded,
  kUnknownOutcome,
  kTooLarge,
  kMalformed,
  kShuttingDown,
};

inline constexpr EnumTable<FailureKind, 22> kFailureKindNames{ { {
  { FailureKind::kInvalidInput, "invalid_input" },
  { FailureKind::kNotFound, "not_found" },
  { FailureKind::kConflict, "conflict" },
  { FailureKind::kUnsigned, "unsigned" },
  { FailureKind::kNotReady, "not_ready" },
  { FailureKind::kNotOwner, "not_owner" },
  { FailureKind::kLogUnavailable, "log_unavailable" },
  { FailureKind::kLogRateLimited, "log_rate_limited" },
  { FailureKind::kLogAnswerLost, "log_answer_lost" },
  { FailureKind::kOffsetExpired, "offset_expired" },
  { FailureKind::kPeerUnreachable, "peer_unreachable" },
  { FailureKind::kPeerNotListening, "peer_not_listening" },
  { FailureKind::kWorkerUnreachable, "worker_unreachable" },
  { FailureKind::kWorkerRefused, "worker_refused" },
  { FailureKind::kWorkerFenced, "worker_fenced" },
  { FailureKind::kWorkerAnswerLost, "worker_answer_lost" },
  { FailureKind::kDeadlinePassed, "deadline_passed" },
  { FailureKind::kOverloaded, "overloaded" },
  { FailureKind::kUnknownOutcome, "unknown_outcome" },
  { FailureKind::kTooLarge, "too_large" },
  { FailureKind::kMalformed, "malformed" },
  { FailureKind::kShuttingDown, "shutting_down" },
} } };

// Failure describes an error: its kind, the field concerned, and a message for
// people. Code must branch on mKind only. mOldest is the oldest offset that the
// log retains if mKind is kOffsetExpired. mRetryAt is when the caller should
// try again, if that is known; zero if not.
struct Failure
{
  FailureKind mKind = FailureKind::kInvalidInput;
  std::string mField;
  std::string mDetail;
  uint64_t mOldest = 0;
  MonotonicTime mRetryAt{};
};

// Result holds a T or a Failure. Check it before reading the value.
//
//   Result<Offset> end = log.Append(...);
//   if (!end) { return end.error(); }
template<typename T>
using Result = BasicResult<T, Failure>;

// Fail returns a Failure, which converts to any Result.
inline Failure Fail(FailureKind aKind,
                    std::string aField = "",
                    std::string aDetail = "")
{
  return Failure{ aKind, std::move(aField), std::move(aDetail) };
}

// Done returns the success value of a Result<void>.
inline auto Done()
{
  return boost::outcome_v2::success();
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_BASE_FAILURE_H_
