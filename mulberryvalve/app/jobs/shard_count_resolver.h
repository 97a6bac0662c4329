// Agrees with all other instances on the number of shards.
#ifndef MULBERRYVALVE_APP_JOBS_SHARD_COUNT_RESOLVER_H_
#define MULBERRYVALVE_APP_JOBS_SHARD_COUNT_RESOLVER_H_

#include "mulberryvalve/app/jobs/layout_view.h"
#include "mulberryvalve/core/jobs/shard_count.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/cluster_feeds.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/keyed_log.h"

#include <optional>

namespace mulberryvalve {

// Ports that the resolver uses. All references must outlive it.
struct ShardCountPorts
{
  KeyedLog& mLog;
  WorkerFeed& mWorkers;
  const LayoutView& mLayout;
  const Clock& mClock;
  EventLog& mEvents;
};

// The number is recorded on the log once, at the first start of the cluster,
// and never changes: the shard of a job or worker depends on it. Not
// synchronised.
class ShardCountResolver
{
public:
  // How long an instance that may own shards waits for the first workers to
  // publish themselves before it records a number, and for how long the number
  // of workers must not have grown.
  static constexpr Milliseconds kMinObservation{ 2500 };
  static constexpr Milliseconds kQuietTime{ 400 };
  // After this time a number is recorded whatever workers there are.
  static constexpr Milliseconds kMaxObservation{ 8000 };
  // Attempts are made at this interval.
  static constexpr Milliseconds kInterval{ 200 };

  // aProcessor is the processor of this instance.
  ShardCountResolver(MilliCores aProcessor, ShardCountPorts aPorts);

  // Makes one attempt. Returns the recorded number, if it is known now. Blocks
  // for a few calls to the log.
  std::optional<uint32_t> Attempt();

private:
  std::optional<uint32_t> ReadRecorded();
  bool MayRecord(MonotonicTime aNow) const;
  bool IsWorkerCountSettled(MonotonicTime aNow);
  void Record();

  const MilliCores mProcessor;
  ShardCountPorts mPorts;
  const MonotonicTime mBegunAt;
  // The log was read, and holds no number.
  bool mIsUnrecorded = false;
  size_t mWorkerCount = 0;
  MonotonicTime mWorkerCountSince;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_SHARD_COUNT_RESOLVER_H_
