// WaitingAgeEstimator: estimates how long a task has waited from the log offset
// at which it began to wait, with a bounded number of samples for all tasks.
#ifndef MULBERRYVALVE_CORE_COLOCATION_WAITING_AGE_ESTIMATOR_H_
#define MULBERRYVALVE_CORE_COLOCATION_WAITING_AGE_ESTIMATOR_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"

#include <algorithm>
#include <deque>

namespace mulberryvalve {

// WaitingAgeEstimator measures from the first round of the current owner, so
// waiting times start over when the owner changes. Not thread-safe.
class WaitingAgeEstimator
{
public:
  // OnRound records that the log was applied up to aFolded at aNow.
  void OnRound(Offset aFolded, MonotonicTime aNow, Milliseconds aAgingStep)
  {
    if (mSamples.empty() ||
        aNow >= mSamples.back().mAt + aAgingStep / kSamplesPerStep) {
      mSamples.push_back(Sample{ aFolded, aNow });
    }
    if (mSamples.size() > kMaxSamples) {
      mSamples.pop_front();
    }
  }

  // WholeSteps returns the number of whole aging steps that a task has waited
  // since offset aSince.
  int WholeSteps(Offset aSince,
                 MonotonicTime aNow,
                 Milliseconds aAgingStep) const
  {
    const auto after =
      std::lower_bound(mSamples.begin(),
                       mSamples.end(),
                       aSince,
                       [](const Sample& aSample, Offset aOffset) {
                         return aSample.mFolded < aOffset;
                       });
    return after == mSamples.end()
             ? 0
             : static_cast<int>((aNow - after->mAt) / Microseconds(aAgingStep));
  }

private:
  static constexpr int kSamplesPerStep = 8;
  static constexpr size_t kMaxSamples = 64;

  struct Sample
  {
    Offset mFolded;
    MonotonicTime mAt;
  };

  std::deque<Sample> mSamples;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_COLOCATION_WAITING_AGE_ESTIMATOR_H_
