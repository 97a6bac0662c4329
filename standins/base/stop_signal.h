// A stop flag that wakes all waiting threads at shutdown.

#pragma once

#include <condition_variable>
#include <mutex>

#include "standins/base/clock.h"

namespace mulberryvalve::standins {

// Lets threads sleep until a deadline or until `Stop` is called. Thread-safe.
class StopSignal
{
public:
  // Waits until `aDeadline`. Returns false if `Stop` was called first.
  bool WaitUntil(SteadyTime aDeadline)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    return !mCondition.wait_until(lock, aDeadline, [this] { return mStopped; });
  }

  // Wakes all waiting threads and makes later waits return at once.
  // Idempotent.
  void Stop()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
    mCondition.notify_all();
  }

private:
  std::mutex mMutex;
  std::condition_variable mCondition;
  bool mStopped = false;
};

} // namespace mulberryvalve::standins
