// What an owner records of itself with each append, and how long it has been
// active.
#ifndef MULBERRYVALVE_APP_JOBS_OWNERSHIP_STAMP_H_
#define MULBERRYVALVE_APP_JOBS_OWNERSHIP_STAMP_H_

#include "mulberryvalve/core/jobs/owner_observations.h"
#include "mulberryvalve/ports/out/job_log_codec.h"

#include <chrono>
#include <utility>

namespace mulberryvalve {

// Immutable and therefore thread-safe.
class OwnershipStamp
{
public:
  // aActiveSince is from before the claim is sent.
  OwnershipStamp(OwnershipRecord aOwner, MonotonicTime aActiveSince)
    : mOwner(std::move(aOwner))
    , mActiveSince(aActiveSince)
  {
  }

  // Returns the record of an append that is first sent at aNow or later.
  OwnershipRecord RecordAt(MonotonicTime aNow) const
  {
    OwnershipRecord record = mOwner;
    record.mActiveFor = std::chrono::ceil<Milliseconds>(aNow - mActiveSince);
    return record;
  }

  // Returns how long the owner has been active at aNow, at least.
  OwnerAge AgeAt(MonotonicTime aNow) const
  {
    return OwnerAge{ mOwner.mEpoch,
                     std::chrono::floor<Milliseconds>(aNow - mActiveSince) };
  }

private:
  const OwnershipRecord mOwner;
  const MonotonicTime mActiveSince;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_OWNERSHIP_STAMP_H_
