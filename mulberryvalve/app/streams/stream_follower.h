// StreamFollower: a thread that tails one stream into its replica.
#ifndef MULBERRYVALVE_APP_STREAMS_STREAM_FOLLOWER_H_
#define MULBERRYVALVE_APP_STREAMS_STREAM_FOLLOWER_H_

#include "mulberryvalve/app/streams/stop_signal.h"
#include "mulberryvalve/app/streams/stream_replica.h"
#include "mulberryvalve/ports/out/random_source.h"

#include <thread>

namespace mulberryvalve {

// FollowerOptions configure the reads of a stream. A read is a long poll of up
// to mWait, so an idle stream costs one read per mWait.
struct FollowerOptions
{
  Milliseconds mWait{ 400 };
  uint32_t mPageRecords = 2000;
  Milliseconds mRetryAfter{ 200 };
};

// StreamFollower owns the thread. Construct, Start once, Stop once.
class StreamFollower
{
public:
  // All references must outlive the follower.
  StreamFollower(StreamName aStream,
                 StreamState& aState,
                 LogService& aLog,
                 const Clock& aClock,
                 RandomSource& aRandom,
                 FollowerOptions aOptions);
  ~StreamFollower();

  // Start starts the thread. Call once.
  void Start();

  // Stop stops and joins the thread; this takes at most one read.
  void Stop();

private:
  void Run();
  void ReadOnce();

  const StreamName mStream;
  StreamState& mState;
  LogService& mLog;
  const Clock& mClock;
  RandomSource& mRandom;
  const FollowerOptions mOptions;
  StopSignal mStop;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_STREAMS_STREAM_FOLLOWER_H_
