// The time of the last proof of ownership.
#ifndef MULBERRYVALVE_APP_JOBS_LAST_PROOF_TIME_H_
#define MULBERRYVALVE_APP_JOBS_LAST_PROOF_TIME_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"

#include <algorithm>

namespace mulberryvalve {

// Has its own mutex, so that a proof can be recorded at once even during a long
// decision pass. Thread-safe; no method blocks for long.
class LastProofTime
{
public:
  // Records that the ownership was confirmed by a call sent at aSentAt. A time
  // before the last one has no effect.
  void AdvanceTo(MonotonicTime aSentAt)
  {
    MutexLock lock(mMutex);
    mProvedAt = std::max(mProvedAt, aSentAt);
  }

  // Returns when the latest call that confirmed the ownership was sent.
  MonotonicTime ProvedAt() const
  {
    MutexLock lock(mMutex);
    return mProvedAt;
  }

private:
  mutable Mutex mMutex;
  MonotonicTime mProvedAt MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_LAST_PROOF_TIME_H_
