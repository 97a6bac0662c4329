// Mutex, MutexLock and CondVar with annotations for clang's -Wthread-safety.
// Shared state is split into shards, each of which is guarded by its own Mutex.
#ifndef MULBERRYVALVE_CORE_BASE_MUTEX_H_
#define MULBERRYVALVE_CORE_BASE_MUTEX_H_

#include <chrono>
#include <condition_variable>
#include <mutex>

#if defined(__clang__)
#define MV_ATTRIBUTE(x) __attribute__((x))
#else
#define MV_ATTRIBUTE(x)
#endif

#define MV_GUARDED_BY(x) MV_ATTRIBUTE(guarded_by(x))
#define MV_REQUIRES(...) MV_ATTRIBUTE(requires_capability(__VA_ARGS__))
#define MV_EXCLUDES(...) MV_ATTRIBUTE(locks_excluded(__VA_ARGS__))

namespace mulberryvalve {

// Mutex is a std::mutex with thread-safety annotations. Thread-safe.
class MV_ATTRIBUTE(capability("mutex")) Mutex
{
public:
  Mutex() = default;
  Mutex(const Mutex&) = delete;
  Mutex& operator=(const Mutex&) = delete;

  // Lock blocks until the caller holds the mutex. The caller must not hold it.
  void Lock() MV_ATTRIBUTE(acquire_capability()) { mMutex.lock(); }

  // Unlock releases the mutex. The caller must hold it.
  void Unlock() MV_ATTRIBUTE(release_capability()) { mMutex.unlock(); }

  // AssertHeld tells the static analysis that the caller holds the mutex, for
  // example in a callback. It has no effect at run time.
  void AssertHeld() const MV_ATTRIBUTE(assert_capability(this)) {}

private:
  friend class CondVar;
  std::mutex mMutex;
};

// MutexLock holds a Mutex for one scope.
//
//   MutexLock lock(mMutex);
//   mCount++;
class MV_ATTRIBUTE(scoped_lockable) MutexLock
{
public:
  // MutexLock locks aMutex, which must outlive it.
  explicit MutexLock(Mutex& aMutex) MV_ATTRIBUTE(acquire_capability(aMutex))
    : mMutex(aMutex)
  {
    mMutex.Lock();
  }
  ~MutexLock() MV_ATTRIBUTE(release_capability()) { mMutex.Unlock(); }
  MutexLock(const MutexLock&) = delete;
  MutexLock& operator=(const MutexLock&) = delete;

private:
  Mutex& mMutex;
};

// CondVar is a condition variable for use with Mutex. Thread-safe. Waits may
// wake up spuriously, so callers must check their condition in a loop.
class CondVar
{
public:
  // Wait releases aMutex, blocks until notified and reacquires aMutex.
  void Wait(Mutex& aMutex) MV_REQUIRES(aMutex)
  {
    std::unique_lock<std::mutex> lock(aMutex.mMutex, std::adopt_lock);
    mCond.wait(lock);
    lock.release();
  }

  // WaitUntil is Wait with a deadline. It returns false if it timed out.
  bool WaitUntil(Mutex& aMutex, std::chrono::steady_clock::time_point aDeadline)
    MV_REQUIRES(aMutex)
  {
    std::unique_lock<std::mutex> lock(aMutex.mMutex, std::adopt_lock);
    const bool inTime =
      mCond.wait_until(lock, aDeadline) == std::cv_status::no_timeout;
    lock.release();
    return inTime;
  }

  // NotifyOne wakes one waiter.
  void NotifyOne() { mCond.notify_one(); }

  // NotifyAll wakes every waiter.
  void NotifyAll() { mCond.notify_all(); }

private:
  std::condition_variable mCond;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_BASE_MUTEX_H_
