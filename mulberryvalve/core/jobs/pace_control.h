// PaceControl: how fast tasks that fill may work beside tasks whose users feel
// it. It answers the pattern of batch work that disturbs services on the same
// worker by amounts that change within seconds.
#ifndef MULBERRYVALVE_CORE_JOBS_PACE_CONTROL_H_
#define MULBERRYVALVE_CORE_JOBS_PACE_CONTROL_H_

#include "mulberryvalve/core/base/time.h"

namespace mulberryvalve {

inline constexpr int kFullPace = 100;

// PaceState is the control of one worker. mRatioPercent is the worst tail of
// its serving tasks in hundredths of its target, as last reported.
struct PaceState
{
  int mPercent = kFullPace;
  int mRatioPercent = 0;
  MonotonicTime mReportedAt;
  // A report counts only when it was taken after the last change took effect.
  MonotonicTime mNextReportFrom;
  // Since when the pace is so low that tasks had better work elsewhere.
  MonotonicTime mLowSince;
};

// PaceVerdict is what a report calls for.
enum class PaceVerdict
{
  kKeep,
  kChange, // PaceState::mPercent has changed
  kMove,   // the tasks that fill had better work elsewhere
};

// OnTailReport takes in that the worst tail is aRatioPercent of its target in a
// report that was asked for at aAskedAt. One report causes one change at most:
// steps down follow how far the target is missed, steps up are small.
PaceVerdict OnTailReport(PaceState& aState,
                         int aRatioPercent,
                         MonotonicTime aAskedAt,
                         MonotonicTime aNow);

// MayAddFilling tells whether the last report leaves room for one more task
// that fills.
bool MayAddFilling(const PaceState& aState);

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_PACE_CONTROL_H_
