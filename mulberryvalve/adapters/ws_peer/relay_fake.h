// RelayFake: a TCP relay for tests that can stop forwarding on open connections
// while new ones still work.
#ifndef MULBERRYVALVE_ADAPTERS_WS_PEER_RELAY_FAKE_H_
#define MULBERRYVALVE_ADAPTERS_WS_PEER_RELAY_FAKE_H_

#include <cstdint>
#include <memory>

namespace mulberryvalve {

// RelayFake forwards bytes between its port and a target port on loopback, on
// its own thread, until it is destroyed. Thread-safe.
class RelayFake
{
public:
  explicit RelayFake(uint16_t aTargetPort);
  ~RelayFake();

  // Port returns the port to connect to.
  uint16_t Port() const;

  // FreezeOpenConnections stops forwarding on the connections that are open
  // now, without closing them.
  void FreezeOpenConnections();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_WS_PEER_RELAY_FAKE_H_
