// Into how many shards a cluster's workers and jobs are dealt.
#ifndef MULBERRYVALVE_CORE_JOBS_SHARD_COUNT_H_
#define MULBERRYVALVE_CORE_JOBS_SHARD_COUNT_H_

#include "mulberryvalve/core/jobs/cluster_layout.h"

#include <cstddef>
#include <cstdint>

namespace mulberryvalve {

inline constexpr uint32_t kMaxShardCount = 16;

// Returns how many shards aWorkers workers need if the largest instances have
// aLargestCpu: as few as their owners can carry, since a shard can be full
// while another has room. At least 1, at most kMaxShardCount. aLargestCpu must
// not be zero.
uint32_t ShardCountFor(size_t aWorkers, MilliCores aLargestCpu);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_SHARD_COUNT_H_
