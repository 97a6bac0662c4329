// StopSignal: a stop flag that threads can wait for with a deadline.
#ifndef MULBERRYVALVE_APP_STREAMS_STOP_SIGNAL_H_
#define MULBERRYVALVE_APP_STREAMS_STOP_SIGNAL_H_

#include "mulberryvalve/core/base/mutex.h"

namespace mulberryvalve {

// StopSignal is set once. Before that, Wake can interrupt its single waiter.
// Thread-safe.
class StopSignal
{
public:
  // Set sets the signal permanently and wakes all waiters.
  void Set()
  {
    MutexLock lock(mMutex);
    mStopped = true;
    mCondVar.NotifyAll();
  }

  // Wake interrupts the current or the next WaitUntil without setting the
  // signal.
  void Wake()
  {
    MutexLock lock(mMutex);
    mWakeRequested = true;
    mCondVar.NotifyAll();
  }

  // IsSet returns whether Set was called.
  bool IsSet() const
  {
    MutexLock lock(mMutex);
    return mStopped;
  }

  // WaitUntil blocks until Set, Wake or aDeadline. It returns whether the
  // signal is set.
  bool WaitUntil(std::chrono::steady_clock::time_point aDeadline)
  {
    MutexLock lock(mMutex);
    while (!mStopped && !mWakeRequested &&
           mCondVar.WaitUntil(mMutex, aDeadline)) {
    }
    mWakeRequested = false;
    return mStopped;
  }

private:
  mutable Mutex mMutex;
  CondVar mCondVar;
  bool mStopped MV_GUARDED_BY(mMutex) = false;
  bool mWakeRequested MV_GUARDED_BY(mMutex) = false;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_STREAMS_STOP_SIGNAL_H_
