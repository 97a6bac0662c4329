// HeldStarts: the starts that are decided and wait until the log holds a record
// of where their tasks may be.
#ifndef MULBERRYVALVE_CORE_JOBS_HELD_STARTS_H_
#define MULBERRYVALVE_CORE_JOBS_HELD_STARTS_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/job_state.h"
#include "mulberryvalve/core/jobs/worker_messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace mulberryvalve {

// HeldStart is the order of a start that was not sent yet.
struct HeldStart
{
  TaskOrder mOrder;
  MonotonicTime mHeldSince;
  // The start may be sent without a record if the log takes no appends.
  bool mMayStartUnrecorded = false;
  // The log names the worker as a possible one of the task.
  bool mIsRecorded = false;
  // Position in the order of decisions.
  uint64_t mNumber = 0;
};

// Returns whether aRecord names aWorker as a possible one of a task of its job.
// The tasks of aRecord are in order.
bool NamesWorker(const JobRecord& aRecord,
                 const TaskRef& aTask,
                 const WorkerId& aWorker);

// Not thread-safe.
class HeldStarts
{
public:
  // Holds a start. Precondition: none of the same task is held.
  void Add(TaskOrder aOrder, bool aMayStartUnrecorded, MonotonicTime aNow);

  // Forgets the start of a task. Returns whether there was one.
  bool Remove(const TaskRef& aTask);

  // Returns whether a start of a task of aJob is held.
  bool HasAnyOf(const JobId& aJob) const;

  // Returns the start of a task, or null.
  const HeldStart* Find(const TaskRef& aTask) const;

  // Records that aRecord is durable. Its tasks are in order.
  void OnRecorded(const JobRecord& aRecord);

  // Records that the log has taken an append.
  void OnAppended();

  // Updates whether records are overdue: some start has waited for its record
  // for longer than kMaxRecordWait, and the log has taken nothing since.
  // Returns whether that has changed.
  bool UpdateOverdue(MonotonicTime aNow);
  bool AreRecordsOverdue() const { return mIsOverdue; }

  // Return whether there is a start, one that is recorded, or one that is not.
  bool Empty() const { return mStarts.empty(); }
  bool HasRecorded() const { return mRecordedCount > 0; }
  bool HasUnrecorded() const { return mRecordedCount < mStarts.size(); }

  // Returns the starts for which aCondition is true, in the order of decisions.
  std::vector<HeldStart> Select(
    const std::function<bool(const HeldStart&)>& aCondition) const;

  // Returns whether the starts of a step that are held are all recorded.
  bool IsStepRecorded(const StepRef& aStep) const;

private:
  std::map<TaskRef, HeldStart> mStarts;
  size_t mRecordedCount = 0;
  uint64_t mLastNumber = 0;
  bool mIsOverdue = false;
  // The value that UpdateOverdue left.
  bool mWasOverdue = false;
  // The log has taken an append since UpdateOverdue was last called, and when
  // it was called after the last one.
  bool mHasAppended = false;
  MonotonicTime mAppendedAt;
  // Records are not overdue before this time.
  MonotonicTime mCheckOverdueAt;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_HELD_STARTS_H_
