// LayoutFollower: notes this instance's processor on the log and keeps a
// LayoutView at what all instances have noted.
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

// LayoutPorts are what the follower works with; all must outlive it.
struct LayoutPorts
{
  KeyedLog& mLog;
  const LayoutCodec& mCodec;
  const Clock& mClock;
  EventLog& mEvents;
};

// LayoutFollower runs one thread. Its public methods are thread-safe.
class LayoutFollower
{
public:
  // aView must outlive this object. aProcessor is that of this instance.
  LayoutFollower(MilliCores aProcessor, LayoutView& aView, LayoutPorts aPorts);
  ~LayoutFollower();
  LayoutFollower(const LayoutFollower&) = delete;
  LayoutFollower& operator=(const LayoutFollower&) = delete;

  // Start begins to follow. Call once.
  void Start();

  // BeginStop makes the thread end after the call under way; Stop also waits
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
  // When this instance noted that it is the largest so far, if it did.
  std::optional<MonotonicTime> mPublishedAt;
  StopSignal mStop;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_LAYOUT_FOLLOWER_H_
