// What is sent to workers, in which order and on how many threads.
#include "mulberryvalve/app/jobs/worker_lanes.h"

#include <deque>
#include <filesystem>
#include <iterator>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// HeldWorkers keep each order until they are released, and each renewal too.
// They answer on a thread of their own. Thread-safe.
class HeldWorkers : public TaskWorkerPort
{
public:
  HeldWorkers()
    : mThread([this] { Run(); })
  {
  }

  ~HeldWorkers() override
  {
    Release();
    {
      MutexLock lock(mMutex);
      mEnding = true;
      mCond.NotifyAll();
    }
    mThread.join();
  }

  void Send(TaskOrder aOrder, WorkerReplies& aReplies) override
  {
    MutexLock lock(mMutex);
    mSent.push_back(aOrder);
    mOrders.push_back(OrderCall{ std::move(aOrder), &aReplies });
    mCond.NotifyAll();
  }

  void Hold(HoldOrder aOrder, WorkerReplies& aReplies) override
  {
    MutexLock lock(mMutex);
    mHeld++;
    mHolds.push_back(HoldCall{ std::move(aOrder), &aReplies });
    mCond.NotifyAll();
  }

  // AwaitSent blocks until aCount orders have come and returns them.
  std::vector<TaskOrder> AwaitSent(size_t aCount)
  {
    MutexLock lock(mMutex);
    while (mSent.size() < aCount) {
      mCond.Wait(mMutex);
    }
    return mSent;
  }

  // AwaitHolds blocks until aCount renewals have come.
  void AwaitHolds(size_t aCount)
  {
    MutexLock lock(mMutex);
    while (mHeld < aCount) {
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
    WorkerReplies* mReplies;
  };
  struct HoldCall
  {
    HoldOrder mOrder;
    WorkerReplies* mReplies;
  };

  void Run()
  {
    while (true) {
      std::deque<OrderCall> orders;
      std::deque<HoldCall> holds;
      {
        MutexLock lock(mMutex);
        while (!mEnding && (!mReleased || mOrders.empty()) &&
               (!mReleased || mHolds.empty())) {
          mCond.Wait(mMutex);
        }
        orders.swap(mOrders);
        holds.swap(mHolds);
        if (orders.empty() && holds.empty()) {
          return;
        }
      }
      for (const OrderCall& call : orders) {
        call.mReplies->OnOrderReply(call.mOrder, OrderReply());
      }
      for (const HoldCall& call : holds) {
        call.mReplies->OnHoldReply(call.mOrder, HoldReply());
      }
    }
  }

  Mutex mMutex;
  CondVar mCond;
  std::vector<TaskOrder> mSent MV_GUARDED_BY(mMutex);
  std::deque<OrderCall> mOrders MV_GUARDED_BY(mMutex);
  std::deque<HoldCall> mHolds MV_GUARDED_BY(mMutex);
  size_t mHeld MV_GUARDED_BY(mMutex) = 0;
  bool mReleased MV_GUARDED_BY(mMutex) = false;
  bool mEnding MV_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

// OrdersOnly lets every order through and renews nothing.
class OrdersOnly : public LaneHost
{
public:
  std::optional<HoldOrder> NextHold(const WorkerId&) override
  {
    return std::nullopt;
  }
  bool OnHold(const HoldOrder&, const HoldReply&, MonotonicTime) override
  {
    return true;
  }
  bool MaySend(const TaskOrder&) override { return true; }
  void OnOrder(const TaskOrder&, const OrderReply&) override {}
  MonotonicTime Now() const override { return MonotonicTime(); }
};

// Renewing renews each worker.
class Renewing : public OrdersOnly
{
public:
  std::optional<HoldOrder> NextHold(const WorkerId& aWorker) override
  {
    HoldOrder order;
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

size_t Threads()
{
  const std::filesystem::directory_iterator threads("/proc/self/task");
  return static_cast<size_t>(std::distance(begin(threads), end(threads)));
}

} // namespace

TEST_GROUP(WorkerLaneTest){};

// Guards against cancelled work that runs on because its stop waits behind
// starts for the same worker.
TEST(WorkerLaneTest, StopsAreSentBeforeStartsThatWait)
{
  HeldWorkers worker;
  OrdersOnly host;
  WorkerLanes lanes(host, worker);
  lanes.Post(OrderOf(OrderKind::kStart));
  worker.AwaitSent(1);
  lanes.Post(OrderOf(OrderKind::kStart));
  lanes.Post(OrderOf(OrderKind::kPace));
  lanes.Post(OrderOf(OrderKind::kStop));
  worker.Release();
  const std::vector<TaskOrder> sent = worker.AwaitSent(4);
  CHECK(sent[1].mKind == OrderKind::kStop);
  CHECK(sent[2].mKind == OrderKind::kStart);
  CHECK(sent[3].mKind == OrderKind::kPace);
}

// Guards against work that goes on at full pace beside a service because the
// change of its pace waits behind starts of other tasks.
TEST(WorkerLaneTest, PacesAreSentBeforeStartsOfOtherTasks)
{
  WorkerLane lane;
  lane.Post(OrderOf(OrderKind::kStart, "w", 1));
  lane.Post(OrderOf(OrderKind::kStart, "w", 2));
  lane.Post(OrderOf(OrderKind::kPace, "w", 2));
  lane.Post(OrderOf(OrderKind::kPace, "w", 3));
  CHECK(lane.NextUrgency() == LaneUrgency::kPace);
  UNSIGNED_LONGS_EQUAL(3, lane.TakeOrder().mTask.mIndex);
  CHECK_FALSE(lane.NextUrgency().has_value());
  lane.OrderDone();
  CHECK(lane.NextUrgency() == LaneUrgency::kStart);
  UNSIGNED_LONGS_EQUAL(1, lane.TakeOrder().mTask.mIndex);
  lane.OrderDone();
  CHECK(lane.TakeOrder().mKind == OrderKind::kStart);
  lane.OrderDone();
  CHECK(lane.TakeOrder().mKind == OrderKind::kPace);
}

// Guards against cancelled work that runs on because its stop waits behind the
// repetitions of other stops for a worker that is slow to answer.
TEST(WorkerLaneTest, ARepeatedStopWaitsOnce)
{
  WorkerLane lane;
  lane.Post(OrderOf(OrderKind::kStop, "w", 1));
  TaskOrder repeated = OrderOf(OrderKind::kStop, "w", 1);
  repeated.mEndpoint = Endpoint{ "10.0.0.2", 2 };
  lane.Post(repeated);
  TaskOrder otherRun = OrderOf(OrderKind::kStop, "w", 1);
  otherRun.mRun = RunNumber(2);
  lane.Post(otherRun);
  lane.Post(OrderOf(OrderKind::kStop, "w", 2));
  STRCMP_EQUAL("10.0.0.2", lane.TakeOrder().mEndpoint.mAddress.c_str());
  lane.OrderDone();
  CHECK(lane.TakeOrder().mRun == RunNumber(2));
  lane.OrderDone();
  UNSIGNED_LONGS_EQUAL(2, lane.TakeOrder().mTask.mIndex);
  lane.OrderDone();
  CHECK_FALSE(lane.NextUrgency().has_value());
}

// Guards against orders to one worker that overtake each other on their way.
TEST(WorkerLaneTest, OneOrderIsUnderWayAtATime)
{
  WorkerLane lane;
  lane.Post(OrderOf(OrderKind::kStart));
  lane.Post(OrderOf(OrderKind::kStop));
  lane.TakeOrder();
  CHECK_FALSE(lane.NextUrgency().has_value());
  lane.OrderDone();
  CHECK(lane.NextUrgency() == LaneUrgency::kStart);
}

// Guards against a worker that does not answer and holds up the others.
TEST(WorkerLaneTest, ASilentWorkerHoldsUpNobody)
{
  HeldWorkers workers;
  OrdersOnly host;
  WorkerLanes lanes(host, workers);
  constexpr size_t kWorkers = 50;
  for (size_t i = 0; i < kWorkers; i++) {
    lanes.Post(OrderOf(OrderKind::kStart, "w" + std::to_string(i)));
  }
  UNSIGNED_LONGS_EQUAL(kWorkers, workers.AwaitSent(kWorkers).size());
  workers.Release();
}

// Guards against an owner whose threads, and so its wake-ups and memory, grow
// with the number of its workers.
TEST(WorkerLaneTest, ThreadsDoNotGrowWithTheWorkers)
{
  HeldWorkers workers;
  Renewing host;
  WorkerLanes lanes(host, workers);
  constexpr size_t kWorkers = 300;
  lanes.Open(WorkerId("first"));
  workers.AwaitHolds(1);
  const size_t before = Threads();
  for (size_t i = 0; i < kWorkers; i++) {
    lanes.Open(WorkerId("w" + std::to_string(i)));
  }
  workers.AwaitHolds(1 + kWorkers);
  UNSIGNED_LONGS_EQUAL(before, Threads());
  workers.Release();
}

// Guards against a renewal that waits out its time although the ends that it
// waits for are durable.
TEST(WorkerLaneTest, DurableEndsAreToldAtOnce)
{
  WorkerLane lane;
  const WorkerLane::Time now = std::chrono::steady_clock::now();
  HoldOrder order;
  order.mWait = Milliseconds(1000);
  lane.BeginHold();
  CHECK_FALSE(lane.HoldDueAt().has_value());
  lane.HoldDone(order, OrderOutcome::kAccepted, false, now);
  CHECK(*lane.HoldDueAt() > now);
  lane.OnDurable(now);
  CHECK(*lane.HoldDueAt() == now);
}

} // namespace mulberryvalve
