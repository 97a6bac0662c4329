// A rate limiter for appends.

#pragma once

#include <cstddef>
#include <deque>
#include <mutex>

#include "standins/base/clock.h"

namespace mulberryvalve::standins {

// Admits at most a given number of appends in any sliding second. Thread-safe.
class AppendRateLimiter
{
public:
  // With 0 appends per second there is no limit. `aClock` must outlive the
  // limiter.
  AppendRateLimiter(size_t aAppendsPerSecond, const Clock& aClock)
    : mAppendsPerSecond(aAppendsPerSecond)
    , mClock(aClock)
  {
  }

  // Counts one append and returns true, or returns false if the limit is
  // reached.
  bool TryAcquire()
  {
    if (mAppendsPerSecond == 0) {
      return true;
    }
    std::lock_guard<std::mutex> lock(mMutex);
    const SteadyTime now = mClock.Now();
    while (!mExpiryTimes.empty() && mExpiryTimes.front() <= now) {
      mExpiryTimes.pop_front();
    }
    if (mExpiryTimes.size() >= mAppendsPerSecond) {
      return false;
    }
    mExpiryTimes.push_back(now + std::chrono::seconds(1));
    return true;
  }

private:
  const size_t mAppendsPerSecond;
  const Clock& mClock;
  std::mutex mMutex;
  // When each admitted append stops counting towards the limit.
  std::deque<SteadyTime> mExpiryTimes;
};

} // namespace mulberryvalve::standins
