// KeyStore: claims idempotency keys in the log before a request is sent, so
// that a non-idempotent request runs at most once.
#ifndef MULBERRYVALVE_APP_REQUESTS_KEY_STORE_H_
#define MULBERRYVALVE_APP_REQUESTS_KEY_STORE_H_

#include "mulberryvalve/app/streams/stream_replica.h"
#include "mulberryvalve/app/streams/stream_writer.h"
#include "mulberryvalve/core/keys/key_state_machine.h"
#include "mulberryvalve/core/requests/key_claim.h"
#include "mulberryvalve/core/shards/shard_map.h"

#include <memory>
#include <optional>
#include <vector>

namespace mulberryvalve {

// KeyPartition is one stream of idempotency keys.
struct KeyPartition
{
  StreamReplica<KeyStateMachine>* mState = nullptr;
  StreamWriter* mWriter = nullptr;
};

// KeyStore is thread-safe.
class KeyStore
{
public:
  // aPartitions must not be empty and must outlive the store.
  KeyStore(std::vector<KeyPartition> aPartitions, WriterId aSelf);

  // Claim claims aKey, blocking until aDeadline. kWon permits sending the
  // request once. After kLogUnreachable the request must not be sent; if the
  // claim reaches the log later, the key is settled as not run.
  KeyClaimResult Claim(const IdempotencyKey& aKey,
                       const AttemptId& aAttempt,
                       MonotonicTime aDeadline);

  // Await blocks until aDeadline for the outcome of aKey, which another attempt
  // claimed. It returns kTaken with the outcome, kTaken without one at the
  // deadline, or kUnclaimed when that attempt was settled as not run.
  KeyClaimResult Await(const IdempotencyKey& aKey, MonotonicTime aDeadline);

  // Settle records the outcome of a claimed key, limited by StorableOutcome. It
  // does not wait.
  void Settle(const KeySettled& aOutcome);

private:
  const KeyPartition& PartitionOf(const IdempotencyKey& aKey) const;
  std::optional<KeyEntry> FindEntry(const IdempotencyKey& aKey) const;

  const std::vector<KeyPartition> mPartitions;
  const WriterId mSelf;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_REQUESTS_KEY_STORE_H_
