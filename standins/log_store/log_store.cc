#include "standins/log_store/log_store.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve::standins {

LogStore::LogStore(uint64_t aRetentionRecords)
  : mRetentionRecords(aRetentionRecords)
{
}

AppendRange LogStore::Append(const std::string& aStream,
                             std::vector<std::string> aRecords)
{
  const std::shared_ptr<Stream> stream = FindOrCreate(aStream);
  std::lock_guard<std::mutex> lock(stream->mMutex);
  const uint64_t first = stream->Next();
  for (std::string& record : aRecords) {
    stream->mRecords.push_back(std::move(record));
  }
  const uint64_t next = stream->Next();
  while (mRetentionRecords > 0 && stream->mRecords.size() > mRetentionRecords) {
    stream->mRecords.pop_front();
    ++stream->mOldest;
  }
  stream->mCondition.notify_all();
  return { first, next };
}

ReadResult LogStore::Read(const std::string& aStream,
                          const ReadRange& aRange,
                          SteadyTime aDeadline)
{
  const std::shared_ptr<Stream> stream = FindOrCreate(aStream);
  std::unique_lock<std::mutex> lock(stream->mMutex);
  stream->mCondition.wait_until(lock, aDeadline, [&stream, &aRange] {
    return stream->mClosed || stream->Next() > aRange.mFrom;
  });
  if (aRange.mFrom < stream->mOldest) {
    return OffsetExpired{ stream->mOldest };
  }
  ReadBatch batch;
  batch.mOldest = stream->mOldest;
  batch.mNext = stream->Next();
  uint64_t offset = aRange.mFrom;
  while (offset < batch.mNext && batch.mRecords.size() < aRange.mLimit) {
    batch.mRecords.push_back(
      { offset, stream->mRecords[offset - stream->mOldest] });
    ++offset;
  }
  return batch;
}

void LogStore::Close()
{
  std::lock_guard<std::mutex> lock(mMutex);
  mClosed = true;
  for (const auto& [name, stream] : mStreams) {
    std::lock_guard<std::mutex> streamLock(stream->mMutex);
    stream->mClosed = true;
    stream->mCondition.notify_all();
  }
}

std::shared_ptr<LogStore::Stream> LogStore::FindOrCreate(
  const std::string& aName)
{
  std::lock_guard<std::mutex> lock(mMutex);
  std::shared_ptr<Stream>& stream = mStreams[aName];
  if (!stream) {
    stream = std::make_shared<Stream>();
    stream->mClosed = mClosed;
  }
  return stream;
}

} // namespace mulberryvalve::standins
