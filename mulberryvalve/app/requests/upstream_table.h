// UpstreamTable: attempts in flight and health of each upstream, sharded with
// one lock per shard.
#ifndef MULBERRYVALVE_APP_REQUESTS_UPSTREAM_TABLE_H_
#define MULBERRYVALVE_APP_REQUESTS_UPSTREAM_TABLE_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/model/worker.h"
#include "mulberryvalve/core/requests/peer_slot_usage.h"
#include "mulberryvalve/core/requests/upstream_health.h"
#include "mulberryvalve/core/requests/upstream_policy.h"
#include "mulberryvalve/ports/out/peer_port.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mulberryvalve {

// AttemptEnd is the result of one attempt.
struct AttemptEnd
{
  WorkerId mWorker;
  AttemptResult mResult = AttemptResult::kSuccess;
  bool mDraining = false;
  Microseconds mElapsed{ 0 };
};

// UpstreamTable is thread-safe and reads no clock.
class UpstreamTable
{
public:
  // aPolicy and aRandom must outlive the table. With aEject false, failing
  // upstreams are not ejected.
  UpstreamTable(UpstreamPolicy& aPolicy,
                RandomSource& aRandom,
                bool aEject = true);

  // Reserve takes a slot at the upstream that the policy chooses among
  // aCandidates. It skips upstreams that are in aExcluded, have no slot left
  // for this instance according to aPeers, are draining, or are ejected. When
  // more than half of the candidates are ejected, ejection is ignored.
  std::optional<WorkerSpec> Reserve(
    const std::vector<WorkerSpec>& aCandidates,
    const std::unordered_set<WorkerId>& aExcluded,
    const PeerSlotUsage& aPeers,
    MonotonicTime aNow);

  // Release returns a slot and records the attempt's result at aNow.
  void Release(const AttemptEnd& aEnd, MonotonicTime aNow);

  // Loads returns the number of attempts in flight of each busy upstream.
  std::vector<WorkerLoad> Loads() const;

private:
  struct Entry
  {
    uint32_t mInFlight = 0;
    UpstreamHealth mHealth;
  };
  struct Shard
  {
    mutable Mutex mMutex;
    std::unordered_map<WorkerId, Entry> mEntries MV_GUARDED_BY(mMutex);
  };
  // Views are the policy's inputs for all candidates, in the same order.
  struct Views
  {
    std::vector<UpstreamView> mAll;
    std::vector<bool> mEjected;
    size_t mEjectedCount = 0;
  };
  static constexpr size_t kShards = 16;

  Shard& ShardOf(const WorkerId& aWorker);
  Views BuildViews(const std::vector<WorkerSpec>& aCandidates,
                   const std::unordered_set<WorkerId>& aExcluded,
                   const PeerSlotUsage& aPeers,
                   MonotonicTime aNow);
  bool TryTakeSlot(const WorkerId& aWorker, uint32_t aLimit);

  UpstreamPolicy& mPolicy;
  RandomSource& mRandom;
  const bool mEject;
  std::array<Shard, kShards> mShards;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_REQUESTS_UPSTREAM_TABLE_H_
