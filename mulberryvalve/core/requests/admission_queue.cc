#include "mulberryvalve/core/requests/admission_queue.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>

namespace mulberryvalve {
namespace {

constexpr int64_t kDeviationMargin = 3;
constexpr int64_t kAverageSamples = 16;
constexpr int64_t kMaxGrantIntervalUs = 1'000'000;

int64_t MovingAverage(int64_t aOld, int64_t aNew)
{
  return aOld == 0 ? aNew : aOld + (aNew - aOld) / kAverageSamples;
}

} // namespace

AdmissionResult AdmissionQueue::TryEnqueue(QueueTicket aTicket,
                                           MonotonicTime aDeadline,
                                           int64_t aLimit,
                                           MonotonicTime aNow)
{
  if (static_cast<int64_t>(mWaiting.size()) >= aLimit) {
    return AdmissionResult::kQueueFull;
  }
  if (!CanMeetDeadline(aDeadline, aNow + PredictedWait(aDeadline))) {
    return AdmissionResult::kTooLate;
  }
  if (mWaiting.empty()) {
    mLastGrantAt = aNow;
  }
  mWaiting.emplace(aDeadline, aTicket);
  return AdmissionResult::kQueued;
}

std::optional<QueueTicket> AdmissionQueue::First() const
{
  if (mWaiting.empty()) {
    return std::nullopt;
  }
  return mWaiting.begin()->second;
}

void AdmissionQueue::Remove(QueueTicket aTicket,
                            MonotonicTime aDeadline,
                            bool aGranted,
                            MonotonicTime aNow)
{
  mWaiting.erase({ aDeadline, aTicket });
  if (!aGranted) {
    return;
  }
  if (mLastGrantAt) {
    const int64_t interval = (aNow - *mLastGrantAt).count();
    mMeanGrantIntervalUs =
      MovingAverage(mMeanGrantIntervalUs,
                    std::clamp<int64_t>(interval, 1, kMaxGrantIntervalUs));
  }
  mLastGrantAt = aNow;
}

void AdmissionQueue::RecordServiceTime(Microseconds aElapsed)
{
  const int64_t deviation = std::abs(aElapsed.count() - mMeanServiceUs);
  mMeanDeviationUs =
    mMeanServiceUs == 0 ? 0 : MovingAverage(mMeanDeviationUs, deviation);
  mMeanServiceUs = MovingAverage(mMeanServiceUs, aElapsed.count());
}

bool AdmissionQueue::CanMeetDeadline(MonotonicTime aDeadline,
                                     MonotonicTime aNow) const
{
  const int64_t expectedServiceUs =
    mMeanServiceUs + kDeviationMargin * mMeanDeviationUs;
  return aNow + Microseconds(expectedServiceUs) < aDeadline;
}

Microseconds AdmissionQueue::PredictedWait(MonotonicTime aDeadline) const
{
  const auto after = mWaiting.upper_bound({ aDeadline, UINT64_MAX });
  const auto queuedAhead = std::distance(mWaiting.begin(), after);
  return Microseconds(queuedAhead * mMeanGrantIntervalUs);
}

} // namespace mulberryvalve
