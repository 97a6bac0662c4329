#include "mulberryvalve/app/jobs/config_follower.h"

#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// A longer wait would delay the detection of a dead connection.
constexpr Milliseconds kReadTimeout{ 1500 };
constexpr Milliseconds kConfigRetryDelay{ 200 };

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
  bool isReachable = true;
  while (!mStop.IsSet()) {
    Result<ClusterConfig> config = mFeed.Next(kReadTimeout);
    if (config) {
      isReachable = true;
      mView.Put(std::move(config.value()));
      continue;
    }
    if (std::exchange(isReachable, false)) {
      mEvents.Write(
        EventLevel::kWarn,
        "config_not_followed",
        { { "kind", std::string(kFailureKindNames.Name(config.error().mKind)) },
          { "detail", config.error().mDetail },
          { "in_force", std::to_string(mView.Current()->mVersion) } });
    }
    mStop.WaitUntil(Steady::now() + kConfigRetryDelay);
  }
}

} // namespace mulberryvalve
