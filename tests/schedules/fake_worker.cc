#include "tests/schedules/fake_worker.h"

namespace schedules {

using namespace mulberryvalve;

namespace {

constexpr int64_t kMillion = 1'000'000;

} // namespace

FakeWorker::FakeWorker(World& aWorld, History& aHistory, WorkerSpec aSpec)
  : mSpec(std::move(aSpec))
  , mWorld(aWorld)
  , mHistory(aHistory)
{
  mOffsetMs = mWorld.Random(kMillion);
  mRatePpm = mWorld.Uniform(-100, 100);
}

int64_t FakeWorker::LocalClock() const
{
  const int64_t since = mWorld.mNow - mBootedAt;
  return mOffsetMs + (since + since * mRatePpm / kMillion) / kMs;
}

// Returns the simulated time at which the clock of this worker shows aReading.
int64_t FakeWorker::WorldTime(int64_t aReading) const
{
  const int64_t since = (aReading - mOffsetMs) * kMs;
  return mBootedAt + since - since * mRatePpm / kMillion;
}

bool FakeWorker::IsFenced(const CommandFence& aFence)
{
  Epoch& highest = mFences[aFence.mShard];
  if (aFence.mEpoch < highest) {
    return true;
  }
  highest = aFence.mEpoch;
  return false;
}

void FakeWorker::End(const LeaseId& aLease, LeaseEnd aEnd, int64_t aAt)
{
  const Running running = mRunning.at(aLease);
  Run& run = mHistory.mRuns[running.mRun];
  run.mEnd = std::max(aAt, run.mBegin);
  run.mCompleted = aEnd == LeaseEnd::kCompleted;
  run.mFailed = aEnd == LeaseEnd::kFailed;
  FinishedLease finished{
    aLease, running.mCommand.mTask, running.mCommand.mAttempt,
    aEnd,   CheckpointId(),         ""
  };
  mFinished[aLease] = finished;
  mEnded.insert(aLease);
  mRunning.erase(aLease);
}

void FakeWorker::EndDueRuns()
{
  const auto running = mRunning;
  for (const auto& [lease, run] : running) {
    const int64_t expires = WorldTime(run.mExpiresAt);
    if (std::min(expires, run.mDoneAt) > mWorld.mNow) {
      continue;
    }
    if (expires <= run.mDoneAt) {
      End(lease, LeaseEnd::kExpired, expires);
    } else {
      End(lease,
          run.mFails ? LeaseEnd::kFailed : LeaseEnd::kCompleted,
          run.mDoneAt);
    }
  }
}

void FakeWorker::Reboot()
{
  EndDueRuns();
  for (const auto& [lease, run] : mRunning) {
    mHistory.mRuns[run.mRun].mEnd = mWorld.mNow;
  }
  mRunning.clear();
  mFinished.clear();
  mEnded.clear();
  mFences.clear();
  mBoot++;
  mBootedAt = mWorld.mNow;
  mOffsetMs = mWorld.Random(kMillion);
}

Result<SyncReply> FakeWorker::Sync(const SyncRequest& aRequest)
{
  EndDueRuns();
  if (IsFenced(aRequest.mFence)) {
    return Fail(FailureKind::kWorkerFenced);
  }
  for (const LeaseRenewal& renewal : aRequest.mRenewals) {
    const auto found = mRunning.find(renewal.mLease);
    if (found != mRunning.end()) {
      found->second.mExpiresAt =
        std::max(found->second.mExpiresAt, renewal.mExpiresAt.mMilliseconds);
    }
  }
  for (const LeaseId& lease : aRequest.mAcknowledged) {
    mFinished.erase(lease);
  }
  SyncReply reply;
  reply.mBoot = std::to_string(mBoot);
  reply.mClock.mMilliseconds = LocalClock();
  for (const auto& [lease, run] : mRunning) {
    RunningLease row;
    row.mLease = lease;
    row.mTask = run.mCommand.mTask;
    row.mAttempt = run.mCommand.mAttempt;
    row.mExpiresAt.mMilliseconds = run.mExpiresAt;
    reply.mRunning.push_back(row);
  }
  for (const auto& [lease, finished] : mFinished) {
    reply.mFinished.push_back(finished);
  }
  return reply;
}

Result<void> FakeWorker::Start(const StartCommand& aCommand)
{
  EndDueRuns();
  if (IsFenced(aCommand.mFence)) {
    return Fail(FailureKind::kWorkerFenced);
  }
  if (mRunning.count(aCommand.mLease) != 0) {
    return Done();
  }
  const bool late = LocalClock() > aCommand.mNotAfter.mMilliseconds &&
                    mWorld.mDisabled != DisabledMechanism::kNoStartDeadline;
  if (aCommand.mBoot != std::to_string(mBoot) ||
      mEnded.count(aCommand.mLease) != 0 || late) {
    return Fail(FailureKind::kWorkerRefused);
  }
  Running running;
  running.mCommand = aCommand;
  running.mExpiresAt = aCommand.mExpiresAt.mMilliseconds;
  running.mDoneAt = mWorld.After(mWorld.Uniform(
    200 * kMs, mWorld.mFaultsEnabled ? 15'000 * kMs : 3000 * kMs));
  running.mFails = mWorld.FaultOccurs(5);
  running.mRun = mHistory.mRuns.size();
  mHistory.mRuns.push_back(Run{ aCommand.mTask.Text(),
                                aCommand.mAttempt.Value(),
                                mSpec.mId.Text(),
                                mSpec.mDomain.Text(),
                                mWorld.mNow });
  mRunning[aCommand.mLease] = running;
  return Done();
}

Result<void> FakeWorker::Stop(const CommandFence& aFence, const LeaseId& aLease)
{
  EndDueRuns();
  if (IsFenced(aFence)) {
    return Fail(FailureKind::kWorkerFenced);
  }
  if (mRunning.count(aLease) != 0) {
    End(aLease, LeaseEnd::kStopped, mWorld.mNow);
  }
  mEnded.insert(aLease);
  return Done();
}

Result<CheckpointId> FakeWorker::Checkpoint(const CommandFence& aFence,
                                            const LeaseId& aLease)
{
  EndDueRuns();
  if (IsFenced(aFence)) {
    return Fail(FailureKind::kWorkerFenced);
  }
  if (mRunning.count(aLease) == 0) {
    return Fail(FailureKind::kWorkerRefused);
  }
  return CheckpointId("at-" + aLease.Text());
}

} // namespace schedules
