// The worker commands of ShardOwner. They run on the executor's threads and
// check their deadlines immediately before they are sent.
#include "mulberryvalve/app/owner/shard_owner.h"
#include "mulberryvalve/core/records/task_of.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

void ShardOwner::RunCommand(const TaskCommand& aCommand, Epoch aEpoch)
{
  if (aCommand.mKind == TaskCommandKind::kStart) {
    RunStart(aCommand, aEpoch);
  } else if (aCommand.mKind == TaskCommandKind::kThrottle) {
    RunThrottle(aCommand, aEpoch);
  } else {
    RunStop(aCommand, aEpoch);
  }
  MutexLock lock(mMutex);
  const auto found = mInFlightStates.find(aCommand.mTask);
  if (found != mInFlightStates.end() && mOwnership.HeldEpoch() == aEpoch) {
    found->second.mCommandInFlight = false;
  }
}

std::optional<StartCommand> ShardOwner::PrepareStart(
  const TaskCommand& aCommand,
  Epoch aEpoch)
{
  // Read the deadline before the state that it validates. A page applied in
  // between would otherwise extend the deadline past the state checked here.
  const MonotonicTime notAfter = HeadsValidUntil();
  const bool domainOut = DomainIsOut();
  MutexLock lock(mMutex);
  const MonotonicTime now = mPorts.mClock.Now();
  if (domainOut || mReleasing || mOwnership.HeldEpoch() != aEpoch ||
      now >= notAfter || now < mOwnership.TakeoverWaitEnds()) {
    mPorts.mMetrics.Add(Counter::kCommandsSkippedByDeadline, 1);
    return std::nullopt;
  }
  WorkerSyncState& syncState = SyncStateOf(aCommand.mWorker);
  const MonotonicTime leaseEnd = now + mOptions.mLease;
  const auto workerNotAfter = syncState.Clock().At(notAfter);
  const auto workerLeaseEnd = syncState.Clock().At(leaseEnd);
  if (!syncState.IsReachable(now) || !workerNotAfter || !workerLeaseEnd) {
    return std::nullopt;
  }
  StartCommand start;
  const bool current = mPorts.mShard.Read([&](const ShardStateMachine& aState) {
    mMutex.AssertHeld();
    const TaskEntry* task = aState.FindTask(aCommand.mTask);
    if (aState.Claim().mEpoch != aEpoch || aState.Claim().mReleased ||
        task == nullptr || task->mState != TaskState::kAssigned ||
        task->mAttempt != aCommand.mAttempt || task->mCancelRequested) {
      return false;
    }
    start.mDemand = *task->mDemand;
    start.mResumeFrom = task->mCheckpoint;
    return true;
  });
  if (!current) {
    return std::nullopt;
  }
  start.mFence = CommandFence{ mOptions.mShard, aEpoch };
  start.mBoot = syncState.BootId();
  start.mLease = MakeLeaseId(aCommand.mTask, aCommand.mAttempt);
  start.mTask = aCommand.mTask;
  start.mAttempt = aCommand.mAttempt;
  start.mNotAfter = *workerNotAfter;
  start.mExpiresAt = *workerLeaseEnd;
  syncState.OnLeaseSent(leaseEnd);
  TaskInFlightState& inFlight =
    InFlightStateOf(aCommand.mTask, aCommand.mAttempt);
  inFlight.mStartSent = true;
  inFlight.mStartEffectiveUntil =
    notAfter + mOptions.mOwnership.mClockAllowance;
  return start;
}

void ShardOwner::RunStart(const TaskCommand& aCommand, Epoch aEpoch)
{
  const auto worker = FindWorker(aCommand.mWorker);
  if (!worker) {
    return;
  }
  const auto start = PrepareStart(aCommand, aEpoch);
  if (!start) {
    return;
  }
  const Result<void> result = mPorts.mWorkers.Start(*worker, *start);
  if (result) {
    mPorts.mMetrics.Add(Counter::kTasksStarted, 1);
  }
  mPorts.mLog.Write(
    result ? EventLevel::kInfo : EventLevel::kWarn,
    "task_start",
    { { "task", aCommand.mTask.Text() },
      { "attempt", std::to_string(aCommand.mAttempt.Value()) },
      { "worker", aCommand.mWorker.Text() },
      { "domain", mDomain.Text() },
      { "epoch", std::to_string(aEpoch.Value()) },
      { "result",
        result ? "ok"
               : std::string(kFailureKindNames.Name(result.error().mKind)) } });
  MutexLock lock(mMutex);
  SyncStateOf(aCommand.mWorker).SyncNow();
}

void ShardOwner::RunStop(const TaskCommand& aCommand, Epoch aEpoch)
{
  const auto worker = FindWorker(aCommand.mWorker);
  const CommandFence fence{ mOptions.mShard, aEpoch };
  const LeaseId lease = MakeLeaseId(aCommand.mTask, aCommand.mAttempt);
  {
    MutexLock lock(mMutex);
    const MonotonicTime now = mPorts.mClock.Now();
    if (!worker || mOwnership.HeldEpoch() != aEpoch ||
        now >= HeadsValidUntil() ||
        !SyncStateOf(aCommand.mWorker).IsReachable(now)) {
      return;
    }
  }
  if (aCommand.mKind == TaskCommandKind::kCheckpointAndStop) {
    const Result<CheckpointId> saved =
      mPorts.mWorkers.Checkpoint(*worker, fence, lease);
    MutexLock lock(mMutex);
    if (saved) {
      InFlightStateOf(aCommand.mTask, aCommand.mAttempt).mCheckpoint =
        saved.value();
    }
  }
  const Result<void> stopped = mPorts.mWorkers.Stop(*worker, fence, lease);
  MutexLock lock(mMutex);
  if (stopped) {
    InFlightStateOf(aCommand.mTask, aCommand.mAttempt).mStopped = true;
    SyncStateOf(aCommand.mWorker).SyncNow();
  }
}

void ShardOwner::RunThrottle(const TaskCommand& aCommand, Epoch aEpoch)
{
  const auto worker = FindWorker(aCommand.mWorker);
  {
    MutexLock lock(mMutex);
    if (!worker || mOwnership.HeldEpoch() != aEpoch ||
        mPorts.mClock.Now() >= HeadsValidUntil()) {
      return;
    }
  }
  const Result<void> throttled =
    mPorts.mWorkers.Throttle(*worker,
                             CommandFence{ mOptions.mShard, aEpoch },
                             MakeLeaseId(aCommand.mTask, aCommand.mAttempt),
                             aCommand.mPercent);
  mPorts.mLog.Write(EventLevel::kInfo,
                    "task_throttle",
                    { { "task", aCommand.mTask.Text() },
                      { "worker", aCommand.mWorker.Text() },
                      { "percent", std::to_string(aCommand.mPercent) },
                      { "result", throttled ? "ok" : "failed" } });
}

void ShardOwner::RunSync(const WorkerSpec& aWorker, Epoch aEpoch)
{
  const MonotonicTime requestedAt = mPorts.mClock.Now();
  const auto request = PrepareSync(aWorker, aEpoch, requestedAt);
  if (!request) {
    return;
  }
  const Result<SyncReply> reply = mPorts.mWorkers.Sync(aWorker, *request);
  const MonotonicTime now = mPorts.mClock.Now();
  mPorts.mMetrics.Record(Timing::kSyncUs, now - requestedAt);
  if (!reply) {
    MutexLock lock(mMutex);
    if (mOwnership.HeldEpoch() == aEpoch) {
      SyncStateOf(aWorker.mId).OnSyncFailed(now);
    }
    return;
  }
  OnInventory(aWorker, aEpoch, requestedAt, reply.value());
}

std::optional<SyncRequest> ShardOwner::PrepareSync(const WorkerSpec& aWorker,
                                                   Epoch aEpoch,
                                                   MonotonicTime aNow)
{
  MutexLock lock(mMutex);
  if (mOwnership.HeldEpoch() != aEpoch) {
    return std::nullopt;
  }
  SyncRequest request;
  request.mFence = CommandFence{ mOptions.mShard, aEpoch };
  WorkerSyncState& syncState = SyncStateOf(aWorker.mId);
  const MonotonicTime leaseEnd = aNow + mOptions.mLease;
  const auto workerLeaseEnd = syncState.Clock().At(leaseEnd);
  if (workerLeaseEnd && aNow < RenewalsAllowedUntil()) {
    for (const LeaseId& lease : mRenew[aWorker.mId]) {
      request.mRenewals.push_back(LeaseRenewal{ lease, *workerLeaseEnd });
    }
    if (!request.mRenewals.empty()) {
      syncState.OnLeaseSent(leaseEnd);
    }
  }
  request.mAcknowledged = std::move(mAcknowledge[aWorker.mId]);
  mAcknowledge[aWorker.mId].clear();
  return request;
}

ReconcileView ShardOwner::ViewOf(const ShardStateMachine& aState,
                                 const WorkerId& aWorker,
                                 MonotonicTime aRequestedAt)
{
  return ReconcileView{
    aState,
    aWorker,
    aRequestedAt,
    [this, &aState](const TaskId& aTask) MV_REQUIRES(mMutex) {
      const TaskEntry* task = aState.FindTask(aTask);
      if (task->mEpoch != mOwnership.HeldEpoch()) {
        return MonotonicTime::min();
      }
      const TaskInFlightState& inFlight =
        InFlightStateOf(aTask, task->mAttempt);
      if (inFlight.mStopped) {
        return MonotonicTime::min();
      }
      return inFlight.mStartSent ? inFlight.mStartEffectiveUntil
                                 : MonotonicTime::max();
    },
    [this, &aState](const TaskId& aTask) MV_REQUIRES(mMutex) {
      return InFlightStateOf(aTask, aState.FindTask(aTask)->mAttempt)
        .mCheckpoint;
    },
    mColocation->InForce().mLimits.mMaxAttempts
  };
}

void ShardOwner::OnInventory(const WorkerSpec& aWorker,
                             Epoch aEpoch,
                             MonotonicTime aRequestedAt,
                             const SyncReply& aReply)
{
  ReconcilePlan plan;
  MutexLock lock(mMutex);
  if (mOwnership.HeldEpoch() != aEpoch) {
    return;
  }
  const MonotonicTime now = mPorts.mClock.Now();
  SyncStateOf(aWorker.mId).OnReply(aReply, now);
  std::vector<Record> records;
  Resources unknown;
  mPorts.mShard.Read([&](const ShardStateMachine& aState) {
    mMutex.AssertHeld();
    for (const RunningLease& lease : aReply.mRunning) {
      const TaskEntry* task = aState.FindTask(lease.mTask);
      if (task != nullptr && !lease.mCheckpoint.Empty() &&
          task->mAttempt == lease.mAttempt) {
        InFlightStateOf(lease.mTask, lease.mAttempt).mCheckpoint =
          lease.mCheckpoint;
      }
    }
    mColocation->OnReply(aWorker, aReply, aState, now);
    plan = Reconcile(ViewOf(aState, aWorker.mId, aRequestedAt), aReply);
    for (Record& record : plan.mRecords) {
      if (!IsBusy(TaskOf(record), aState.Folded())) {
        records.push_back(std::move(record));
      }
    }
    mColocation->OnRecordsProposed(aState, records, now);
    for (const LeaseId& lease : plan.mStops) {
      const auto running = std::find_if(
        aReply.mRunning.begin(),
        aReply.mRunning.end(),
        [&](const RunningLease& aRunning) { return aRunning.mLease == lease; });
      const TaskEntry* task = aState.FindTask(running->mTask);
      // The resources of a lease without a task entry are unknown. Until the
      // lease is stopped, it is charged with the worker's whole capacity.
      unknown +=
        task != nullptr ? task->mDemand->mResources : aWorker.mCapacity;
    }
    return true;
  });
  mUnknownLeaseCharges[aWorker.mId] = unknown;
  mRenew[aWorker.mId] = plan.mRenew;
  mAcknowledge[aWorker.mId] = plan.mAcknowledge;
  if (mStep == OwnershipStep::kActAsOwner) {
    Propose(std::move(records));
    const CommandFence fence{ mOptions.mShard, aEpoch };
    for (const LeaseId& lease : plan.mStops) {
      mPorts.mExecutor.Post([this, aWorker, fence, lease] {
        {
          MutexLock current(mMutex);
          if (mOwnership.HeldEpoch() != fence.mEpoch ||
              mPorts.mClock.Now() >= HeadsValidUntil()) {
            return;
          }
        }
        const Result<void> stopped =
          mPorts.mWorkers.Stop(aWorker, fence, lease);
        mPorts.mLog.Write(EventLevel::kInfo,
                          "lease_stopped",
                          { { "lease", lease.Text() },
                            { "worker", aWorker.mId.Text() },
                            { "result", stopped ? "ok" : "failed" } });
      });
    }
  }
}

} // namespace mulberryvalve
