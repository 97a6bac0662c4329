// MonotonicTime and other time types. Code in core takes the current time as an
// argument and never reads a clock.
#ifndef MULBERRYVALVE_CORE_BASE_TIME_H_
#define MULBERRYVALVE_CORE_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace mulberryvalve {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

// MonotonicEpoch is the clock tag of MonotonicTime. It has no now() function.
struct MonotonicEpoch
{
  using duration = Microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicEpoch>;
  static constexpr bool is_steady =
    true; // NOLINT(readability-identifier-naming)
};

// MonotonicTime is a reading of a process's monotonic clock. Readings of
// different processes are not comparable.
using MonotonicTime = MonotonicEpoch::time_point;

// WorkerTime is a reading of a worker's monotonic clock, in milliseconds.
struct WorkerTime
{
  int64_t mMilliseconds = 0;
};

// WallTime is in milliseconds since the Unix epoch. It is used for display, for
// the start times of jobs and possibly for the order of waiting work. No
// correctness guarantee depends on it.
struct WallTime
{
  int64_t mMilliseconds = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_BASE_TIME_H_
