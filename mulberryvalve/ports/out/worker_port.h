// WorkerPort: the commands of a shard's owner to workers.
#ifndef MULBERRYVALVE_PORTS_OUT_WORKER_PORT_H_
#define MULBERRYVALVE_PORTS_OUT_WORKER_PORT_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/task.h"
#include "mulberryvalve/core/model/worker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mulberryvalve {

// CommandFence accompanies every command. A worker refuses an epoch lower than
// the highest one that it has seen for the shard.
struct CommandFence
{
  ShardId mShard;
  Epoch mEpoch;
};

// LeaseRenewal extends a lease to mExpiresAt on the worker's clock.
struct LeaseRenewal
{
  LeaseId mLease;
  WorkerTime mExpiresAt;
};

// SyncRequest renews leases and acknowledges finished leases whose results are
// durable.
struct SyncRequest
{
  CommandFence mFence;
  std::vector<LeaseRenewal> mRenewals;
  std::vector<LeaseId> mAcknowledged;
};

// RunningLease is a task that a worker is running.
struct RunningLease
{
  LeaseId mLease;
  TaskId mTask;
  Attempt mAttempt;
  WorkerTime mExpiresAt;
  int mThrottlePercent = 100;
  Milliseconds mProgress{ 0 };
  CheckpointId mCheckpoint;
};

enum class LeaseEnd
{
  kCompleted,
  kFailed,
  kExpired,
  kStopped,
};

inline constexpr EnumTable<LeaseEnd, 4> kLeaseEndNames{ { {
  { LeaseEnd::kCompleted, "completed" },
  { LeaseEnd::kFailed, "failed" },
  { LeaseEnd::kExpired, "expired" },
  { LeaseEnd::kStopped, "stopped" },
} } };

// FinishedLease is a lease that has ended. Workers report it in every sync
// until it is acknowledged.
struct FinishedLease
{
  LeaseId mLease;
  TaskId mTask;
  Attempt mAttempt;
  LeaseEnd mEnd = LeaseEnd::kCompleted;
  CheckpointId mCheckpoint;
  std::string mReason;
};

// LeaseUsage is the measured resource usage of one task.
struct LeaseUsage
{
  LeaseId mLease;
  int64_t mCpuMillis = 0;
  int64_t mMemoryMb = 0;
};

// UsageReport is a worker's resource usage, measured some time before the sync
// at mTakenAt on the worker's clock.
struct UsageReport
{
  WorkerTime mTakenAt;
  int64_t mCpuMillis = 0;
  int64_t mMemoryMb = 0;
  int mBusySlots = 0;
  Microseconds mRequestP99{ 0 };
  std::vector<LeaseUsage> mByLease;
};

// SyncReply is the complete inventory of a worker. mBoot identifies the
// worker's process run and changes when it restarts.
struct SyncReply
{
  std::string mBoot;
  WorkerTime mClock;
  std::vector<RunningLease> mRunning;
  std::vector<FinishedLease> mFinished;
  UsageReport mUsage;
};

// StartCommand starts one attempt. It has no effect after mNotAfter, and the
// worker stops the task at mExpiresAt; both are readings of the worker's clock
// in the process run mBoot. A worker that has restarted since refuses it.
struct StartCommand
{
  CommandFence mFence;
  std::string mBoot;
  LeaseId mLease;
  TaskId mTask;
  Attempt mAttempt;
  TaskDemand mDemand;
  CheckpointId mResumeFrom;
  WorkerTime mNotAfter;
  WorkerTime mExpiresAt;
};

// WorkerPort sends commands to workers. Implementations are thread-safe and
// block up to their own timeout. Errors of every command: kWorkerUnreachable
// (no byte was sent), kWorkerFenced and kWorkerRefused (the command had no
// effect), kWorkerAnswerLost (the command may have taken effect).
class WorkerPort
{
public:
  virtual ~WorkerPort() = default;

  // Sync sends renewals and returns the worker's inventory and usage.
  virtual Result<SyncReply> Sync(const WorkerSpec& aWorker,
                                 const SyncRequest& aRequest) = 0;

  // Start starts a task. It is idempotent by lease id.
  virtual Result<void> Start(const WorkerSpec& aWorker,
                             const StartCommand& aCommand) = 0;

  // Stop ends a lease and is idempotent. After success the lease is not running
  // and never will be.
  virtual Result<void> Stop(const WorkerSpec& aWorker,
                            const CommandFence& aFence,
                            const LeaseId& aLease) = 0;

  // Checkpoint saves the state of a running task, which continues to run.
  virtual Result<CheckpointId> Checkpoint(const WorkerSpec& aWorker,
                                          const CommandFence& aFence,
                                          const LeaseId& aLease) = 0;

  // Throttle limits a running task to aPercent (1 to 100) of its speed.
  virtual Result<void> Throttle(const WorkerSpec& aWorker,
                                const CommandFence& aFence,
                                const LeaseId& aLease,
                                int aPercent) = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_WORKER_PORT_H_
