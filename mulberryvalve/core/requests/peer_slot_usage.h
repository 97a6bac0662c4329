// PeerSlotUsage: a snapshot of the slots that the other instances of a failure
// domain use at its workers.
#ifndef MULBERRYVALVE_CORE_REQUESTS_PEER_SLOT_USAGE_H_
#define MULBERRYVALVE_CORE_REQUESTS_PEER_SLOT_USAGE_H_

#include "mulberryvalve/core/model/ids.h"

#include <cstdint>
#include <unordered_map>

namespace mulberryvalve {

// WorkerSlotUsage holds the attempts that peers have in flight at one worker,
// and the number of attempts that this instance may have in flight there (see
// SlotLimit).
struct WorkerSlotUsage
{
  uint32_t mPeersInFlight = 0;
  uint32_t mLimit = 0;
};

// PeerSlotUsage has an entry for each worker that several instances share. A
// worker without an entry is used by this instance only. Must not be modified
// once it is shared between threads.
using PeerSlotUsage = std::unordered_map<WorkerId, WorkerSlotUsage>;

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_PEER_SLOT_USAGE_H_
