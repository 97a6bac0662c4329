// A task that runs under a lease.

#pragma once

#include <optional>

#include "standins/worker_model/worker_types.h"

namespace mulberryvalve::standins {

// How and when a task ends if no further command changes it.
struct TaskEnd
{
  ClockMs mAt = 0;
  TaskOutcome mOutcome = TaskOutcome::kCompleted;
  EndReason mReason = EndReason::kNone;
};

// Tracks the progress of a task. Not thread-safe; guarded by its worker's lock.
class RunningTask
{
public:
  // Starts at `aNow` with `aProgressMs` of progress from a checkpoint.
  RunningTask(StartCommand aCommand, int64_t aProgressMs, ClockMs aNow);

  const StartCommand& Command() const { return mCommand; }
  const std::string& Checkpoint() const { return mCheckpoint; }

  // Extends the lease to `aExpiresAt`; an earlier time has no effect.
  void Renew(ClockMs aExpiresAt);

  // Sets the speed in percent of full speed, clamped to 0 to 100.
  void Throttle(int64_t aPercent, ClockMs aNow);

  // Saves the progress made until `aNow` and returns the checkpoint's id.
  const std::string& TakeCheckpoint(ClockMs aNow);

  // The end that comes first: lease expiry or completion of the work.
  TaskEnd NextEnd() const;

  RunningReport Report(ClockMs aNow) const;
  LeaseUsage Usage() const;

private:
  int64_t ProgressPercentMs(ClockMs aNow) const;

  StartCommand mCommand;
  std::string mCheckpoint;
  int64_t mThrottlePercent = 100;
  // Progress at `mProgressAt`, in hundredths of a ms at full speed, so that a
  // speed in percent needs no rounding.
  int64_t mProgressPercentMs = 0;
  ClockMs mProgressAt = 0;
};

} // namespace mulberryvalve::standins
