// UpstreamPolicy: load balancing policies, which select the upstream of the
// next attempt.
#ifndef MULBERRYVALVE_CORE_REQUESTS_UPSTREAM_POLICY_H_
#define MULBERRYVALVE_CORE_REQUESTS_UPSTREAM_POLICY_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/ports/out/random_source.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace mulberryvalve {

// UpstreamView is an instance's view of one upstream. mLocalInFlight counts its
// own attempts in flight, mRemoteInFlight those that other instances report in
// their digests. An expired digest adds nothing.
struct UpstreamView
{
  bool mAvailable = true;
  uint32_t mSlots = 0;
  uint32_t mLocalInFlight = 0;
  uint32_t mRemoteInFlight = 0;
  Microseconds mLatency{ 0 };
  double mErrorRate = 0;

  // InUse returns the known number of slots in use.
  uint32_t InUse() const { return mLocalInFlight + mRemoteInFlight; }
};

// UpstreamPolicy selects an upstream. Implementations are thread-safe and do
// not read the clock.
class UpstreamPolicy
{
public:
  virtual ~UpstreamPolicy() = default;

  // Choose returns the index of an upstream with mAvailable set, or nothing
  // when there is none.
  virtual std::optional<size_t> Choose(
    const std::vector<UpstreamView>& aUpstreams,
    MonotonicTime aNow,
    RandomSource& aRandom) = 0;
};

// RandomPolicy selects an available upstream uniformly at random.
class RandomPolicy : public UpstreamPolicy
{
public:
  std::optional<size_t> Choose(const std::vector<UpstreamView>& aUpstreams,
                               MonotonicTime aNow,
                               RandomSource& aRandom) override;
};

// RoundRobinPolicy cycles through the upstreams.
class RoundRobinPolicy : public UpstreamPolicy
{
public:
  std::optional<size_t> Choose(const std::vector<UpstreamView>& aUpstreams,
                               MonotonicTime aNow,
                               RandomSource& aRandom) override;

private:
  std::atomic<size_t> mNext{ 0 };
};

// LeastInFlightPolicy selects the upstream with the fewest attempts in flight
// from this instance.
class LeastInFlightPolicy : public UpstreamPolicy
{
public:
  std::optional<size_t> Choose(const std::vector<UpstreamView>& aUpstreams,
                               MonotonicTime aNow,
                               RandomSource& aRandom) override;
};

// AdaptiveTwoChoicesPolicy picks two random candidates among the first few
// available upstreams and selects the one with the lower share of slots in use.
// The number of upstreams considered (the width) starts at one, grows while the
// better candidate is loaded, and shrinks slowly while it is idle. Follows the
// advisory load observation in the document "DurabilityRouting".
class AdaptiveTwoChoicesPolicy : public UpstreamPolicy
{
public:
  std::optional<size_t> Choose(const std::vector<UpstreamView>& aUpstreams,
                               MonotonicTime aNow,
                               RandomSource& aRandom) override;

private:
  void AdaptWidth(uint32_t aPercentInUse, size_t aUpstreams);

  Mutex mMutex;
  size_t mWidth MV_GUARDED_BY(mMutex) = 1;
  uint32_t mIdleChoices MV_GUARDED_BY(mMutex) = 0;
};

// LowestCostPolicy selects the lowest expected cost: recent latency times the
// attempts in flight from this instance, raised by the error rate. An upstream
// without a measured latency counts with the mean of the others. The load of
// peers is left out: digests are older than most requests last, so all
// instances would choose the same upstream.
class LowestCostPolicy : public UpstreamPolicy
{
public:
  std::optional<size_t> Choose(const std::vector<UpstreamView>& aUpstreams,
                               MonotonicTime aNow,
                               RandomSource& aRandom) override;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_REQUESTS_UPSTREAM_POLICY_H_
