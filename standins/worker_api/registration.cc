#include "standins/worker_api/registration.h"

#include <utility>

#include "standins/instance_list/instance_json.h"

namespace mulberryvalve::standins {
namespace {

constexpr Milliseconds kRetryInterval{ 200 };
constexpr int kOkStatus = 200;

} // namespace

Registration::Registration(std::vector<Instance> aInstances,
                           const HttpClient& aClient,
                           const Clock& aClock)
  : mInstances(std::move(aInstances))
  , mClient(aClient)
  , mClock(aClock)
  , mThread([this] { Run(); })
{
}

Registration::~Registration()
{
  mStop.Stop();
  mThread.join();
}

void Registration::Run()
{
  for (const Instance& instance : mInstances) {
    const std::string body = ToJson(instance).dump();
    while (mClient.Post("/v1/instances", body) != kOkStatus) {
      if (!mStop.WaitUntil(mClock.Now() + kRetryInterval)) {
        return;
      }
    }
  }
}

} // namespace mulberryvalve::standins
