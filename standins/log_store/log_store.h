// The append-only log of the platform stand-in: named streams of records, each
// with an offset.

#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/outcome.hpp>

#include "standins/base/clock.h"

namespace mulberryvalve::standins {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

constexpr uint64_t kFirstOffset = 1;

struct LogRecord
{
  uint64_t mOffset = 0;
  std::string mData;
};

// The offsets of the records of one append: [mFirst, mNext).
struct AppendRange
{
  uint64_t mFirst = 0;
  uint64_t mNext = 0;
};

struct ReadBatch
{
  uint64_t mOldest = kFirstOffset;
  uint64_t mNext = kFirstOffset;
  std::vector<LogRecord> mRecords;
};

// The error of a read whose start offset is below the oldest retained record.
struct OffsetExpired
{
  uint64_t mOldest = kFirstOffset;
};

using ReadResult = outcome::unchecked<ReadBatch, OffsetExpired>;

// The requested start offset and the maximum number of records.
struct ReadRange
{
  uint64_t mFrom = kFirstOffset;
  uint64_t mLimit = 0;
};

// Keeps all streams in memory, with one lock per stream. Thread-safe.
class LogStore
{
public:
  // Retains the newest `aRetentionRecords` of each stream; 0 retains all.
  explicit LogStore(uint64_t aRetentionRecords);

  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  // Appends records to a stream at contiguous offsets.
  AppendRange Append(const std::string& aStream,
                     std::vector<std::string> aRecords);

  // Returns up to `mLimit` records. If there is none at or after the start
  // offset, waits for one until `aDeadline` and then returns an empty batch.
  ReadResult Read(const std::string& aStream,
                  const ReadRange& aRange,
                  SteadyTime aDeadline);

  // Wakes all waiting readers at shutdown.
  void Close();

private:
  struct Stream
  {
    std::mutex mMutex;
    std::condition_variable mCondition;
    std::deque<std::string> mRecords;
    uint64_t mOldest = kFirstOffset;
    bool mClosed = false;

    uint64_t Next() const { return mOldest + mRecords.size(); }
  };

  std::shared_ptr<Stream> FindOrCreate(const std::string& aName);

  const uint64_t mRetentionRecords;
  std::mutex mMutex;
  std::map<std::string, std::shared_ptr<Stream>> mStreams;
  bool mClosed = false;
};

} // namespace mulberryvalve::standins
