// Records: the typed entries of the platform's log. All durable state is stored
// as records. Applying the records of a stream in offset order yields the same
// state in every instance.
#ifndef MULBERRYVALVE_CORE_RECORDS_RECORD_H_
#define MULBERRYVALVE_CORE_RECORDS_RECORD_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/model/domain_state.h"
#include "mulberryvalve/core/model/eviction_cause.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/request.h"
#include "mulberryvalve/core/model/resources.h"
#include "mulberryvalve/core/model/task.h"
#include "mulberryvalve/core/records/record_header.h"
#include "mulberryvalve/core/records/snapshot.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mulberryvalve {

// --- stream "config" -------------------------------------------------------

// BundlePublished proposes a bundle. It is accepted if, at its offset,
// mExpected is the newest published version and mVersion is greater.
struct BundlePublished
{
  BundleVersion mVersion;
  BundleVersion mExpected;
  std::string mDocument;
  OperatorId mOperator;
};

// BundleSignedOff puts a published version in force. mDigest is the digest of
// the document that the operator reviewed.
struct BundleSignedOff
{
  BundleVersion mVersion;
  std::string mDigest;
  OperatorId mOperator;
};

// DomainChanged takes a failure domain out of service or returns it. It is
// accepted if mExpected is the offset of the domain's last change (0 if none).
struct DomainChanged
{
  DomainId mDomain;
  DomainState mState = DomainState::kIn;
  Offset mExpected;
  OperatorId mOperator;
  std::string mReason;
};

// --- stream of a shard -----------------------------------------------------

// ShardClaimed makes its writer the owner of the shard. Its offset becomes the
// epoch.
struct ShardClaimed
{
};

// ShardReleased ends its writer's ownership. The writer takes no further action
// in the shard.
struct ShardReleased
{
};

struct JobSubmitted
{
  JobSpec mJob;
};

struct JobCancelRequested
{
  JobId mJob;
  OperatorId mOperator;
};

// TaskAssigned places an attempt on a worker, whose capacity is charged from
// this record on.
struct TaskAssigned
{
  TaskId mTask;
  Attempt mAttempt;
  WorkerId mWorker;
};

struct TaskStarted
{
  TaskId mTask;
  Attempt mAttempt;
};

// TaskFinished ends a task. mState is kCompleted or kFailed.
struct TaskFinished
{
  TaskId mTask;
  Attempt mAttempt;
  TaskState mState = TaskState::kCompleted;
  std::string mReason;
};

// TaskCheckpointing announces that the owner will checkpoint and stop the
// attempt.
struct TaskCheckpointing
{
  TaskId mTask;
  Attempt mAttempt;
  EvictionCause mCause = EvictionCause::kPriority;
};

// TaskEvicted ends an attempt that is known to have stopped. The task is queued
// again.
struct TaskEvicted
{
  TaskId mTask;
  Attempt mAttempt;
  EvictionCause mCause = EvictionCause::kNeverStarted;
  CheckpointId mCheckpoint;
};

struct TaskCancelled
{
  TaskId mTask;
};

struct TaskImpossible
{
  TaskId mTask;
  std::string mReason;
};

// TaskHandedOver moves a task out of this shard. The owner then appends
// TaskReceived to the target shard's stream, and repeats this after a restart
// until TaskHandoverConfirmed is in this stream.
struct TaskHandedOver
{
  TaskId mTask;
  ShardId mTarget;
};

struct TaskHandoverConfirmed
{
  TaskId mTask;
};

// TaskReceived moves a waiting task into this shard. mHandover counts the moves
// of the task, so that a repeated record has no effect.
struct TaskReceived
{
  TaskId mTask;
  JobId mJob;
  TaskDemand mDemand;
  Attempt mLastAttempt;
  CheckpointId mCheckpoint;
  uint32_t mHandover = 0;
  ShardId mSource;
};

// --- streams of idempotency keys -------------------------------------------

// KeyClaimed reserves the key of a non-idempotent request for its writer,
// unless the stream already contains a claim of the key.
struct KeyClaimed
{
  IdempotencyKey mKey;
  AttemptId mAttempt;
};

// KeySettled records the outcome of the request that claimed a key.
struct KeySettled
{
  IdempotencyKey mKey;
  AttemptId mAttempt;
  RequestStatus mStatus = RequestStatus::kUnknown;
  RequestReason mReason = RequestReason::kNone;
  int mUpstreamStatus = 0;
  std::string mBody;
};

// --- any stream -------------------------------------------------------------

// AuditNote records a change that has no record type of its own.
struct AuditNote
{
  std::string mSubject;
  std::string mBefore;
  std::string mAfter;
  std::string mReason;
};

// UnreadableRecord represents a log entry that is not a valid record. All
// readers skip it.
struct UnreadableRecord
{
};

using Record = std::variant<BundlePublished,
                            BundleSignedOff,
                            DomainChanged,
                            ShardClaimed,
                            ShardReleased,
                            JobSubmitted,
                            JobCancelRequested,
                            TaskAssigned,
                            TaskStarted,
                            TaskFinished,
                            TaskCheckpointing,
                            TaskEvicted,
                            TaskCancelled,
                            TaskImpossible,
                            TaskHandedOver,
                            TaskHandoverConfirmed,
                            TaskReceived,
                            KeyClaimed,
                            KeySettled,
                            AuditNote,
                            SnapshotBegun,
                            SnapshotPart,
                            SnapshotEnded,
                            UnreadableRecord>;

// LogRecord is a record with its header.
struct LogRecord
{
  RecordHeader mHeader;
  Record mBody;
};

// StoredRecord is a record and its offset in the log.
struct StoredRecord
{
  Offset mOffset;
  LogRecord mRecord;
};

// ApplyResult is the effect of applying a record to the state of its stream.
enum class ApplyResult
{
  kApplied,
  kDuplicate,
  kFenced,
  kConflict,
  kIllegal,
  kIgnored,
  kGap,
};

inline constexpr EnumTable<ApplyResult, 7> kApplyResultNames{ { {
  { ApplyResult::kApplied, "applied" },
  { ApplyResult::kDuplicate, "duplicate" },
  { ApplyResult::kFenced, "fenced" },
  { ApplyResult::kConflict, "conflict" },
  { ApplyResult::kIllegal, "illegal" },
  { ApplyResult::kIgnored, "ignored" },
  { ApplyResult::kGap, "gap" },
} } };

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_RECORDS_RECORD_H_
