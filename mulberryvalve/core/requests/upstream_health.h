// UpstreamHealth: latency and error rate of one upstream, and whether it is
// temporarily ejected from load balancing.
#ifndef MULBERRYVALVE_CORE_REQUESTS_UPSTREAM_HEALTH_H_
#define MULBERRYVALVE_CORE_REQUESTS_UPSTREAM_HEALTH_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/time.h"

#include <cstdint>

namespace mulberryvalve {

// AttemptResult classifies an attempt for the health of its upstream.
enum class AttemptResult
{
  kSuccess,
  kError,
  kLost,
  kRefused,
};

inline constexpr EnumTable<AttemptResult, 4> kAttemptResultNames{ { {
  { AttemptResult::kSuccess, "good" },
  { AttemptResult::kError, "error" },
  { AttemptResult::kLost, "lost" },
  { AttemptResult::kRefused, "refused" },
} } };

// UpstreamHealth ejects an upstream whose recent attempts fail. Each
// consecutive ejection lasts twice as long as the one before, up to a limit.
// After an ejection, one attempt at a time probes the upstream until one
// succeeds. Does not read the clock. Not thread-safe.
class UpstreamHealth
{
public:
  // OnResult records an attempt that ended at aNow after aElapsed. A refusal
  // before the start does not count as a failure: the upstream is full, and is
  // skipped for a few milliseconds.
  void OnResult(AttemptResult aResult,
                Microseconds aElapsed,
                MonotonicTime aNow);

  // OnDraining records that the upstream announced at aNow that it is draining.
  // The record expires, so that an upstream that returns is used again.
  void OnDraining(MonotonicTime aNow);

  // AcceptsAttempts returns true when the upstream is neither draining nor
  // paused after a recent refusal.
  bool AcceptsAttempts(MonotonicTime aNow) const;

  // IsEjected returns true when failures exclude the upstream from selection at
  // aNow. aInFlight is the number of attempts that this instance has in flight
  // there; while probing, it must be zero.
  bool IsEjected(uint32_t aInFlight, MonotonicTime aNow) const;

  // Latency returns the moving average over successful attempts, or zero when
  // there is none.
  Microseconds Latency() const { return Microseconds(mLatencyUs); }

  // ErrorRate returns the moving average of the failure rate, from 0 to 1.
  double ErrorRate() const { return mErrorRate; }

private:
  void OnFailure(bool aLost, MonotonicTime aNow);

  int64_t mLatencyUs = 0;
  double mErrorRate = 0;
  uint32_t mConsecutiveLosses = 0;
  uint32_t mConsecutiveEjections = 0;
  MonotonicTime mEjectedUntil;
  MonotonicTime mPausedUntil;
  MonotonicTime mDrainingUntil;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_UPSTREAM_HEALTH_H_
