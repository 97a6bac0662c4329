// The known layout of the cluster, shared between threads.
#ifndef MULBERRYVALVE_APP_JOBS_LAYOUT_VIEW_H_
#define MULBERRYVALVE_APP_JOBS_LAYOUT_VIEW_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/jobs/cluster_layout.h"

namespace mulberryvalve {

// Thread-safe.
class LayoutView
{
public:
  // Returns the known layout.
  ClusterLayout Current() const
  {
    MutexLock lock(mMutex);
    return mLayout;
  }

  // Replaces the layout.
  void Put(const ClusterLayout& aLayout)
  {
    MutexLock lock(mMutex);
    mLayout = aLayout;
  }

private:
  mutable Mutex mMutex;
  ClusterLayout mLayout MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_LAYOUT_VIEW_H_
