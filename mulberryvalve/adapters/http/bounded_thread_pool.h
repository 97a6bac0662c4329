// BoundedThreadPool: the worker threads of a BoundedServer and the bounded
// queue of connections that wait for one.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_THREAD_POOL_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_THREAD_POOL_H_

#include "mulberryvalve/core/base/mutex.h"

#include <deque>
#include <functional>
#include <httplib.h>
#include <thread>
#include <vector>

namespace mulberryvalve {

// BoundedThreadPool is thread-safe. When the queue is full, the task runs on
// the calling thread with IsRejecting() true and must only reject its
// connection.
class BoundedThreadPool : public httplib::TaskQueue
{
public:
  // aOnThreadShortage is called, without the lock held, when more connections
  // are queued than threads are free.
  BoundedThreadPool(size_t aThreads,
                    size_t aMaxQueued,
                    std::function<void()> aOnThreadShortage);

  void enqueue(std::function<void()> aTask) override;
  void shutdown() override;

  // IsRejecting returns whether the calling thread runs a task that did not fit
  // into the queue.
  static bool IsRejecting();

private:
  void RunTasks();

  const size_t mMaxQueued;
  const std::function<void()> mOnThreadShortage;
  Mutex mMutex;
  CondVar mCondVar;
  std::deque<std::function<void()>> mQueue MV_GUARDED_BY(mMutex);
  size_t mIdleThreads MV_GUARDED_BY(mMutex) = 0;
  bool mShuttingDown MV_GUARDED_BY(mMutex) = false;
  std::vector<std::thread> mThreads;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_THREAD_POOL_H_
