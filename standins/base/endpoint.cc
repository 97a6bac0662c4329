#include "standins/base/endpoint.h"

#include <charconv>

namespace mulberryvalve::standins {

std::optional<Endpoint> ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.mAddress = std::string(aText.substr(0, colon));
  const char* first = aText.data() + colon + 1;
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(first, last, endpoint.mPort);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  return endpoint;
}

std::string ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
}

} // namespace mulberryvalve::standins
