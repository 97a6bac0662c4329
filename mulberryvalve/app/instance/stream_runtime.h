// StreamRuntime: the replica, follower, writer and snapshot writer of one
// stream.
#ifndef MULBERRYVALVE_APP_INSTANCE_STREAM_RUNTIME_H_
#define MULBERRYVALVE_APP_INSTANCE_STREAM_RUNTIME_H_

#include "mulberryvalve/app/streams/snapshot_writer.h"
#include "mulberryvalve/app/streams/stream_follower.h"
#include "mulberryvalve/app/streams/stream_replica.h"
#include "mulberryvalve/app/streams/stream_writer.h"

#include <functional>
#include <utility>

namespace mulberryvalve {

// StreamDeps are the dependencies and options shared by all streams of an
// instance.
struct StreamDeps
{
  WriterId mSelf;
  LogService& mLog;
  const Clock& mClock;
  RandomSource& mRandom;
  Metrics& mMetrics;
  EventLog& mEvents;
  FollowerOptions mFollower;
  WriterOptions mWriter;
  SnapshotOptions mSnapshots;
};

// StreamRuntime owns the components that read and write one stream. The
// instance calls Start and Stop once each.
template<typename StateMachine>
class StreamRuntime
{
public:
  StreamRuntime(const StreamName& aStream,
                StateMachine aStateMachine,
                const StreamDeps& aDeps,
                std::function<void()> aChanged)
    : mStream(aStream)
    , mEvents(aDeps.mEvents)
    , mState(std::move(aStateMachine), aDeps.mClock, std::move(aChanged))
    , mFollower(aStream,
                mState,
                aDeps.mLog,
                aDeps.mClock,
                aDeps.mRandom,
                aDeps.mFollower)
    , mWriter(aStream,
              aDeps.mSelf,
              mState,
              aDeps.mLog,
              aDeps.mClock,
              aDeps.mMetrics,
              aDeps.mWriter)
    , mSnapshots(aStream, mState, mWriter, aDeps.mEvents, aDeps.mSnapshots)
  {
  }

  // Start starts the threads of the follower and the writer.
  void Start()
  {
    mFollower.Start();
    mWriter.Start();
  }

  // Stop stops both threads.
  void Stop()
  {
    mWriter.Stop();
    mFollower.Stop();
  }

  // ReportRestore logs an event if the state was restored from a snapshot since
  // the last call. Must be called from one thread.
  void ReportRestore()
  {
    const Offset covers = mState.RestoredFrom();
    if (covers != mReportedRestore) {
      mReportedRestore = covers;
      mEvents.Write(EventLevel::kWarn,
                    "stream_restored",
                    { { "stream", mStream.Text() },
                      { "snapshot", std::to_string(covers.Value()) } });
    }
  }

  // State returns the replica. Thread-safe.
  StreamReplica<StateMachine>& State() { return mState; }
  const StreamReplica<StateMachine>& State() const { return mState; }

  // Snapshots returns the snapshot writer. Thread-safe.
  SnapshotWriter& Snapshots() { return mSnapshots; }

  // Writer returns the stream writer. Thread-safe.
  StreamWriter& Writer() { return mWriter; }

private:
  const StreamName mStream;
  EventLog& mEvents;
  Offset mReportedRestore;
  StreamReplica<StateMachine> mState;
  StreamFollower mFollower;
  StreamWriter mWriter;
  SnapshotWriter mSnapshots;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_INSTANCE_STREAM_RUNTIME_H_
