#include "mulberryvalve/core/jobs/shard_count.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

// How many workers an owner with a whole core carries at the load of a busy
// cluster: about two starts a second each.
constexpr size_t kWorkersPerCore = 1400;
constexpr size_t kMilliCoresPerCore = 1000;

} // namespace

uint32_t ShardCountFor(size_t aWorkers, MilliCores aLargestCpu)
{
  const size_t carried =
    std::max<size_t>(1, kWorkersPerCore * aLargestCpu / kMilliCoresPerCore);
  const size_t needed = (aWorkers + carried - 1) / carried;
  return static_cast<uint32_t>(std::clamp<size_t>(needed, 1, kMaxShardCount));
}

} // namespace mulberryvalve
