// A thread pool that grows with the number of queued jobs.

#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace mulberryvalve::standins {

// Starts jobs in FIFO order, each on an idle thread or, up to a limit, on a new
// one. Thread-safe.
class ThreadPool
{
public:
  // Creates a pool without threads that grows to at most `aLimit` threads.
  explicit ThreadPool(size_t aLimit);

  // Requires that `Join` has been called.
  ~ThreadPool() = default;

  // Queues a job. Must not be called after `Join`.
  void Enqueue(std::function<void()> aJob);

  // Runs the queued jobs and joins all threads. Must be called once, and not
  // from a job.
  void Join();

private:
  void Run();

  const size_t mLimit;
  std::mutex mMutex;
  std::condition_variable mCondition;
  std::deque<std::function<void()>> mJobs;
  std::vector<std::thread> mThreads;
  size_t mIdle = 0;
  bool mStopped = false;
};

} // namespace mulberryvalve::standins
