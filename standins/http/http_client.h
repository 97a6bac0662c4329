// A minimal HTTP client for the stand-ins.

#pragma once

#include <string>

#include "standins/base/clock.h"
#include "standins/base/endpoint.h"

namespace mulberryvalve::standins {

// Posts JSON to one endpoint. Thread-safe; each call opens a new connection.
class HttpClient
{
public:
  static constexpr Milliseconds kDefaultTimeout{ 5000 };

  // `aTimeout` applies separately to connecting and to reading the response.
  explicit HttpClient(Endpoint aTarget,
                      Milliseconds aTimeout = kDefaultTimeout);

  // Posts `aBody` to `aPath` and waits for the response. Returns the HTTP
  // status, or 0 if no response was received.
  int Post(const std::string& aPath, const std::string& aBody) const;

private:
  const Endpoint mTarget;
  const Milliseconds mTimeout;
};

} // namespace mulberryvalve::standins
