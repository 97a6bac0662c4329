#include "mulberryvalve/app/streams/stream_writer.h"

#include <memory>
#include <utility>

namespace mulberryvalve {
namespace {

// Shared by the waiting caller and the writer's thread, since either may
// outlive the other.
struct Waiter
{
  Mutex mMutex;
  CondVar mCondVar;
  bool mSettled MV_GUARDED_BY(mMutex) = false;
  Result<Offset> mResult MV_GUARDED_BY(mMutex) =
    Fail(FailureKind::kUnknownOutcome);
};

} // namespace

StreamWriter::StreamWriter(StreamName aStream,
                           WriterId aSelf,
                           StreamState& aState,
                           LogService& aLog,
                           const Clock& aClock,
                           Metrics& aMetrics,
                           WriterOptions aOptions)
  : mStream(std::move(aStream))
  , mSelf(std::move(aSelf))
  , mState(aState)
  , mLog(aLog)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mOptions(aOptions)
{
}

StreamWriter::~StreamWriter()
{
  Stop();
}

void StreamWriter::Start()
{
  mThread = std::thread([this] { Run(); });
}

void StreamWriter::Stop()
{
  mStop.Set();
  {
    MutexLock lock(mMutex);
    mStopping = true;
    mCondVar.NotifyAll();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

void StreamWriter::Submit(std::vector<Record> aRecords,
                          Epoch aEpoch,
                          AppendDone aDone)
{
  FailureKind refusal = FailureKind::kOverloaded;
  {
    MutexLock lock(mMutex);
    if (!mStopping && mQueue.size() < mOptions.mMaxQueued) {
      Pending pending;
      for (Record& body : aRecords) {
        RecordHeader header;
        header.mWriter = mSelf;
        header.mEpoch = aEpoch;
        header.mWritten = mClock.WallNow();
        pending.mRecords.push_back(LogRecord{ header, std::move(body) });
      }
      pending.mDone = std::move(aDone);
      mQueue.push_back(std::move(pending));
      mCondVar.NotifyAll();
      return;
    }
    refusal = mStopping ? FailureKind::kShuttingDown : refusal;
  }
  aDone(Fail(refusal, mStream.Text()));
}

Result<Offset> StreamWriter::Append(std::vector<Record> aRecords,
                                    Epoch aEpoch,
                                    MonotonicTime aDeadline)
{
  auto waiter = std::make_shared<Waiter>();
  Submit(std::move(aRecords), aEpoch, [waiter](const Result<Offset>& aResult) {
    MutexLock lock(waiter->mMutex);
    waiter->mSettled = true;
    waiter->mResult = aResult;
    waiter->mCondVar.NotifyAll();
  });
  const auto deadline = SteadyDeadline(mClock, aDeadline);
  MutexLock lock(waiter->mMutex);
  while (!waiter->mSettled &&
         waiter->mCondVar.WaitUntil(waiter->mMutex, deadline)) {
  }
  return waiter->mResult;
}

Result<Offset> StreamWriter::AppendFolded(std::vector<Record> aRecords,
                                          Epoch aEpoch,
                                          MonotonicTime aDeadline)
{
  const size_t count = aRecords.size();
  Result<Offset> first = Append(std::move(aRecords), aEpoch, aDeadline);
  if (!first) {
    return first;
  }
  const Offset last(first.value().Value() + count - 1);
  if (!mState.WaitFolded(last, aDeadline)) {
    return Fail(FailureKind::kUnknownOutcome, mStream.Text(), "not read back");
  }
  return first;
}

void StreamWriter::Run()
{
  while (true) {
    std::deque<Pending> batch = TakeBatch();
    if (batch.empty()) {
      return;
    }
    const auto next = std::chrono::steady_clock::now() + mOptions.mCommitWindow;
    Commit(batch);
    mStop.WaitUntil(next);
  }
}

std::deque<StreamWriter::Pending> StreamWriter::TakeBatch()
{
  MutexLock lock(mMutex);
  while (mQueue.empty() && !mStopping) {
    mCondVar.Wait(mMutex);
  }
  std::deque<Pending> batch;
  size_t records = 0;
  while (!mQueue.empty() && records < mOptions.mMaxBatch) {
    for (LogRecord& record : mQueue.front().mRecords) {
      record.mHeader.mSequence = mNextSequence++;
    }
    records += mQueue.front().mRecords.size();
    batch.push_back(std::move(mQueue.front()));
    mQueue.pop_front();
  }
  return batch;
}

void StreamWriter::Commit(const std::deque<Pending>& aBatch)
{
  std::vector<LogRecord> records;
  for (const Pending& pending : aBatch) {
    records.insert(
      records.end(), pending.mRecords.begin(), pending.mRecords.end());
  }
  const Result<Offset> first = AppendUntilSettled(records);
  uint64_t before = 0;
  for (const Pending& pending : aBatch) {
    if (first) {
      pending.mDone(Offset(first.value().Value() + before));
    } else {
      pending.mDone(first);
    }
    before += pending.mRecords.size();
  }
}

Result<Offset> StreamWriter::AppendUntilSettled(
  const std::vector<LogRecord>& aRecords)
{
  bool mayHaveTakenEffect = false;
  while (true) {
    const MonotonicTime appendStart = mClock.Now();
    const Result<AppendedRange> range = mLog.Append(mStream, aRecords);
    mMetrics.Record(
      Timing::kAppendUs,
      std::chrono::duration_cast<Microseconds>(mClock.Now() - appendStart));
    if (range) {
      mMetrics.Add(Counter::kLogAppends, 1);
      mMetrics.Add(Counter::kLogAppendRecords, aRecords.size());
      if (!mayHaveTakenEffect) {
        return range.value().mFirst;
      }
    } else {
      mMetrics.Add(Counter::kLogFailures, 1);
      const FailureKind kind = range.error().mKind;
      if (kind == FailureKind::kTooLarge && !mayHaveTakenEffect) {
        return range.error();
      }
      mayHaveTakenEffect =
        mayHaveTakenEffect || kind != FailureKind::kLogRateLimited;
    }
    // After an unknown outcome, even a successful response does not show which
    // try took effect first. Only reading the stream does.
    if (mayHaveTakenEffect && !WaitForReadBack()) {
      return Fail(FailureKind::kUnknownOutcome, mStream.Text());
    }
    const WriterPosition newest = mState.Newest(mSelf);
    if (newest.mSequence >= aRecords.back().mHeader.mSequence) {
      return Offset(newest.mOffset.Value() - (aRecords.size() - 1));
    }
    if (mStop.WaitUntil(std::chrono::steady_clock::now() +
                        mOptions.mCommitWindow)) {
      return Fail(FailureKind::kUnknownOutcome, mStream.Text(), "stopping");
    }
  }
}

bool StreamWriter::WaitForReadBack()
{
  const MonotonicTime failedAt = mClock.Now();
  while (!mStop.IsSet()) {
    if (mState.WaitConfirmed(failedAt, mClock.Now() + mOptions.mReadBackPoll)) {
      return true;
    }
  }
  return false;
}

} // namespace mulberryvalve
