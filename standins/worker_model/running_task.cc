#include "standins/worker_model/running_task.h"

#include <algorithm>
#include <utility>

#include "standins/worker_model/checkpoint_id.h"

namespace mulberryvalve::standins {
namespace {

constexpr int64_t kFullSpeedPercent = 100;

} // namespace

RunningTask::RunningTask(StartCommand aCommand,
                         int64_t aProgressMs,
                         ClockMs aNow)
  : mCommand(std::move(aCommand))
  , mCheckpoint(mCommand.mResumeFrom)
  , mProgressPercentMs(aProgressMs * kFullSpeedPercent)
  , mProgressAt(aNow)
{
}

void RunningTask::Renew(ClockMs aExpiresAt)
{
  mCommand.mExpiresAt = std::max(mCommand.mExpiresAt, aExpiresAt);
}

void RunningTask::Throttle(int64_t aPercent, ClockMs aNow)
{
  mProgressPercentMs = ProgressPercentMs(aNow);
  mProgressAt = aNow;
  mThrottlePercent = std::clamp<int64_t>(aPercent, 0, kFullSpeedPercent);
}

const std::string& RunningTask::TakeCheckpoint(ClockMs aNow)
{
  mCheckpoint = MakeCheckpointId(ProgressPercentMs(aNow) / kFullSpeedPercent,
                                 mCommand.mLease);
  return mCheckpoint;
}

TaskEnd RunningTask::NextEnd() const
{
  const TaskEnd expiry{ mCommand.mExpiresAt,
                        TaskOutcome::kExpired,
                        EndReason::kLeaseExpired };
  const TaskPayload& payload = mCommand.mPayload;
  if (payload.mRunMs == 0 || mThrottlePercent == 0) {
    return expiry;
  }
  const int64_t left = std::max<int64_t>(
    0, payload.mRunMs * kFullSpeedPercent - mProgressPercentMs);
  const ClockMs endsAt =
    mProgressAt + (left + mThrottlePercent - 1) / mThrottlePercent;
  if (endsAt > expiry.mAt) {
    return expiry;
  }
  if (payload.mFail) {
    return { endsAt, TaskOutcome::kFailed, EndReason::kFailedAtEnd };
  }
  return { endsAt, TaskOutcome::kCompleted, EndReason::kNone };
}

RunningReport RunningTask::Report(ClockMs aNow) const
{
  RunningReport report;
  report.mLease = mCommand.mLease;
  report.mTask = mCommand.mTask;
  report.mAttempt = mCommand.mAttempt;
  report.mExpiresAt = mCommand.mExpiresAt;
  report.mThrottlePercent = mThrottlePercent;
  report.mProgressMs = ProgressPercentMs(aNow) / kFullSpeedPercent;
  report.mCheckpoint = mCheckpoint;
  return report;
}

LeaseUsage RunningTask::Usage() const
{
  const TaskPayload& payload = mCommand.mPayload;
  const int64_t cpuMillis =
    payload.mUseCpuMillis < 0 ? mCommand.mCpuMillis : payload.mUseCpuMillis;
  const int64_t memoryMb =
    payload.mUseMemoryMb < 0 ? mCommand.mMemoryMb : payload.mUseMemoryMb;
  return { mCommand.mLease,
           cpuMillis * mThrottlePercent / kFullSpeedPercent,
           memoryMb };
}

int64_t RunningTask::ProgressPercentMs(ClockMs aNow) const
{
  const int64_t progress =
    mProgressPercentMs + (aNow - mProgressAt) * mThrottlePercent;
  const int64_t runMs = mCommand.mPayload.mRunMs;
  return runMs == 0 ? progress : std::min(progress, runMs * kFullSpeedPercent);
}

} // namespace mulberryvalve::standins
