// Messages between the owner of a shard and a worker.
#ifndef MULBERRYVALVE_CORE_JOBS_WORKER_MESSAGES_H_
#define MULBERRYVALVE_CORE_JOBS_WORKER_MESSAGES_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/jobs/job_state.h"
#include "mulberryvalve/core/model/worker.h"

#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

// EndNumber numbers the ends of runs that one incarnation of a worker reports,
// from 1.
using EndNumber = StrongNumber<struct EndNumberTag>;

// WorkerInfo is the entry of one worker in the list of workers.
struct WorkerInfo
{
  WorkerId mId;
  Endpoint mEndpoint;
  ServiceId mService;
  DomainId mDomain;
  RackId mRack;
  std::vector<WorkerLabel> mLabels;
  Resources mCapacity;
  WorkerState mState = WorkerState::kLive;
  WorkerIncarnation mWorkerIncarnation;
  // For a leaving worker, if it reports it: the minimum time before it is gone.
  std::optional<Milliseconds> mRemaining;
};

enum class OrderKind
{
  kStart,
  kStop,
  kPace,
};

inline constexpr EnumTable<OrderKind, 3> kOrderKindNames{ { {
  { OrderKind::kStart, "start" },
  { OrderKind::kStop, "stop" },
  { OrderKind::kPace, "pace" },
} } };

// TaskOrder is an order about one run of a task. mUntil, mSpecification and
// mCheckpoint are used by starts, mPercent by pace orders.
struct TaskOrder
{
  OrderKind mKind = OrderKind::kStart;
  TaskRef mTask;
  RunNumber mRun;
  WorkerId mWorker;
  Endpoint mEndpoint;
  // The incarnation of the worker that the order was decided for.
  WorkerIncarnation mWorkerIncarnation;
  Epoch mEpoch;
  WorkerTime mUntil;
  std::string mSpecification;
  CheckpointId mCheckpoint;
  int mPercent = 100;
  // When the owner decided on the order.
  MonotonicTime mDecidedAt;
};

// OrderOutcome is the result of an order.
enum class OrderOutcome
{
  kAccepted,
  kFenced,   // the worker follows a newer owner
  kOutdated, // a run of this or a higher number was stopped or ended there
  kTooLate,  // the lease that the start carries has expired
  kNoRoom,
  kInvalid,
  kUnhealthy, // not carried out; the worker asks for no orders for a while
  kGone,      // another worker answered at this address
  kNotSent,   // no connection, or it leads to another incarnation, or the
              // owner's proof of ownership had expired
  kUnknown,   // no answer; it may have been carried out or still may be
};

inline constexpr EnumTable<OrderOutcome, 10> kOrderOutcomeNames{ { {
  { OrderOutcome::kAccepted, "accepted" },
  { OrderOutcome::kFenced, "fenced" },
  { OrderOutcome::kOutdated, "outdated" },
  { OrderOutcome::kTooLate, "too_late" },
  { OrderOutcome::kNoRoom, "no_room" },
  { OrderOutcome::kInvalid, "invalid" },
  { OrderOutcome::kUnhealthy, "unhealthy" },
  { OrderOutcome::kGone, "gone" },
  { OrderOutcome::kNotSent, "not_sent" },
  { OrderOutcome::kUnknown, "unknown" },
} } };

// ClockReading is a reading of a worker's clock, taken before the message that
// carries it was sent.
struct ClockReading
{
  std::optional<WorkerTime> mClock;
  WorkerIncarnation mWorkerIncarnation;
};

// OrderReply is the answer to a TaskOrder.
struct OrderReply
{
  OrderOutcome mOutcome = OrderOutcome::kUnknown;
  ClockReading mReading;
};

// RenewalRequest renews the leases of all runs on a worker and requests its run
// lists. Without mUntil no lease is renewed. The worker drops ends numbered up
// to mSeen from its list. It delays its answer by up to mWait until a run ends
// (long polling). mUntil and mSeen are by the clock and the numbers of
// mWorkerIncarnation.
struct RenewalRequest
{
  WorkerId mWorker;
  Endpoint mEndpoint;
  WorkerIncarnation mWorkerIncarnation;
  Epoch mEpoch;
  EndNumber mSeen;
  std::optional<WorkerTime> mUntil;
  Milliseconds mWait{ 0 };
};

// RunReport is a run that a worker reports as present. mUsage is the tail
// latency in milliseconds for a task with a target, else the CPU in use in
// thousandths of a core.
struct RunReport
{
  TaskRef mTask;
  RunNumber mRun;
  CheckpointId mCheckpoint;
  int mPercent = 0;
  int64_t mUsage = 0;
};

// RunEndReport is the end of a run. The worker reports it in every answer until
// the owner acknowledges it.
struct RunEndReport
{
  EndNumber mNumber;
  TaskRef mTask;
  RunNumber mRun;
  EndKind mEndKind = EndKind::kFailed;
  CheckpointId mCheckpoint;
};

// RenewalReply is the answer to a RenewalRequest; the lists are empty unless
// mOutcome is kAccepted.
struct RenewalReply
{
  OrderOutcome mOutcome = OrderOutcome::kUnknown;
  ClockReading mReading;
  std::vector<RunReport> mRunning;
  std::vector<RunEndReport> mEnded;
  // The worker may hold later ends that mEnded does not list.
  bool mMayOmitEnds = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_WORKER_MESSAGES_H_
