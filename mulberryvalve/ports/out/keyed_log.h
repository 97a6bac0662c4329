// KeyedLog: partitions of the platform's log that keep the newest record of
// each key for good.
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

// KeyedTopic names what a partition holds.
enum class KeyedTopic
{
  kIntake,    // jobs and cancellations, written by any instance
  kProgress,  // progress of jobs and known workers, written by owners
  kOperators, // what operators want
  kWorkers,   // what workers say of themselves
  kLayout,    // the cluster's make-up, written by any instance
};

inline constexpr EnumTable<KeyedTopic, 5> kKeyedTopicNames{ { {
  { KeyedTopic::kIntake, "intake" },
  { KeyedTopic::kProgress, "progress" },
  { KeyedTopic::kOperators, "operators" },
  { KeyedTopic::kWorkers, "workers" },
  { KeyedTopic::kLayout, "layout" },
} } };

// KeyedPlace is one partition of a topic.
struct KeyedPlace
{
  KeyedTopic mTopic = KeyedTopic::kIntake;
  uint32_t mPartition = 0;
};

// KeyedEntry is a record; without a value its key is dropped.
struct KeyedEntry
{
  std::string mKey;
  std::optional<std::string> mValue;
};

// KeyedPage is a run of records and where the next one will stand. Offsets
// count from 0 here.
struct KeyedPage
{
  std::vector<KeyedEntry> mEntries;
  uint64_t mNext = 0;
};

// KeyedLogLimits are what a log takes at most.
struct KeyedLogLimits
{
  // Of one record: its key, its value and a byte.
  size_t mRecordBytes = 262144;
  // Of the records of one call, with kRecordOverhead bytes more for each.
  size_t mRequestBytes = 2097152;
  size_t mKeyBytes = 255;
};

inline constexpr size_t kRecordOverhead = 4;

// RecordBytes returns the size of aEntry as KeyedLogLimits counts it.
inline size_t RecordBytes(const KeyedEntry& aEntry)
{
  return 1 + aEntry.mKey.size() + (aEntry.mValue ? aEntry.mValue->size() : 0);
}

// FitsRecord tells whether aEntry is within the limits of a record.
inline bool FitsRecord(const KeyedEntry& aEntry, const KeyedLogLimits& aLimits)
{
  return aEntry.mKey.size() <= aLimits.mKeyBytes &&
         RecordBytes(aEntry) <= aLimits.mRecordBytes;
}

// FencedAppend proves its writer: the log refuses it once a higher epoch has
// written. A repeat with the same sequence takes effect once.
struct FencedAppend
{
  KeyedPlace mPlace;
  Epoch mEpoch;
  uint64_t mSequence = 0;
};

// MendsByRepetition tells whether the same call may succeed later. One that was
// refused for what it carries, or whose answer can't be read, will not.
inline bool MendsByRepetition(FailureKind aKind)
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

// KeyedLog's implementations are thread-safe and block up to the time given.
// Errors of all: kLogUnavailable and kLogRateLimited (nothing was done),
// kLogAnswerLost (it may have been done or may yet be), kMalformed.
class KeyedLog
{
public:
  virtual ~KeyedLog() = default;

  // Limits returns what the log takes. What is larger is refused at each try,
  // with kTooLarge or kMalformed. Does not block.
  virtual KeyedLogLimits Limits() const { return KeyedLogLimits(); }

  // Newest returns the newest record of each key, and where to read on. It is
  // no snapshot: records that come meanwhile may be part of it.
  virtual Result<KeyedPage> Newest(const KeyedPlace& aPlace) = 0;

  // Read returns the records from aFrom on, waiting up to aWait for one.
  // Errors also: kOffsetExpired.
  virtual Result<KeyedPage> Read(const KeyedPlace& aPlace,
                                 uint64_t aFrom,
                                 Milliseconds aWait) = 0;

  // Append adds aEntries, all or none.
  virtual Result<void> Append(const KeyedPlace& aPlace,
                              const std::vector<KeyedEntry>& aEntries) = 0;

  // AppendFenced adds aEntries in the name of an owner. Errors also:
  // kNotOwner when a higher epoch has written.
  virtual Result<void> AppendFenced(
    const FencedAppend& aProof,
    const std::vector<KeyedEntry>& aEntries) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_KEYED_LOG_H_
