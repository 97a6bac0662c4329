#include "mulberryvalve/app/executor/executor.h"

#include <utility>

namespace mulberryvalve {

Executor::Executor(size_t aThreads, size_t aMaxQueued)
  : mMaxQueued(aMaxQueued)
{
  for (size_t i = 0; i < aThreads; i++) {
    mThreads.emplace_back([this] { Run(); });
  }
}

Executor::~Executor()
{
  Stop();
}

bool Executor::Post(std::function<void()> aJob)
{
  MutexLock lock(mMutex);
  if (mStopping || mQueue.size() >= mMaxQueued) {
    return false;
  }
  mQueue.push_back(std::move(aJob));
  mCondVar.NotifyAll();
  return true;
}

void Executor::Stop()
{
  {
    MutexLock lock(mMutex);
    mStopping = true;
    mQueue.clear();
    mCondVar.NotifyAll();
  }
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void Executor::Run()
{
  while (true) {
    std::function<void()> job;
    {
      MutexLock lock(mMutex);
      while (mQueue.empty() && !mStopping) {
        mCondVar.Wait(mMutex);
      }
      if (mStopping) {
        return;
      }
      job = std::move(mQueue.front());
      mQueue.pop_front();
    }
    job();
  }
}

} // namespace mulberryvalve
