// The workers of RoomMoves: what they do with calls and runs.
#include "mulberryvalve/core/jobs/room_moves_fake.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

constexpr int64_t kLongestLeaseMs = 6000;
// How long a task runs that doesn't last.
constexpr Milliseconds kShortRun{ 600 };

} // namespace

// The process begins anew and knows no fencing token.
void RoomMoves::RestartWorker(Worker& aWorker)
{
  if (!aWorker.mIsUp) {
    return;
  }
  aWorker.mInfo.mWorkerIncarnation = aWorker.mInfo.mWorkerIncarnation.Next();
  aWorker.mRuns.clear();
  aWorker.mClosed.clear();
  aWorker.mEnds.clear();
  aWorker.mLastEnd = 0;
  aWorker.mFence = 0;
  aWorker.mLeaseEndMs = 0;
}

void RoomMoves::StepWorkers()
{
  for (Worker& worker : mWorkers) {
    const std::map<TaskRef, Run> runs = worker.mRuns;
    for (const auto& [task, run] : runs) {
      if (worker.mLeaseEndMs <= NowMs()) {
        End(worker, task, EndKind::kLapsed);
      } else if (run.mEndsAt <= mNow) {
        End(worker, task, EndKind::kDone);
      }
    }
  }
}

RoomMoves::Worker* RoomMoves::Find(const WorkerId& aWorker)
{
  const auto found = std::find_if(
    mWorkers.begin(), mWorkers.end(), [&](const Worker& aCandidate) {
      return aCandidate.mInfo.mId == aWorker;
    });
  return found == mWorkers.end() || !found->mIsUp ? nullptr : &*found;
}

int64_t RoomMoves::NowMs() const
{
  return std::chrono::duration_cast<Milliseconds>(mNow.time_since_epoch())
    .count();
}

ClockReading RoomMoves::ClockOf(const Worker& aWorker) const
{
  return ClockReading{ WorkerTime{ NowMs() },
                       aWorker.mInfo.mWorkerIncarnation };
}

// A call reaches the incarnation that it names only; of another one it asks for
// the lists alone.
RenewalReply RoomMoves::Hold(const RenewalRequest& aRequest)
{
  RenewalReply reply;
  Worker* worker = Find(aRequest.mWorker);
  if (worker == nullptr) {
    return reply;
  }
  reply.mReading = ClockOf(*worker);
  if (aRequest.mEpoch.Value() < worker->mFence) {
    reply.mOutcome = OrderOutcome::kFenced;
    return reply;
  }
  worker->mFence = aRequest.mEpoch.Value();
  if (aRequest.mWorkerIncarnation == worker->mInfo.mWorkerIncarnation) {
    if (aRequest.mUntil) {
      worker->mLeaseEndMs = std::max(
        worker->mLeaseEndMs,
        std::min(aRequest.mUntil->mMilliseconds, NowMs() + kLongestLeaseMs));
    }
    auto& ends = worker->mEnds;
    ends.erase(std::remove_if(ends.begin(),
                              ends.end(),
                              [&](const RunEndReport& aEnd) {
                                return aEnd.mNumber <= aRequest.mSeen;
                              }),
               ends.end());
  }
  reply.mOutcome = OrderOutcome::kAccepted;
  reply.mEnded = worker->mEnds;
  for (const auto& [task, run] : worker->mRuns) {
    RunReport row;
    row.mTask = task;
    row.mRun = run.mRun;
    row.mPercent = 100;
    reply.mRunning.push_back(row);
  }
  return reply;
}

OrderReply RoomMoves::Carry(const TaskOrder& aOrder, ShardNumber aShard)
{
  OrderReply reply;
  Worker* worker = Find(aOrder.mWorker);
  if (worker == nullptr) {
    return reply;
  }
  reply.mReading = ClockOf(*worker);
  if (aOrder.mWorkerIncarnation != worker->mInfo.mWorkerIncarnation) {
    reply.mOutcome = OrderOutcome::kNotSent;
    return reply;
  }
  if (aOrder.mEpoch.Value() < worker->mFence) {
    reply.mOutcome = OrderOutcome::kFenced;
    return reply;
  }
  worker->mFence = aOrder.mEpoch.Value();
  reply.mOutcome = OrderOutcome::kAccepted;
  if (aOrder.mKind == OrderKind::kStart) {
    reply.mOutcome = Start(*worker, aOrder, aShard);
  } else if (aOrder.mKind == OrderKind::kStop) {
    const auto run = worker->mRuns.find(aOrder.mTask);
    if (run != worker->mRuns.end() && run->second.mRun <= aOrder.mRun) {
      End(*worker, aOrder.mTask, EndKind::kStopped);
    }
    RunNumber& closed = worker->mClosed[aOrder.mTask];
    closed = std::max(closed, aOrder.mRun);
  }
  return reply;
}

OrderOutcome RoomMoves::Start(Worker& aWorker,
                              const TaskOrder& aOrder,
                              ShardNumber aShard)
{
  if (aOrder.mUntil.mMilliseconds <= NowMs()) {
    return OrderOutcome::kTooLate;
  }
  const auto present = aWorker.mRuns.find(aOrder.mTask);
  if (present != aWorker.mRuns.end() && present->second.mRun == aOrder.mRun) {
    return OrderOutcome::kAccepted;
  }
  if (present != aWorker.mRuns.end() ||
      aOrder.mRun <= aWorker.mClosed[aOrder.mTask]) {
    return OrderOutcome::kOutdated;
  }
  CheckStart(aWorker, aOrder.mTask, aShard);
  aWorker.mLeaseEndMs =
    std::max(aWorker.mLeaseEndMs,
             std::min(aOrder.mUntil.mMilliseconds, NowMs() + kLongestLeaseMs));
  const StepRef& step = aOrder.mTask.mStep;
  const bool isLasting = mGraphs.at(step.mJob).mSteps[step.mStep].mLongRunning;
  aWorker.mRuns[aOrder.mTask] = Run{
    aOrder.mRun, aShard, isLasting ? MonotonicTime::max() : mNow + kShortRun
  };
  return OrderOutcome::kAccepted;
}

void RoomMoves::CheckStart(const Worker& aWorker,
                           const TaskRef& aTask,
                           ShardNumber aShard)
{
  const auto demandOf = [this](const TaskRef& aOf) {
    return mGraphs.at(aOf.mStep.mJob).mSteps[aOf.mStep.mStep].mDemand;
  };
  Resources used = demandOf(aTask);
  for (const auto& [task, run] : aWorker.mRuns) {
    used += demandOf(task);
    if (run.mShard != aShard) {
      mViolations.push_back("TWO SHARDS: " + aTask.Text() + " beside " +
                            task.Text());
    }
  }
  if (!used.FitsIn(aWorker.mInfo.mCapacity)) {
    mViolations.push_back("HARM: " + aTask.Text() + " has no room");
  }
  for (const Worker& worker : mWorkers) {
    if (worker.mRuns.count(aTask) != 0) {
      mViolations.push_back("TWICE: " + aTask.Text());
    }
  }
}

void RoomMoves::End(Worker& aWorker, const TaskRef& aTask, EndKind aKind)
{
  const RunNumber run = aWorker.mRuns.at(aTask).mRun;
  aWorker.mRuns.erase(aTask);
  RunNumber& closed = aWorker.mClosed[aTask];
  closed = std::max(closed, run);
  aWorker.mEnds.push_back(RunEndReport{
    EndNumber(++aWorker.mLastEnd), aTask, run, aKind, CheckpointId() });
}

} // namespace mulberryvalve
