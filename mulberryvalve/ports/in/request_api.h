// RequestApi: serves synchronous caller requests.
#ifndef MULBERRYVALVE_PORTS_IN_REQUEST_API_H_
#define MULBERRYVALVE_PORTS_IN_REQUEST_API_H_

#include "mulberryvalve/core/model/request.h"

namespace mulberryvalve {

// RequestApi routes requests to upstreams. Implementations are thread-safe.
class RequestApi
{
public:
  virtual ~RequestApi() = default;

  // Handle blocks until the outcome of aRequest is known, at most until its
  // deadline.
  virtual RequestOutcome Handle(const Request& aRequest) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_IN_REQUEST_API_H_
