// What a lane sends to a worker that takes its time.
#include "mulberryvalve/app/jobs/worker_lane.h"

#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// HeldWorker keeps each order until it is released. Thread-safe.
class HeldWorker : public TaskWorkerPort
{
public:
  OrderReply Send(const TaskOrder& aOrder) override
  {
    MutexLock lock(mMutex);
    mSent.push_back(aOrder.mKind);
    mCond.NotifyAll();
    while (!mReleased) {
      mCond.Wait(mMutex);
    }
    return OrderReply();
  }

  HoldReply Hold(const HoldOrder&) override { return HoldReply(); }

  // AwaitSent blocks until aCount orders have come and returns them.
  std::vector<OrderKind> AwaitSent(size_t aCount)
  {
    MutexLock lock(mMutex);
    while (mSent.size() < aCount) {
      mCond.Wait(mMutex);
    }
    return mSent;
  }

  void Release()
  {
    MutexLock lock(mMutex);
    mReleased = true;
    mCond.NotifyAll();
  }

private:
  Mutex mMutex;
  CondVar mCond;
  std::vector<OrderKind> mSent MV_GUARDED_BY(mMutex);
  bool mReleased MV_GUARDED_BY(mMutex) = false;
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

TaskOrder OrderOf(OrderKind aKind)
{
  TaskOrder order;
  order.mKind = aKind;
  return order;
}

} // namespace

TEST_GROUP(WorkerLaneTest){};

// Guards against cancelled work that runs on because its stop waits behind
// starts for the same worker.
TEST(WorkerLaneTest, StopsAreSentBeforeStartsThatWait)
{
  HeldWorker worker;
  OrdersOnly host;
  WorkerLane lane(WorkerId("w"), host, worker);
  lane.Post(OrderOf(OrderKind::kStart));
  worker.AwaitSent(1);
  lane.Post(OrderOf(OrderKind::kStart));
  lane.Post(OrderOf(OrderKind::kPace));
  lane.Post(OrderOf(OrderKind::kStop));
  worker.Release();
  const std::vector<OrderKind> sent = worker.AwaitSent(4);
  CHECK(sent[1] == OrderKind::kStop);
  CHECK(sent[2] == OrderKind::kStart);
  CHECK(sent[3] == OrderKind::kPace);
}

} // namespace mulberryvalve
