// Properties of the cluster that all instances agree on.
#ifndef MULBERRYVALVE_CORE_JOBS_CLUSTER_LAYOUT_H_
#define MULBERRYVALVE_CORE_JOBS_CLUSTER_LAYOUT_H_

#include <cstdint>

namespace mulberryvalve {

// Thousandths of a core.
using MilliCores = uint32_t;

// ClusterLayout is a value type; not synchronised.
struct ClusterLayout
{
  // CPU capacity of the largest instance that ever started; zero while unknown.
  MilliCores mLargestCpu = 0;

  // MayOwnShards returns whether an instance with aProcessor is fit to own
  // shards: it has at least half the CPU capacity of the largest instance.
  bool MayOwnShards(MilliCores aProcessor) const
  {
    return mLargestCpu > 0 && aProcessor >= mLargestCpu / 2;
  }
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_CLUSTER_LAYOUT_H_
