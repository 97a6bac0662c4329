// The platform's list of worker instances. Changes become visible after a lag.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "standins/base/clock.h"
#include "standins/base/name_table.h"

namespace mulberryvalve::standins {

enum class InstanceState
{
  kLive,
  kLeaving,
  kGone,
};

constexpr NameTable<InstanceState, 3> kInstanceStateNames{ {
  { InstanceState::kLive, "live" },
  { InstanceState::kLeaving, "leaving" },
  { InstanceState::kGone, "gone" },
} };

struct Instance
{
  std::string mId;
  std::string mAddress;
  uint16_t mPort = 0;
  std::string mDomain;
  std::string mRack;
  int64_t mCpuMillis = 0;
  int64_t mMemoryMb = 0;
  int64_t mAccelerators = 0;
  int64_t mSlots = 0;
  int64_t mConnections = 0;
  InstanceState mState = InstanceState::kLive;
};

// Stores the instances and returns them as they were one lag ago. Thread-safe.
class InstanceList
{
public:
  // `aClock` must outlive the list.
  InstanceList(Milliseconds aLag, const Clock& aClock);

  // Adds an instance or replaces the one with its id.
  void Register(const Instance& aInstance);

  // Changes the state; `kGone` removes the instance. Returns false if no
  // instance has that id.
  bool ChangeState(const std::string& aId, InstanceState aState);

  // The instances as they were one lag ago, sorted by id.
  std::vector<Instance> Visible();

private:
  struct Change
  {
    SteadyTime mVisibleAt;
    std::string mId;
    // nullopt if the instance is removed.
    std::optional<Instance> mInstance;
  };

  void QueueChange(const std::string& aId, std::optional<Instance> aInstance);

  const Milliseconds mLag;
  const Clock& mClock;
  std::mutex mMutex;
  std::map<std::string, Instance> mCurrent;
  std::map<std::string, Instance> mVisible;
  std::deque<Change> mPending;
};

} // namespace mulberryvalve::standins
