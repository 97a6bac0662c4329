#include "mulberryvalve/adapters/http/bounded_thread_pool.h"

#include <atomic>
#include <future>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// Starts at most mLimit threads, as a system that has room for no more.
class LimitedStarter : public ThreadStarter
{
public:
  Result<std::thread> Start(std::function<void()> aBody) override
  {
    if (mStarted >= mLimit) {
      return Fail(FailureKind::kOverloaded, "thread");
    }
    mStarted++;
    return mSystem.Start(std::move(aBody));
  }

  size_t mLimit = 100;
  std::atomic<size_t> mStarted{ 0 };

private:
  SystemThreadStarter mSystem;
};

// Tasks that occupy their threads until Release.
class BlockingTasks
{
public:
  std::function<void()> Next()
  {
    return [this] {
      (BoundedThreadPool::IsRejecting() ? mRejected : mServed)++;
      if (!BoundedThreadPool::IsRejecting()) {
        mReleased.wait();
      }
    };
  }
  void Release() { mRelease.set_value(); }

  std::atomic<size_t> mServed{ 0 };
  std::atomic<size_t> mRejected{ 0 };

private:
  std::promise<void> mRelease;
  std::shared_future<void> mReleased = mRelease.get_future();
};

} // namespace

TEST_GROUP(BoundedThreadPool)
{
  LimitedStarter mStarter;
  BlockingTasks mTasks;
  size_t mShortages = 0;

  std::unique_ptr<BoundedThreadPool> MakePool(BoundedThreadPoolOptions aOptions)
  {
    return std::make_unique<BoundedThreadPool>(
      aOptions, mStarter, [this] { mShortages++; });
  }
};

// Guards against a machine that runs out of threads because each of its
// processes keeps one for every connection that it may get.
TEST(BoundedThreadPool, AnIdlePoolHasNoThreads)
{
  const auto pool = MakePool({ 96, 10, Milliseconds(1) });
  CHECK_EQUAL(0U, pool->Threads());
  std::promise<void> done;
  pool->enqueue([&] { done.set_value(); });
  done.get_future().wait();
  while (pool->Threads() > 0) {
    std::this_thread::yield();
  }
  std::promise<void> again;
  pool->enqueue([&] { again.set_value(); });
  again.get_future().wait();
  pool->shutdown();
}

TEST(BoundedThreadPool, EachTaskGetsAThreadUpToTheLimit)
{
  const auto pool = MakePool({ 3, 10, Milliseconds(10'000) });
  for (size_t task = 1; task <= 3; task++) {
    pool->enqueue(mTasks.Next());
    CHECK_EQUAL(task, pool->Threads());
  }
  CHECK_EQUAL(0U, mShortages);
  pool->enqueue(mTasks.Next());
  CHECK_EQUAL(3U, pool->Threads());
  CHECK_EQUAL(1U, mShortages);
  mTasks.Release();
  pool->shutdown();
  CHECK_EQUAL(4U, mTasks.mServed.load());
}

// Guards against a process that ends because the system has no room for one
// more thread: the threads that are there serve on.
TEST(BoundedThreadPool, TasksAreServedByFewerThreadsIfNoMoreCanBeStarted)
{
  mStarter.mLimit = 1;
  const auto pool = MakePool({ 3, 10, Milliseconds(10'000) });
  pool->enqueue(mTasks.Next());
  pool->enqueue(mTasks.Next());
  CHECK_EQUAL(1U, pool->Threads());
  CHECK_EQUAL(1U, mShortages);
  mTasks.Release();
  pool->shutdown();
  CHECK_EQUAL(2U, mTasks.mServed.load());
}

TEST(BoundedThreadPool, TasksAreRejectedIfThereIsNoThreadAtAll)
{
  mStarter.mLimit = 0;
  const auto pool = MakePool({ 3, 10, Milliseconds(10'000) });
  pool->enqueue(mTasks.Next());
  CHECK_EQUAL(1U, mTasks.mRejected.load());
  mTasks.Release();
  pool->shutdown();
  CHECK_EQUAL(0U, mTasks.mServed.load());
}

TEST(BoundedThreadPool, TasksAreRejectedIfTheQueueIsFull)
{
  const auto pool = MakePool({ 1, 1, Milliseconds(10'000) });
  pool->enqueue(mTasks.Next());
  while (mTasks.mServed == 0) {
    std::this_thread::yield();
  }
  pool->enqueue(mTasks.Next());
  pool->enqueue(mTasks.Next());
  CHECK_EQUAL(1U, mTasks.mRejected.load());
  mTasks.Release();
  pool->shutdown();
  CHECK_EQUAL(2U, mTasks.mServed.load());
}

} // namespace mulberryvalve
