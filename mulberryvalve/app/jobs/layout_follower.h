// Publishes this instance's processor on the log and keeps a LayoutView up to
// date with what all instances have published.
#ifndef MULBERRYVALVE_APP_JOBS_LAYOUT_FOLLOWER_H_
#define MULBERRYVALVE_APP_JOBS_LAYOUT_FOLLOWER_H_

#include "mulberryvalve/app/jobs/keyed_cursor.h"
#include "mulberryvalve/app/jobs/layout_view.h"
#include "mulberryvalve/app/streams/stop_signal.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/layout_codec.h"

#include <thread>

namespace mulberryvalve {

// Ports that the follower uses. All references must outlive it.
struct LayoutPorts
{
  KeyedLog& mLog;
  const LayoutCodec& mCodec;
  const Clock& mClock;
  EventLog& mEvents;
};

// Runs one thread. The public methods are thread-safe.
class LayoutFollower
{
public:
  // aView must outlive this object. aProcessor is the processor of this
  // instance.
  LayoutFollower(MilliCores aProcessor, LayoutView& aView, LayoutPorts aPorts);
  ~LayoutFollower();
  LayoutFollower(const LayoutFollower&) = delete;
  LayoutFollower& operator=(const LayoutFollower&) = delete;

  // Starts following. Call once.
  void Start();

  // BeginStop makes the thread end after the call in flight. Stop also waits
  // for it.
  void BeginStop();
  void Stop();

private:
  void Run();
  Result<void> ReadChanges();
  void ApplyEntry(const KeyedEntry& aEntry);
  Result<void> PublishOwn();
  bool IsSettled() const;

  const MilliCores mProcessor;
  LayoutView& mView;
  LayoutPorts mPorts;
  KeyedCursor mCursor;
  ClusterLayout mLayout;
  // When this instance published its processor as the largest so far. No value
  // if it did not.
  std::optional<MonotonicTime> mPublishedAt;
  StopSignal mStop;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_LAYOUT_FOLLOWER_H_
