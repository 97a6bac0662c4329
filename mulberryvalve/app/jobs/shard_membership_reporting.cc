// Log events and metrics of ShardMembership.
#include "mulberryvalve/app/jobs/shard_membership.h"

#include <utility>

namespace mulberryvalve {

void ShardMembership::UpdateOwnedGauge()
{
  mPorts.mMetrics.Set(Gauge::kShardsOwned,
                      static_cast<int64_t>(mBalancer.CountHeld()));
}

// Logs only the first of several consecutive failures.
void ShardMembership::OnCallFailed(const char* aCall, const Failure& aFailure)
{
  bool lost = false;
  {
    MutexLock lock(mMutex);
    lost = std::exchange(mIsReachable, false);
  }
  if (lost) {
    LogFailure(aCall, aFailure);
  }
}

void ShardMembership::LogFailure(const char* aCall, const Failure& aFailure)
{
  mPorts.mMetrics.Add(Counter::kLogFailures, 1);
  mPorts.mEvents.Write(
    EventLevel::kWarn,
    "group_fault",
    { { "shard", std::to_string(mShard) },
      { "what", aCall },
      { "kind", std::string(kFailureKindNames.Name(aFailure.mKind)) },
      { "field", aFailure.mField },
      { "detail", aFailure.mDetail } });
}

void ShardMembership::LogEvent(std::string_view aName,
                               std::vector<EventField> aFields)
{
  aFields.insert(aFields.begin(), { "shard", std::to_string(mShard) });
  mPorts.mEvents.Write(EventLevel::kInfo, aName, aFields);
}

} // namespace mulberryvalve
