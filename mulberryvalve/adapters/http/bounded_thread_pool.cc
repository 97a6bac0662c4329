#include "mulberryvalve/adapters/http/bounded_thread_pool.h"

#include <chrono>
#include <system_error>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

thread_local bool tRejecting = false;

} // namespace

Result<std::thread> SystemThreadStarter::Start(std::function<void()> aBody)
{
  try {
    return std::thread(std::move(aBody));
  } catch (const std::system_error& error) {
    return Fail(FailureKind::kOverloaded, "thread", error.what());
  }
}

BoundedThreadPool::BoundedThreadPool(BoundedThreadPoolOptions aOptions,
                                     ThreadStarter& aStarter,
                                     std::function<void()> aOnThreadShortage)
  : mOptions(aOptions)
  , mStarter(aStarter)
  , mOnThreadShortage(std::move(aOnThreadShortage))
{
}

bool BoundedThreadPool::IsRejecting()
{
  return tRejecting;
}

size_t BoundedThreadPool::Threads() const
{
  MutexLock lock(mMutex);
  return mThreads.size();
}

void BoundedThreadPool::enqueue(std::function<void()> aTask)
{
  bool shortage = false;
  {
    MutexLock lock(mMutex);
    if (mQueue.size() < mOptions.mMaxQueued) {
      mQueue.push_back(std::move(aTask));
      aTask = nullptr;
      if (IsShortOfThreads() && mThreads.size() < mOptions.mMaxThreads) {
        AddThread();
      }
      shortage = IsShortOfThreads();
      if (mThreads.empty()) {
        aTask = std::move(mQueue.back());
        mQueue.pop_back();
      }
      mCondVar.NotifyOne();
    }
  }
  JoinEnded();
  if (shortage) {
    mOnThreadShortage();
  }
  if (aTask) {
    tRejecting = true;
    aTask();
    tRejecting = false;
  }
}

bool BoundedThreadPool::IsShortOfThreads() const
{
  return mQueue.size() > mIdleThreads;
}

// The new thread counts as idle from the start: it takes a task from the queue.
void BoundedThreadPool::AddThread()
{
  const auto self = mThreads.emplace(mThreads.end());
  Result<std::thread> started =
    mStarter.Start([this, self] { RunTasks(self); });
  if (!started) {
    mThreads.erase(self);
    return;
  }
  *self = std::move(started.value());
  mIdleThreads++;
}

void BoundedThreadPool::shutdown()
{
  ThreadList threads;
  {
    MutexLock lock(mMutex);
    mShuttingDown = true;
    mCondVar.NotifyAll();
    threads.swap(mThreads);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  JoinEnded();
}

void BoundedThreadPool::JoinEnded()
{
  ThreadList ended;
  {
    MutexLock lock(mMutex);
    ended.swap(mEnded);
  }
  for (std::thread& thread : ended) {
    thread.join();
  }
}

void BoundedThreadPool::RunTasks(ThreadList::iterator aSelf)
{
  while (true) {
    std::function<void()> task;
    {
      MutexLock lock(mMutex);
      task = AwaitTask();
      mIdleThreads--;
      if (!task) {
        if (!mShuttingDown) {
          mEnded.splice(mEnded.end(), mThreads, aSelf);
        }
        return;
      }
    }
    task();
    MutexLock lock(mMutex);
    mIdleThreads++;
  }
}

// Returns no task if the thread is to end.
std::function<void()> BoundedThreadPool::AwaitTask()
{
  const auto until = Steady::now() + mOptions.mIdleTimeout;
  while (mQueue.empty() && !mShuttingDown && Steady::now() < until) {
    mCondVar.WaitUntil(mMutex, until);
  }
  if (mQueue.empty()) {
    return nullptr;
  }
  std::function<void()> task = std::move(mQueue.front());
  mQueue.pop_front();
  return task;
}

} // namespace mulberryvalve
