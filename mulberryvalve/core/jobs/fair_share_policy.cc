#include "mulberryvalve/core/jobs/fair_share_policy.h"

#include <algorithm>
#include <tuple>

namespace mulberryvalve {
namespace {

bool GoesFirst(const WaitingStep& aLeft, const WaitingStep& aRight)
{
  return std::tie(aLeft.mShare.mIsBeyondRate,
                  aLeft.mPriority,
                  aLeft.mShare.mIsAboveShare) <
         std::tie(aRight.mShare.mIsBeyondRate,
                  aRight.mPriority,
                  aRight.mShare.mIsAboveShare);
}

bool IsPutBack(const WaitingStep& aStep)
{
  return aStep.mShare.mIsBeyondRate || aStep.mShare.mIsAboveShare;
}

} // namespace

void FairSharePolicy::Sort(std::vector<WaitingStep>& aSteps,
                           MonotonicTime aNow) const
{
  mOrder.Sort(aSteps, aNow);
  if (std::any_of(aSteps.begin(), aSteps.end(), IsPutBack)) {
    std::stable_sort(aSteps.begin(), aSteps.end(), GoesFirst);
  }
}

} // namespace mulberryvalve
