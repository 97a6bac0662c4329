// RelayFake: a TCP relay for tests, which loses track of open connections on
// demand while new ones work.
#ifndef MULBERRYVALVE_ADAPTERS_WS_PEER_RELAY_FAKE_H_
#define MULBERRYVALVE_ADAPTERS_WS_PEER_RELAY_FAKE_H_

#include <cstdint>
#include <memory>

namespace mulberryvalve {

// RelayFake passes bytes between its port and a target port on loopback. Its
// own thread does so until it is destroyed. Thread-safe.
class RelayFake
{
public:
  explicit RelayFake(uint16_t aTargetPort);
  ~RelayFake();

  // Port returns the port to connect to.
  uint16_t Port() const;

  // FreezeOpenConnections passes nothing on over the connections that are open
  // now, without closing them.
  void FreezeOpenConnections();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_PEER_RELAY_FAKE_H_
