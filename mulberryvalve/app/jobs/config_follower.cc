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
  MutexLock lock(mMutex);
  mStopping = true;
  mCond.NotifyAll();
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
  while (Pause(Milliseconds(0))) {
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
    Pause(kRetry);
  }
}

bool ConfigFollower::Pause(Milliseconds aLength)
{
  const Steady::time_point until = Steady::now() + aLength;
  MutexLock lock(mMutex);
  while (!mStopping && Steady::now() < until) {
    mCond.WaitUntil(mMutex, until);
  }
  return !mStopping;
}

} // namespace mulberryvalve
