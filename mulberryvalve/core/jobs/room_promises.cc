#include "mulberryvalve/core/jobs/room_promises.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// Within this time workers that were promised come, or not at all.
constexpr Milliseconds kArrivalTime{ 3000 };
// Within this time a worker that has come is heard from and gets its starts.
constexpr Milliseconds kFirstStartTime{ 1000 };

uint32_t CountOf(const RoomDemand& aDemand,
                 const std::vector<RoomDemand>& aDemands)
{
  const auto found = std::find_if(
    aDemands.begin(), aDemands.end(), [&](const RoomDemand& aOther) {
      return IsSameClass(aDemand, aOther);
    });
  return found == aDemands.end() ? 0 : found->mCount;
}

} // namespace

void RoomPromises::Add(const RoomRequest& aAsked,
                       const RoomRequest& aLeft,
                       uint32_t aWorkers,
                       MonotonicTime aNow)
{
  Forget(aNow);
  Promise promise;
  promise.mWorkersToCome = aWorkers;
  promise.mUntil = aNow + kArrivalTime;
  promise.mUntilForShort = promise.mUntil;
  for (RoomDemand demand : aAsked.mDemands) {
    const uint32_t left = CountOf(demand, aLeft.mDemands);
    demand.mCount -= std::min(demand.mCount, left);
    if (demand.mCount > 0) {
      promise.mDemands.push_back(std::move(demand));
    }
  }
  mPromises.push_back(std::move(promise));
}

void RoomPromises::OnArrival(MonotonicTime aNow)
{
  const auto open = std::find_if(
    mPromises.begin(), mPromises.end(), [](const Promise& aPromise) {
      return aPromise.mWorkersToCome > 0;
    });
  if (open == mPromises.end()) {
    return;
  }
  open->mWorkersToCome--;
  if (open->mWorkersToCome == 0) {
    open->mUntil = std::min(open->mUntil, aNow + kFirstStartTime);
  }
}

uint32_t RoomPromises::Unpromised(const RoomDemand& aDemand,
                                  MonotonicTime aNow) const
{
  uint32_t left = aDemand.mCount;
  for (const Promise& promise : mPromises) {
    const uint32_t promised = CountOf(aDemand, promise.mDemands);
    if (aDemand.mLongRunning && aNow < promise.mUntil) {
      left -= std::min(left, promised);
    }
    const bool isHeldBack =
      !aDemand.mLongRunning && promised > 0 && aNow < promise.mUntilForShort;
    if (isHeldBack) {
      return 0;
    }
  }
  return left;
}

void RoomPromises::Forget(MonotonicTime aNow)
{
  while (!mPromises.empty() && aNow >= mPromises.front().mUntilForShort) {
    mPromises.pop_front();
  }
}

} // namespace mulberryvalve
