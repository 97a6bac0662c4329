#include "mulberryvalve/adapters/system/steady_clock.h"

#include <time.h>

namespace mulberryvalve {
namespace {

std::chrono::nanoseconds ReadClock(clockid_t aClock)
{
  timespec now{};
  clock_gettime(aClock, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace

MonotonicTime SteadyClock::Now() const
{
  return MonotonicTime(
    std::chrono::duration_cast<Microseconds>(ReadClock(CLOCK_BOOTTIME)));
}

WallTime SteadyClock::WallNow() const
{
  const auto now =
    std::chrono::duration_cast<Milliseconds>(ReadClock(CLOCK_REALTIME));
  return WallTime{ now.count() };
}

} // namespace mulberryvalve
