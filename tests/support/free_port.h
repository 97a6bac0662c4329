// FreePort: selects a port for a program that a test starts.
#ifndef MULBERRYVALVE_TESTS_SUPPORT_FREE_PORT_H_
#define MULBERRYVALVE_TESTS_SUPPORT_FREE_PORT_H_

#include <cstdint>

namespace mulberryvalve {

// Returns a loopback port that is free at the time of the call and has not been
// returned to this process before. The port is below the ephemeral range, so
// that no outgoing connection takes it before the program listens. Thread-safe.
uint16_t FreePort();

} // namespace mulberryvalve

#endif // MULBERRYVALVE_TESTS_SUPPORT_FREE_PORT_H_
