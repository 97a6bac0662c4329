#include "mulberryvalve/core/jobs/room_request.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {

bool IsSameClass(const RoomDemand& aLeft, const RoomDemand& aRight)
{
  return aLeft.mService == aRight.mService &&
         aLeft.mRequiredLabel == aRight.mRequiredLabel &&
         aLeft.mDemand == aRight.mDemand &&
         aLeft.mLongRunning == aRight.mLongRunning &&
         aLeft.mMaxPerWorker == aRight.mMaxPerWorker;
}

uint64_t TasksOf(const RoomRequest& aRequest)
{
  uint64_t tasks = 0;
  for (const RoomDemand& demand : aRequest.mDemands) {
    tasks += demand.mCount;
  }
  return tasks;
}

void TakeOff(const RoomAnswer& aAnswer, RoomRequest& aRequest)
{
  std::vector<RoomDemand> left;
  for (size_t index = 0; index < aRequest.mDemands.size(); index++) {
    RoomDemand demand = aRequest.mDemands[index];
    const uint32_t given =
      index < aAnswer.mTasks.size() ? aAnswer.mTasks[index] : 0;
    demand.mCount -= std::min(demand.mCount, given);
    if (demand.mCount > 0) {
      left.push_back(std::move(demand));
    }
  }
  aRequest.mDemands = std::move(left);
}

} // namespace mulberryvalve
