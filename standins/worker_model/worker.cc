#include "standins/worker_model/worker.h"

#include <algorithm>
#include <utility>

#include "standins/worker_model/checkpoint_id.h"

namespace mulberryvalve::standins {
namespace {

constexpr ClockMs kSampleIntervalMs = 250;

WorkerEventKind EventKindFor(TaskOutcome aOutcome)
{
  switch (aOutcome) {
    case TaskOutcome::kCompleted:
      return WorkerEventKind::kComplete;
    case TaskOutcome::kFailed:
      return WorkerEventKind::kFail;
    case TaskOutcome::kExpired:
      break;
  }
  return WorkerEventKind::kExpire;
}

} // namespace

Worker::Worker(WorkerSettings aSettings,
               const Clock& aClock,
               WorkerEventSink& aEventLog,
               DeadlineListener& aDeadlines)
  : mSettings(std::move(aSettings))
  , mClock(aClock)
  , mEventLog(aEventLog)
  , mDeadlines(aDeadlines)
  , mStartedAt(aClock.Now())
  , mUsage(mSettings.mUsageLagMs)
{
}

CommandResult<SyncReport> Worker::Sync(const SyncCommand& aCommand)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (const auto error = CheckFence(aCommand.mIssuer)) {
    return *error;
  }
  const ClockMs now = NowMs();
  EndDueTasks(now);
  for (const LeaseRenewal& renewal : aCommand.mRenewals) {
    const auto task = mRunning.find(renewal.mLease);
    if (task != mRunning.end()) {
      task->second.Renew(renewal.mExpiresAt);
      NotifyDeadline(task->second);
    }
  }
  for (const std::string& lease : aCommand.mAcknowledged) {
    mFinished.erase(lease);
  }
  SyncReport report;
  report.mBoot = mSettings.mBoot;
  report.mClockMs = now;
  for (const auto& [lease, task] : mRunning) {
    report.mRunning.push_back(task.Report(now));
  }
  for (const auto& [lease, finished] : mFinished) {
    report.mFinished.push_back(finished);
  }
  report.mUsage = ReportedUsage(now);
  return report;
}

CommandResult<ClockMs> Worker::Start(const StartCommand& aCommand)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (!aCommand.mBoot.empty() && aCommand.mBoot != mSettings.mBoot) {
    return CommandError{ CommandErrorCode::kOtherBoot };
  }
  if (const auto error = CheckFence(aCommand.mIssuer)) {
    return *error;
  }
  const ClockMs now = NowMs();
  EndDueTasks(now);
  if (mStarted.count(aCommand.mLease) != 0) {
    return now;
  }
  if (mStoppedBeforeStart.count(aCommand.mLease) != 0) {
    return CommandError{ CommandErrorCode::kLeaseStopped };
  }
  if (now > aCommand.mNotAfter || now >= aCommand.mExpiresAt) {
    return CommandError{ CommandErrorCode::kTooLate };
  }
  const auto progressMs = aCommand.mResumeFrom.empty()
                            ? std::optional<int64_t>(0)
                            : CheckpointProgressMs(aCommand.mResumeFrom);
  if (!progressMs) {
    return CommandError{ CommandErrorCode::kBadCheckpoint };
  }
  mStarted.insert(aCommand.mLease);
  const auto task =
    mRunning.emplace(aCommand.mLease, RunningTask(aCommand, *progressMs, now))
      .first;
  mEventLog.Append(MakeTaskEvent(WorkerEventKind::kStart, task->second));
  if (mFaults.IsOn(WorkerFault::kFailEverything)) {
    EndTask(task, { now, TaskOutcome::kFailed, EndReason::kWorkerFault });
  } else if (aCommand.mPayload.mFailAtStart) {
    EndTask(task, { now, TaskOutcome::kFailed, EndReason::kFailedAtStart });
  } else {
    NotifyDeadline(task->second);
  }
  return now;
}

CommandResult<ClockMs> Worker::Stop(const LeaseCommand& aCommand)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (const auto error = CheckFence(aCommand.mIssuer)) {
    return *error;
  }
  const ClockMs now = NowMs();
  EndDueTasks(now);
  const auto task = mRunning.find(aCommand.mLease);
  if (task != mRunning.end()) {
    WorkerEvent event = MakeTaskEvent(WorkerEventKind::kStop, task->second);
    event.mShard = aCommand.mIssuer.mShard;
    event.mFence = aCommand.mIssuer.mFence;
    mEventLog.Append(std::move(event));
    mRunning.erase(task);
  } else if (mStarted.count(aCommand.mLease) == 0) {
    mStoppedBeforeStart.insert(aCommand.mLease);
  }
  return now;
}

CommandResult<std::string> Worker::Checkpoint(const LeaseCommand& aCommand)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (const auto error = CheckFence(aCommand.mIssuer)) {
    return *error;
  }
  const ClockMs now = NowMs();
  EndDueTasks(now);
  const auto task = mRunning.find(aCommand.mLease);
  if (task == mRunning.end()) {
    return CommandError{ CommandErrorCode::kNoLease };
  }
  return task->second.TakeCheckpoint(now);
}

CommandResult<ClockMs> Worker::Throttle(const LeaseCommand& aCommand,
                                        int64_t aPercent)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (const auto error = CheckFence(aCommand.mIssuer)) {
    return *error;
  }
  const ClockMs now = NowMs();
  EndDueTasks(now);
  const auto task = mRunning.find(aCommand.mLease);
  if (task == mRunning.end()) {
    return CommandError{ CommandErrorCode::kNoLease };
  }
  task->second.Throttle(aPercent, now);
  NotifyDeadline(task->second);
  return now;
}

void Worker::Drain()
{
  std::lock_guard<std::mutex> lock(mMutex);
  mDraining = true;
}

RequestResult Worker::BeginRequest(const RequestCommand& aCommand)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (mFaults.IsOn(WorkerFault::kRequestError)) {
    mEventLog.Append(MakeRequestEvent(WorkerEventKind::kRequest, aCommand));
    mEventLog.Append(MakeRequestEvent(WorkerEventKind::kRequestEnd, aCommand));
    return RequestErrorCode::kFailed;
  }
  if (mDraining || mBusySlots >= mSettings.mSlots) {
    mEventLog.Append(MakeRequestEvent(WorkerEventKind::kRefuse, aCommand));
    return mDraining ? RequestErrorCode::kDraining : RequestErrorCode::kNoSlot;
  }
  ++mBusySlots;
  mEventLog.Append(MakeRequestEvent(WorkerEventKind::kRequest, aCommand));
  const double interference =
    static_cast<double>(mFaults.Value(WorkerFault::kInterferencePercent)) / 100;
  const double load =
    static_cast<double>(UsedCpuMillis()) /
    static_cast<double>(std::max<int64_t>(1, mSettings.mCpuMillis));
  const auto work = std::chrono::duration<double, std::milli>(
    static_cast<double>(aCommand.mWorkMs) * (1 + interference * load));
  const Milliseconds delay(mFaults.Value(WorkerFault::kRequestDelayMs));
  RequestTicket ticket;
  ticket.mBegunAt = mClock.Now();
  ticket.mEndsAt =
    ticket.mBegunAt + delay +
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(work);
  return ticket;
}

void Worker::EndRequest(const RequestCommand& aCommand,
                        const RequestTicket& aTicket)
{
  std::lock_guard<std::mutex> lock(mMutex);
  --mBusySlots;
  const auto duration = mClock.Now() - aTicket.mBegunAt;
  mUsage.AddRequest(
    std::chrono::duration_cast<std::chrono::microseconds>(duration).count(),
    NowMs());
  mEventLog.Append(MakeRequestEvent(WorkerEventKind::kRequestEnd, aCommand));
}

SteadyTime Worker::Advance()
{
  std::lock_guard<std::mutex> lock(mMutex);
  const ClockMs now = NowMs();
  EndDueTasks(now);
  if (now >= mNextSampleAt) {
    SampleUsage(now);
    mNextSampleAt = now + kSampleIntervalMs;
  }
  ClockMs next = mNextSampleAt;
  for (const auto& [lease, task] : mRunning) {
    next = std::min(next, task.NextEnd().mAt);
  }
  return mStartedAt + Milliseconds(next);
}

ClockMs Worker::NowMs() const
{
  return std::chrono::duration_cast<Milliseconds>(mClock.Now() - mStartedAt)
    .count();
}

std::optional<CommandError> Worker::CheckFence(const Issuer& aIssuer)
{
  uint64_t& highest = mHighestFences[aIssuer.mShard];
  if (aIssuer.mFence < highest) {
    return CommandError{ CommandErrorCode::kFenced, highest };
  }
  highest = aIssuer.mFence;
  return std::nullopt;
}

void Worker::EndDueTasks(ClockMs aNow)
{
  for (auto task = mRunning.begin(); task != mRunning.end();) {
    const auto current = task++;
    const TaskEnd end = current->second.NextEnd();
    if (end.mAt <= aNow) {
      EndTask(current, end);
    }
  }
}

void Worker::EndTask(TaskMap::iterator aTask, const TaskEnd& aEnd)
{
  const RunningTask& task = aTask->second;
  const StartCommand& command = task.Command();
  WorkerEvent event = MakeTaskEvent(EventKindFor(aEnd.mOutcome), task);
  // The end may be detected late; the event has the time when it was due.
  event.mWallMs -= NowMs() - aEnd.mAt;
  mEventLog.Append(std::move(event));
  mFinished[command.mLease] = { command.mLease,    command.mTask,
                                command.mAttempt,  aEnd.mOutcome,
                                task.Checkpoint(), aEnd.mReason };
  mRunning.erase(aTask);
}

void Worker::NotifyDeadline(const RunningTask& aTask)
{
  mDeadlines.OnDeadline(mSettings.mId,
                        mStartedAt + Milliseconds(aTask.NextEnd().mAt));
}

void Worker::SampleUsage(ClockMs aNow)
{
  UsageReport sample;
  sample.mTakenAt = aNow;
  sample.mBusySlots = mBusySlots;
  for (const auto& [lease, task] : mRunning) {
    sample.mByLease.push_back(task.Usage());
    sample.mCpuMillis += sample.mByLease.back().mCpuMillis;
    sample.mMemoryMb += sample.mByLease.back().mMemoryMb;
  }
  mUsage.AddSample(std::move(sample));
}

const UsageReport& Worker::ReportedUsage(ClockMs aNow)
{
  if (mSettings.mUsageLagMs == 0) {
    SampleUsage(aNow);
  }
  const UsageReport& lagged = mUsage.Lagged(aNow);
  if (!mFaults.IsOn(WorkerFault::kStopReports)) {
    mLastReported = lagged;
  }
  return mLastReported;
}

int64_t Worker::UsedCpuMillis() const
{
  int64_t used = 0;
  for (const auto& [lease, task] : mRunning) {
    used += task.Usage().mCpuMillis;
  }
  return used;
}

WorkerEvent Worker::MakeTaskEvent(WorkerEventKind aKind,
                                  const RunningTask& aTask) const
{
  const StartCommand& command = aTask.Command();
  WorkerEvent event;
  event.mWallMs = mClock.WallMs();
  event.mWorker = mSettings.mId;
  event.mDomain = mSettings.mDomain;
  event.mKind = aKind;
  event.mLease = command.mLease;
  event.mTask = command.mTask;
  event.mAttempt = command.mAttempt;
  event.mShard = command.mIssuer.mShard;
  event.mFence = command.mIssuer.mFence;
  event.mCpuMillis = command.mCpuMillis;
  event.mMemoryMb = command.mMemoryMb;
  event.mAccelerators = command.mAccelerators;
  event.mResumeFrom = command.mResumeFrom;
  event.mCheckpoint = aTask.Checkpoint();
  return event;
}

WorkerEvent Worker::MakeRequestEvent(WorkerEventKind aKind,
                                     const RequestCommand& aCommand) const
{
  WorkerEvent event;
  event.mWallMs = mClock.WallMs();
  event.mWorker = mSettings.mId;
  event.mDomain = mSettings.mDomain;
  event.mKind = aKind;
  event.mAttempt = aCommand.mAttempt;
  event.mKey = aCommand.mKey;
  return event;
}

} // namespace mulberryvalve::standins
