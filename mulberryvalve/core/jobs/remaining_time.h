// RemainingUntil: the time from one moment to a later one.
#ifndef MULBERRYVALVE_CORE_JOBS_REMAINING_TIME_H_
#define MULBERRYVALVE_CORE_JOBS_REMAINING_TIME_H_

#include "mulberryvalve/core/base/time.h"

#include <algorithm>

namespace mulberryvalve {

// Returns the time from aNow to aUntil, rounded up, or zero if aUntil has
// passed.
inline Milliseconds RemainingUntil(MonotonicTime aUntil, MonotonicTime aNow)
{
  return std::max(Milliseconds(0),
                  std::chrono::ceil<Milliseconds>(aUntil - aNow));
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_REMAINING_TIME_H_
