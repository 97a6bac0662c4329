// Adds up what the shards of an instance hold back for workers of former
// owners, in the metrics.
#ifndef MULBERRYVALVE_APP_JOBS_HELD_TASK_METRICS_H_
#define MULBERRYVALVE_APP_JOBS_HELD_TASK_METRICS_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/jobs/held_task_report.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/ports/out/metrics.h"
#include "mulberryvalve/ports/out/shard_group.h"

#include <map>
#include <utility>

namespace mulberryvalve {

// The gauges cover all ownerships of the instance. Thread-safe.
class HeldTaskMetrics
{
public:
  // aMetrics must outlive this object.
  explicit HeldTaskMetrics(Metrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  // Records the present stats of an ownership.
  void Observe(ShardNumber aShard, Epoch aEpoch, const HeldTaskStats& aStats);

  // Records that an ownership holds nothing any more, since it is over.
  void OnOwnershipOver(ShardNumber aShard, Epoch aEpoch);

private:
  void CountReleases(const HeldTaskStats& aStats) const;
  void SetGauges() const MV_REQUIRES(mMutex);

  Metrics& mMetrics;
  Mutex mMutex;
  // The ownerships that hold tasks.
  std::map<std::pair<ShardNumber, Epoch>, HeldTaskStats> mHolding
    MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_HELD_TASK_METRICS_H_
