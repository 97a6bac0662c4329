// The life cycle of ShardSimulation's workers: draining, exits, restarts, lost
// connections and address changes, and what they do with orders and runs.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kStopDuration{ 200 };

} // namespace

WorkerTime SimulatedWorker::ClockAt(MonotonicTime aNow) const
{
  const auto age =
    std::chrono::duration_cast<Milliseconds>(aNow - mIncarnationStart);
  return WorkerTime{ age.count() * mClockRatePerMille / 1000 };
}

bool SimulatedWorker::IsListedAt(MonotonicTime aNow) const
{
  return mListed && (!mUnlistedAt || aNow < *mUnlistedAt);
}

WorkerInfo SimulatedWorker::FactsAt(MonotonicTime aNow) const
{
  WorkerInfo facts = mInfo;
  if (mLeavesAt) {
    const auto left =
      std::chrono::duration_cast<Milliseconds>(*mLeavesAt - aNow);
    facts.mRemaining = std::max(Milliseconds(0), left);
  }
  return facts;
}

void ShardSimulation::RestartWorker(const WorkerId& aWorker)
{
  SimulatedWorker& worker = mWorkers.at(aWorker);
  worker.mWorkerIncarnation = worker.mWorkerIncarnation.Next();
  worker.mInfo.mWorkerIncarnation = worker.mWorkerIncarnation;
  worker.mIncarnationStart = mNow;
  worker.mState = NodeState::kUp;
  worker.mListed = true;
  worker.mUnlistedAt.reset();
  if (worker.mLeavesAt) {
    worker.mInfo.mState = WorkerState::kLive;
    worker.mLeavesAt.reset();
  }
  worker.mFencingEpoch = Epoch();
  worker.mLeaseEnd = WorkerTime();
  worker.mRuns.clear();
  worker.mEnded.clear();
  worker.mLastClosedRun.clear();
  worker.mLastEnd = EndNumber();
  worker.mExpiredUpTo = EndNumber();
}

void ShardSimulation::Drain(const WorkerId& aWorker, Milliseconds aRemaining)
{
  SimulatedWorker& worker = mWorkers.at(aWorker);
  worker.mInfo.mState = WorkerState::kLeaving;
  worker.mLeavesAt = mNow + aRemaining;
}

void ShardSimulation::Exit(const WorkerId& aWorker)
{
  SimulatedWorker& worker = mWorkers.at(aWorker);
  const auto runs = std::exchange(worker.mRuns, {});
  worker.mState = NodeState::kExited;
  worker.mListed = false;
  worker.mEnded.clear();
  for (const auto& [task, run] : runs) {
    if (mGangsFailTogether) {
      EndGang(task, run.mRun);
    }
  }
}

void ShardSimulation::MakeUnreachable(const WorkerId& aWorker,
                                      std::optional<MonotonicTime> aUnlistedAt)
{
  SimulatedWorker& worker = mWorkers.at(aWorker);
  worker.mState = NodeState::kUnreachable;
  worker.mUnlistedAt = aUnlistedAt;
}

void ShardSimulation::MakeReachable(const WorkerId& aWorker)
{
  SimulatedWorker& worker = mWorkers.at(aWorker);
  worker.mState = NodeState::kUp;
  worker.mUnlistedAt.reset();
}

void ShardSimulation::ChangeEndpoint(const WorkerId& aWorker,
                                     const Endpoint& aEndpoint)
{
  SimulatedWorker& worker = mWorkers.at(aWorker);
  worker.mInfo.mEndpoint = aEndpoint;
  worker.mListed = false;
}

size_t ShardSimulation::Running() const
{
  size_t count = 0;
  for (const auto& [id, worker] : mWorkers) {
    count += worker.mRuns.size();
  }
  return count;
}

size_t ShardSimulation::RunningOf(const JobId& aJob) const
{
  size_t count = 0;
  for (const auto& [id, worker] : mWorkers) {
    for (const auto& [task, run] : worker.mRuns) {
      count += task.mStep.mJob == aJob ? 1 : 0;
    }
  }
  return count;
}

std::vector<WorkerId> ShardSimulation::WorkersRunning(
  const TaskRef& aTask) const
{
  std::vector<WorkerId> found;
  for (const auto& [id, worker] : mWorkers) {
    if (worker.mRuns.count(aTask) != 0) {
      found.push_back(id);
    }
  }
  return found;
}

bool ShardSimulation::IsListeningAt(const WorkerId& aWorker,
                                    const Endpoint& aEndpoint) const
{
  const SimulatedWorker& worker = mWorkers.at(aWorker);
  const Endpoint& present = worker.mInfo.mEndpoint;
  return worker.mState == NodeState::kUp &&
         present.mAddress == aEndpoint.mAddress &&
         present.mPort == aEndpoint.mPort;
}

OrderReply ShardSimulation::SendOrder(const TaskOrder& aOrder)
{
  SimulatedWorker& worker = mWorkers.at(aOrder.mWorker);
  const bool isMeant = aOrder.mWorkerIncarnation == worker.mWorkerIncarnation;
  if (isMeant || !mCallsReachOneIncarnation) {
    return Apply(worker, aOrder);
  }
  OrderReply notSent;
  notSent.mOutcome = OrderOutcome::kNotSent;
  notSent.mReading = { worker.ClockAt(mNow), worker.mWorkerIncarnation };
  return notSent;
}

RenewalReply ShardSimulation::SendRenewal(RenewalRequest aOrder)
{
  SimulatedWorker& worker = mWorkers.at(aOrder.mWorker);
  const bool isMeant = aOrder.mWorkerIncarnation == worker.mWorkerIncarnation;
  if (!isMeant && mCallsReachOneIncarnation) {
    aOrder.mUntil.reset();
    aOrder.mSeen = EndNumber();
  }
  return RenewLease(worker, aOrder);
}

RenewalReply ShardSimulation::RenewLease(SimulatedWorker& aWorker,
                                         const RenewalRequest& aOrder)
{
  RenewalReply reply;
  reply.mReading.mClock = aWorker.ClockAt(mNow);
  reply.mReading.mWorkerIncarnation = aWorker.mWorkerIncarnation;
  if (aOrder.mEpoch < aWorker.mFencingEpoch) {
    reply.mOutcome = OrderOutcome::kFenced;
    return reply;
  }
  aWorker.mFencingEpoch = aOrder.mEpoch;
  if (aOrder.mUntil) {
    const int64_t latestLeaseEnd =
      aWorker.ClockAt(mNow).mMilliseconds + kMaxSimulatedLeaseMs;
    aWorker.mLeaseEnd.mMilliseconds =
      std::max(aWorker.mLeaseEnd.mMilliseconds,
               std::min(aOrder.mUntil->mMilliseconds, latestLeaseEnd));
  }
  for (const RunEndReport& row : aWorker.mEnded) {
    const bool acknowledged =
      row.mNumber <= aOrder.mSeen && row.mNumber > aWorker.mExpiredUpTo;
    if (acknowledged && row.mEndKind == EndKind::kDone) {
      mAckedDone.insert(row.mTask);
    }
  }
  aWorker.mEnded.erase(std::remove_if(aWorker.mEnded.begin(),
                                      aWorker.mEnded.end(),
                                      [&](const RunEndReport& aRow) {
                                        return aRow.mNumber <= aOrder.mSeen;
                                      }),
                       aWorker.mEnded.end());
  reply.mOutcome = OrderOutcome::kAccepted;
  const size_t listed = std::min(aWorker.mEnded.size(), mMaxListedEnds);
  reply.mEnded.assign(aWorker.mEnded.begin(),
                      aWorker.mEnded.begin() + static_cast<long>(listed));
  reply.mMayOmitEnds = listed == mMaxListedEnds;
  for (const auto& [task, run] : aWorker.mRuns) {
    RunReport row;
    row.mTask = task;
    row.mRun = run.mRun;
    row.mPercent = 100;
    row.mUsage = SpecOf(task).mTailLatencyTarget.count() > 0
                   ? aWorker.mTailLatencyMs(aWorker, task)
                   : SpecOf(task).mDemand.mCpuMillis;
    reply.mRunning.push_back(row);
  }
  return reply;
}

void ShardSimulation::End(SimulatedWorker& aWorker,
                          const TaskRef& aTask,
                          EndKind aEndKind)
{
  const RunNumber run = aWorker.mRuns.at(aTask).mRun;
  aWorker.mRuns.erase(aTask);
  aWorker.mLastClosedRun[aTask] = std::max(aWorker.mLastClosedRun[aTask], run);
  aWorker.mLastEnd = aWorker.mLastEnd.Next();
  aWorker.mEnded.push_back(
    RunEndReport{ aWorker.mLastEnd, aTask, run, aEndKind, CheckpointId() });
  if (mGangsFailTogether && aEndKind != EndKind::kDone &&
      aEndKind != EndKind::kBroken) {
    EndGang(aTask, run);
  }
}

void ShardSimulation::EndGang(const TaskRef& aEnded, RunNumber aRun)
{
  if (!SpecOf(aEnded).mGang) {
    return;
  }
  std::vector<std::pair<SimulatedWorker*, TaskRef>> members;
  for (auto& [id, worker] : mWorkers) {
    for (const auto& [task, run] : worker.mRuns) {
      if (task.mStep == aEnded.mStep && run.mRun == aRun) {
        members.emplace_back(&worker, task);
      }
    }
  }
  for (const auto& [worker, task] : members) {
    End(*worker, task, EndKind::kBroken);
  }
}

void ShardSimulation::StepWorker(SimulatedWorker& aWorker)
{
  std::vector<std::pair<TaskRef, EndKind>> ends;
  const bool leaseExpired =
    aWorker.mLeaseEnd.mMilliseconds <= aWorker.ClockAt(mNow).mMilliseconds;
  for (const auto& [task, run] : aWorker.mRuns) {
    if (run.mEndsAt <= mNow) {
      ends.emplace_back(task, run.mStopping ? EndKind::kStopped : run.mEnd);
    } else if (leaseExpired) {
      ends.emplace_back(task, EndKind::kLapsed);
    }
  }
  for (const auto& [task, endKind] : ends) {
    // The end of another gang member may have ended it already.
    if (aWorker.mRuns.count(task) != 0) {
      End(aWorker, task, endKind);
    }
  }
  if (leaseExpired) {
    aWorker.mExpiredUpTo = aWorker.mLastEnd;
  }
}

OrderReply ShardSimulation::Apply(SimulatedWorker& aWorker,
                                  const TaskOrder& aOrder)
{
  OrderReply reply;
  reply.mReading.mClock = aWorker.ClockAt(mNow);
  if (mOrderRepliesTellIncarnation) {
    reply.mReading.mWorkerIncarnation = aWorker.mWorkerIncarnation;
  }
  if (aOrder.mEpoch < aWorker.mFencingEpoch) {
    reply.mOutcome = OrderOutcome::kFenced;
    return reply;
  }
  aWorker.mFencingEpoch = aOrder.mEpoch;
  reply.mOutcome = OrderOutcome::kAccepted;
  const auto run = aWorker.mRuns.find(aOrder.mTask);
  switch (aOrder.mKind) {
    case OrderKind::kStart:
      reply.mOutcome = Start(aWorker, aOrder);
      break;
    case OrderKind::kStop:
      if (run != aWorker.mRuns.end() && run->second.mRun <= aOrder.mRun) {
        run->second.mStopping = true;
        run->second.mEndsAt =
          std::min(run->second.mEndsAt, mNow + kStopDuration);
      }
      aWorker.mLastClosedRun[aOrder.mTask] =
        std::max(aWorker.mLastClosedRun[aOrder.mTask], aOrder.mRun);
      break;
    case OrderKind::kPace:
      if (run != aWorker.mRuns.end() && run->second.mRun == aOrder.mRun) {
        run->second.mPacePercent = aOrder.mPercent;
      }
      break;
  }
  return reply;
}

OrderOutcome ShardSimulation::Start(SimulatedWorker& aWorker,
                                    const TaskOrder& aOrder)
{
  const int64_t clockMs = aWorker.ClockAt(mNow).mMilliseconds;
  if (aOrder.mUntil.mMilliseconds <= clockMs) {
    return OrderOutcome::kTooLate;
  }
  if (aOrder.mRun <= aWorker.mLastClosedRun[aOrder.mTask]) {
    return OrderOutcome::kOutdated;
  }
  aWorker.mLeaseEnd.mMilliseconds = std::max(
    aWorker.mLeaseEnd.mMilliseconds,
    std::min(aOrder.mUntil.mMilliseconds, clockMs + kMaxSimulatedLeaseMs));
  CheckStart(aWorker, aOrder.mTask);
  SimulatedRun run;
  run.mRun = aOrder.mRun;
  run.mStartedAt = mNow;
  run.mEndsAt = mNow + mDurationOf(aOrder.mTask);
  run.mEnd = mFailingWorkers.count(aOrder.mWorker) != 0
               ? EndKind::kFailed
               : mEndKindOf(aOrder.mTask, aOrder.mRun);
  aWorker.mRuns[aOrder.mTask] = run;
  return OrderOutcome::kAccepted;
}

} // namespace mulberryvalve
