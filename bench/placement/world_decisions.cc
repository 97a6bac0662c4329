// The scheduling part of World: worker inventories, rounds and commands.
#include "bench/placement/world.h"

#include <utility>

namespace mulberryvalve::bench {

void World::Sync(Domain& aDomain)
{
  for (Worker& worker : aDomain.mWorkers) {
    SyncReply reply;
    reply.mBoot = "1";
    reply.mClock = WorkerTime{ mElapsed.count() + kUsageLagMs + 1 };
    for (const auto& [id, lease] : worker.mLeases) {
      RunningLease running;
      running.mLease = id;
      running.mTask = lease.mTask;
      running.mAttempt = lease.mAttempt;
      running.mThrottlePercent = lease.mThrottle;
      running.mProgress = Milliseconds(static_cast<int64_t>(lease.mProgressMs));
      running.mCheckpoint = lease.mCheckpoint;
      reply.mRunning.push_back(running);
    }
    for (const auto& [id, finished] : worker.mFinished) {
      reply.mFinished.push_back(finished);
    }
    if (!worker.mReports.empty()) {
      reply.mUsage = worker.mReports.front();
    }
    const ReconcileView view{ *aDomain.mLedger,
                              worker.mSpec.mId,
                              mNow,
                              [&](const TaskId& aTask) {
                                return worker.mStopped.count(aTask) != 0
                                         ? MonotonicTime::min()
                                         : MonotonicTime::max();
                              },
                              [&](const TaskId& aTask) {
                                return worker.mStopped[aTask];
                              },
                              Limits().mMaxAttempts };
    const ReconcilePlan plan = Reconcile(view, reply);
    if (aDomain.mColocation) {
      aDomain.mColocation->OnReply(worker.mSpec, reply, *aDomain.mLedger, mNow);
      aDomain.mColocation->OnRecordsProposed(
        *aDomain.mLedger, plan.mRecords, mNow);
    }
    for (const Record& record : plan.mRecords) {
      const auto* ended = std::get_if<TaskFinished>(&record);
      mMetrics.mFailed +=
        ended != nullptr && ended->mState == TaskState::kFailed ? 1 : 0;
      Append(aDomain, record);
    }
    worker.mFinished.clear();
    worker.mStopped.clear();
  }
}

void World::Round(Domain& aDomain)
{
  WorkerPool pool;
  for (const Worker& worker : aDomain.mWorkers) {
    PooledWorker pooled;
    pooled.mSpec = worker.mSpec;
    pooled.mReserve = PlacementRules().mRequestReserve;
    if (mKind == PolicyKind::kLargerReserve) {
      pooled.mReserve.mCpuMillis *= 2;
    }
    pooled.mReachable = true;
    pool.Add(std::move(pooled));
  }
  for (const auto& [worker, tasks] : aDomain.mLedger->TasksByWorker()) {
    for (const TaskId& id : tasks) {
      pool.ChargeTask(worker, *aDomain.mLedger->FindTask(id));
    }
  }
  PlacementPolicy& policy =
    aDomain.mColocation ? aDomain.mColocation->Policy() : *aDomain.mPolicy;
  SchedulingRoundView view{ *aDomain.mLedger,
                            pool,
                            policy,
                            aDomain.mLedger->Claim().mEpoch,
                            aDomain.mOut,
                            {},
                            [](const TaskId&) { return false; },
                            SchedulingRoundOptions(),
                            aDomain.mColocation.get(),
                            mNow };
  for (const Domain& other : mDomains) {
    if (!other.mOut && other.mId != aDomain.mId) {
      view.mMoveTargets.push_back(other.mShard);
    }
  }
  const SchedulingRoundPlan plan = PlanSchedulingRound(view);
  for (const Record& record : plan.mRecords) {
    mMetrics.mEvictions +=
      std::holds_alternative<TaskCheckpointing>(record) ? 1 : 0;
    Append(aDomain, record);
    if (const auto* moved = std::get_if<TaskHandedOver>(&record)) {
      HandOver(aDomain, *moved);
    }
  }
  for (const TaskCommand& command : plan.mCommands) {
    Execute(aDomain, command);
  }
}

void World::HandOver(Domain& aFrom, const TaskHandedOver& aRecord)
{
  const TaskEntry& task = *aFrom.mLedger->FindTask(aRecord.mTask);
  const TaskReceived received{ task.mId,         task.mJob,
                               *task.mDemand,    task.mAttempt,
                               task.mCheckpoint, task.mHandover + 1,
                               aFrom.mShard };
  for (Domain& domain : mDomains) {
    if (domain.mShard == aRecord.mTarget) {
      Append(domain, received);
    }
  }
  Append(aFrom, TaskHandoverConfirmed{ aRecord.mTask });
}

void World::Execute(Domain& aDomain, const TaskCommand& aCommand)
{
  for (Worker& worker : aDomain.mWorkers) {
    if (worker.mSpec.mId != aCommand.mWorker) {
      continue;
    }
    if (aCommand.mKind == TaskCommandKind::kStart) {
      Start(aDomain, worker, aCommand);
      return;
    }
    const auto lease =
      worker.mLeases.find(MakeLeaseId(aCommand.mTask, aCommand.mAttempt));
    if (lease == worker.mLeases.end()) {
      return;
    }
    if (aCommand.mKind == TaskCommandKind::kThrottle) {
      lease->second.mThrottle = aCommand.mPercent;
      return;
    }
    worker.mStopped[aCommand.mTask] = CheckpointId(
      std::to_string(static_cast<int64_t>(lease->second.mProgressMs)));
    worker.mLeases.erase(lease);
  }
}

void World::Start(Domain& aDomain, Worker& aWorker, const TaskCommand& aCommand)
{
  const LeaseId id = MakeLeaseId(aCommand.mTask, aCommand.mAttempt);
  if (aWorker.mLeases.count(id) != 0 || aWorker.mFinished.count(id) != 0) {
    return;
  }
  if (aWorker.mFailing) {
    aWorker.mFinished[id] =
      FinishedLease{ id,
                     aCommand.mTask,
                     aCommand.mAttempt,
                     LeaseEnd::kFailed,
                     aDomain.mLedger->FindTask(aCommand.mTask)->mCheckpoint,
                     "worker_fault" };
    return;
  }
  const TaskEntry& task = *aDomain.mLedger->FindTask(aCommand.mTask);
  Lease lease;
  lease.mTask = task.mId;
  lease.mAttempt = task.mAttempt;
  lease.mDemand = task.mDemand;
  lease.mClass = static_cast<size_t>(task.mDemand->mClass.Text().back() - '0');
  lease.mCores = mUse[lease.mClass] *
                 static_cast<double>(task.mDemand->mResources.mCpuMillis) /
                 1000;
  lease.mRunMs = mRun[lease.mClass];
  lease.mCheckpoint = task.mCheckpoint;
  lease.mProgressMs =
    task.mCheckpoint.Empty() ? 0 : std::stod(task.mCheckpoint.Text());
  aWorker.mLeases.emplace(id, std::move(lease));
}

} // namespace mulberryvalve::bench
