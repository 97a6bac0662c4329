#include "mulberryvalve/core/colocation/usage_tracker.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

constexpr int64_t kMinPaceIntervalMs = 1000;
constexpr double kMillisPerCore = 1000.0;
constexpr double kMinPace = 0.05;
constexpr double kNewReportWeight = 0.15;

const ObservedTask* FindTaskIn(const WorkerUsage& aUsage, const TaskId& aTask)
{
  for (const ObservedTask& task : aUsage.mRunning) {
    if (task.mTask == aTask) {
      return &task;
    }
  }
  return nullptr;
}

const LeaseUsage* FindLease(const UsageReport& aReport, const LeaseId& aLease)
{
  for (const LeaseUsage& usage : aReport.mByLease) {
    if (usage.mLease == aLease) {
      return &usage;
    }
  }
  return nullptr;
}

} // namespace

std::vector<ClassCores> ToClassCores(const std::vector<ObservedTask>& aRunning)
{
  std::vector<ClassCores> cores;
  cores.reserve(aRunning.size() + 1);
  for (const ObservedTask& task : aRunning) {
    cores.push_back(ClassCores{ task.mClass, task.mCores });
  }
  return cores;
}

UsageTracker::UsageTracker(InterferenceModel& aModel,
                           TaskClassEstimates& aClassEstimates)
  : mModel(aModel)
  , mClassEstimates(aClassEstimates)
{
}

const WorkerUsage* UsageTracker::Find(const WorkerId& aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  return found == mWorkers.end() ? nullptr : &found->second;
}

const ObservedTask* UsageTracker::FindTask(const WorkerId& aWorker,
                                           const TaskId& aTask) const
{
  const WorkerUsage* usage = Find(aWorker);
  return usage == nullptr ? nullptr : FindTaskIn(*usage, aTask);
}

void UsageTracker::OnReply(const WorkerSpec& aWorker,
                           const SyncReply& aReply,
                           const ShardStateMachine& aShardState,
                           Microseconds aTailTarget,
                           MonotonicTime aNow)
{
  WorkerUsage& known = mWorkers[aWorker.mId];
  const UsageReport& report = aReply.mUsage;
  const bool isNewReport =
    report.mTakenAt.mMilliseconds != known.mTakenAt.mMilliseconds;
  WorkerUsage next;
  next.mReceivedAt = aNow;
  next.mChangedAt = isNewReport ? aNow : known.mChangedAt;
  next.mClock = aReply.mClock;
  next.mTakenAt = report.mTakenAt;
  next.mBusyShare =
    aWorker.mSlots > 0 ? double(report.mBusySlots) / aWorker.mSlots : 0.0;
  next.mTailRatio = static_cast<double>(report.mRequestP99.count()) /
                    static_cast<double>(aTailTarget.count());
  const bool first = known.mTakenAt.mMilliseconds == 0;
  const double weight = first ? 1.0 : isNewReport ? kNewReportWeight : 0.0;
  next.mSmoothedTailRatio =
    known.mSmoothedTailRatio +
    weight * (next.mTailRatio - known.mSmoothedTailRatio);
  next.mCores = static_cast<double>(report.mCpuMillis) / kMillisPerCore;
  for (const RunningLease& lease : aReply.mRunning) {
    const TaskEntry* task = aShardState.FindTask(lease.mTask);
    if (task == nullptr || task->mAttempt != lease.mAttempt) {
      continue;
    }
    ObservedTask observed =
      MergeObservation(lease, *task, known, aReply.mClock);
    const LeaseUsage* usage = FindLease(report, lease.mLease);
    const double declared =
      static_cast<double>(task->mDemand->mResources.mCpuMillis) /
      kMillisPerCore;
    if (usage != nullptr) {
      observed.mCores = static_cast<double>(usage->mCpuMillis) / kMillisPerCore;
    }
    if (isNewReport && usage != nullptr && observed.mThrottlePercent == 100) {
      mClassEstimates.RecordCpuUse(observed.mClass, declared, observed.mCores);
    }
    next.mRunning.push_back(std::move(observed));
  }
  known = std::move(next);
  if (isNewReport) {
    TrainTailModel(known);
  }
  TrainPaceModel(known);
}

ObservedTask UsageTracker::MergeObservation(const RunningLease& aLease,
                                            const TaskEntry& aTask,
                                            const WorkerUsage& aPrevious,
                                            WorkerTime aClock)
{
  const ObservedTask* previous = FindTaskIn(aPrevious, aLease.mTask);
  const bool sameAttempt =
    previous != nullptr && previous->mAttempt == aLease.mAttempt;
  ObservedTask observed = sameAttempt ? *previous : ObservedTask();
  const bool restartPace =
    !sameAttempt || observed.mThrottlePercent != aLease.mThrottlePercent;
  if (!sameAttempt) {
    observed.mTask = aLease.mTask;
    observed.mAttempt = aLease.mAttempt;
    observed.mClass = mModel.IndexOf(aTask.mDemand->mClass);
    observed.mKind = aTask.mDemand->mKind;
    observed.mPriority = aTask.mDemand->mPriority;
    observed.mSavedProgress = aLease.mProgress;
    const double declared =
      static_cast<double>(aTask.mDemand->mResources.mCpuMillis);
    observed.mCores =
      mClassEstimates.PredictCores(observed.mClass, declared / kMillisPerCore);
  } else if (observed.mCheckpoint != aLease.mCheckpoint) {
    observed.mSavedProgress = aLease.mProgress;
  }
  if (restartPace) {
    observed.mPaceMeasuredFrom = aClock;
    observed.mPaceStartProgress = aLease.mProgress;
  }
  observed.mCheckpoint = aLease.mCheckpoint;
  observed.mThrottlePercent = aLease.mThrottlePercent;
  observed.mProgress = aLease.mProgress;
  return observed;
}

void UsageTracker::TrainTailModel(const WorkerUsage& aUsage)
{
  if (aUsage.mTailRatio > 0) {
    mModel.ObserveRequests(
      aUsage.mBusyShare, aUsage.mTailRatio, ToClassCores(aUsage.mRunning));
  }
}

void UsageTracker::TrainPaceModel(WorkerUsage& aUsage)
{
  for (ObservedTask& task : aUsage.mRunning) {
    const int64_t elapsed =
      aUsage.mClock.mMilliseconds - task.mPaceMeasuredFrom.mMilliseconds;
    if (elapsed < kMinPaceIntervalMs || task.mThrottlePercent <= 0) {
      continue;
    }
    const double progress =
      static_cast<double>((task.mProgress - task.mPaceStartProgress).count());
    const double speed = progress * 100 / task.mThrottlePercent;
    const double pace =
      std::max(kMinPace, speed / static_cast<double>(elapsed));
    std::vector<ClassCores> others;
    for (const ObservedTask& other : aUsage.mRunning) {
      if (&other != &task) {
        others.push_back(ClassCores{ other.mClass, other.mCores });
      }
    }
    mModel.ObservePace(task.mClass, std::max(0.0, 1 / pace - 1), others);
    task.mPaceMeasuredFrom = aUsage.mClock;
    task.mPaceStartProgress = task.mProgress;
  }
}

} // namespace mulberryvalve
