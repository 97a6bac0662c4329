// Clock: the application's source of time. Code in core takes the time as an
// argument instead.
#ifndef MULBERRYVALVE_PORTS_OUT_CLOCK_H_
#define MULBERRYVALVE_PORTS_OUT_CLOCK_H_

#include "mulberryvalve/core/base/time.h"

namespace mulberryvalve {

// Clock reads the clocks of this machine. Implementations are thread-safe.
class Clock
{
public:
  virtual ~Clock() = default;

  // Now returns the monotonic time, which advances while the process is
  // stopped.
  virtual MonotonicTime Now() const = 0;

  // WallNow returns the wall-clock time, used in records and logs for people.
  virtual WallTime WallNow() const = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_CLOCK_H_
