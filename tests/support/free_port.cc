#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mulberryvalve {
namespace {

constexpr uint32_t kFirstPort = 12000;
constexpr uint32_t kPorts = 20000;
// Spreads the first ports that concurrent processes try.
constexpr uint32_t kProcessStride = 331;

bool CanBind(uint16_t aPort)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  const bool bound = ::bind(descriptor,
                            reinterpret_cast<const sockaddr*>(&address),
                            sizeof address) == 0;
  ::close(descriptor);
  return bound;
}

} // namespace

uint16_t FreePort()
{
  static std::atomic<uint32_t> sNext{ static_cast<uint32_t>(::getpid()) *
                                      kProcessStride };
  while (true) {
    const auto port = static_cast<uint16_t>(kFirstPort + sNext++ % kPorts);
    if (CanBind(port)) {
      return port;
    }
  }
}

} // namespace mulberryvalve
