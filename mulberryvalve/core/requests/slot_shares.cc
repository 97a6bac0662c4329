#include "mulberryvalve/core/requests/slot_shares.h"

#include <algorithm>
#include <xxhash.h>

namespace mulberryvalve {
namespace {

uint64_t RendezvousWeight(const WorkerId& aWorker, const InstanceId& aInstance)
{
  const std::string text = aWorker.Text() + "/" + aInstance.Text();
  return XXH64(text.data(), text.size(), 0);
}

} // namespace

uint32_t GuaranteedSlots(const WorkerId& aWorker,
                         uint32_t aSlots,
                         const std::vector<LiveInstance>& aMembers,
                         const InstanceId& aRecipient)
{
  const auto count = static_cast<uint32_t>(aMembers.size());
  if (count <= 1) {
    return aSlots;
  }
  const uint64_t own = RendezvousWeight(aWorker, aRecipient);
  uint32_t higherRanked = 0;
  for (const LiveInstance& member : aMembers) {
    const uint64_t weight = RendezvousWeight(aWorker, member.mId);
    const bool ranksHigher =
      weight > own || (weight == own && member.mId < aRecipient);
    higherRanked += member.mId != aRecipient && ranksHigher ? 1 : 0;
  }
  return aSlots / count + (higherRanked < aSlots % count ? 1 : 0);
}

uint32_t SlotLimit(const WorkerSlots& aDemand,
                   const std::vector<LiveInstance>& aMembers,
                   const InstanceId& aSelf)
{
  const uint32_t share =
    GuaranteedSlots(aDemand.mWorker, aDemand.mSlots, aMembers, aSelf);
  uint32_t reserved = aDemand.mPeersInFlight;
  for (const LiveInstance& member : aMembers) {
    if (!member.mFresh && member.mId != aSelf) {
      reserved +=
        GuaranteedSlots(aDemand.mWorker, aDemand.mSlots, aMembers, member.mId);
    }
  }
  const uint32_t used = reserved + share;
  const uint32_t idle = aDemand.mSlots > used ? aDemand.mSlots - used : 0;
  return share + idle / static_cast<uint32_t>(aMembers.size());
}

} // namespace mulberryvalve
