// Executor: a fixed-size thread pool for blocking commands.
#ifndef MULBERRYVALVE_APP_EXECUTOR_EXECUTOR_H_
#define MULBERRYVALVE_APP_EXECUTOR_EXECUTOR_H_

#include "mulberryvalve/app/executor/command_runner.h"
#include "mulberryvalve/core/base/mutex.h"

#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace mulberryvalve {

// Executor starts jobs in FIFO order on aThreads threads. Thread-safe.
class Executor : public CommandRunner
{
public:
  Executor(size_t aThreads, size_t aMaxQueued);
  ~Executor() override;
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  // Post queues aJob. It returns false and drops the job when the queue is full
  // or Stop was called.
  bool Post(std::function<void()> aJob) override;

  // Stop drops queued jobs and waits for running ones.
  void Stop();

private:
  void Run();

  const size_t mMaxQueued;
  Mutex mMutex;
  CondVar mCondVar;
  std::deque<std::function<void()>> mQueue MV_GUARDED_BY(mMutex);
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  std::vector<std::thread> mThreads;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_EXECUTOR_EXECUTOR_H_
