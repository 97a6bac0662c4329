// UsageTracker: the newest usage report of each worker. Reports also train the
// interference model and the class estimates.
#ifndef MULBERRYVALVE_CORE_COLOCATION_USAGE_TRACKER_H_
#define MULBERRYVALVE_CORE_COLOCATION_USAGE_TRACKER_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/colocation/interference_model.h"
#include "mulberryvalve/core/colocation/task_class_estimates.h"
#include "mulberryvalve/core/ledger/shard_state_machine.h"
#include "mulberryvalve/ports/out/worker_port.h"

#include <map>
#include <vector>

namespace mulberryvalve {

// ObservedTask is a running task as its worker last reported it.
struct ObservedTask
{
  TaskId mTask;
  Attempt mAttempt;
  ClassIndex mClass = 0;
  TaskKind mKind = TaskKind::kBatch;
  Priority mPriority = Priority::kNormal;
  double mCores = 0;
  int mThrottlePercent = 100;
  Milliseconds mProgress{ 0 };
  CheckpointId mCheckpoint;
  // The progress that survives the loss of the worker.
  Milliseconds mSavedProgress{ 0 };
  // When the current measurement of the task's speed started, and the progress
  // it had then.
  WorkerTime mPaceMeasuredFrom;
  Milliseconds mPaceStartProgress{ 0 };

  // UnsavedProgress returns the progress since the last checkpoint.
  Milliseconds UnsavedProgress() const { return mProgress - mSavedProgress; }
};

// WorkerUsage is the last known usage of one worker. mTailRatio is the p99 of
// requests divided by the target.
struct WorkerUsage
{
  MonotonicTime mReceivedAt;
  // When the last report with a new timestamp was received.
  MonotonicTime mChangedAt;
  WorkerTime mClock;
  WorkerTime mTakenAt;
  double mBusyShare = 0;
  double mTailRatio = 0;
  // Exponentially weighted moving average of mTailRatio.
  double mSmoothedTailRatio = 0;
  double mCores = 0;
  std::vector<ObservedTask> mRunning;

  // IsStale returns true when no new report has been received since aLimit.
  bool IsStale(MonotonicTime aLimit) const { return mChangedAt <= aLimit; }

  // ClockAt returns a lower bound of the worker's clock at aNow.
  WorkerTime ClockAt(MonotonicTime aNow) const
  {
    const auto since = std::chrono::floor<Milliseconds>(aNow - mReceivedAt);
    return WorkerTime{ mClock.mMilliseconds + since.count() };
  }
};

// UsageTracker is not thread-safe. The model and the estimates must outlive it.
class UsageTracker
{
public:
  UsageTracker(InterferenceModel& aModel, TaskClassEstimates& aClassEstimates);

  // OnReply processes an inventory of aWorker received at aNow. aTailTarget is
  // the target for the p99 of requests and must be positive.
  void OnReply(const WorkerSpec& aWorker,
               const SyncReply& aReply,
               const ShardStateMachine& aShardState,
               Microseconds aTailTarget,
               MonotonicTime aNow);

  // Find returns the last known usage of aWorker, or null. Valid until OnReply.
  const WorkerUsage* Find(const WorkerId& aWorker) const;

  // FindTask returns the task as aWorker last reported it, or null.
  const ObservedTask* FindTask(const WorkerId& aWorker,
                               const TaskId& aTask) const;

  // All returns the usage of every worker that has reported.
  const std::map<WorkerId, WorkerUsage>& All() const { return mWorkers; }

private:
  ObservedTask MergeObservation(const RunningLease& aLease,
                                const TaskEntry& aTask,
                                const WorkerUsage& aPrevious,
                                WorkerTime aClock);
  void TrainTailModel(const WorkerUsage& aUsage);
  void TrainPaceModel(WorkerUsage& aUsage);

  InterferenceModel& mModel;
  TaskClassEstimates& mClassEstimates;
  std::map<WorkerId, WorkerUsage> mWorkers;
};

// ToClassCores returns the CPU use of aRunning by class.
std::vector<ClassCores> ToClassCores(const std::vector<ObservedTask>& aRunning);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_USAGE_TRACKER_H_
