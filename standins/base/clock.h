// Time sources of the stand-ins: the `Clock` interface, `SystemClock`, which
// reads the system clocks, and `ManualClock`, which tests advance.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace mulberryvalve::standins {

using SteadyTime = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// A source of monotonic and wall-clock time. All methods are safe to call from
// any thread.
class Clock
{
public:
  virtual ~Clock() = default;

  // The monotonic time. All deadlines are expressed in it.
  virtual SteadyTime Now() const = 0;

  // Wall-clock time in milliseconds since the Unix epoch.
  virtual int64_t WallMs() const = 0;
};

// Reads the system clocks.
class SystemClock : public Clock
{
public:
  SteadyTime Now() const override { return std::chrono::steady_clock::now(); }

  int64_t WallMs() const override
  {
    return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
  }
};

// Returns a fixed time until `Advance` is called.
class ManualClock : public Clock
{
public:
  SteadyTime Now() const override
  {
    return SteadyTime(Milliseconds(mElapsedMs.load()));
  }

  int64_t WallMs() const override { return mElapsedMs.load(); }

  // Advances the time by `aStep`, which must not be negative.
  void Advance(Milliseconds aStep) { mElapsedMs += aStep.count(); }

private:
  std::atomic<int64_t> mElapsedMs{ 1000 };
};

} // namespace mulberryvalve::standins
