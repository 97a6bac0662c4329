#include "mulberryvalve/core/requests/upstream_policy.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

constexpr uint32_t kPercent = 100;
constexpr uint32_t kWidenAbovePercent = 50;
constexpr uint32_t kNarrowBelowPercent = 13;
constexpr uint32_t kIdleChoicesToNarrow = 200;
constexpr double kErrorCostFactor = 10;
constexpr double kDefaultLatencyUs = 1000;

// Scans from a random index, so that ties do not always go to the same
// upstream.
template<typename Cost>
std::optional<size_t> FindLowestCost(
  const std::vector<UpstreamView>& aUpstreams,
  RandomSource& aRandom,
  Cost aCost)
{
  std::optional<size_t> best;
  double bestCost = 0;
  const size_t count = aUpstreams.size();
  const size_t start = count == 0 ? 0 : aRandom.Below(count);
  for (size_t i = 0; i < count; i++) {
    const size_t index = (start + i) % count;
    if (!aUpstreams[index].mAvailable) {
      continue;
    }
    const double cost = aCost(aUpstreams[index]);
    if (!best || cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  return best;
}

std::vector<size_t> AvailableIndexes(
  const std::vector<UpstreamView>& aUpstreams)
{
  std::vector<size_t> available;
  for (size_t i = 0; i < aUpstreams.size(); i++) {
    if (aUpstreams[i].mAvailable) {
      available.push_back(i);
    }
  }
  return available;
}

double MeanLatencyUs(const std::vector<UpstreamView>& aUpstreams)
{
  double sum = 0;
  int known = 0;
  for (const UpstreamView& upstream : aUpstreams) {
    if (upstream.mLatency > Microseconds(0)) {
      sum += static_cast<double>(upstream.mLatency.count());
      known++;
    }
  }
  return known == 0 ? kDefaultLatencyUs : sum / known;
}

uint32_t PercentInUse(const UpstreamView& aUpstream)
{
  return aUpstream.InUse() * kPercent / std::max<uint32_t>(1, aUpstream.mSlots);
}

} // namespace

std::optional<size_t> RandomPolicy::Choose(
  const std::vector<UpstreamView>& aUpstreams,
  MonotonicTime,
  RandomSource& aRandom)
{
  const std::vector<size_t> available = AvailableIndexes(aUpstreams);
  if (available.empty()) {
    return std::nullopt;
  }
  return available[aRandom.Below(available.size())];
}

std::optional<size_t> RoundRobinPolicy::Choose(
  const std::vector<UpstreamView>& aUpstreams,
  MonotonicTime,
  RandomSource&)
{
  for (size_t i = 0; i < aUpstreams.size(); i++) {
    const size_t index = mNext++ % aUpstreams.size();
    if (aUpstreams[index].mAvailable) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<size_t> LeastInFlightPolicy::Choose(
  const std::vector<UpstreamView>& aUpstreams,
  MonotonicTime,
  RandomSource& aRandom)
{
  return FindLowestCost(aUpstreams, aRandom, [](const UpstreamView& aUpstream) {
    return static_cast<double>(aUpstream.mLocalInFlight);
  });
}

std::optional<size_t> AdaptiveTwoChoicesPolicy::Choose(
  const std::vector<UpstreamView>& aUpstreams,
  MonotonicTime,
  RandomSource& aRandom)
{
  const std::vector<size_t> available = AvailableIndexes(aUpstreams);
  if (available.empty()) {
    return std::nullopt;
  }
  size_t width = 0;
  {
    MutexLock lock(mMutex);
    width = std::min(mWidth, available.size());
  }
  const size_t first = available[aRandom.Below(width)];
  const size_t second = available[aRandom.Below(width)];
  const uint32_t firstUse = PercentInUse(aUpstreams[first]);
  const uint32_t secondUse = PercentInUse(aUpstreams[second]);
  AdaptWidth(std::min(firstUse, secondUse), aUpstreams.size());
  return firstUse <= secondUse ? first : second;
}

void AdaptiveTwoChoicesPolicy::AdaptWidth(uint32_t aPercentInUse,
                                          size_t aUpstreams)
{
  MutexLock lock(mMutex);
  if (aPercentInUse >= kWidenAbovePercent) {
    mWidth = std::min(mWidth + 1, aUpstreams);
    mIdleChoices = 0;
    return;
  }
  mIdleChoices = aPercentInUse < kNarrowBelowPercent ? mIdleChoices + 1 : 0;
  if (mIdleChoices >= kIdleChoicesToNarrow && mWidth > 1) {
    mWidth--;
    mIdleChoices = 0;
  }
}

std::optional<size_t> LowestCostPolicy::Choose(
  const std::vector<UpstreamView>& aUpstreams,
  MonotonicTime,
  RandomSource& aRandom)
{
  const double mean = MeanLatencyUs(aUpstreams);
  return FindLowestCost(
    aUpstreams, aRandom, [&](const UpstreamView& aUpstream) {
      const auto known = static_cast<double>(aUpstream.mLatency.count());
      const double latency = known > 0 ? known : mean;
      return latency * (aUpstream.mLocalInFlight + 1) *
             (1 + kErrorCostFactor * aUpstream.mErrorRate);
    });
}

} // namespace mulberryvalve
