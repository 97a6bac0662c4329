// ClusterConfig: the operators' configuration of queues and the failure domains
// that they took out.
#ifndef MULBERRYVALVE_CORE_JOBS_CLUSTER_CONFIG_H_
#define MULBERRYVALVE_CORE_JOBS_CLUSTER_CONFIG_H_

#include "mulberryvalve/core/jobs/job_graph.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryvalve {

// QueueRoute is where jobs of a queue are handed in: a host name and a prefix
// of the path. The two together name the queue.
struct QueueRoute
{
  std::string mHost;
  std::string mPathPrefix;
  QueueRules mRules;

  // Id returns the queue's name.
  QueueId Id() const { return QueueId(mHost + mPathPrefix); }
};

// ClusterConfig is a value type; not synchronised.
struct ClusterConfig
{
  // Zero before the first configuration.
  uint64_t mVersion = 0;
  std::vector<QueueRoute> mRoutes;
  std::map<QueueId, QueueRules> mRules;
  // Failure domains whose workers get nothing new.
  std::set<DomainId> mDomainsOut;
  // The largest body that a caller may send, in bytes.
  size_t mMaxBodyBytes = 0;

  // Route returns the route of aHost with the longest prefix of aPath, or
  // null.
  const QueueRoute* Route(std::string_view aHost, std::string_view aPath) const;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_CLUSTER_CONFIG_H_
