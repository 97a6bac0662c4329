// RequestRouter: routes callers' requests to upstreams and returns their
// outcomes.
#ifndef MULBERRYVALVE_APP_REQUESTS_REQUEST_ROUTER_H_
#define MULBERRYVALVE_APP_REQUESTS_REQUEST_ROUTER_H_

#include "mulberryvalve/app/requests/key_store.h"
#include "mulberryvalve/app/requests/slot_dispatcher.h"
#include "mulberryvalve/app/streams/stop_signal.h"
#include "mulberryvalve/core/requests/request_flow.h"
#include "mulberryvalve/core/requests/retry_budget.h"
#include "mulberryvalve/ports/in/request_api.h"
#include "mulberryvalve/ports/out/metrics.h"
#include "mulberryvalve/ports/out/upstream_port.h"

#include <atomic>

namespace mulberryvalve {

// RequestRouterOptions configure a RequestRouter.
struct RequestRouterOptions
{
  WriterId mSelf;
  uint32_t mMaxAttempts = 3;
};

// RequestRouterPorts are the dependencies of a router; all must outlive it.
struct RequestRouterPorts
{
  UpstreamSource& mSource;
  SlotDispatcher& mSlots;
  KeyStore& mKeys;
  UpstreamPort& mPort;
  const Clock& mClock;
  RandomSource& mRandom;
  Metrics& mMetrics;
};

// RequestRouter is thread-safe. Each call executes the steps of a RequestFlow
// on the calling thread.
class RequestRouter : public RequestApi
{
public:
  RequestRouter(RequestRouterOptions aOptions, RequestRouterPorts aPorts);

  RequestOutcome Handle(const Request& aRequest) override;

  // InFlight returns the number of requests in progress.
  uint64_t InFlight() const { return mInFlight.load(); }

private:
  RequestOutcome Run(const Request& aRequest);
  void Attempt(RequestFlow& aFlow, UpstreamCall& aCall);
  UpstreamReply Send(const WorkerSpec& aWorker, const UpstreamCall& aCall);
  bool TryRetry(const Request& aRequest, const RequestFlow& aFlow);
  void CountReply(SendResult aResult);
  void Count(const RequestOutcome& aOutcome);
  AttemptId NextAttempt();

  const RequestRouterOptions mOptions;
  RequestRouterPorts mPorts;
  std::atomic<uint64_t> mInFlight{ 0 };
  std::atomic<uint64_t> mNextAttempt{ 1 };
  StopSignal mRetryWait;
  Mutex mBudgetMutex;
  RetryBudget mBudget MV_GUARDED_BY(mBudgetMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_REQUESTS_REQUEST_ROUTER_H_
