// RetryBudget: limits retries to a fraction of the first attempts;
// EarliestRetryTime: when a retry may start.
#ifndef MULBERRYVALVE_CORE_REQUESTS_RETRY_BUDGET_H_
#define MULBERRYVALVE_CORE_REQUESTS_RETRY_BUDGET_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/ports/out/random_source.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mulberryvalve {

// RetryBudget counts first attempts and retries over a sliding window of ten
// seconds. Retries stay within the given percentage of first attempts, or
// within a small minimum per window if that is more. Does not read the clock.
// Times passed in must not decrease. Not thread-safe.
class RetryBudget
{
public:
  // RecordFirstAttempt counts the first attempt of a request.
  void RecordFirstAttempt(MonotonicTime aNow);

  // TryAcquireRetry counts one retry and returns true, or returns false when
  // retries have used up aPercent of the first attempts.
  bool TryAcquireRetry(int64_t aPercent, MonotonicTime aNow);

private:
  struct Bucket
  {
    int64_t mSecond = -1;
    int64_t mFirstAttempts = 0;
    int64_t mRetries = 0;
  };
  static constexpr size_t kWindowSeconds = 10;

  Bucket& BucketAt(MonotonicTime aNow);

  std::array<Bucket, kWindowSeconds> mBuckets;
};

// EarliestRetryTime returns the earliest time of retry number aRetry, counted
// from
// 1. The delay is random, up to a limit that doubles with each retry.
MonotonicTime EarliestRetryTime(uint32_t aRetry,
                                MonotonicTime aNow,
                                RandomSource& aRandom);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_RETRY_BUDGET_H_
