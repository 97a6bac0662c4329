// Controls the pace of best-effort tasks beside latency-sensitive (serving)
// tasks, which they disturb by amounts that change within seconds.
#ifndef MULBERRYVALVE_CORE_JOBS_PACE_CONTROL_H_
#define MULBERRYVALVE_CORE_JOBS_PACE_CONTROL_H_

#include "mulberryvalve/core/base/time.h"

#include <vector>

namespace mulberryvalve {

inline constexpr int kFullPace = 100;

// PaceState is the state of the controller of one worker.
struct PaceState
{
  int mPercent = kFullPace;
  // The highest tail latency in the last report, in percent of its target.
  int mTailPercentOfTarget = 0;
  // Reports that were requested before this time cannot reflect the last change
  // of pace and are ignored.
  MonotonicTime mIgnoreReportsBefore;
  // Since when every report has had some tail latency above its target.
  MonotonicTime mOverTargetSince;
};

// ServingReport is the last report on one serving task.
struct ServingReport
{
  // Its load, from 0 to 1, including the effect of best-effort tasks; see
  // InterferenceEstimator.
  double mLoad = 0;
  // The load at which its tail latency reaches the target.
  double mLimit = 1;
  // The pressure that the best-effort tasks put on it at full pace.
  double mPressure = 0;
};

// PaceAction is the action that a report requires.
enum class PaceAction
{
  kKeep,
  kChange, // PaceState::mPercent has changed
  kEvict,  // best-effort tasks must leave the worker
};

// UpdatePace updates the pace after reports that were requested at aAskedAt.
// The pace is set such that, by the learned pressure, the load of no task
// exceeds its limit. If a tail latency stays above its target nevertheless, the
// pace is halved, and later the best-effort tasks are evicted, before the
// latency has been above its target for long.
PaceAction UpdatePace(PaceState& aState,
                      const std::vector<ServingReport>& aReports,
                      MonotonicTime aAskedAt,
                      MonotonicTime aNow);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_PACE_CONTROL_H_
