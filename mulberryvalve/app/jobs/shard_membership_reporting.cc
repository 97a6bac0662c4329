// Log events and metrics of ShardMembership.
#include "mulberryvalve/app/jobs/shard_membership.h"

#include <utility>

namespace mulberryvalve {
namespace {

std::string TextOf(const Endpoint& aPeer)
{
  return aPeer.mAddress + ":" + std::to_string(aPeer.mPort);
}

} // namespace

void ShardMembership::UpdateOwnedGauge()
{
  mPorts.mMetrics.Set(Gauge::kShardsOwned,
                      static_cast<int64_t>(mBalancer.CountHeld()));
}

void ShardMembership::LogViewIfChanged(const GroupView& aView)
{
  const std::string owner =
    aView.mOwner ? TextOf(aView.mOwner->mPeer) : std::string("none");
  std::string others;
  for (const GroupMember& member : aView.mOthers) {
    others += (others.empty() ? "" : " ") + TextOf(member.mPeer);
  }
  std::string members = owner + " " + others;
  if (mLoggedMembers != members) {
    mLoggedMembers = std::move(members);
    LogEvent("group_members", { { "owner", owner }, { "others", others } });
  }
}

void ShardMembership::LogDealIfChanged(const GroupAssignment& aShare)
{
  if (aShare.mGeneration == mDealtGeneration) {
    return;
  }
  LogEvent("group_dealt",
           { { "generation", std::to_string(aShare.mGeneration.Value()) },
             { "before", std::to_string(mDealtGeneration.Value()) },
             { "holds", aShare.mHoldsShard ? "yes" : "no" },
             { "only_member", aShare.mIsOnlyMember ? "yes" : "no" } });
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
