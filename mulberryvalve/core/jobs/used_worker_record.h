// The durable record of a worker that a shard owner uses, read by the next
// owner.
#ifndef MULBERRYVALVE_CORE_JOBS_USED_WORKER_RECORD_H_
#define MULBERRYVALVE_CORE_JOBS_USED_WORKER_RECORD_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/worker_messages.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace mulberryvalve {

// Limit of tasks named in one record, which keeps the record far below the
// largest that the log accepts. For a worker with more tasks the record names
// none.
inline constexpr size_t kMaxNotedTasks = 512;

// UsedWorkerRecord is a worker that an owner has used, as the next owner reads
// it from the log. A value type; not synchronised.
struct UsedWorkerRecord
{
  WorkerId mId;
  Endpoint mEndpoint;
  ServiceId mService;
  WorkerIncarnation mWorkerIncarnation;
  // The newest owner that may have renewed a lease or started anything there;
  // owners before it may have too. Unset in a record of an owner that does not
  // name itself: then any former owner may have.
  std::optional<Epoch> mLastUser;
  // Set while no leases are renewed on the worker, because the owner cannot
  // reach it or nothing runs there: how long after the record was written runs
  // may go on there.
  std::optional<Milliseconds> mRemainingLease;
  // Set while nothing is started on the worker: the tasks that may run there,
  // or that have a reported end which is not durable yet.
  std::optional<std::vector<TaskRef>> mPossibleTasks;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_USED_WORKER_RECORD_H_
