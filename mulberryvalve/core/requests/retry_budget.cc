#include "mulberryvalve/core/requests/retry_budget.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

constexpr int64_t kPercent = 100;
constexpr int64_t kMinRetries = 3;
constexpr uint32_t kMaxDoublings = 4;
constexpr uint64_t kBaseBackoffUs = 2000;

int64_t SecondOf(MonotonicTime aTime)
{
  return std::chrono::floor<std::chrono::seconds>(aTime.time_since_epoch())
    .count();
}

} // namespace

RetryBudget::Bucket& RetryBudget::BucketAt(MonotonicTime aNow)
{
  const int64_t second = SecondOf(aNow);
  Bucket& bucket = mBuckets[static_cast<size_t>(second) % kWindowSeconds];
  if (bucket.mSecond != second) {
    bucket = Bucket{ second, 0, 0 };
  }
  return bucket;
}

void RetryBudget::RecordFirstAttempt(MonotonicTime aNow)
{
  BucketAt(aNow).mFirstAttempts++;
}

bool RetryBudget::TryAcquireRetry(int64_t aPercent, MonotonicTime aNow)
{
  const int64_t windowStart =
    SecondOf(aNow) - static_cast<int64_t>(kWindowSeconds);
  int64_t firstAttempts = 0;
  int64_t retries = 0;
  for (const Bucket& bucket : mBuckets) {
    if (bucket.mSecond > windowStart) {
      firstAttempts += bucket.mFirstAttempts;
      retries += bucket.mRetries;
    }
  }
  const int64_t minRetries = aPercent > 0 ? kMinRetries : 0;
  const int64_t allowed =
    std::max(minRetries, firstAttempts * aPercent / kPercent);
  if (retries >= allowed) {
    return false;
  }
  BucketAt(aNow).mRetries++;
  return true;
}

MonotonicTime EarliestRetryTime(uint32_t aRetry,
                                MonotonicTime aNow,
                                RandomSource& aRandom)
{
  const uint32_t doublings = std::min(aRetry, kMaxDoublings);
  return aNow + Microseconds(aRandom.Below(kBaseBackoffUs << doublings));
}

} // namespace mulberryvalve
