// RoomPromises: room that owners of other shards have promised and that may
// still come.
#ifndef MULBERRYVALVE_CORE_JOBS_ROOM_PROMISES_H_
#define MULBERRYVALVE_CORE_JOBS_ROOM_PROMISES_H_

#include "mulberryvalve/core/jobs/room_request.h"

#include <deque>

namespace mulberryvalve {

// Tasks for which room was promised are not asked for again until their
// workers have had the time to come and to get starts. Not thread-safe.
class RoomPromises
{
public:
  // Records the answers to a request: aLeft holds what got no room, aWorkers is
  // the number of workers that were promised, one at least.
  void Add(const RoomRequest& aAsked,
           const RoomRequest& aLeft,
           uint32_t aWorkers,
           MonotonicTime aNow);

  // Records that a worker has come. It may be one that nobody promised, or
  // whose promise was lost.
  void OnArrival(MonotonicTime aNow);

  // Returns how many of the demand's tasks have no promise. A demand whose
  // tasks don't last has none to ask for while any promise for it stands: the
  // shard that gives keeps half of its idle workers each time.
  uint32_t Unpromised(const RoomDemand& aDemand, MonotonicTime aNow) const;

private:
  struct Promise
  {
    std::vector<RoomDemand> mDemands;
    uint32_t mWorkersToCome = 0;
    // Until when it holds for tasks that last, and for others.
    MonotonicTime mUntil;
    MonotonicTime mUntilForShort;
  };

  void Forget(MonotonicTime aNow);

  std::deque<Promise> mPromises;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_ROOM_PROMISES_H_
