// LayoutView: the cluster's make-up as it is known, shared between threads.
#ifndef MULBERRYVALVE_APP_JOBS_LAYOUT_VIEW_H_
#define MULBERRYVALVE_APP_JOBS_LAYOUT_VIEW_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/jobs/cluster_layout.h"

namespace mulberryvalve {

// LayoutView is thread-safe.
class LayoutView
{
public:
  // Present returns what is known.
  ClusterLayout Present() const
  {
    MutexLock lock(mMutex);
    return mLayout;
  }

  // Put replaces it.
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
