#include "mulberryvalve/app/jobs/owner_delay_metrics.h"

#include <algorithm>
#include <string>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kDelayReportInterval{ 1000 };

// The timing metric of a delay, and the value from which on the owner counts as
// behind.
struct DelayThreshold
{
  OwnerDelay mDelay;
  Timing mTiming;
  Milliseconds mThreshold;
};

constexpr std::array<DelayThreshold, kOwnerDelayNames.mRows.size()> kThresholds{
  {
    { OwnerDelay::kProofAge, Timing::kProofAgeUs, Milliseconds(1000) },
    { OwnerDelay::kIntakeGap, Timing::kIntakeGapUs, Milliseconds(2000) },
    { OwnerDelay::kPass, Timing::kPassUs, Milliseconds(250) },
    { OwnerDelay::kLockWait, Timing::kLockWaitUs, Milliseconds(250) },
    { OwnerDelay::kRenewalGap, Timing::kRenewalGapUs, Milliseconds(3500) },
    { OwnerDelay::kOrderWait, Timing::kOrderWaitUs, Milliseconds(1000) },
    { OwnerDelay::kCancelToStop, Timing::kCancelToStopUs, Milliseconds(1500) },
  }
};

static_assert(RowsFollowEnum(kThresholds, &DelayThreshold::mDelay));

std::string MillisecondsText(Microseconds aLength)
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aLength).count());
}

} // namespace

OwnerDelayMetrics::OwnerDelayMetrics(Metrics& aMetrics, MonotonicTime aSince)
  : mMetrics(aMetrics)
  , mSince(aSince)
  , mProcessorSince(std::clock())
  , mReportAt(aSince + kDelayReportInterval)
{
}

void OwnerDelayMetrics::Observe(OwnerDelay aDelay, Microseconds aLength)
{
  MutexLock lock(mMutex);
  Microseconds& longest = mLongest[static_cast<size_t>(aDelay)];
  longest = std::max(longest, aLength);
}

std::optional<std::vector<EventField>> OwnerDelayMetrics::Report(
  MonotonicTime aNow)
{
  std::array<Microseconds, kDelays> longest{};
  {
    MutexLock lock(mMutex);
    if (aNow < mReportAt) {
      return std::nullopt;
    }
    mReportAt = aNow + kDelayReportInterval;
    std::swap(longest, mLongest);
  }
  bool behind = false;
  std::vector<EventField> fields;
  for (const DelayThreshold& threshold : kThresholds) {
    const Microseconds length = longest[static_cast<size_t>(threshold.mDelay)];
    if (length.count() > 0) {
      mMetrics.Record(threshold.mTiming, length);
    }
    behind = behind || length >= threshold.mThreshold;
    fields.push_back({ std::string(kOwnerDelayNames.Name(threshold.mDelay)),
                       MillisecondsText(length) });
  }
  if (!behind) {
    return std::nullopt;
  }
  return fields;
}

std::vector<EventField> OwnerDelayMetrics::OwnershipFields(
  MonotonicTime aNow,
  MonotonicTime aProvedAt) const
{
  const double processor =
    static_cast<double>(std::clock() - mProcessorSince) / CLOCKS_PER_SEC;
  return {
    { "owned_ms", MillisecondsText(aNow - mSince) },
    { "proof_age_ms", MillisecondsText(aNow - std::max(aProvedAt, mSince)) },
    { "processor_ms", std::to_string(static_cast<int64_t>(processor * 1000)) },
  };
}

} // namespace mulberryvalve
