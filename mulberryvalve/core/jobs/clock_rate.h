// How far the rates of two instances' clocks may be apart.
#ifndef MULBERRYVALVE_CORE_JOBS_CLOCK_RATE_H_
#define MULBERRYVALVE_CORE_JOBS_CLOCK_RATE_H_

#include "mulberryvalve/core/base/scale.h"

namespace mulberryvalve {

// The slowest clock advances by this many thousandths of what the fastest does.
inline constexpr int64_t kSlowestRatePerMille = 980;

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_CLOCK_RATE_H_
