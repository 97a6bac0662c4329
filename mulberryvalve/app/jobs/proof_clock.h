// LastProofTime: when an ownership was last proved.
#ifndef MULBERRYVALVE_APP_JOBS_PROOF_CLOCK_H_
#define MULBERRYVALVE_APP_JOBS_PROOF_CLOCK_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"

#include <algorithm>

namespace mulberryvalve {

// LastProofTime has a lock of its own, so that a proof is taken in at once
// however long a decision takes. Thread-safe; no method blocks for long.
class LastProofTime
{
public:
  // AdvanceTo says that the ownership was still held by a call sent at aSentAt.
  // Earlier times than the last have no effect.
  void AdvanceTo(MonotonicTime aSentAt)
  {
    MutexLock lock(mMutex);
    mProvedAt = std::max(mProvedAt, aSentAt);
  }

  // ProvedAt returns when the newest call that proved it was sent.
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

#endif // MULBERRYVALVE_APP_JOBS_PROOF_CLOCK_H_
