// Limits of the connections that both HTTP clients keep.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_HTTP_CONNECTION_LIMITS_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_HTTP_CONNECTION_LIMITS_H_

#include "mulberryvalve/core/base/time.h"

#include <chrono>

namespace mulberryvalve {

// Opening a connection takes at most this long.
inline constexpr Milliseconds kMaxConnect{ 500 };
// A connection that has been idle for longer is not used again.
inline constexpr std::chrono::seconds kMaxIdle{ 20 };

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_HTTP_CONNECTION_LIMITS_H_
