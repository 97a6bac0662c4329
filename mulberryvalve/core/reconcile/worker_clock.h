// WorkerClock: converts local deadlines to a worker's clock, never to a later
// time than intended.
#ifndef MULBERRYVALVE_CORE_RECONCILE_WORKER_CLOCK_H_
#define MULBERRYVALVE_CORE_RECONCILE_WORKER_CLOCK_H_

#include "mulberryvalve/core/base/time.h"

#include <optional>

namespace mulberryvalve {

// WorkerClock stores a reading of a worker's clock and the local time at which
// it was received. The reading was taken before it was received, so at any
// later time the worker's clock shows at least the reading plus the time since.
// Not thread-safe.
class WorkerClock
{
public:
  // OnReading stores a reading that was received at aReceived.
  void OnReading(WorkerTime aReading, MonotonicTime aReceived)
  {
    mReading = aReading;
    mReceivedAt = aReceived;
    mHasReading = true;
  }

  // Forget discards the reading, for example after a restart of the worker.
  void Forget() { mHasReading = false; }

  // At returns a lower bound of the worker's clock at local time aTime, or
  // nothing when there is no reading.
  std::optional<WorkerTime> At(MonotonicTime aTime) const
  {
    if (!mHasReading) {
      return std::nullopt;
    }
    const auto elapsed = std::chrono::floor<Milliseconds>(aTime - mReceivedAt);
    return WorkerTime{ mReading.mMilliseconds + elapsed.count() };
  }

private:
  WorkerTime mReading;
  MonotonicTime mReceivedAt;
  bool mHasReading = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_RECONCILE_WORKER_CLOCK_H_
