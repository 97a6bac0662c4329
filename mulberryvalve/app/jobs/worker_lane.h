// WorkerLane: the two threads that talk to one worker for a shard's owner.
#ifndef MULBERRYVALVE_APP_JOBS_WORKER_LANE_H_
#define MULBERRYVALVE_APP_JOBS_WORKER_LANE_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/task_worker_port.h"

#include <atomic>
#include <deque>
#include <optional>
#include <thread>

namespace mulberryvalve {

// LaneHost decides what a lane sends and takes in the answers.
// Implementations are thread-safe and do not block for long.
class LaneHost
{
public:
  virtual ~LaneHost() = default;

  // NextHold returns the renewal that is due, or nothing when the worker is
  // not known any more, which ends the lane.
  virtual std::optional<HoldOrder> NextHold(const WorkerId& aWorker) = 0;

  // OnHold takes in an answer to a renewal that was sent at aSentAt. It returns
  // whether all ends that the worker listed are durable.
  virtual bool OnHold(const HoldOrder& aOrder,
                      const HoldReply& aReply,
                      MonotonicTime aSentAt) = 0;

  // MaySend tells, immediately before it is sent, whether an order still holds.
  virtual bool MaySend(const TaskOrder& aOrder) = 0;

  // OnOrder takes in the answer to an order.
  virtual void OnOrder(const TaskOrder& aOrder, const OrderReply& aReply) = 0;

  // Now returns the present time.
  virtual MonotonicTime Now() const = 0;
};

// WorkerLane renews and lists on one thread and sends orders on another, so
// that a worker that does not answer holds up nobody else. Stops are sent
// first, the rest in its order.
class WorkerLane
{
public:
  // aHost and aPort must outlive this object.
  WorkerLane(WorkerId aWorker, LaneHost& aHost, TaskWorkerPort& aPort);
  ~WorkerLane();
  WorkerLane(const WorkerLane&) = delete;
  WorkerLane& operator=(const WorkerLane&) = delete;

  // Post queues an order. Thread-safe, does not block.
  void Post(TaskOrder aOrder);

  // OnDurable says that the ends which the worker listed are durable, so that
  // the next renewal can say so. Thread-safe, does not block.
  void OnDurable();

  // BeginStop makes both threads end after the call under way. Thread-safe.
  void BeginStop();

  // Ended tells whether the lane has ended because its worker is not known any
  // more.
  bool Ended() const { return mEnded; }

private:
  void RunHolds();
  void RunOrders();
  bool Pause(Milliseconds aLength, bool aUntilDurable);

  const WorkerId mWorker;
  LaneHost& mHost;
  TaskWorkerPort& mPort;
  Mutex mMutex;
  CondVar mHoldCond;
  CondVar mOrderCond;
  std::deque<TaskOrder> mStops MV_GUARDED_BY(mMutex);
  std::deque<TaskOrder> mQueue MV_GUARDED_BY(mMutex);
  bool mDurable MV_GUARDED_BY(mMutex) = false;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  std::atomic<bool> mEnded{ false };
  std::thread mHolds;
  std::thread mOrders;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_WORKER_LANE_H_
