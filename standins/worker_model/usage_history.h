// Past resource usage of a worker, which is reported with a lag.

#pragma once

#include <deque>

#include "standins/worker_model/worker_types.h"

namespace mulberryvalve::standins {

// Stores usage samples and recent request durations. Not thread-safe; guarded
// by its worker's lock.
class UsageHistory
{
public:
  explicit UsageHistory(int64_t aLagMs);

  // Adds the duration of a request that ended at `aNow`.
  void AddRequest(int64_t aDurationUs, ClockMs aNow);

  // Adds a sample and sets its 99th percentile of recent request durations.
  void AddSample(UsageReport aSample);

  // The newest sample taken at least one lag before `aNow`, or an empty sample.
  const UsageReport& Lagged(ClockMs aNow);

private:
  struct RequestDuration
  {
    ClockMs mExpiresAt = 0;
    int64_t mDurationUs = 0;
  };

  int64_t RequestP99Us(ClockMs aNow);

  const int64_t mLagMs;
  std::deque<UsageReport> mSamples;
  std::deque<RequestDuration> mRequests;
};

} // namespace mulberryvalve::standins
