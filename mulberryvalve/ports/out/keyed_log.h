// KeyedLog: the partitions of the platform's log that are compacted by key; the
// newest record of each key is retained indefinitely.
#ifndef MULBERRYVALVE_PORTS_OUT_KEYED_LOG_H_
#define MULBERRYVALVE_PORTS_OUT_KEYED_LOG_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

// KeyedTopic identifies the kind of records in a partition.
enum class KeyedTopic
{
  kIntake,     // submitted jobs and cancellations, written by any instance
  kProgress,   // progress of jobs and known workers, written by owners
  kOperators,  // the operators' configuration
  kWorkers,    // descriptions that workers publish of themselves
  kLayout,     // sizes of the cluster's instances, written by any instance
  kShardCount, // the number of shards, written once
};

inline constexpr EnumTable<KeyedTopic, 6> kKeyedTopicNames{ { {
  { KeyedTopic::kIntake, "intake" },
  { KeyedTopic::kProgress, "progress" },
  { KeyedTopic::kOperators, "operators" },
  { KeyedTopic::kWorkers, "workers" },
  { KeyedTopic::kLayout, "layout" },
  { KeyedTopic::kShardCount, "shard_count" },
} } };

// TopicPartition identifies one partition of a topic.
struct TopicPartition
{
  KeyedTopic mTopic = KeyedTopic::kIntake;
  uint32_t mPartition = 0;
};

// KeyedEntry is a keyed record. An entry without a value is a tombstone, which
// deletes its key.
struct KeyedEntry
{
  std::string mKey;
  std::optional<std::string> mValue;
};

// KeyedPage is a sequence of consecutive records and the offset of the record
// after them. Offsets in keyed logs start at 0.
struct KeyedPage
{
  std::vector<KeyedEntry> mEntries;
  uint64_t mNext = 0;
  // Nothing follows: the page goes up to the end of the partition, as it was
  // when the call was handled.
  bool mReachesEnd = true;
};

// KeyedLogLimits are the size limits of a log, in bytes.
struct KeyedLogLimits
{
  // Of one record: its key, its value and one byte.
  size_t mRecordBytes = 262144;
  // Of all records of one call, plus kRecordOverhead for each.
  size_t mRequestBytes = 2097152;
  size_t mKeyBytes = 255;
};

inline constexpr size_t kRecordOverhead = 4;

// RecordBytes returns the size of aEntry as KeyedLogLimits counts it.
inline size_t RecordBytes(const KeyedEntry& aEntry)
{
  return 1 + aEntry.mKey.size() + (aEntry.mValue ? aEntry.mValue->size() : 0);
}

// FitsRecord returns whether aEntry is within the limits of a record.
inline bool FitsRecord(const KeyedEntry& aEntry, const KeyedLogLimits& aLimits)
{
  return aEntry.mKey.size() <= aLimits.mKeyBytes &&
         RecordBytes(aEntry) <= aLimits.mRecordBytes;
}

// AppendFence identifies the writer of a fenced append. The log rejects the
// append once a writer with a higher epoch has written. Appends that repeat
// mSequence take effect once.
struct AppendFence
{
  TopicPartition mPlace;
  Epoch mEpoch;
  uint64_t mSequence = 0;
};

// IsRetryable returns whether the same call may succeed later. A call that was
// rejected because of its content, or whose response cannot be parsed, will
// not.
inline bool IsRetryable(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::kLogUnavailable:
    case FailureKind::kLogRateLimited:
    case FailureKind::kLogAnswerLost:
    case FailureKind::kNotReady:
      return true;
    default:
      return false;
  }
}

// KeyedLog reads and appends keyed records. Implementations are thread-safe and
// block for a bounded time. Errors of every call: kLogUnavailable and
// kLogRateLimited (the call had no effect), kLogAnswerLost (the call may have
// taken effect or may do so later), kMalformed.
class KeyedLog
{
public:
  virtual ~KeyedLog() = default;

  // Limits returns the size limits of the log. Larger appends always fail with
  // kTooLarge or kMalformed. Does not block.
  virtual KeyedLogLimits Limits() const { return KeyedLogLimits(); }

  // ReadLatest returns the newest record of each key and the offset at which to
  // continue with Read. The result is not an atomic snapshot: it may include
  // records that are appended during the call.
  virtual Result<KeyedPage> ReadLatest(const TopicPartition& aPlace) = 0;

  // Read returns the records from offset aFrom on. It waits up to aWait for the
  // first one. Errors: also kOffsetExpired.
  virtual Result<KeyedPage> Read(const TopicPartition& aPlace,
                                 uint64_t aFrom,
                                 Milliseconds aWait) = 0;

  // Append appends all of aEntries or none.
  virtual Result<void> Append(const TopicPartition& aPlace,
                              const std::vector<KeyedEntry>& aEntries) = 0;

  // AppendAt appends aEntries if the partition ends at offset aEnd when the
  // call takes effect, however late that is. Errors: also kConflict (it does
  // not, so nothing was appended).
  virtual Result<void> AppendAt(const TopicPartition& aPlace,
                                uint64_t aEnd,
                                const std::vector<KeyedEntry>& aEntries) = 0;

  // AppendFenced appends aEntries as the owner identified by aFence. Errors:
  // also kNotOwner if a writer with a higher epoch has written.
  virtual Result<void> AppendFenced(
    const AppendFence& aFence,
    const std::vector<KeyedEntry>& aEntries) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_KEYED_LOG_H_
