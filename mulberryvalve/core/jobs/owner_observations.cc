#include "mulberryvalve/core/jobs/owner_observations.h"

#include "mulberryvalve/core/jobs/clock_rate.h"

#include <algorithm>

namespace mulberryvalve {
void OwnerObservations::Add(const OwnerAge& aAge, MonotonicTime aReceivedAt)
{
  const auto [entry, isNew] = mNewest.try_emplace(aAge.mEpoch);
  Observation& newest = entry->second;
  if (!isNew && aAge.mActiveFor <= newest.mActiveFor) {
    return;
  }
  newest = Observation{ aAge.mActiveFor, aReceivedAt };
  if (mNewest.size() > kMaxEpochs) {
    mNewest.erase(mNewest.begin());
  }
}

// A time after the observation is taken as late as the slowest clock of the
// owner allows, and one before it too: as little before it as the owner's
// fastest clock allows.
std::optional<MonotonicTime> OwnerObservations::WasActiveFor(
  Epoch aEpoch,
  Milliseconds aActiveFor) const
{
  const auto found = mNewest.find(aEpoch);
  if (found == mNewest.end()) {
    return std::nullopt;
  }
  const Observation& newest = found->second;
  const int64_t later = (aActiveFor - newest.mActiveFor).count();
  if (later < 0) {
    const int64_t before = -later * kSlowestRatePerMille / kPerMille;
    return newest.mReceivedAt - Milliseconds(before);
  }
  const int64_t after =
    (later * kPerMille + kSlowestRatePerMille - 1) / kSlowestRatePerMille;
  return newest.mReceivedAt + Milliseconds(after);
}

std::optional<MonotonicTime> OwnerObservations::LastReceivedAt() const
{
  std::optional<MonotonicTime> last;
  for (const auto& [epoch, newest] : mNewest) {
    last = std::max(last.value_or(newest.mReceivedAt), newest.mReceivedAt);
  }
  return last;
}

} // namespace mulberryvalve
