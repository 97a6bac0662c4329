// Snapshot records: the state of a stream as of an offset, from which readers
// can start after the records up to that offset have expired.
#ifndef MULBERRYVALVE_CORE_RECORDS_SNAPSHOT_H_
#define MULBERRYVALVE_CORE_RECORDS_SNAPSHOT_H_

#include "mulberryvalve/core/ledger/task_entry.h"
#include "mulberryvalve/core/model/domain_state.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/request.h"
#include "mulberryvalve/core/model/task.h"
#include "mulberryvalve/core/records/record_header.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mulberryvalve {

// WriterItem is the position of a writer's newest record in the stream.
struct WriterItem
{
  WriterId mWriter;
  uint64_t mSequence = 0;
  Offset mOffset;
};

// ClaimItem is the ownership claim of the shard.
struct ClaimItem
{
  WriterId mOwner;
  Epoch mEpoch;
  bool mReleased = false;
  bool mOverReleased = false;
};

// JobItem is a job. The TaskItems of its tasks follow it in order.
struct JobItem
{
  JobSpec mSpec;
  bool mCancelRequested = false;
};

// TaskItem is a task. Its demand is that of the closest preceding JobItem.
struct TaskItem
{
  TaskEntry mTask;
  bool mHandoverPending = false;
};

// FinishedJobItem is a finished job. Such items are ordered from oldest to
// newest.
struct FinishedJobItem
{
  JobId mJob;
};

// MovedTaskItem is a task that was moved between shards and removed after it
// ended. Such items are ordered from oldest to newest.
struct MovedTaskItem
{
  TaskId mTask;
  uint32_t mHandover = 0;
};

// BundleItem is a published bundle and the offset at which it was accepted.
struct BundleItem
{
  BundleVersion mVersion;
  std::string mDocument;
  OperatorId mOperator;
  Offset mOffset;
};

// InForceItem is the bundle in force and the offset of its sign-off.
struct InForceItem
{
  BundleVersion mVersion;
  std::string mDocument;
  Offset mOffset;
};

// DomainItem is the state of a failure domain and the offset of its last
// change.
struct DomainItem
{
  DomainId mDomain;
  DomainState mState = DomainState::kIn;
  Offset mOffset;
  OperatorId mOperator;
  std::string mReason;
};

// KeyOutcome is the outcome of the request that claimed a key.
struct KeyOutcome
{
  RequestStatus mStatus = RequestStatus::kUnknown;
  RequestReason mReason = RequestReason::kNone;
  int mUpstreamStatus = 0;
  std::string mBody;
};

// KeyItem is a claimed key and the offset of its claim.
struct KeyItem
{
  IdempotencyKey mKey;
  WriterId mOwner;
  AttemptId mAttempt;
  Offset mOffset;
  std::optional<KeyOutcome> mOutcome;
};

using SnapshotItem = std::variant<WriterItem,
                                  ClaimItem,
                                  JobItem,
                                  TaskItem,
                                  FinishedJobItem,
                                  MovedTaskItem,
                                  BundleItem,
                                  InForceItem,
                                  DomainItem,
                                  KeyItem>;

// SnapshotBegun starts a snapshot of the state after the record at
// mCoveredOffset. All records of a snapshot have the same writer and epoch.
struct SnapshotBegun
{
  Offset mCoveredOffset;
  uint32_t mParts = 0;
};

// SnapshotPart is part mIndex, counted from 0, of a snapshot.
struct SnapshotPart
{
  Offset mCoveredOffset;
  uint32_t mIndex = 0;
  std::vector<SnapshotItem> mItems;
};

// SnapshotEnded completes a snapshot if all of its parts precede this record.
struct SnapshotEnded
{
  Offset mCoveredOffset;
  uint32_t mParts = 0;
};

// Snapshot is the complete state of a stream after the record at
// mCoveredOffset.
struct Snapshot
{
  Offset mCoveredOffset;
  std::vector<SnapshotItem> mItems;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_RECORDS_SNAPSHOT_H_
