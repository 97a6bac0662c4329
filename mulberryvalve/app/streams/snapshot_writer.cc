#include "mulberryvalve/app/streams/snapshot_writer.h"

#include <iterator>
#include <utility>

namespace mulberryvalve {
namespace {

// Records per append. This many stay far below the size limit of an append.
constexpr size_t kRecordsPerAppend = 8;

} // namespace

SnapshotWriter::SnapshotWriter(StreamName aStream,
                               const SnapshotSource& aSource,
                               StreamWriter& aWriter,
                               EventLog& aEvents,
                               SnapshotOptions aOptions)
  : mStream(std::move(aStream))
  , mSource(aSource)
  , mWriter(aWriter)
  , mEvents(aEvents)
  , mOptions(aOptions)
{
}

void SnapshotWriter::WriteIfDue(Epoch aEpoch)
{
  {
    MutexLock lock(mMutex);
    if (mInProgress || !SnapshotDue(mSource.Span(), mOptions)) {
      return;
    }
    mInProgress = true;
  }
  Snapshot snapshot = mSource.Capture();
  mEvents.Write(EventLevel::kInfo,
                "snapshot_begun",
                { { "stream", mStream.Text() },
                  { "covers", std::to_string(snapshot.mCoveredOffset.Value()) },
                  { "items", std::to_string(snapshot.mItems.size()) } });
  std::vector<Record> records = SplitSnapshot(std::move(snapshot), mOptions);
  {
    MutexLock lock(mMutex);
    mRemaining.assign(std::make_move_iterator(records.begin()),
                      std::make_move_iterator(records.end()));
  }
  AppendNext(aEpoch);
}

void SnapshotWriter::AppendNext(Epoch aEpoch)
{
  std::vector<Record> batch;
  {
    MutexLock lock(mMutex);
    while (!mRemaining.empty() && batch.size() < kRecordsPerAppend) {
      batch.push_back(std::move(mRemaining.front()));
      mRemaining.pop_front();
    }
    mInProgress = !batch.empty();
  }
  if (batch.empty()) {
    return;
  }
  mWriter.Submit(std::move(batch), aEpoch, [this, aEpoch](const auto& aAt) {
    OnAppended(aEpoch, aAt);
  });
}

void SnapshotWriter::OnAppended(Epoch aEpoch, const Result<Offset>& aAt)
{
  if (aAt) {
    AppendNext(aEpoch);
    return;
  }
  mEvents.Write(
    EventLevel::kWarn,
    "snapshot_failed",
    { { "stream", mStream.Text() },
      { "failure", std::string(kFailureKindNames.Name(aAt.error().mKind)) } });
  MutexLock lock(mMutex);
  mRemaining.clear();
  mInProgress = false;
}

} // namespace mulberryvalve
