// World: simulated time, the seeded random source and the log of one schedule.
#ifndef MULBERRYVALVE_TESTS_SCHEDULES_WORLD_H_
#define MULBERRYVALVE_TESTS_SCHEDULES_WORLD_H_

#include "mulberryvalve/ports/out/log_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace schedules {

constexpr int64_t kMs = 1000;

// DisabledMechanism is the safety mechanism that a schedule runs without. It is
// disabled through the injected ports and options.
enum class DisabledMechanism
{
  kNone,
  kNoTakeoverWait,
  kNoEpochFence,
  kNoReadBack,
  kNoStaleness,
  kNoInventory,
  kNoLeaseEnd,
  kNoStartDeadline,
};

// World runs events in time order in one thread. An event may itself advance
// the world, which simulates a blocking call.
class World
{
public:
  World(uint64_t aSeed, DisabledMechanism aDisabled)
    : mDisabled(aDisabled)
    , mRandom(aSeed)
  {
  }

  const DisabledMechanism mDisabled;
  int64_t mNow = 1;
  int mNestingDepth = 0;
  // Whether faults are injected.
  bool mFaultsEnabled = true;
  int64_t mOutageUntil = 0;
  int64_t mSlowUntil = 0;
  size_t mPageRecords = 60;

  // Returns the time that is aLength from now.
  int64_t After(int64_t aLength) const { return mNow + aLength; }

  // Returns a uniform random number in [0, aBound).
  int64_t Random(int64_t aBound)
  {
    return static_cast<int64_t>(mRandom() % static_cast<uint64_t>(aBound));
  }

  // Returns a uniform random number in [aFrom, aTo).
  int64_t Uniform(int64_t aFrom, int64_t aTo)
  {
    return aFrom + Random(aTo - aFrom);
  }

  // Returns true in aPercent of the calls while faults are injected.
  bool FaultOccurs(int64_t aPercent)
  {
    return mFaultsEnabled && Random(100) < aPercent;
  }

  void ScheduleAt(int64_t aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }

  void RunUntil(int64_t aTime)
  {
    mNestingDepth++;
    while (!mEvents.empty() && mEvents.begin()->first <= aTime) {
      const auto first = mEvents.begin();
      mNow = std::max(mNow, first->first);
      const std::function<void()> event = std::move(first->second);
      mEvents.erase(first);
      event();
    }
    mNow = std::max(mNow, aTime);
    mNestingDepth--;
  }

  struct Stream
  {
    std::vector<mulberryvalve::StoredRecord> mRecords;
    std::vector<int64_t> mDurableAt;
  };

  // Appends aRecords at once and returns the offset of the first.
  mulberryvalve::Offset Append(
    const std::string& aStream,
    const std::vector<mulberryvalve::LogRecord>& aRecords)
  {
    Stream& stream = mStreams[aStream];
    const mulberryvalve::Offset first(stream.mRecords.size() + 1);
    for (const mulberryvalve::LogRecord& record : aRecords) {
      stream.mRecords.push_back(
        { mulberryvalve::Offset(stream.mRecords.size() + 1), record });
      stream.mDurableAt.push_back(mNow);
    }
    mAppends++;
    return first;
  }

  mulberryvalve::LogPage Page(const std::string& aStream,
                              mulberryvalve::Offset aFrom)
  {
    const Stream& stream = mStreams[aStream];
    mulberryvalve::LogPage page;
    page.mOldest = mulberryvalve::Offset(1);
    page.mNext = mulberryvalve::Offset(stream.mRecords.size() + 1);
    for (size_t i = aFrom.Value() - 1;
         i < stream.mRecords.size() && page.mRecords.size() < mPageRecords;
         i++) {
      page.mRecords.push_back(stream.mRecords[i]);
    }
    return page;
  }

  std::map<std::string, Stream> mStreams;
  uint64_t mAppends = 0;

private:
  std::mt19937_64 mRandom;
  std::multimap<int64_t, std::function<void()>> mEvents;
};

} // namespace schedules

#endif // MULBERRYVALVE_TESTS_SCHEDULES_WORLD_H_
