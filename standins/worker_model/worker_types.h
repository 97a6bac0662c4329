// The commands that a worker accepts and the reports that it returns.
//
// Every `ClockMs` is a time of the worker's own clock.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/outcome.hpp>

#include "standins/base/name_table.h"

namespace mulberryvalve::standins {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// Milliseconds since the worker started.
using ClockMs = int64_t;

struct WorkerSettings
{
  std::string mId;
  std::string mDomain;
  // Random; differs at each start of the process.
  std::string mBoot;
  int64_t mCpuMillis = 0;
  int64_t mSlots = 0;
  int64_t mUsageLagMs = 0;
};

// The shard that sends a command and its fencing token.
struct Issuer
{
  std::string mShard;
  uint64_t mFence = 0;
};

// A command about one lease.
struct LeaseCommand
{
  Issuer mIssuer;
  std::string mLease;
};

// The simulated behavior of a task.
struct TaskPayload
{
  // Run time at full speed; 0 means until stopped.
  int64_t mRunMs = 0;
  bool mFail = false;
  bool mFailAtStart = false;
  // Actual usage; a negative value means the declared amount.
  int64_t mUseCpuMillis = -1;
  int64_t mUseMemoryMb = -1;
};

struct StartCommand
{
  Issuer mIssuer;
  std::string mLease;
  // The boot id for which the deadlines are valid; empty accepts any.
  std::string mBoot;
  std::string mTask;
  std::string mAttempt;
  int64_t mCpuMillis = 0;
  int64_t mMemoryMb = 0;
  int64_t mAccelerators = 0;
  TaskPayload mPayload;
  std::string mResumeFrom;
  ClockMs mNotAfter = 0;
  ClockMs mExpiresAt = 0;
};

struct LeaseRenewal
{
  std::string mLease;
  ClockMs mExpiresAt = 0;
};

struct SyncCommand
{
  Issuer mIssuer;
  std::vector<LeaseRenewal> mRenewals;
  std::vector<std::string> mAcknowledged;
};

struct RunningReport
{
  std::string mLease;
  std::string mTask;
  std::string mAttempt;
  ClockMs mExpiresAt = 0;
  int64_t mThrottlePercent = 100;
  int64_t mProgressMs = 0;
  std::string mCheckpoint;
};

enum class TaskOutcome
{
  kCompleted,
  kFailed,
  kExpired,
};

constexpr NameTable<TaskOutcome, 3> kTaskOutcomeNames{ {
  { TaskOutcome::kCompleted, "completed" },
  { TaskOutcome::kFailed, "failed" },
  { TaskOutcome::kExpired, "expired" },
} };

enum class EndReason
{
  kNone,
  kFailedAtStart,
  kFailedAtEnd,
  kWorkerFault,
  kLeaseExpired,
};

constexpr NameTable<EndReason, 5> kEndReasonNames{ {
  { EndReason::kNone, "" },
  { EndReason::kFailedAtStart, "failed_at_start" },
  { EndReason::kFailedAtEnd, "failed_at_end" },
  { EndReason::kWorkerFault, "worker_fault" },
  { EndReason::kLeaseExpired, "lease_expired" },
} };

struct FinishedReport
{
  std::string mLease;
  std::string mTask;
  std::string mAttempt;
  TaskOutcome mOutcome = TaskOutcome::kCompleted;
  std::string mCheckpoint;
  EndReason mReason = EndReason::kNone;
};

struct LeaseUsage
{
  std::string mLease;
  int64_t mCpuMillis = 0;
  int64_t mMemoryMb = 0;
};

struct UsageReport
{
  ClockMs mTakenAt = 0;
  int64_t mCpuMillis = 0;
  int64_t mMemoryMb = 0;
  int64_t mBusySlots = 0;
  int64_t mRequestP99Us = 0;
  std::vector<LeaseUsage> mByLease;
};

struct SyncReport
{
  std::string mBoot;
  ClockMs mClockMs = 0;
  std::vector<RunningReport> mRunning;
  std::vector<FinishedReport> mFinished;
  UsageReport mUsage;
};

enum class CommandErrorCode
{
  kFenced,
  kTooLate,
  kLeaseStopped,
  kOtherBoot,
  kNoLease,
  kBadCheckpoint,
};

struct CommandError
{
  CommandErrorCode mCode = CommandErrorCode::kFenced;
  // With `kFenced`: the highest fencing token seen from the shard.
  uint64_t mFence = 0;
};

template<typename T>
using CommandResult = outcome::unchecked<T, CommandError>;

// The relevant headers of a request and the duration of its work.
struct RequestCommand
{
  std::string mAttempt;
  std::string mKey;
  int64_t mWorkMs = 0;
};

enum class RequestErrorCode
{
  // Rejected before execution.
  kDraining,
  kNoSlot,
  // Executed and failed.
  kFailed,
};

} // namespace mulberryvalve::standins
