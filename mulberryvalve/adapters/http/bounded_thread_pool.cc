#include "mulberryvalve/adapters/http/bounded_thread_pool.h"

#include <utility>

namespace mulberryvalve {
namespace {

thread_local bool tRejecting = false;

} // namespace

BoundedThreadPool::BoundedThreadPool(size_t aThreads,
                                     size_t aMaxQueued,
                                     std::function<void()> aOnThreadShortage)
  : mMaxQueued(aMaxQueued)
  , mOnThreadShortage(std::move(aOnThreadShortage))
{
  for (size_t count = 0; count < aThreads; count++) {
    mThreads.emplace_back([this] { RunTasks(); });
  }
}

bool BoundedThreadPool::IsRejecting()
{
  return tRejecting;
}

void BoundedThreadPool::enqueue(std::function<void()> aTask)
{
  bool shortage = false;
  {
    MutexLock lock(mMutex);
    if (mQueue.size() < mMaxQueued) {
      mQueue.push_back(std::move(aTask));
      shortage = mQueue.size() > mIdleThreads;
      aTask = nullptr;
      mCondVar.NotifyOne();
    }
  }
  if (shortage) {
    mOnThreadShortage();
  }
  if (aTask) {
    tRejecting = true;
    aTask();
    tRejecting = false;
  }
}

void BoundedThreadPool::shutdown()
{
  {
    MutexLock lock(mMutex);
    mShuttingDown = true;
    mCondVar.NotifyAll();
  }
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void BoundedThreadPool::RunTasks()
{
  while (true) {
    std::function<void()> task;
    {
      MutexLock lock(mMutex);
      mIdleThreads++;
      while (mQueue.empty() && !mShuttingDown) {
        mCondVar.Wait(mMutex);
      }
      mIdleThreads--;
      if (mQueue.empty()) {
        return;
      }
      task = std::move(mQueue.front());
      mQueue.pop_front();
    }
    task();
  }
}

} // namespace mulberryvalve
