// An IP address with a TCP port.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberryvalve::standins {

struct Endpoint
{
  std::string mAddress;
  uint16_t mPort = 0;
};

// Parses `IP:PORT`; returns nullopt when the port is missing or out of range.
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

// Formats the endpoint as `IP:PORT`.
std::string ToString(const Endpoint& aEndpoint);

} // namespace mulberryvalve::standins
