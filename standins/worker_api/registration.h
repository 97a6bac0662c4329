// Registers the workers of a process with the platform.

#pragma once

#include <thread>
#include <vector>

#include "standins/base/clock.h"
#include "standins/base/stop_signal.h"
#include "standins/http/http_client.h"
#include "standins/instance_list/instance_list.h"

namespace mulberryvalve::standins {

// Posts each instance from a background thread and retries until it succeeds.
class Registration
{
public:
  // Starts the registration. `aClient` and `aClock` must outlive the object.
  Registration(std::vector<Instance> aInstances,
               const HttpClient& aClient,
               const Clock& aClock);

  // Cancels the registrations that are not done yet.
  ~Registration();

  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

private:
  void Run();

  const std::vector<Instance> mInstances;
  const HttpClient& mClient;
  const Clock& mClock;
  StopSignal mStop;
  std::thread mThread;
};

} // namespace mulberryvalve::standins
