#include "mulberryvalve/core/jobs/log_availability.h"

#include <algorithm>

namespace mulberryvalve {

AppendTurn LogAvailability::NextTurn(MonotonicTime aNow) const
{
  if (mHeardAt < mSilentAt) {
    const bool isTrialDue = aNow >= *mLastBegunAt + kTrialInterval;
    return isTrialDue ? AppendTurn::kSend : AppendTurn::kRefuse;
  }
  if (mBegun.empty()) {
    return AppendTurn::kSend;
  }
  if (!IsOverdue(*mBegun.rbegin(), aNow)) {
    return AppendTurn::kWait;
  }
  return mBegun.size() < kMaxCalls ? AppendTurn::kSend : AppendTurn::kRefuse;
}

void LogAvailability::OnCallBegan(MonotonicTime aNow)
{
  mBegun.insert(aNow);
  mLastBegunAt = aNow;
}

void LogAvailability::OnCallEnded(MonotonicTime aBegunAt,
                                  LogCallEnd aEnd,
                                  MonotonicTime aNow)
{
  const auto begun = mBegun.find(aBegunAt);
  if (begun != mBegun.end()) {
    mBegun.erase(begun);
  }
  if (aEnd != LogCallEnd::kLost) {
    OnOtherAnswer(aBegunAt);
  } else if (IsOverdue(aBegunAt, aNow)) {
    mSilentAt = std::max(mSilentAt, std::make_optional(aBegunAt));
  }
  if (aEnd == LogCallEnd::kAnswered) {
    mAwaySince.reset();
  } else if (!mAwaySince) {
    mAwaySince = aBegunAt;
  }
}

void LogAvailability::OnOtherAnswer(MonotonicTime aSentAt)
{
  mHeardAt = std::max(mHeardAt, std::make_optional(aSentAt));
}

MonotonicTime LogAvailability::RetryAt(MonotonicTime aNow,
                                       uint64_t aSpread) const
{
  const MonotonicTime since =
    mAwaySince.value_or(mBegun.empty() ? aNow : *mBegun.begin());
  const auto away = std::chrono::duration_cast<Milliseconds>(aNow - since);
  const Milliseconds delay = std::clamp(away, kMinRetryDelay, kMaxRetryDelay);
  const auto range = static_cast<uint64_t>(delay.count() / 2 + 1);
  return aNow + delay + Milliseconds(aSpread % range);
}

} // namespace mulberryvalve
