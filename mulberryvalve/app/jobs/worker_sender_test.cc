// Tests of the order in which calls to workers are sent, and on how many
// threads.
#include "mulberryvalve/app/jobs/worker_sender.h"

#include <deque>
#include <filesystem>
#include <iterator>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// Answers no order and no renewal before Release. Replies come from a thread of
// its own. Thread-safe.
class BlockedWorkers : public TaskWorkerPort
{
public:
  BlockedWorkers()
    : mThread([this] { Run(); })
  {
  }

  ~BlockedWorkers() override
  {
    Release();
    {
      MutexLock lock(mMutex);
      mEnding = true;
      mCond.NotifyAll();
    }
    mThread.join();
  }

  void Send(TaskOrder aOrder, WorkerReplyHandler& aReplies) override
  {
    MutexLock lock(mMutex);
    mSent.push_back(aOrder);
    mOrders.push_back(OrderCall{ std::move(aOrder), &aReplies });
    mCond.NotifyAll();
  }

  void Renew(RenewalRequest aOrder, WorkerReplyHandler& aReplies) override
  {
    MutexLock lock(mMutex);
    mRenewalCount++;
    mRenewals.push_back(RenewalCall{ std::move(aOrder), &aReplies });
    mCond.NotifyAll();
  }

  // Blocks until aCount orders have been received and returns them.
  std::vector<TaskOrder> AwaitSent(size_t aCount)
  {
    MutexLock lock(mMutex);
    while (mSent.size() < aCount) {
      mCond.Wait(mMutex);
    }
    return mSent;
  }

  // Blocks until aCount renewals have been received.
  void AwaitRenewals(size_t aCount)
  {
    MutexLock lock(mMutex);
    while (mRenewalCount < aCount) {
      mCond.Wait(mMutex);
    }
  }

  void Release()
  {
    MutexLock lock(mMutex);
    mReleased = true;
    mCond.NotifyAll();
  }

private:
  struct OrderCall
  {
    TaskOrder mOrder;
    WorkerReplyHandler* mReplies;
  };
  struct RenewalCall
  {
    RenewalRequest mOrder;
    WorkerReplyHandler* mReplies;
  };

  void Run()
  {
    while (true) {
      std::deque<OrderCall> orders;
      std::deque<RenewalCall> renewals;
      {
        MutexLock lock(mMutex);
        while (!mEnding && (!mReleased || mOrders.empty()) &&
               (!mReleased || mRenewals.empty())) {
          mCond.Wait(mMutex);
        }
        orders.swap(mOrders);
        renewals.swap(mRenewals);
        if (orders.empty() && renewals.empty()) {
          return;
        }
      }
      for (const OrderCall& call : orders) {
        call.mReplies->OnOrderReply(call.mOrder, OrderReply());
      }
      for (const RenewalCall& call : renewals) {
        call.mReplies->OnRenewalReply(call.mOrder, RenewalReply());
      }
    }
  }

  Mutex mMutex;
  CondVar mCond;
  std::vector<TaskOrder> mSent MV_GUARDED_BY(mMutex);
  std::deque<OrderCall> mOrders MV_GUARDED_BY(mMutex);
  std::deque<RenewalCall> mRenewals MV_GUARDED_BY(mMutex);
  size_t mRenewalCount MV_GUARDED_BY(mMutex) = 0;
  bool mReleased MV_GUARDED_BY(mMutex) = false;
  bool mEnding MV_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

// Permits every order and sends no renewals.
class OrdersOnlyDelegate : public WorkerSenderDelegate
{
public:
  std::optional<RenewalRequest> NextRenewal(const WorkerId&) override
  {
    return std::nullopt;
  }
  bool OnRenewalReply(const RenewalRequest&,
                      const RenewalReply&,
                      MonotonicTime) override
  {
    return true;
  }
  bool MaySend(const TaskOrder&) override { return true; }
  void OnOrderAnswered(const TaskOrder&, const OrderReply&) override {}
  MonotonicTime Now() const override { return MonotonicTime(); }
};

// Renews the lease of every worker.
class RenewingDelegate : public OrdersOnlyDelegate
{
public:
  std::optional<RenewalRequest> NextRenewal(const WorkerId& aWorker) override
  {
    RenewalRequest order;
    order.mWorker = aWorker;
    return order;
  }
};

TaskOrder OrderOf(OrderKind aKind,
                  const std::string& aWorker = "w",
                  uint32_t aTask = 0)
{
  TaskOrder order;
  order.mKind = aKind;
  order.mWorker = WorkerId(aWorker);
  order.mTask.mIndex = aTask;
  return order;
}

size_t CountThreads()
{
  const std::filesystem::directory_iterator threads("/proc/self/task");
  return static_cast<size_t>(std::distance(begin(threads), end(threads)));
}

} // namespace

TEST_GROUP(WorkerSenderTest){};

// Guards against cancelled tasks that keep running because their stop is queued
// behind starts for the same worker.
TEST(WorkerSenderTest, StopsAreSentBeforeQueuedStarts)
{
  BlockedWorkers worker;
  OrdersOnlyDelegate delegate;
  WorkerSender sender(delegate, worker);
  sender.Enqueue(OrderOf(OrderKind::kStart));
  worker.AwaitSent(1);
  sender.Enqueue(OrderOf(OrderKind::kStart));
  sender.Enqueue(OrderOf(OrderKind::kPace));
  sender.Enqueue(OrderOf(OrderKind::kStop));
  worker.Release();
  const std::vector<TaskOrder> sent = worker.AwaitSent(4);
  CHECK(sent[1].mKind == OrderKind::kStop);
  CHECK(sent[2].mKind == OrderKind::kStart);
  CHECK(sent[3].mKind == OrderKind::kPace);
}

// Guards against tasks that keep running at full pace next to a service because
// their pace change is queued behind starts of other tasks.
TEST(WorkerSenderTest, PacesAreSentBeforeStartsOfOtherTasks)
{
  WorkerSendQueue queue;
  queue.Enqueue(OrderOf(OrderKind::kStart, "w", 1));
  queue.Enqueue(OrderOf(OrderKind::kStart, "w", 2));
  queue.Enqueue(OrderOf(OrderKind::kPace, "w", 2));
  queue.Enqueue(OrderOf(OrderKind::kPace, "w", 3));
  CHECK(queue.NextPriority() == SendPriority::kPace);
  UNSIGNED_LONGS_EQUAL(3, queue.TakeOrder().mTask.mIndex);
  CHECK_FALSE(queue.NextPriority().has_value());
  queue.OnOrderDone();
  CHECK(queue.NextPriority() == SendPriority::kStart);
  UNSIGNED_LONGS_EQUAL(1, queue.TakeOrder().mTask.mIndex);
  queue.OnOrderDone();
  CHECK(queue.TakeOrder().mKind == OrderKind::kStart);
  queue.OnOrderDone();
  CHECK(queue.TakeOrder().mKind == OrderKind::kPace);
}

// Guards against cancelled tasks that keep running because their stop is queued
// behind repeated stops for a worker that answers slowly.
TEST(WorkerSenderTest, ARepeatedStopIsQueuedOnce)
{
  WorkerSendQueue queue;
  queue.Enqueue(OrderOf(OrderKind::kStop, "w", 1));
  TaskOrder repeated = OrderOf(OrderKind::kStop, "w", 1);
  repeated.mEndpoint = Endpoint{ "10.0.0.2", 2 };
  queue.Enqueue(repeated);
  TaskOrder otherRun = OrderOf(OrderKind::kStop, "w", 1);
  otherRun.mRun = RunNumber(2);
  queue.Enqueue(otherRun);
  queue.Enqueue(OrderOf(OrderKind::kStop, "w", 2));
  STRCMP_EQUAL("10.0.0.2", queue.TakeOrder().mEndpoint.mAddress.c_str());
  queue.OnOrderDone();
  CHECK(queue.TakeOrder().mRun == RunNumber(2));
  queue.OnOrderDone();
  UNSIGNED_LONGS_EQUAL(2, queue.TakeOrder().mTask.mIndex);
  queue.OnOrderDone();
  CHECK_FALSE(queue.NextPriority().has_value());
}

// Guards against orders to one worker that are delivered out of order.
TEST(WorkerSenderTest, OneOrderIsInFlightAtATime)
{
  WorkerSendQueue queue;
  queue.Enqueue(OrderOf(OrderKind::kStart));
  queue.Enqueue(OrderOf(OrderKind::kStop));
  queue.TakeOrder();
  CHECK_FALSE(queue.NextPriority().has_value());
  queue.OnOrderDone();
  CHECK(queue.NextPriority() == SendPriority::kStart);
}

// Guards against an unresponsive worker that delays all others.
TEST(WorkerSenderTest, AnUnresponsiveWorkerDelaysNoOther)
{
  BlockedWorkers workers;
  OrdersOnlyDelegate delegate;
  WorkerSender sender(delegate, workers);
  constexpr size_t kWorkers = 50;
  for (size_t i = 0; i < kWorkers; i++) {
    sender.Enqueue(OrderOf(OrderKind::kStart, "w" + std::to_string(i)));
  }
  UNSIGNED_LONGS_EQUAL(kWorkers, workers.AwaitSent(kWorkers).size());
  workers.Release();
}

// Guards against a thread count, and so memory use and wake-ups, that grows
// with the number of workers.
TEST(WorkerSenderTest, ThreadsDoNotGrowWithTheWorkers)
{
  BlockedWorkers workers;
  RenewingDelegate delegate;
  WorkerSender sender(delegate, workers);
  constexpr size_t kWorkers = 300;
  sender.StartRenewals(WorkerId("first"));
  workers.AwaitRenewals(1);
  const size_t before = CountThreads();
  for (size_t i = 0; i < kWorkers; i++) {
    sender.StartRenewals(WorkerId("w" + std::to_string(i)));
  }
  workers.AwaitRenewals(1 + kWorkers);
  UNSIGNED_LONGS_EQUAL(before, CountThreads());
  workers.Release();
}

// Guards against a renewal that waits for its full delay although the task ends
// it waits for are durable already.
TEST(WorkerSenderTest, DurableEndsAreConfirmedAtOnce)
{
  WorkerSendQueue queue;
  const WorkerSendQueue::Time now = std::chrono::steady_clock::now();
  RenewalRequest order;
  order.mWait = Milliseconds(1000);
  queue.BeginRenewal();
  CHECK_FALSE(queue.RenewalDueAt().has_value());
  queue.OnRenewalDone(order, OrderOutcome::kAccepted, false, now);
  CHECK(*queue.RenewalDueAt() > now);
  queue.OnEndsDurable(now);
  CHECK(*queue.RenewalDueAt() == now);
}

} // namespace mulberryvalve
