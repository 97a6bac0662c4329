// PaceControl: how fast tasks that fill may work beside tasks whose users feel
// it. It answers the pattern of batch work that disturbs services on the same
// worker by amounts that change within seconds.
#ifndef MULBERRYVALVE_CORE_JOBS_PACE_CONTROL_H_
#define MULBERRYVALVE_CORE_JOBS_PACE_CONTROL_H_

#include "mulberryvalve/core/base/time.h"

#include <vector>

namespace mulberryvalve {

inline constexpr int kFullPace = 100;

// PaceState is the control of one worker.
struct PaceState
{
  int mPercent = kFullPace;
  // The worst tail in hundredths of its target, as last reported.
  int mRatioPercent = 0;
  // A report counts only when it was asked for after the last change could
  // show in it.
  MonotonicTime mIgnoreReportsBefore;
  // Since when some tail is over its target in every report.
  MonotonicTime mOverTargetSince;
};

// ServingReport is what the last report says of one serving task.
struct ServingReport
{
  // Its load, between 0 and 1, with what presses on it; see InterferenceBook.
  double mLoad = 0;
  // The load at which its tail reaches the target.
  double mLimit = 1;
  // The pressure of what fills beside it, at full speed.
  double mPressure = 0;
};

// PaceVerdict is what a report calls for.
enum class PaceVerdict
{
  kKeep,
  kChange, // PaceState::mPercent has changed
  kMove,   // what fills must leave the worker
};

// OnReports takes in a report that was asked for at aAskedAt. The pace is set
// so that no task's load passes its limit, by what is known of the pressure.
// When that was wrong and a tail stays over its target, the pace is halved, and
// then what fills is moved before the tail was over for long.
PaceVerdict OnReports(PaceState& aState,
                      const std::vector<ServingReport>& aReports,
                      MonotonicTime aAskedAt,
                      MonotonicTime aNow);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_PACE_CONTROL_H_
