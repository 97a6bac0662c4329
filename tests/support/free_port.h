// FreePort: a port for a program that a test is about to start.
#ifndef MULBERRYVALVE_TESTS_SUPPORT_FREE_PORT_H_
#define MULBERRYVALVE_TESTS_SUPPORT_FREE_PORT_H_

#include <cstdint>

namespace mulberryvalve {

// FreePort returns a loopback port that was free a moment ago. It is below the
// range from which the system takes the ports of outgoing connections, so that
// none of these takes it before the program listens, and is not returned twice
// to one process. Thread-safe.
uint16_t FreePort();

} // namespace mulberryvalve

#endif // MULBERRYVALVE_TESTS_SUPPORT_FREE_PORT_H_
