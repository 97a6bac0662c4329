// Bundle: the operators' versioned scheduling configuration: placement rules,
// limits, priorities and team quotas.
#ifndef MULBERRYVALVE_CORE_BUNDLE_BUNDLE_H_
#define MULBERRYVALVE_CORE_BUNDLE_BUNDLE_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/resources.h"
#include "mulberryvalve/core/model/task.h"

#include <cstdint>
#include <map>
#include <string>

namespace mulberryvalve {

// PlacementRules set the capacity reserved for requests on each worker and how
// tasks are spread.
struct PlacementRules
{
  Resources mRequestReserve{ 2000, 4096, 0 };
  bool mSpreadRacks = true;
  // Target for the 99th percentile of request latency on every worker.
  Microseconds mRequestP99{ 100000 };
};

// Limits bound automatic actions of the system. Rates are per failure domain.
struct Limits
{
  int64_t mMaxAttempts = 5;
  int64_t mStartsPerSecond = 500;
  int64_t mEvictionsPerSecond = 20;
  int64_t mMovesPerSecond = 50;
  int64_t mRequestQueue = 256;
  int64_t mRetryPercent = 10;
  int64_t mHedgeBelowLoadPercent = 50;
  int64_t mThrottlePercent = 30;
};

// Priorities configure the aging of waiting tasks.
struct Priorities
{
  Milliseconds mAgingStep{ 60000 };
};

// TeamQuota bounds the resources that a team's tasks hold concurrently in one
// failure domain, and their priority.
struct TeamQuota
{
  Resources mResources;
  Priority mHighestPriority = Priority::kUrgent;
};

// Bundle is a value type; not synchronised.
struct Bundle
{
  BundleVersion mVersion;
  std::string mName;
  PlacementRules mPlacement;
  Limits mLimits;
  Priorities mPriorities;
  std::map<TeamId, TeamQuota> mTeams;
};

// BundleDigest returns a hash of the document's exact text. A sign-off refers
// to the bundle by this digest.
std::string BundleDigest(const std::string& aDocument);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_BUNDLE_BUNDLE_H_
