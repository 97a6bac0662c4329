// OwnerElection: this instance's view of which instance should own a shard.
#ifndef MULBERRYVALVE_APP_PEERS_OWNER_ELECTION_H_
#define MULBERRYVALVE_APP_PEERS_OWNER_ELECTION_H_

#include "mulberryvalve/core/records/record.h"

namespace mulberryvalve {

// OwnerElection is a hint for when to claim a shard. Its answers may be wrong,
// so safety must not depend on them. Implementations are thread-safe and do not
// block.
class OwnerElection
{
public:
  virtual ~OwnerElection() = default;

  // IsAlive returns whether aWriter is believed to be alive.
  virtual bool IsAlive(const WriterId& aWriter) const = 0;

  // Prefers returns whether aSelf should own aShard of aDomain.
  virtual bool Prefers(const ShardId& aShard,
                       const DomainId& aDomain,
                       const WriterId& aSelf) const = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_PEERS_OWNER_ELECTION_H_
