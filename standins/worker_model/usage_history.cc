#include "standins/worker_model/usage_history.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberryvalve::standins {
namespace {

constexpr int64_t kRequestWindowMs = 2000;
constexpr size_t kMaxRequests = 4096;
constexpr size_t kPercentile = 99;

} // namespace

UsageHistory::UsageHistory(int64_t aLagMs)
  : mLagMs(aLagMs)
  , mSamples(1)
{
}

void UsageHistory::AddRequest(int64_t aDurationUs, ClockMs aNow)
{
  mRequests.push_back({ aNow + kRequestWindowMs, aDurationUs });
  if (mRequests.size() > kMaxRequests) {
    mRequests.pop_front();
  }
}

void UsageHistory::AddSample(UsageReport aSample)
{
  aSample.mRequestP99Us = RequestP99Us(aSample.mTakenAt);
  const ClockMs now = aSample.mTakenAt;
  mSamples.push_back(std::move(aSample));
  Lagged(now);
}

const UsageReport& UsageHistory::Lagged(ClockMs aNow)
{
  while (mSamples.size() > 1 && mSamples[1].mTakenAt <= aNow - mLagMs) {
    mSamples.pop_front();
  }
  return mSamples.front();
}

int64_t UsageHistory::RequestP99Us(ClockMs aNow)
{
  while (!mRequests.empty() && mRequests.front().mExpiresAt <= aNow) {
    mRequests.pop_front();
  }
  if (mRequests.empty()) {
    return 0;
  }
  std::vector<int64_t> durations;
  durations.reserve(mRequests.size());
  for (const RequestDuration& request : mRequests) {
    durations.push_back(request.mDurationUs);
  }
  const auto rank =
    durations.begin() +
    static_cast<std::ptrdiff_t>((durations.size() - 1) * kPercentile / 100);
  std::nth_element(durations.begin(), rank, durations.end());
  return *rank;
}

} // namespace mulberryvalve::standins
