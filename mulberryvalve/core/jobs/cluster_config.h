// The operators' configuration: queues with their routes, and the failure
// domains taken out of service.
#ifndef MULBERRYVALVE_CORE_JOBS_CLUSTER_CONFIG_H_
#define MULBERRYVALVE_CORE_JOBS_CLUSTER_CONFIG_H_

#include "mulberryvalve/core/accounts/account_directory.h"
#include "mulberryvalve/core/jobs/job_graph.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryvalve {

// QueueRoute is where clients submit the jobs of a queue: a host name and a
// path prefix, which together name the queue.
struct QueueRoute
{
  std::string mHost;
  std::string mPathPrefix;
  QueueRules mRules;
  // Callers need no key of a client account.
  bool mIsPublic = false;

  // Id returns the queue's name.
  QueueId Id() const { return QueueId(mHost + mPathPrefix); }
};

// ClusterConfig is a value type; not synchronised.
struct ClusterConfig
{
  // Zero before the first configuration arrives.
  uint64_t mVersion = 0;
  std::vector<QueueRoute> mRoutes;
  std::map<QueueId, QueueRules> mRules;
  // Failure domains whose workers get no new tasks.
  std::set<DomainId> mExcludedDomains;
  // The client accounts; null if the configuration has none, so that no call
  // needs a key and no job belongs to an account.
  std::shared_ptr<const AccountDirectory> mAccounts;
  // The largest request body that a client may send, in bytes.
  size_t mMaxBodyBytes = 0;

  // Route returns the route of aHost with the longest matching prefix of aPath,
  // or null if none matches.
  const QueueRoute* Route(std::string_view aHost, std::string_view aPath) const;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_CLUSTER_CONFIG_H_
