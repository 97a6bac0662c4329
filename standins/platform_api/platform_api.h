// The HTTP API of the platform stand-in.

#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "standins/base/clock.h"
#include "standins/base/stop_signal.h"
#include "standins/http/http_message.h"
#include "standins/instance_list/instance_list.h"
#include "standins/log_store/append_rate_limiter.h"
#include "standins/log_store/log_store.h"
#include "standins/platform_api/platform_faults.h"

namespace mulberryvalve::standins {

// Translates HTTP requests to calls of the log and the instance list and
// injects the faults that are switched on. Thread-safe.
class PlatformApi : public HttpHandler
{
public:
  // All arguments must outlive the API.
  PlatformApi(LogStore& aLog,
              AppendRateLimiter& aRateLimiter,
              InstanceList& aInstances,
              const Clock& aClock);

  HttpResponse Handle(const HttpRequest& aRequest) override;

  // Wakes all waiting calls at shutdown.
  void Stop();

private:
  HttpResponse HandleStream(const HttpRequest& aRequest);
  HttpResponse Append(const std::string& aStream, const HttpRequest& aRequest);
  HttpResponse Read(const std::string& aStream, const HttpRequest& aRequest);
  HttpResponse List();
  HttpResponse Register(const HttpRequest& aRequest);
  HttpResponse ChangeState(const HttpRequest& aRequest);
  HttpResponse ChangeFaults(const HttpRequest& aRequest);
  HttpResponse Counters() const;

  // Blocks while the fault `kSilent` is on, for at most 60 s. Returns false if
  // the connection has to be closed without a response.
  bool WaitWhileSilent();

  // Waits for the delay that `aSwitch` specifies. Returns false if a shutdown
  // came first.
  bool Delay(PlatformFault aSwitch);

  LogStore& mLog;
  AppendRateLimiter& mRateLimiter;
  InstanceList& mInstances;
  const Clock& mClock;
  PlatformFaults mFaults;
  StopSignal mStop;
  std::atomic<uint64_t> mAppends{ 0 };
  std::atomic<uint64_t> mAppendRecords{ 0 };
  std::atomic<uint64_t> mReads{ 0 };
  std::atomic<uint64_t> mBytesIn{ 0 };
  std::atomic<uint64_t> mBytesOut{ 0 };
};

} // namespace mulberryvalve::standins
