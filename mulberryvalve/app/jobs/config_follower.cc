#include "mulberryvalve/app/jobs/config_follower.h"

#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// A call that waits longer would notice a silent connection too late.
constexpr Milliseconds kWait{ 1500 };
constexpr Milliseconds kRetry{ 200 };

} // namespace

ConfigFollower::ConfigFollower(ConfigFeed& aFeed,
                               ConfigView& aView,
                               EventLog& aEvents)
  : mFeed(aFeed)
  , mView(aView)
  , mEvents(aEvents)
{
}

ConfigFollower::~ConfigFollower()
{
  Stop();
}

void ConfigFollower::Start()
{
  mThread = std::thread([this] { Run(); });
}

void ConfigFollower::BeginStop()
{
  mStop.Set();
}

void ConfigFollower::Stop()
{
  BeginStop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void ConfigFollower::Run()
{
  bool reached = true;
  while (!mStop.IsSet()) {
    Result<ClusterConfig> config = mFeed.Next(kWait);
    if (config) {
      reached = true;
      mView.Put(std::move(config.value()));
      continue;
    }
    if (std::exchange(reached, false)) {
      mEvents.Write(
        EventLevel::kWarn,
        "config_not_followed",
        { { "kind", std::string(kFailureKindNames.Name(config.error().mKind)) },
          { "detail", config.error().mDetail },
          { "in_force", std::to_string(mView.Present()->mVersion) } });
    }
    mStop.WaitUntil(Steady::now() + kRetry);
  }
}

} // namespace mulberryvalve
