// Switches for fault injection, set over HTTP and evaluated by a stand-in.
//
// Each stand-in declares its switches in an `enum class` with a name table. A
// set stores one integer per switch (0 or 1 for a flag).

#pragma once

#include <array>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "standins/base/clock.h"

namespace mulberryvalve::standins {

enum class SwitchKind
{
  kFlag,
  // A number that keeps its value until it is set again.
  kNumber,
  // The number of remaining uses, which `ConsumeOne` decrements.
  kCount,
};

template<typename Switch>
struct SwitchEntry
{
  Switch mSwitch;
  std::string_view mName;
  SwitchKind mKind;
};

// The result of waiting for a flag to be switched off.
enum class WaitResult
{
  kSwitchedOff,
  kTimedOut,
  kClosed,
};

// Stores the values of the switches of `Table`, whose entries must be in the
// order of the enum's values. Thread-safe.
template<typename Switch, const auto& Table>
class FaultSwitches
{
public:
  using Entry = SwitchEntry<Switch>;

  // The current value; 0 if it was never set.
  int64_t Value(Switch aSwitch) const
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return mValues[Index(aSwitch)];
  }

  bool IsOn(Switch aSwitch) const { return Value(aSwitch) != 0; }

  // Decrements a counted switch. Returns false if it is already 0.
  bool ConsumeOne(Switch aSwitch)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    int64_t& left = mValues[Index(aSwitch)];
    if (left <= 0) {
      return false;
    }
    --left;
    return true;
  }

  // Sets one switch and wakes the threads that wait for it.
  void Set(Switch aSwitch, int64_t aValue)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mValues[Index(aSwitch)] = aValue;
    mCondition.notify_all();
  }

  // Waits while the flag is on, until `aDeadline` or `Close`.
  WaitResult WaitWhileOn(Switch aSwitch, SteadyTime aDeadline)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    mCondition.wait_until(lock, aDeadline, [this, aSwitch] {
      return mClosed || mValues[Index(aSwitch)] == 0;
    });
    if (mClosed) {
      return WaitResult::kClosed;
    }
    return mValues[Index(aSwitch)] == 0 ? WaitResult::kSwitchedOff
                                        : WaitResult::kTimedOut;
  }

  // Wakes all waiting threads at shutdown.
  void Close()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mClosed = true;
    mCondition.notify_all();
  }

private:
  static std::size_t Index(Switch aSwitch)
  {
    return static_cast<std::size_t>(aSwitch);
  }

  mutable std::mutex mMutex;
  std::condition_variable mCondition;
  std::array<int64_t, Table.size()> mValues{};
  bool mClosed = false;
};

} // namespace mulberryvalve::standins
