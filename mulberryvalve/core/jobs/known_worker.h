// KnownWorker: what an owner leaves on the log of a worker that it uses.
#ifndef MULBERRYVALVE_CORE_JOBS_KNOWN_WORKER_H_
#define MULBERRYVALVE_CORE_JOBS_KNOWN_WORKER_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/worker_orders.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace mulberryvalve {

// A note names so many tasks at most, so that its record is far below the
// largest that the log takes. A worker with more has no such note.
inline constexpr size_t kMaxNotedTasks = 512;

// KnownWorker is a worker that an owner has used, as its successor finds it on
// the log. A value type; not synchronised.
struct KnownWorker
{
  WorkerId mId;
  Endpoint mEndpoint;
  ServiceId mService;
  Birth mBirth;
  // Set while nothing that runs there is renewed, as its owner does not reach
  // it or nothing runs there: for how long, from the writing of the record on,
  // it may run what was started there.
  std::optional<Milliseconds> mWaitLeft;
  // Set while nothing is started there: the tasks that may run there, or of
  // which an end that it lists is not durable.
  std::optional<std::vector<TaskRef>> mMayRun;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_KNOWN_WORKER_H_
