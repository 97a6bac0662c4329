// The scheduling round of ShardOwner: worker sync, expired leases, placement
// and handover.
#include "mulberryvalve/app/owner/shard_owner.h"
#include "mulberryvalve/core/records/task_of.h"

#include <utility>

namespace mulberryvalve {

void ShardOwner::RunOwnerSteps(MonotonicTime aNow)
{
  SyncDueWorkers(aNow);
  RecordExpiredLeases(aNow);
  PlaceAndCommand(aNow);
  SendHandovers();
}

void ShardOwner::SyncDueWorkers(MonotonicTime aNow)
{
  const Epoch epoch = mOwnership.HeldEpoch();
  const WorkersOfDomain workers = mPorts.mDirectory.InDomain(mDomain);
  for (const WorkerSpec& worker : *workers) {
    if (mPorts.mShards.ShardOfWorker(worker.mId, mDomain) != mOptions.mShard) {
      continue;
    }
    WorkerSyncState& syncState = SyncStateOf(worker.mId);
    if (!syncState.IsSyncDue(aNow)) {
      continue;
    }
    syncState.OnSyncSent();
    const bool posted =
      mPorts.mExecutor.Post([this, worker, epoch] { RunSync(worker, epoch); });
    if (!posted) {
      syncState.OnSyncFailed(aNow);
    }
  }
}

void ShardOwner::RecordExpiredLeases(MonotonicTime aNow)
{
  std::vector<Record> records;
  mPorts.mShard.Read([&](const ShardStateMachine& aState) {
    mMutex.AssertHeld();
    for (const auto& [worker, tasks] : aState.TasksByWorker()) {
      const WorkerSyncState& syncState = SyncStateOf(worker);
      const MonotonicTime leasesExpireAt =
        syncState.LeasesExpiredAt() + mOptions.mOwnership.mClockAllowance;
      if (syncState.IsReachable(aNow) || aNow < leasesExpireAt) {
        continue;
      }
      const ReconcilePlan plan =
        ReconcileExpiredLeases(ViewOf(aState, worker, aNow));
      for (const Record& record : plan.mRecords) {
        if (!IsBusy(TaskOf(record), aState.Folded())) {
          records.push_back(record);
        }
      }
    }
    return true;
  });
  Propose(std::move(records));
}

WorkerPool ShardOwner::BuildPool(MonotonicTime aNow)
{
  WorkerPool pool;
  const WorkersOfDomain workers = mPorts.mDirectory.InDomain(mDomain);
  for (const WorkerSpec& worker : *workers) {
    if (mPorts.mShards.ShardOfWorker(worker.mId, mDomain) != mOptions.mShard) {
      continue;
    }
    PooledWorker pooled;
    pooled.mSpec = worker;
    pooled.mReserve = mColocation->InForce().mPlacement.mRequestReserve;
    pooled.mReachable = SyncStateOf(worker.mId).IsReachable(aNow);
    const auto unknownCharge = mUnknownLeaseCharges.find(worker.mId);
    if (unknownCharge != mUnknownLeaseCharges.end()) {
      pooled.mCharged += unknownCharge->second;
    }
    pool.Add(std::move(pooled));
  }
  return pool;
}

void ShardOwner::PlaceAndCommand(MonotonicTime aNow)
{
  WorkerPool pool = BuildPool(aNow);
  const bool domainOut = DomainIsOut();
  SchedulingRoundPlan plan;
  mPorts.mShard.Read([&](const ShardStateMachine& aState) {
    mMutex.AssertHeld();
    const Offset folded = aState.Folded();
    for (const auto& [worker, tasks] : aState.TasksByWorker()) {
      for (const TaskId& id : tasks) {
        pool.ChargeTask(worker, *aState.FindTask(id));
      }
    }
    for (const auto& [id, inFlight] : mInFlightStates) {
      const bool applied =
        inFlight.mProposedAt != Offset() && inFlight.mProposedAt <= folded;
      if (inFlight.mProposed && !inFlight.mProposedWorker.Empty() && !applied) {
        pool.Charge(inFlight.mProposedWorker, inFlight.mProposedCharge);
      }
    }
    SchedulingRoundView view{ aState,
                              pool,
                              mColocation->Policy(),
                              mOwnership.HeldEpoch(),
                              domainOut,
                              {},
                              [&](const TaskId& aTask) MV_REQUIRES(mMutex) {
                                return IsBusy(aTask, folded);
                              },
                              SchedulingRoundOptions(),
                              mColocation.get(),
                              aNow,
                              [&](const TaskEntry& aTask, TaskCommandKind aKind)
                                MV_REQUIRES(mMutex) {
                                  return WasCommandSent(aTask, aKind);
                                } };
    for (const ShardId& shard : mPorts.mShards.Shards()) {
      const DomainId domain = ShardMap::DomainOf(shard);
      if (domain != mDomain &&
          mPorts.mConfig.Read([&](const ConfigStateMachine& aConfigState) {
            return aConfigState.Domain(domain).mState == DomainState::kIn;
          })) {
        view.mMoveTargets.push_back(shard);
      }
    }
    plan = PlanSchedulingRound(view);
    for (const Record& record : plan.mRecords) {
      if (const auto* assigned = std::get_if<TaskAssigned>(&record)) {
        TaskInFlightState& inFlight =
          InFlightStateOf(assigned->mTask, assigned->mAttempt);
        inFlight.mProposedWorker = assigned->mWorker;
        inFlight.mProposedCharge =
          aState.FindTask(assigned->mTask)->mDemand->mResources;
      }
    }
    return true;
  });
  Propose(std::move(plan.mRecords));
  const Epoch epoch = mOwnership.HeldEpoch();
  for (const TaskCommand& command : plan.mCommands) {
    TaskInFlightState& inFlight =
      InFlightStateOf(command.mTask, command.mAttempt);
    inFlight.mCommandInFlight = true;
    if (!mPorts.mExecutor.Post(
          [this, command, epoch] { RunCommand(command, epoch); })) {
      inFlight.mCommandInFlight = false;
    }
  }
}

void ShardOwner::SendHandovers()
{
  std::vector<std::pair<ShardId, TaskReceived>> moves;
  mPorts.mShard.Read([&](const ShardStateMachine& aState) {
    mMutex.AssertHeld();
    for (const TaskId& id : aState.PendingHandovers()) {
      if (IsBusy(id, aState.Folded())) {
        continue;
      }
      const TaskEntry& task = *aState.FindTask(id);
      InFlightStateOf(id, task.mAttempt).mCommandInFlight = true;
      moves.emplace_back(task.mTarget,
                         TaskReceived{ id,
                                       task.mJob,
                                       *task.mDemand,
                                       task.mAttempt,
                                       task.mCheckpoint,
                                       task.mHandover + 1,
                                       mOptions.mShard });
    }
    return true;
  });
  const Epoch epoch = mOwnership.HeldEpoch();
  for (auto& [target, received] : moves) {
    const TaskId id = received.mTask;
    mPorts.mOtherShards.AppendTo(target,
                                 { std::move(received) },
                                 [this, id, epoch](const Result<Offset>& aAt) {
                                   ConfirmHandover(id, epoch, aAt);
                                 });
  }
}

void ShardOwner::ConfirmHandover(const TaskId& aTask,
                                 Epoch aEpoch,
                                 const Result<Offset>& aResult)
{
  MutexLock lock(mMutex);
  // In another epoch the task may have come back and been handed over again.
  if (mOwnership.HeldEpoch() != aEpoch) {
    return;
  }
  const auto found = mInFlightStates.find(aTask);
  if (found != mInFlightStates.end()) {
    found->second.mCommandInFlight = false;
  }
  if (aResult) {
    Propose({ TaskHandoverConfirmed{ aTask } });
  }
}

void ShardOwner::Propose(std::vector<Record> aRecords)
{
  if (aRecords.empty()) {
    return;
  }
  std::vector<TaskId> tasks;
  for (const Record& record : aRecords) {
    tasks.push_back(TaskOf(record));
    TaskInFlightState& inFlight = mInFlightStates[tasks.back()];
    inFlight.mProposed = true;
    inFlight.mProposedAt = Offset();
  }
  const Epoch epoch = mOwnership.HeldEpoch();
  mPorts.mWriter.Submit(std::move(aRecords),
                        epoch,
                        [this, tasks, epoch](const Result<Offset>& aFirst) {
                          OnProposed(tasks, epoch, aFirst);
                        });
}

void ShardOwner::OnProposed(const std::vector<TaskId>& aTasks,
                            Epoch aEpoch,
                            const Result<Offset>& aFirst)
{
  MutexLock lock(mMutex);
  if (mOwnership.HeldEpoch() != aEpoch) {
    return;
  }
  uint64_t index = 0;
  for (const TaskId& id : aTasks) {
    const auto found = mInFlightStates.find(id);
    if (found != mInFlightStates.end()) {
      found->second.mProposed = static_cast<bool>(aFirst);
      found->second.mProposedAt =
        aFirst ? Offset(aFirst.value().Value() + index) : Offset();
    }
    index++;
  }
  mWakeRequested = true;
  mCondVar.NotifyAll();
}

} // namespace mulberryvalve
