// SnapshotWriter: appends snapshots of one stream when they are due.
#ifndef MULBERRYVALVE_APP_STREAMS_SNAPSHOT_WRITER_H_
#define MULBERRYVALVE_APP_STREAMS_SNAPSHOT_WRITER_H_

#include "mulberryvalve/app/streams/stream_replica.h"
#include "mulberryvalve/app/streams/stream_writer.h"
#include "mulberryvalve/core/snapshot/snapshot_plan.h"
#include "mulberryvalve/ports/out/event_log.h"

#include <deque>
#include <functional>
#include <memory>

namespace mulberryvalve {

// SnapshotWriter writes one snapshot at a time, in appends of a few records.
// Each append is submitted after the previous one succeeded. Thread-safe.
class SnapshotWriter
{
public:
  // All references must outlive the writer. aWriter must be stopped before this
  // object is destroyed.
  SnapshotWriter(StreamName aStream,
                 const SnapshotSource& aSource,
                 StreamWriter& aWriter,
                 EventLog& aEvents,
                 SnapshotOptions aOptions);

  // WriteIfDue starts a snapshot under aEpoch when one is due and none is in
  // progress. It captures the state immediately and does not wait for the log.
  void WriteIfDue(Epoch aEpoch);

private:
  void AppendNext(Epoch aEpoch);
  void OnAppended(Epoch aEpoch, const Result<Offset>& aAt);

  const StreamName mStream;
  const SnapshotSource& mSource;
  StreamWriter& mWriter;
  EventLog& mEvents;
  const SnapshotOptions mOptions;
  Mutex mMutex;
  bool mInProgress MV_GUARDED_BY(mMutex) = false;
  std::deque<Record> mRemaining MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_STREAMS_SNAPSHOT_WRITER_H_
