// UnrecordedStartList: the starts that an owner has sent and of which it does
// not know a record on the log.
#ifndef MULBERRYVALVE_CORE_JOBS_UNRECORDED_START_LIST_H_
#define MULBERRYVALVE_CORE_JOBS_UNRECORDED_START_LIST_H_

#include "mulberryvalve/core/jobs/job_graph.h"
#include "mulberryvalve/core/jobs/job_state.h"
#include "mulberryvalve/core/model/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mulberryvalve {

// UnrecordedStart is a start of a task on a worker.
struct UnrecordedStart
{
  TaskRef mTask;
  WorkerId mWorker;
};

// Not thread-safe; copies are independent.
class UnrecordedStartList
{
public:
  // More starts are not kept, and then the list is never complete again.
  static constexpr size_t kMaxStarts = 2048;

  // Adds a start that is sent without a record. aPart is the part of its job's
  // progress that has the task.
  void OnSent(const TaskRef& aTask, const WorkerId& aWorker, uint32_t aPart);

  // Records that aRecords were taken to be appended: each states where the
  // tasks of its part may be, as far as the owner knows, after all starts that
  // were sent before.
  void OnTaken(const std::vector<JobRecord>& aRecords);

  // Records that aRecord is durable: forgets the starts that it names, and
  // those that were sent before it was taken.
  void OnDurable(const JobRecord& aRecord);

  // Returns the starts on aWorkers, or nothing if the list is not complete.
  std::optional<std::vector<UnrecordedStart>> On(
    const std::set<WorkerId>& aWorkers) const;

private:
  struct Start
  {
    uint32_t mPart = 0;
    // A record of its part was taken after it was sent.
    bool mIsTaken = false;
  };

  std::map<std::pair<TaskRef, WorkerId>, Start> mStarts;
  bool mIsComplete = true;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_UNRECORDED_START_LIST_H_
