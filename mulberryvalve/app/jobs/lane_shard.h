// WorkerSenderShard: the lanes of some workers, one thread that sends what they
// have.
#ifndef MULBERRYVALVE_APP_JOBS_LANE_SHARD_H_
#define MULBERRYVALVE_APP_JOBS_LANE_SHARD_H_

#include "mulberryvalve/app/jobs/worker_lane.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/task_worker_port.h"

#include <map>
#include <optional>
#include <set>
#include <thread>
#include <tuple>
#include <utility>

namespace mulberryvalve {

// WorkerSenderDelegate decides what a lane sends and takes in the answers.
// Implementations are thread-safe and do not block for long.
class WorkerSenderDelegate
{
public:
  virtual ~WorkerSenderDelegate() = default;

  // NextRenewal returns the renewal that is due, or nothing when the worker is
  // not known any more, which ends the lane.
  virtual std::optional<HoldOrder> NextRenewal(const WorkerId& aWorker) = 0;

  // OnRenewalReply takes in an answer to a renewal that was sent at aSentAt. It
  // returns whether all ends that the worker listed are durable.
  virtual bool OnRenewalReply(const HoldOrder& aOrder,
                              const HoldReply& aReply,
                              MonotonicTime aSentAt) = 0;

  // MaySend tells, immediately before it is sent, whether an order still holds.
  virtual bool MaySend(const TaskOrder& aOrder) = 0;

  // OnOrderAnswered takes in the answer to an order.
  virtual void OnOrderAnswered(const TaskOrder& aOrder,
                               const OrderReply& aReply) = 0;

  // Now returns the present time.
  virtual MonotonicTime Now() const = 0;
};

// WorkerSenderShard's methods are thread-safe. Its lock is never held while the
// host or the port is called.
class WorkerSenderShard : private WorkerReplies
{
public:
  // aDelegate and aPort must outlive this object.
  WorkerSenderShard(WorkerSenderDelegate& aDelegate, TaskWorkerPort& aPort);
  ~WorkerSenderShard() override;
  WorkerSenderShard(const WorkerSenderShard&) = delete;
  WorkerSenderShard& operator=(const WorkerSenderShard&) = delete;

  // Open, Enqueue, OnEndsDurable, BeginStop and Stop are those of WorkerLanes.
  void Open(const WorkerId& aWorker);
  void Enqueue(TaskOrder aOrder);
  void OnEndsDurable(const WorkerId& aWorker);
  void BeginStop();
  void Stop();

private:
  using Time = WorkerSendQueue::Time;
  using RenewalKey = std::pair<Time, WorkerId>;
  // The number keeps those of one urgency in the order of their coming.
  using OrderKey = std::tuple<SendPriority, uint64_t, WorkerId>;

  // QueueEntry is a lane and where it stands among those that wait.
  struct QueueEntry
  {
    WorkerSendQueue mQueue;
    MonotonicTime mRenewalSentAt;
    std::optional<RenewalKey> mRenewalKey;
    std::optional<OrderKey> mOrderKey;
  };

  // SendItem is what is to be sent next: an order, or else a renewal.
  struct SendItem
  {
    WorkerId mWorker;
    std::optional<TaskOrder> mOrder;
  };

  using EntryIterator = std::map<WorkerId, QueueEntry>::iterator;

  void Run();
  std::optional<SendItem> WaitForItem();
  std::optional<SendItem> TakeItem(Time aNow) MV_REQUIRES(mMutex);
  void SendRenewal(const WorkerId& aWorker);
  void SendOrder(TaskOrder aOrder);
  void StopRenewals(const WorkerId& aWorker);
  void OnOrderReply(const TaskOrder& aOrder, const OrderReply& aReply) override;
  void OnHoldReply(const HoldOrder& aOrder, const HoldReply& aReply) override;
  void OnItemDone(EntryIterator aEntry) MV_REQUIRES(mMutex);
  void Reschedule(EntryIterator aEntry) MV_REQUIRES(mMutex);
  void RescheduleRenewal(EntryIterator aEntry) MV_REQUIRES(mMutex);
  void RescheduleOrder(EntryIterator aEntry) MV_REQUIRES(mMutex);

  WorkerSenderDelegate& mDelegate;
  TaskWorkerPort& mPort;
  Mutex mMutex;
  // Wakes the thread that sends.
  CondVar mCond;
  // Wakes who waits for the answers to calls under way.
  CondVar mItemDoneCond;
  std::map<WorkerId, QueueEntry> mQueues MV_GUARDED_BY(mMutex);
  std::set<RenewalKey> mDueRenewals MV_GUARDED_BY(mMutex);
  std::set<OrderKey> mReadyOrders MV_GUARDED_BY(mMutex);
  uint64_t mNextSequence MV_GUARDED_BY(mMutex) = 0;
  size_t mInFlight MV_GUARDED_BY(mMutex) = 0;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_LANE_SHARD_H_
