// The send queues of some of the workers, and the thread that sends their
// content.
#ifndef MULBERRYVALVE_APP_JOBS_WORKER_SENDER_SHARD_H_
#define MULBERRYVALVE_APP_JOBS_WORKER_SENDER_SHARD_H_

#include "mulberryvalve/app/jobs/worker_send_queue.h"
#include "mulberryvalve/app/jobs/worker_send_schedule.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/ports/out/task_worker_port.h"

#include <map>
#include <optional>
#include <thread>

namespace mulberryvalve {

// Decides what is sent to a worker and handles the replies. Implementations
// must be thread-safe and must not block for long.
class WorkerSenderDelegate
{
public:
  virtual ~WorkerSenderDelegate() = default;

  // Returns the renewal to send, or nothing if the worker is no longer known,
  // which stops its renewals.
  virtual std::optional<RenewalRequest> NextRenewal(
    const WorkerId& aWorker) = 0;

  // Handles the reply to a renewal sent at aSentAt. Returns whether all task
  // ends that the worker reported are durable.
  virtual bool OnRenewalReply(const RenewalRequest& aOrder,
                              const RenewalReply& aReply,
                              MonotonicTime aSentAt) = 0;

  // Called immediately before an order is sent. Returns whether it is still
  // valid.
  virtual bool MaySend(const TaskOrder& aOrder) = 0;

  // Handles the reply to an order.
  virtual void OnOrderAnswered(const TaskOrder& aOrder,
                               const OrderReply& aReply) = 0;

  // Returns the current time.
  virtual MonotonicTime Now() const = 0;
};

// Thread-safe. The mutex is never held while the delegate or the port is
// called.
class WorkerSenderShard : private WorkerReplyHandler
{
public:
  // aDelegate and aPort must outlive this object.
  WorkerSenderShard(WorkerSenderDelegate& aDelegate, TaskWorkerPort& aPort);
  ~WorkerSenderShard() override;
  WorkerSenderShard(const WorkerSenderShard&) = delete;
  WorkerSenderShard& operator=(const WorkerSenderShard&) = delete;

  // Same as the methods of WorkerSender.
  void StartRenewals(const WorkerId& aWorker);
  void Enqueue(TaskOrder aOrder);
  void OnEndsDurable(const WorkerId& aWorker);
  void BeginStop();
  void Stop();

private:
  using Time = WorkerSendQueue::Time;

  struct QueueEntry
  {
    WorkerSendQueue mQueue;
    WorkerSendSchedule::Place mPlace;
    MonotonicTime mRenewalSentAt;
  };

  // The next item to send: an order if mOrder is set, otherwise a renewal.
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
  void OnRenewalReply(const RenewalRequest& aOrder,
                      const RenewalReply& aReply) override;
  void OnItemDone(EntryIterator aEntry) MV_REQUIRES(mMutex);
  void Reschedule(EntryIterator aEntry) MV_REQUIRES(mMutex);

  WorkerSenderDelegate& mDelegate;
  TaskWorkerPort& mPort;
  Mutex mMutex;
  // Wakes the sending thread.
  CondVar mCond;
  // Wakes Stop when a call in flight has been answered.
  CondVar mItemDoneCond;
  std::map<WorkerId, QueueEntry> mQueues MV_GUARDED_BY(mMutex);
  WorkerSendSchedule mSchedule MV_GUARDED_BY(mMutex);
  size_t mInFlight MV_GUARDED_BY(mMutex) = 0;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  std::thread mThread;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_WORKER_SENDER_SHARD_H_
