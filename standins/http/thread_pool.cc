#include "standins/http/thread_pool.h"

#include <utility>

namespace mulberryvalve::standins {

ThreadPool::ThreadPool(size_t aLimit)
  : mLimit(aLimit)
{
}

void ThreadPool::Enqueue(std::function<void()> aJob)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mJobs.push_back(std::move(aJob));
  if (mJobs.size() > mIdle && mThreads.size() < mLimit) {
    mThreads.emplace_back([this] { Run(); });
  }
  mCondition.notify_one();
}

void ThreadPool::Join()
{
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
    mCondition.notify_all();
  }
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void ThreadPool::Run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (true) {
    ++mIdle;
    mCondition.wait(lock, [this] { return mStopped || !mJobs.empty(); });
    --mIdle;
    if (mJobs.empty()) {
      return;
    }
    std::function<void()> job = std::move(mJobs.front());
    mJobs.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

} // namespace mulberryvalve::standins
