// CallerServer: the HTTP front end for callers and operators.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_CALLER_SERVER_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_CALLER_SERVER_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/model/worker.h"
#include "mulberryvalve/ports/in/job_api.h"
#include "mulberryvalve/ports/in/operator_api.h"
#include "mulberryvalve/ports/in/request_api.h"
#include "mulberryvalve/ports/out/clock.h"

#include <functional>
#include <memory>
#include <string>

namespace mulberryvalve {

// CallerServerOptions configures the front end. An exchange, without the time
// of its handler, must end within mExchangeTimeout; a kept-alive connection is
// closed after mIdleTimeout.
struct CallerServerOptions
{
  Endpoint mListen;
  uint32_t mThreads = 128;
  uint64_t mMaxBodyBytes = 262144;
  Milliseconds mRequestDeadline{ 2000 };
  Milliseconds mExchangeTimeout{ 10'000 };
  Milliseconds mIdleTimeout{ 30'000 };
};

// CallerServerPorts holds the ports that the front end calls; all must outlive
// it.
struct CallerServerPorts
{
  RequestApi& mRequests;
  JobApi& mJobs;
  OperatorApi& mOperators;
  const Clock& mClock;
  std::function<std::string()> mMetricsText;
};

// CallerServer serves on its own threads. It only decodes requests, calls the
// inbound ports and encodes responses; all decisions are made behind the ports.
class CallerServer
{
public:
  CallerServer(CallerServerOptions aOptions, CallerServerPorts aPorts);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Start binds the address and starts to serve. Errors: kInvalidInput when the
  // address cannot be bound.
  Result<void> Start();

  // BeginDrain makes the readiness check fail and sends "Connection: close"
  // with each response. Requests are still served.
  void BeginDrain();

  // Stop waits for the current requests and stops serving.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_CALLER_SERVER_H_
