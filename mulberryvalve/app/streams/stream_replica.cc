#include "mulberryvalve/app/streams/stream_replica.h"

namespace mulberryvalve {

std::chrono::steady_clock::time_point SteadyDeadline(const Clock& aClock,
                                                     MonotonicTime aDeadline)
{
  return std::chrono::steady_clock::now() + (aDeadline - aClock.Now());
}

} // namespace mulberryvalve
