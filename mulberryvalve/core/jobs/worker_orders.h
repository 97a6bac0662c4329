// What an owner tells a worker and what the worker says in return.
#ifndef MULBERRYVALVE_CORE_JOBS_WORKER_ORDERS_H_
#define MULBERRYVALVE_CORE_JOBS_WORKER_ORDERS_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/jobs/job_state.h"
#include "mulberryvalve/core/model/worker.h"

#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

// Birth tells the lives of a worker apart that keeps its id; zero is unknown.
using Birth = StrongNumber<struct BirthTag>;

// EndNumber counts the ends that one life of a worker has listed, from 1.
using EndNumber = StrongNumber<struct EndNumberTag>;

// WorkerFacts is what the list of workers says of one worker.
struct WorkerFacts
{
  WorkerId mId;
  Endpoint mEndpoint;
  ServiceId mService;
  DomainId mDomain;
  RackId mRack;
  std::vector<WorkerLabel> mLabels;
  Resources mCapacity;
  WorkerState mState = WorkerState::kLive;
  Birth mBirth;
  // The least time that a leaving worker has left, when it says so.
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

// TaskOrder is one order about one run of a task. mUntil, mSpecification and
// mCheckpoint belong to starts, mPercent to paces.
struct TaskOrder
{
  OrderKind mKind = OrderKind::kStart;
  TaskRef mTask;
  RunNumber mRun;
  WorkerId mWorker;
  Endpoint mEndpoint;
  Epoch mEpoch;
  WorkerTime mUntil;
  std::string mSpecification;
  CheckpointId mCheckpoint;
  int mPercent = 100;
  // When it was decided.
  MonotonicTime mDecidedAt;
};

// OrderOutcome is what became of an order.
enum class OrderOutcome
{
  kAccepted,
  kFenced,   // the worker obeys a newer owner
  kOutdated, // the run is not above one that was stopped or ended there
  kTooLate,  // the lease that the start carries is over
  kNoRoom,
  kInvalid,
  kUnhealthy, // the worker did nothing and asks to be left alone
  kGone,      // another worker answered at this address
  kNotSent,   // no connection was made, or the owner's proof had expired
  kUnknown,   // no answer; the order may have been or may yet be carried out
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

// WorkerReading is a worker's own clock, read on its way to us.
struct WorkerReading
{
  std::optional<WorkerTime> mClock;
  Birth mBirth;
};

// OrderReply is the answer to a TaskOrder.
struct OrderReply
{
  OrderOutcome mOutcome = OrderOutcome::kUnknown;
  WorkerReading mReading;
};

// HoldOrder renews the lease of all that runs on a worker and asks for its
// lists. Ends up to mSeen are forgotten there. Without mUntil nothing is
// renewed. The answer waits up to mWait for an end.
struct HoldOrder
{
  WorkerId mWorker;
  Endpoint mEndpoint;
  Epoch mEpoch;
  EndNumber mSeen;
  std::optional<WorkerTime> mUntil;
  Milliseconds mWait{ 0 };
};

// RunningRow is a run that a worker lists as present. mUsage is the tail of the
// response times in milliseconds for a task with a target, else the processor
// share in use in thousandths of a core.
struct RunningRow
{
  TaskRef mTask;
  RunNumber mRun;
  CheckpointId mCheckpoint;
  int mPercent = 0;
  int64_t mUsage = 0;
};

// EndedRow is an end that a worker lists until it was told that it was seen.
struct EndedRow
{
  EndNumber mNumber;
  TaskRef mTask;
  RunNumber mRun;
  EndKind mHow = EndKind::kFailed;
  CheckpointId mCheckpoint;
};

// HoldReply is the answer to a HoldOrder; the lists are empty unless mOutcome
// is kAccepted.
struct HoldReply
{
  OrderOutcome mOutcome = OrderOutcome::kUnknown;
  WorkerReading mReading;
  std::vector<RunningRow> mRunning;
  std::vector<EndedRow> mEnded;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_WORKER_ORDERS_H_
