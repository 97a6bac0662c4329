// InheritedWorkers: the workers of former owners that have not answered the
// current owner yet, the tasks that may still run on them, and until when.
#ifndef MULBERRYVALVE_CORE_JOBS_INHERITED_WORKERS_H_
#define MULBERRYVALVE_CORE_JOBS_INHERITED_WORKERS_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_graph.h"
#include "mulberryvalve/core/jobs/unrecorded_starts.h"
#include "mulberryvalve/core/model/worker.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mulberryvalve {

// InheritedWorker is what is known of a worker that has not answered yet.
struct InheritedWorker
{
  // Everything that former owners started on the worker has ended by then.
  MonotonicTime mWaitUntil;
  // The tasks that may run there. Unset without a note of them: then these are
  // the tasks whose records name the worker, and those that may have been
  // started there without a record.
  std::optional<std::vector<TaskRef>> mPossibleTasks;
  // No note limits the wait, which covers the latest time at which a former
  // owner may have renewed a lease there.
  bool mIsAssumed = false;
  // The newest former owner that may have used it, as in its record.
  std::optional<Epoch> mLastUser{};
  // It has answered, and its wait covers ends that it has not listed yet.
  bool mIsPostponed = false;
  // All starts there without a record are known, and are as if recorded.
  bool mAreStartsKnown = false;

  // Returns whether any task of its bucket may run there without a record.
  bool BlocksBucket() const { return !mPossibleTasks && !mAreStartsKnown; }
};

// Not thread-safe.
class InheritedWorkers
{
public:
  // Adds a worker. Does nothing if it was added before.
  void Add(const WorkerId& aWorker, InheritedWorker aInherited);

  // Adds a task whose record names aWorker. Returns whether it may run there:
  // not if the worker is unknown or its wait has ended, nor if a note of its
  // tasks does not have this one. Call it once for each task and worker.
  bool AddRecordedTask(const WorkerId& aWorker, const TaskRef& aTask);

  // Removes a worker that has answered or that can't run anything any more.
  // Does nothing if the worker is unknown.
  void Remove(const WorkerId& aWorker);

  // Waits for a worker until aUntil at least, though it was to be waited for
  // less long. Does nothing if the worker is unknown or its wait has ended.
  void Postpone(const WorkerId& aWorker, MonotonicTime aUntil);

  // Records that a former owner started tasks without recording where: of an
  // earlier version, which records nothing.
  void OnStartsWithoutRecords() { mHasStartsWithoutRecords = true; }

  // Records that of the tasks that may have been started on the worker without
  // a record, aTasks are all. Returns whether that releases its bucket: not if
  // the worker is unknown, its wait has ended or was postponed, or a note names
  // its tasks.
  bool OnStartsKnown(const WorkerId& aWorker,
                     const std::vector<TaskRef>& aTasks);

  // Records that nothing runs on the worker any more. Does nothing if the
  // worker is unknown.
  void MarkIdle(const WorkerId& aWorker, MonotonicTime aNow);

  // Ends the wait for a worker by aUntil at the latest, as no former owner can
  // have renewed a lease there that lasts longer. Returns whether the wait was
  // to last longer: not if the worker is unknown, its wait has ended or was
  // postponed.
  bool ShortenWait(const WorkerId& aWorker, MonotonicTime aUntil);

  // Returns whether there is a wait that ShortenWait could shorten.
  bool HasShortenableWaits() const;

  // Returns the state of a worker, or null if it is unknown or was removed.
  const InheritedWorker* Find(const WorkerId& aWorker) const;

  // Ends every wait that is due by aProvedAt, the time at which it was last
  // proved that nobody else had claimed the shard. The queries below reflect
  // the last call.
  void ExpireWaits(MonotonicTime aProvedAt);

  // Returns whether tasks may still run on the worker.
  bool MayRunTasks(const WorkerId& aWorker) const;

  // BlocksTask returns whether some worker may run this task by its record or
  // by a note, and BlocksStep whether some worker may run a task of this step.
  // BlocksUnrecorded returns whether some worker may run the task without a
  // record, if tasks of its step may start so; HasUnnotedWorkers returns
  // whether there is such a task.
  bool BlocksTask(const TaskRef& aTask) const
  {
    return !mBlockedTasks.empty() && mBlockedTasks.count(aTask) != 0;
  }
  bool BlocksUnrecorded(const TaskRef& aTask) const
  {
    return HasUnnotedWorkers() && mUnnotedByBucket[BucketOf(aTask)] > 0;
  }
  bool HasUnnotedWorkers() const { return mUnnotedCount > 0; }

  // Returns whether some worker may run aTask, which is of aSpec's step and of
  // a job that former owners may have started or not.
  bool MayRun(const TaskRef& aTask,
              const StepSpec& aSpec,
              bool aMayHaveFormerRuns) const
  {
    const bool mayBeUnrecorded =
      mHasStartsWithoutRecords
        ? HasUnnotedWorkers()
        : MayStartUnrecorded(aSpec) && BlocksUnrecorded(aTask);
    return BlocksTask(aTask) || (aMayHaveFormerRuns && mayBeUnrecorded);
  }
  bool BlocksStep(const StepRef& aStep) const;

  // Returns the tasks for which BlocksTask is true.
  const std::map<TaskRef, size_t>& BlockedTasks() const
  {
    return mBlockedTasks;
  }

  // Returns the workers that were settled since the last call, each with the
  // tasks whose records name it: no run of them is left there.
  using RecordedTasks = std::pair<WorkerId, std::vector<TaskRef>>;
  std::vector<RecordedTasks> TakeSettled();

  // PendingWorkers returns the workers whose waits have not ended, shortest
  // wait first; PendingCount returns their number, and LatestWaitEnd the end of
  // the longest wait.
  std::vector<WorkerId> PendingWorkers() const;
  size_t PendingCount() const { return mPendingWaits.size(); }
  MonotonicTime LatestWaitEnd() const;

  // Returns all workers that have not answered, by id.
  const std::map<WorkerId, InheritedWorker>& All() const { return mWorkers; }

private:
  void SetWait(const WorkerId& aWorker,
               InheritedWorker& aInherited,
               MonotonicTime aUntil);
  void BlockBucket(const WorkerId& aWorker);
  void UnblockBucket(const WorkerId& aWorker);
  void Unblock(const WorkerId& aWorker, const InheritedWorker& aInherited);
  void UnblockTask(const TaskRef& aTask);

  std::map<WorkerId, InheritedWorker> mWorkers;
  // The pending workers, ordered by the end of their waits.
  std::set<std::pair<MonotonicTime, WorkerId>> mPendingWaits;
  // The pending workers for which BlocksBucket is true, in all and by bucket.
  size_t mUnnotedCount = 0;
  std::array<size_t, kStartBuckets> mUnnotedByBucket{};
  bool mHasStartsWithoutRecords = false;
  // The tasks whose records name each pending worker.
  std::map<WorkerId, std::vector<TaskRef>> mRecordedTasks;
  std::vector<RecordedTasks> mSettled;
  // The number of workers on which each task may run.
  std::map<TaskRef, size_t> mBlockedTasks;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_INHERITED_WORKERS_H_
