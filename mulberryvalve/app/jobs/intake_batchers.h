// The AppendBatcher of each shard's intake.
#ifndef MULBERRYVALVE_APP_JOBS_INTAKE_BATCHERS_H_
#define MULBERRYVALVE_APP_JOBS_INTAKE_BATCHERS_H_

#include "mulberryvalve/app/jobs/append_batcher.h"
#include "mulberryvalve/ports/out/shard_group.h"

#include <memory>
#include <vector>

namespace mulberryvalve {

// All appends of an instance to a shard's intake go through one batcher, so
// that the callers of the instance and entries that others relay to it share
// calls. Thread-safe.
class IntakeBatchers
{
public:
  // aLog and aClock must outlive this object.
  IntakeBatchers(ShardNumber aShards, KeyedLog& aLog, const Clock& aClock)
  {
    for (ShardNumber shard = 0; shard < aShards; shard++) {
      mBatchers.push_back(std::make_unique<AppendBatcher>(
        aLog, aClock, TopicPartition{ KeyedTopic::kIntake, shard }));
    }
  }

  // Precondition: aShard is less than the number of shards.
  AppendBatcher& Of(ShardNumber aShard) { return *mBatchers[aShard]; }

  ShardNumber Shards() const
  {
    return static_cast<ShardNumber>(mBatchers.size());
  }

private:
  std::vector<std::unique_ptr<AppendBatcher>> mBatchers;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_INTAKE_BATCHERS_H_
