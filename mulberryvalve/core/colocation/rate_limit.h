// RateLimit: a token bucket that stores only the time of the next permitted
// action.
#ifndef MULBERRYVALVE_CORE_COLOCATION_RATE_LIMIT_H_
#define MULBERRYVALVE_CORE_COLOCATION_RATE_LIMIT_H_

#include "mulberryvalve/core/base/time.h"

#include <algorithm>
#include <cstdint>

namespace mulberryvalve {

// RateLimit permits a number of actions per second. After a pause it permits a
// burst of one second's worth, and at least one action. Not thread-safe.
class RateLimit
{
public:
  // TryAcquire permits one action at aNow at a rate of aPerSecond, which must
  // be positive.
  bool TryAcquire(MonotonicTime aNow, double aPerSecond)
  {
    constexpr Microseconds kBurst{ 1'000'000 };
    if (mNextAt > aNow) {
      return false;
    }
    const Microseconds step(static_cast<int64_t>(1e6 / aPerSecond));
    const MonotonicTime earliest = aNow - std::max(kBurst - step, step * 0);
    mNextAt = std::max(mNextAt, earliest) + step;
    return true;
  }

private:
  MonotonicTime mNextAt = MonotonicTime::min();
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_RATE_LIMIT_H_
