// Keeps a ConfigView up to date with the newest configuration.
#ifndef MULBERRYVALVE_APP_JOBS_CONFIG_FOLLOWER_H_
#define MULBERRYVALVE_APP_JOBS_CONFIG_FOLLOWER_H_

#include "mulberryvalve/app/jobs/config_view.h"
#include "mulberryvalve/app/streams/stop_signal.h"
#include "mulberryvalve/ports/out/cluster_feeds.h"
#include "mulberryvalve/ports/out/event_log.h"

#include <thread>

namespace mulberryvalve {

// Runs one thread. All methods are thread-safe.
class ConfigFollower
{
public:
  // All references must outlive this object.
  ConfigFollower(ConfigFeed& aFeed, ConfigView& aView, EventLog& aEvents);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  // Starts following. Call once.
  void Start();

  // BeginStop makes the thread end after the call in flight. Stop also waits
  // for it.
  void BeginStop();
  void Stop();

private:
  void Run();

  ConfigFeed& mFeed;
  ConfigView& mView;
  EventLog& mEvents;
  StopSignal mStop;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_CONFIG_FOLLOWER_H_
