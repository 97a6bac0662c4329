// SteadyClock: monotonic and wall-clock time of this machine.
#ifndef MULBERRYVALVE_ADAPTERS_SYSTEM_STEADY_CLOCK_H_
#define MULBERRYVALVE_ADAPTERS_SYSTEM_STEADY_CLOCK_H_

#include "mulberryvalve/ports/out/clock.h"

namespace mulberryvalve {

// SteadyClock reads the clocks of the operating system. Thread-safe.
class SteadyClock : public Clock
{
public:
  // Now reads CLOCK_BOOTTIME, which includes time spent in suspend.
  MonotonicTime Now() const override;

  // WallNow reads CLOCK_REALTIME, which may jump when the clock is set.
  WallTime WallNow() const override;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_SYSTEM_STEADY_CLOCK_H_
