// ClusterLayout: what all instances know alike of the cluster's make-up.
#ifndef MULBERRYVALVE_CORE_JOBS_CLUSTER_LAYOUT_H_
#define MULBERRYVALVE_CORE_JOBS_CLUSTER_LAYOUT_H_

#include <cstdint>

namespace mulberryvalve {

// Thousandths of a core.
using MilliCores = uint32_t;

// ClusterLayout is a value type; not synchronised.
struct ClusterLayout
{
  // The largest processor of any instance that ever started; zero while that
  // is not known yet.
  MilliCores mLargestProcessor = 0;

  // IsCapable tells whether an instance may own a shard as well as any: it has
  // at least half of the largest processor.
  bool IsCapable(MilliCores aProcessor) const
  {
    return mLargestProcessor > 0 && aProcessor >= mLargestProcessor / 2;
  }
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_CLUSTER_LAYOUT_H_
