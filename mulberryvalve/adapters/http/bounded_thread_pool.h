// BoundedThreadPool: the worker threads of a BoundedServer and the bounded
// queue of connections that wait for one.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_THREAD_POOL_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_THREAD_POOL_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"

#include <deque>
#include <functional>
#include <httplib.h>
#include <list>
#include <thread>

namespace mulberryvalve {

// ThreadStarter starts threads. Implementations are thread-safe.
class ThreadStarter
{
public:
  virtual ~ThreadStarter() = default;

  // Start returns a thread that runs aBody. Errors: kOverloaded if the system
  // has no room for another thread.
  virtual Result<std::thread> Start(std::function<void()> aBody) = 0;
};

// SystemThreadStarter starts threads of the operating system.
class SystemThreadStarter : public ThreadStarter
{
public:
  Result<std::thread> Start(std::function<void()> aBody) override;
};

// BoundedThreadPoolOptions limits a pool. A thread that has had no task for
// mIdleTimeout ends.
struct BoundedThreadPoolOptions
{
  size_t mMaxThreads = 1;
  size_t mMaxQueued = 1;
  Milliseconds mIdleTimeout{ 10'000 };
};

// BoundedThreadPool is thread-safe. It starts a thread when a task finds none
// free, and keeps no more than were needed lately. When the queue is full, or
// there is no thread and none can be started, the task runs on the calling
// thread with IsRejecting() true and must only reject its connection.
class BoundedThreadPool : public httplib::TaskQueue
{
public:
  // aStarter must outlive the pool. aOnThreadShortage is called, without the
  // lock held, when more connections are queued than threads are free and no
  // more can be started.
  BoundedThreadPool(BoundedThreadPoolOptions aOptions,
                    ThreadStarter& aStarter,
                    std::function<void()> aOnThreadShortage);

  void enqueue(std::function<void()> aTask) override;
  void shutdown() override;

  // Threads returns the number of threads.
  size_t Threads() const;

  // IsRejecting returns whether the calling thread runs a task that is not to
  // be served.
  static bool IsRejecting();

private:
  using ThreadList = std::list<std::thread>;

  void RunTasks(ThreadList::iterator aSelf);
  std::function<void()> AwaitTask() MV_REQUIRES(mMutex);
  bool IsShortOfThreads() const MV_REQUIRES(mMutex);
  void AddThread() MV_REQUIRES(mMutex);
  void JoinEnded();

  const BoundedThreadPoolOptions mOptions;
  ThreadStarter& mStarter;
  const std::function<void()> mOnThreadShortage;
  mutable Mutex mMutex;
  CondVar mCondVar;
  std::deque<std::function<void()>> mQueue MV_GUARDED_BY(mMutex);
  size_t mIdleThreads MV_GUARDED_BY(mMutex) = 0;
  bool mShuttingDown MV_GUARDED_BY(mMutex) = false;
  ThreadList mThreads MV_GUARDED_BY(mMutex);
  // Threads that have ended or are about to.
  ThreadList mEnded MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_THREAD_POOL_H_
