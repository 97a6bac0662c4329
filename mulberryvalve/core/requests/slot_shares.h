// SlotShares: how the live instances of a failure domain divide the slots and
// connections of one worker without coordination.
#ifndef MULBERRYVALVE_CORE_REQUESTS_SLOT_SHARES_H_
#define MULBERRYVALVE_CORE_REQUESTS_SLOT_SHARES_H_

#include "mulberryvalve/core/model/ids.h"

#include <cstdint>
#include <vector>

namespace mulberryvalve {

// LiveInstance is one live instance. mFresh is false when its digests are
// overdue, so that its use of slots is unknown.
struct LiveInstance
{
  InstanceId mId;
  bool mFresh = true;
};

// WorkerSlots holds a worker's number of slots and the attempts that peers with
// fresh digests have in flight there.
struct WorkerSlots
{
  WorkerId mWorker;
  uint32_t mSlots = 0;
  uint32_t mPeersInFlight = 0;
};

// GuaranteedSlots returns aRecipient's share of aSlots at aWorker: an equal
// part, with the remainder assigned by rendezvous hashing. The shares of all
// aMembers add up to aSlots. aMembers must contain aRecipient.
uint32_t GuaranteedSlots(const WorkerId& aWorker,
                         uint32_t aSlots,
                         const std::vector<LiveInstance>& aMembers,
                         const InstanceId& aRecipient);

// SlotLimit returns the number of attempts that aSelf may have in flight: its
// share, plus an equal part of the slots that fresh peers leave idle beyond it.
// The whole share of a member without fresh digests stays reserved. With stale
// digests the limits of all members can exceed the slots; the hard limit is the
// worker, which refuses a request before it starts. Each instance borrows only
// a part of the idle slots, because borrowing all of them caused refusals that
// used up the retry budget.
uint32_t SlotLimit(const WorkerSlots& aDemand,
                   const std::vector<LiveInstance>& aMembers,
                   const InstanceId& aSelf);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_SLOT_SHARES_H_
