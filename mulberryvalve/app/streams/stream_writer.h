// StreamWriter: group commit of one instance's records to one stream.
#ifndef MULBERRYVALVE_APP_STREAMS_STREAM_WRITER_H_
#define MULBERRYVALVE_APP_STREAMS_STREAM_WRITER_H_

#include "mulberryvalve/app/streams/record_appender.h"
#include "mulberryvalve/app/streams/stop_signal.h"
#include "mulberryvalve/app/streams/stream_replica.h"
#include "mulberryvalve/ports/out/metrics.h"

#include <deque>
#include <thread>
#include <vector>

namespace mulberryvalve {

// WriterOptions configure a writer. Appends start at least mCommitWindow apart,
// so that their rate does not grow with the load.
struct WriterOptions
{
  Milliseconds mCommitWindow{ 33 };
  size_t mMaxBatch = 2000;
  size_t mMaxQueued = 50'000;
  Milliseconds mReadBackPoll{ 500 };
};

// StreamWriter appends records in submission order, one append at a time. When
// the response to an append is lost, the writer waits until the stream's head
// was confirmed after the failure and looks for its own sequence number. Only
// if that is missing does it retry with the same number, so that a late effect
// of the first try is discarded as a duplicate. Thread-safe.
class StreamWriter : public RecordAppender
{
public:
  // All references must outlive the writer.
  StreamWriter(StreamName aStream,
               WriterId aSelf,
               StreamState& aState,
               LogService& aLog,
               const Clock& aClock,
               Metrics& aMetrics,
               WriterOptions aOptions);
  ~StreamWriter() override;

  // Start starts the thread. Call once.
  void Start();

  // Stop stops and joins the thread. Queued records fail with kShuttingDown,
  // and those of an append in progress with kUnknownOutcome.
  void Stop();

  // Submit queues aRecords under aEpoch. aDone runs on the writer's thread and
  // must not block. Errors passed to it: kLogUnavailable (nothing was
  // appended), kOverloaded, kTooLarge, kShuttingDown, kUnknownOutcome.
  void Submit(std::vector<Record> aRecords,
              Epoch aEpoch,
              AppendDone aDone) override;

  // Append submits aRecords and blocks for the result until aDeadline. It
  // returns kUnknownOutcome when the deadline passes first.
  Result<Offset> Append(std::vector<Record> aRecords,
                        Epoch aEpoch,
                        MonotonicTime aDeadline);

  // AppendFolded is Append that also waits until the local replica has applied
  // the records.
  Result<Offset> AppendFolded(std::vector<Record> aRecords,
                              Epoch aEpoch,
                              MonotonicTime aDeadline);

private:
  struct Pending
  {
    std::vector<LogRecord> mRecords;
    AppendDone mDone;
  };

  void Run();
  std::deque<Pending> TakeBatch();
  void Commit(const std::deque<Pending>& aBatch);
  Result<Offset> AppendUntilSettled(const std::vector<LogRecord>& aRecords);
  bool WaitForReadBack();

  const StreamName mStream;
  const WriterId mSelf;
  StreamState& mState;
  LogService& mLog;
  const Clock& mClock;
  Metrics& mMetrics;
  const WriterOptions mOptions;
  StopSignal mStop;
  Mutex mMutex;
  CondVar mCondVar;
  std::deque<Pending> mQueue MV_GUARDED_BY(mMutex);
  uint64_t mNextSequence MV_GUARDED_BY(mMutex) = 1;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_STREAMS_STREAM_WRITER_H_
