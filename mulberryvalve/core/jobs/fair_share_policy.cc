#include "mulberryvalve/core/jobs/fair_share_policy.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace mulberryvalve {
namespace {

// What an account has running counts as the work of this time.
constexpr double kRunningMs = 1000;
constexpr double kMinWeight = 0.001;

// Queue is the position in the fair order of one account within a priority.
struct Queue
{
  // The work that is served before its next job, for its weight.
  double mVirtualTime = 0;
  // The job of its last step. The steps of a job share their work.
  uint64_t mLastArrival = 0;
};

struct RankedStep
{
  bool mIsBeyondRate = false;
  int mPriority = 0;
  double mVirtualFinish = 0;
  size_t mPosition = 0;

  friend bool operator<(const RankedStep& aLeft, const RankedStep& aRight)
  {
    return std::tie(aLeft.mIsBeyondRate,
                    aLeft.mPriority,
                    aLeft.mVirtualFinish,
                    aLeft.mPosition) < std::tie(aRight.mIsBeyondRate,
                                                aRight.mPriority,
                                                aRight.mVirtualFinish,
                                                aRight.mPosition);
  }
};

double VirtualFinish(Queue& aQueue, const WaitingStep& aStep)
{
  if (aQueue.mLastArrival != aStep.mStep.mArrivalNumber) {
    aQueue.mLastArrival = aStep.mStep.mArrivalNumber;
    aQueue.mVirtualTime += static_cast<double>(aStep.mRemainingWork) /
                           std::max(kMinWeight, aStep.mShare.mWeight);
  }
  return aQueue.mVirtualTime;
}

Queue InitialQueue(const AccountShare& aShare)
{
  Queue queue;
  queue.mVirtualTime = static_cast<double>(aShare.mRunningCpuMillis) *
                       kRunningMs / std::max(kMinWeight, aShare.mWeight);
  return queue;
}

} // namespace

void FairSharePolicy::Sort(std::vector<WaitingStep>& aSteps,
                           MonotonicTime aNow) const
{
  mWithinAccount.Sort(aSteps, aNow);
  const bool hasAccounts =
    std::any_of(aSteps.begin(), aSteps.end(), [](const WaitingStep& aStep) {
      return aStep.mShare.mAccount != 0;
    });
  if (!hasAccounts) {
    return;
  }
  std::map<std::tuple<bool, int, uint32_t>, Queue> queues;
  std::vector<RankedStep> ranks;
  ranks.reserve(aSteps.size());
  for (const WaitingStep& step : aSteps) {
    const AccountShare& share = step.mShare;
    const auto queue =
      queues
        .try_emplace({ share.mIsBeyondRate, step.mPriority, share.mAccount },
                     InitialQueue(share))
        .first;
    ranks.push_back(RankedStep{ share.mIsBeyondRate,
                                step.mPriority,
                                VirtualFinish(queue->second, step),
                                ranks.size() });
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<WaitingStep> sorted;
  sorted.reserve(aSteps.size());
  for (const RankedStep& rank : ranks) {
    sorted.push_back(aSteps[rank.mPosition]);
  }
  aSteps = std::move(sorted);
}

} // namespace mulberryvalve
