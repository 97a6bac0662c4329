// FormerOwners: the owners that may have used a shard's workers before the
// present one, and what is known of their ends.
#ifndef MULBERRYVALVE_CORE_JOBS_FORMER_OWNERS_H_
#define MULBERRYVALVE_CORE_JOBS_FORMER_OWNERS_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/ids.h"
#include "mulberryvalve/core/model/worker.h"

#include <map>
#include <optional>
#include <vector>

namespace mulberryvalve {

// FormerOwner is an owner as its claim on the log names it.
struct FormerOwner
{
  Epoch mEpoch;
  // The process that claimed the shard, and where it answers its peers. Empty
  // and zero if the claim does not tell.
  Endpoint mPeer;
  Incarnation mProcess;
};

// A former owner that is not known to have ended may renew leases and start
// tasks until its last proof of ownership expires. Not thread-safe.
class FormerOwners
{
public:
  // Adds an owner. Does nothing if its epoch was added before.
  void Add(FormerOwner aOwner);

  // Records that the owner of aEpoch had ended by aEndedBy. Does nothing if the
  // epoch is unknown or an earlier time is known.
  void OnEnded(Epoch aEpoch, MonotonicTime aEndedBy);

  // Returns the owners that are not known to have ended, and can be asked.
  std::vector<FormerOwner> Unsettled() const;

  // Returns when the last of the owners had ended, or nothing if one of them is
  // not known to have ended or if there is none.
  std::optional<MonotonicTime> AllEndedBy() const;

  // Returns the epochs of all owners, and forgets them.
  std::vector<Epoch> TakeAll();

private:
  struct Entry
  {
    FormerOwner mOwner;
    std::optional<MonotonicTime> mEndedBy;
  };

  std::map<Epoch, Entry> mOwners;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_JOBS_FORMER_OWNERS_H_
