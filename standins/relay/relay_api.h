// The HTTP control API of the relay.

#pragma once

#include "standins/http/http_message.h"
#include "standins/relay/relay.h"
#include "standins/relay/relay_faults.h"

namespace mulberryvalve::standins {

// Returns and sets the fault switches. Thread-safe.
class RelayApi : public HttpHandler
{
public:
  // The references must outlive the API.
  RelayApi(RelayFaults& aFaults, Relay& aRelay);

  HttpResponse Handle(const HttpRequest& aRequest) override;

private:
  RelayFaults& mFaults;
  Relay& mRelay;
};

} // namespace mulberryvalve::standins
