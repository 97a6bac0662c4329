// The scheduling round of ShardOwner: worker sync, expired leases, placement
// and handover.
#include "mulberryvalve/app/owner/shard_owner.h"
#include "mulberryvalve/core/records/task_of.h"

#include <utility>

namespace mulberryvalve {

void ShardOwner::Act(MonotonicTime aNow)
{
  SyncDue(aNow);
  SettleLapsed(aNow);
  PlaceAndCommand(aNow);
  SendHandovers();
}

void ShardOwner::SyncDue(MonotonicTime aNow)
{
  const Epoch epoch = mOwnership.HeldEpoch();
  const WorkersOfDomain workers = mPorts.mDirectory.InDomain(mDomain);
  for (const WorkerSpec& worker : *workers) {
    if (mPorts.mShards.ShardOfWorker(worker.mId, mDomain) != mOptions.mShard) {
      continue;
    }
    WorkerSyncState& link = LinkOf(worker.mId);
    if (!link.IsSyncDue(aNow)) {
      continue;
    }
    link.OnSyncSent();
    const bool posted =
      mPorts.mExecutor.Post([this, worker, epoch] { RunSync(worker, epoch); });
    if (!posted) {
      link.OnSyncFailed(aNow);
    }
  }
}

void ShardOwner::SettleLapsed(MonotonicTime aNow)
{
  std::vector<Record> records;
  mPorts.mShard.Read([&](const ShardStateMachine& aLedger) {
    mMutex.AssertHeld();
    for (const auto& [worker, tasks] : aLedger.TasksByWorker()) {
      const WorkerSyncState& link = LinkOf(worker);
      const MonotonicTime over =
        link.LeasesExpiredAt() + mOptions.mOwnership.mClockAllowance;
      if (link.IsReachable(aNow) || aNow < over) {
        continue;
      }
      const ReconcilePlan plan =
        ReconcileExpiredLeases(ViewOf(aLedger, worker, aNow));
      for (const Record& record : plan.mRecords) {
        if (!IsBusy(TaskOf(record), aLedger.Folded())) {
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
    pooled.mReachable = LinkOf(worker.mId).IsReachable(aNow);
    const auto extra = mUnknownLeases.find(worker.mId);
    if (extra != mUnknownLeases.end()) {
      pooled.mCharged += extra->second;
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
  mPorts.mShard.Read([&](const ShardStateMachine& aLedger) {
    mMutex.AssertHeld();
    const Offset folded = aLedger.Folded();
    for (const auto& [worker, tasks] : aLedger.TasksByWorker()) {
      for (const TaskId& id : tasks) {
        pool.ChargeTask(worker, *aLedger.FindTask(id));
      }
    }
    for (const auto& [id, overlay] : mOverlays) {
      const bool counted =
        overlay.mProposedAt != Offset() && overlay.mProposedAt <= folded;
      if (overlay.mProposed && !overlay.mProposedWorker.Empty() && !counted) {
        pool.Charge(overlay.mProposedWorker, overlay.mProposedCharge);
      }
    }
    SchedulingRoundView view{ aLedger,
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
                                  return IsCommanded(aTask, aKind);
                                } };
    for (const ShardId& shard : mPorts.mShards.Shards()) {
      const DomainId domain = ShardMap::DomainOf(shard);
      if (domain != mDomain &&
          mPorts.mConfig.Read([&](const ConfigFold& aFold) {
            return aFold.Domain(domain).mState == DomainState::kIn;
          })) {
        view.mMoveTargets.push_back(shard);
      }
    }
    plan = PlanSchedulingRound(view);
    for (const Record& record : plan.mRecords) {
      if (const auto* assigned = std::get_if<TaskAssigned>(&record)) {
        TaskOverlay& overlay = OverlayOf(assigned->mTask, assigned->mAttempt);
        overlay.mProposedWorker = assigned->mWorker;
        overlay.mProposedCharge =
          aLedger.FindTask(assigned->mTask)->mDemand->mResources;
      }
    }
    return true;
  });
  Propose(std::move(plan.mRecords));
  const Epoch epoch = mOwnership.HeldEpoch();
  for (const TaskCommand& command : plan.mCommands) {
    TaskOverlay& overlay = OverlayOf(command.mTask, command.mAttempt);
    overlay.mCommandUnderWay = true;
    if (!mPorts.mExecutor.Post(
          [this, command, epoch] { RunCommand(command, epoch); })) {
      overlay.mCommandUnderWay = false;
    }
  }
}

void ShardOwner::SendHandovers()
{
  std::vector<std::pair<ShardId, TaskReceived>> moves;
  mPorts.mShard.Read([&](const ShardStateMachine& aLedger) {
    mMutex.AssertHeld();
    for (const TaskId& id : aLedger.PendingHandovers()) {
      if (IsBusy(id, aLedger.Folded())) {
        continue;
      }
      const TaskEntry& task = *aLedger.FindTask(id);
      OverlayOf(id, task.mAttempt).mCommandUnderWay = true;
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
    mPorts.mOthers.AppendTo(target,
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
  const auto found = mOverlays.find(aTask);
  if (found != mOverlays.end()) {
    found->second.mCommandUnderWay = false;
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
    TaskOverlay& overlay = mOverlays[tasks.back()];
    overlay.mProposed = true;
    overlay.mProposedAt = Offset();
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
    const auto found = mOverlays.find(id);
    if (found != mOverlays.end()) {
      found->second.mProposed = static_cast<bool>(aFirst);
      found->second.mProposedAt =
        aFirst ? Offset(aFirst.value().Value() + index) : Offset();
    }
    index++;
  }
  mWoken = true;
  mCondVar.NotifyAll();
}

} // namespace mulberryvalve
