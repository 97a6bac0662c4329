// AppendPace: when a shard's owner begins its next append.
#ifndef MULBERRYVALVE_APP_JOBS_APPEND_PACE_H_
#define MULBERRYVALVE_APP_JOBS_APPEND_PACE_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/progress_batch.h"

#include <chrono>

namespace mulberryvalve {

// Changes that no start waits for are grouped: two appends are kMinInterval
// apart unless starts wait for the second. Not thread-safe.
class AppendPace
{
public:
  using Time = std::chrono::steady_clock::time_point;

  static constexpr Milliseconds kMinInterval{ 10 };

  // Records that an append was answered, or that it wrote nothing.
  void OnAppended(Time aNow) { mGroupUntil = aNow + kMinInterval; }

  // Returns when to append what there is, which may be a time that has passed,
  // or aLatest if there is nothing.
  Time NextAt(AppendDemand aDemand, Time aLatest) const
  {
    switch (aDemand) {
      case AppendDemand::kNone:
        return aLatest;
      case AppendDemand::kChanges:
        return mGroupUntil;
      case AppendDemand::kStarts:
        return Time();
    }
    return aLatest;
  }

private:
  // Until then changes are grouped.
  Time mGroupUntil;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_APPEND_PACE_H_
