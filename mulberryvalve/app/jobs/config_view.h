// The configuration in force, shared between threads.
#ifndef MULBERRYVALVE_APP_JOBS_CONFIG_VIEW_H_
#define MULBERRYVALVE_APP_JOBS_CONFIG_VIEW_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/jobs/cluster_config.h"

#include <memory>

namespace mulberryvalve {

// Thread-safe. A configuration is immutable once published.
class ConfigView
{
public:
  // Returns the configuration in force. Its version is zero before the first
  // Put.
  std::shared_ptr<const ClusterConfig> Current() const
  {
    MutexLock lock(mMutex);
    return mConfig;
  }

  // Replaces the configuration.
  void Put(ClusterConfig aConfig)
  {
    auto config = std::make_shared<const ClusterConfig>(std::move(aConfig));
    MutexLock lock(mMutex);
    mConfig = std::move(config);
  }

private:
  mutable Mutex mMutex;
  std::shared_ptr<const ClusterConfig> mConfig MV_GUARDED_BY(mMutex) =
    std::make_shared<const ClusterConfig>();
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_CONFIG_VIEW_H_
