// WorkerSpec: a worker as described by the platform's instance list.
#ifndef MULBERRYVALVE_CORE_MODEL_WORKER_H_
#define MULBERRYVALVE_CORE_MODEL_WORKER_H_

#include "mulberryvalve/core/base/enum_table.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/resources.h"

#include <cstdint>
#include <string>

namespace mulberryvalve {

enum class WorkerState
{
  kLive,
  kLeaving,
};

inline constexpr EnumTable<WorkerState, 2> kWorkerStateNames{ { {
  { WorkerState::kLive, "live" },
  { WorkerState::kLeaving, "leaving" },
} } };

// Endpoint is an IP address and a port.
struct Endpoint
{
  std::string mAddress;
  uint16_t mPort = 0;

  friend bool operator==(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return aLeft.mAddress == aRight.mAddress && aLeft.mPort == aRight.mPort;
  }
  friend bool operator!=(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return !(aLeft == aRight);
  }
};

// WorkerSpec describes a worker's location, capacity and state. mSlots is the
// number of requests that it runs at once. A value type; not synchronised.
struct WorkerSpec
{
  WorkerId mId;
  Endpoint mEndpoint;
  DomainId mDomain;
  RackId mRack;
  Resources mCapacity;
  int mSlots = 0;
  int mConnections = 0;
  WorkerState mState = WorkerState::kLive;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_MODEL_WORKER_H_
