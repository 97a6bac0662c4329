#include "mulberryvalve/core/jobs/cluster_config.h"

namespace mulberryvalve {

const QueueRoute* ClusterConfig::Route(std::string_view aHost,
                                       std::string_view aPath) const
{
  const QueueRoute* best = nullptr;
  for (const QueueRoute& route : mRoutes) {
    const std::string& prefix = route.mPathPrefix;
    if (route.mHost != aHost || aPath.substr(0, prefix.size()) != prefix) {
      continue;
    }
    if (best == nullptr || prefix.size() > best->mPathPrefix.size()) {
      best = &route;
    }
  }
  return best;
}

} // namespace mulberryvalve
