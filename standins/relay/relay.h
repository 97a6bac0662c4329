// A TCP relay with fault injection.

#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <asio.hpp>

#include "standins/base/endpoint.h"
#include "standins/relay/connection.h"
#include "standins/relay/relay_faults.h"

namespace mulberryvalve::standins {

// Accepts connections and forwards each to the target. Runs on the single
// thread of the I/O context.
class Relay
{
public:
  // The references must outlive the relay, and the I/O context must have
  // stopped before the relay is destroyed.
  Relay(asio::io_context& aContext, const RelayFaults& aFaults);

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Binds to `aListen` and starts to accept; port 0 selects a free port.
  // Returns the bound endpoint, or nullopt if it cannot be bound or an address
  // is malformed. Must be called once, before the I/O context runs.
  std::optional<Endpoint> Listen(const Endpoint& aListen,
                                 const Endpoint& aTarget);

  // Resets or silences the open connections if `kCut` or `kSilence` is on.
  // Thread-safe; must be called after each change of the switches.
  void ApplyFaults();

private:
  void Accept();
  void HandleAccepted(asio::ip::tcp::socket aClient);
  void AcceptLater();
  std::vector<std::shared_ptr<Connection>> TakeOpenConnections();

  asio::io_context& mContext;
  const RelayFaults& mFaults;
  asio::ip::tcp::acceptor mAcceptor;
  asio::steady_timer mRetryTimer;
  asio::ip::tcp::endpoint mTarget;
  std::vector<std::weak_ptr<Connection>> mConnections;
};

} // namespace mulberryvalve::standins
