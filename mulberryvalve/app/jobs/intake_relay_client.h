// Relays entries for the intake of a shard to the shard's owner.
#ifndef MULBERRYVALVE_APP_JOBS_INTAKE_RELAY_CLIENT_H_
#define MULBERRYVALVE_APP_JOBS_INTAKE_RELAY_CLIENT_H_

#include "mulberryvalve/app/jobs/shard_owners.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/jobs/intake_relay.h"
#include "mulberryvalve/ports/out/clock.h"
#include "mulberryvalve/ports/out/event_log.h"
#include "mulberryvalve/ports/out/metrics.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberryvalve {

// Ports of IntakeRelayClient. All references must outlive it.
struct IntakeRelayClientPorts
{
  PeerQueryClient& mPeers;
  ShardOwners& mOwners;
  const Clock& mClock;
  Metrics& mMetrics;
  EventLog& mEvents;
};

// Holds the IntakeRelay of each shard under a lock of its own. Thread-safe.
class IntakeRelayClient
{
public:
  // The longest wait for an owner: five appends of 200 ms, of which an entry
  // waits for three at most.
  static constexpr Milliseconds kTimeout{ 1000 };

  IntakeRelayClient(ShardNumber aShards, IntakeRelayClientPorts aPorts);

  // Returns the path that aEntry takes next. aPendingSince is when the oldest
  // append in flight of this instance began, if one is.
  IntakePath NextPath(ShardNumber aShard,
                      const KeyedEntry& aEntry,
                      std::optional<MonotonicTime> aPendingSince);

  // Returns false if an append on aPath takes longer now than until aDeadline.
  bool IsInTime(ShardNumber aShard, IntakePath aPath, MonotonicTime aDeadline);

  // Returns whether this instance should append itself what the owner did not
  // append.
  bool MayFallBack(ShardNumber aShard);

  // Records an append of this instance that ended just now. aTook is the
  // duration of its call, used if it was answered.
  void OnOwnAppend(ShardNumber aShard,
                   const Result<void>& aOutcome,
                   Milliseconds aTook);

  // Has the owner append aEntry; blocks up to aDeadline and kTimeout. Errors:
  // kLogUnavailable (nothing was appended), kLogAnswerLost (the entry may have
  // been appended, or may be later).
  Result<void> Relay(ShardNumber aShard,
                     const KeyedEntry& aEntry,
                     MonotonicTime aDeadline);

private:
  struct ShardState
  {
    Mutex mMutex;
    IntakeRelay mRelay MV_GUARDED_BY(mMutex);
  };

  // Applies a change to a shard's relay and logs whether relaying began or
  // ended with it.
  template<typename Change>
  void Apply(ShardNumber aShard, Milliseconds aAppendTime, Change aChange);
  void LogChange(ShardNumber aShard,
                 Milliseconds aAppendTime,
                 std::optional<RelayCause> aBegun,
                 RelayEnd aEnd);
  bool IsOwnedHere(ShardNumber aShard);
  Result<void> OnAnswer(ShardNumber aShard, const PeerQueryResult& aAnswer);
  Result<void> OnNoAnswer(ShardNumber aShard,
                          const Failure& aFailure,
                          bool aHasFailed);
  Result<void> Unclear(std::string aDetail);
  Result<void> Refused(std::string aDetail, MonotonicTime aRetryAt);

  IntakeRelayClientPorts mPorts;
  std::vector<std::unique_ptr<ShardState>> mShards;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_INTAKE_RELAY_CLIENT_H_
