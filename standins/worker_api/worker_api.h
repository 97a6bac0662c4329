// The HTTP API of the worker stand-in.

#pragma once

#include <string>

#include "standins/base/clock.h"
#include "standins/base/stop_signal.h"
#include "standins/http/http_message.h"
#include "standins/record/worker_event_log.h"
#include "standins/worker_model/worker_fleet.h"

namespace mulberryvalve::standins {

// Translates HTTP requests to worker commands and injects the faults that
// concern responses. Thread-safe.
class WorkerApi : public HttpHandler
{
public:
  // All arguments must outlive the API.
  WorkerApi(WorkerFleet& aFleet,
            WorkerEventLog& aEventLog,
            const Clock& aClock);

  HttpResponse Handle(const HttpRequest& aRequest) override;

  // Wakes all waiting calls at shutdown.
  void Stop();

private:
  HttpResponse HandleWorker(const HttpRequest& aRequest);
  HttpResponse Start(Worker& aWorker, const HttpRequest& aRequest);
  HttpResponse StopTask(Worker& aWorker, const HttpRequest& aRequest);
  HttpResponse Request(Worker& aWorker, const HttpRequest& aRequest);
  HttpResponse Faults();
  HttpResponse ChangeFaults(const HttpRequest& aRequest);
  HttpResponse Lines(const std::string& aWorker);

  WorkerFleet& mFleet;
  WorkerEventLog& mEventLog;
  const Clock& mClock;
  StopSignal mStop;
};

} // namespace mulberryvalve::standins
