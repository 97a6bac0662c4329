// The orders and lease renewals that a shard's owner has yet to send to one
// worker.
#ifndef MULBERRYVALVE_APP_JOBS_WORKER_SEND_QUEUE_H_
#define MULBERRYVALVE_APP_JOBS_WORKER_SEND_QUEUE_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/worker_messages.h"

#include <chrono>
#include <deque>
#include <optional>

namespace mulberryvalve {

// Priority of an order, highest first.
enum class SendPriority
{
  kStop,
  kPace,
  kStart,
};

inline constexpr EnumTable<SendPriority, 3> kSendPriorityNames{ { {
  { SendPriority::kStop, "stop" },
  { SendPriority::kPace, "pace" },
  { SendPriority::kStart, "start" },
} } };

// Not thread-safe. At most one order and one renewal are in flight at a time.
// Stops are sent first, then pace changes, then starts. Orders for the same
// task keep their order, except that a stop overtakes a start of its run, which
// is then not sent.
class WorkerSendQueue
{
public:
  using Time = std::chrono::steady_clock::time_point;

  // Queues an order. If a stop of the same run is queued already, only its
  // endpoint is updated.
  void Enqueue(TaskOrder aOrder);

  // Returns the priority of the next order, or nothing while an order is in
  // flight or if none is queued.
  std::optional<SendPriority> NextPriority() const;

  // Removes and returns the next order, which is in flight until OnOrderDone.
  // Precondition: NextPriority returns a value.
  TaskOrder TakeOrder();
  void OnOrderDone();

  // Returns when the next renewal is due, or nothing while one is in flight or
  // after StopRenewals.
  std::optional<Time> RenewalDueAt() const;

  // Marks a renewal as in flight until OnRenewalDone. aAreEndsDurable is
  // whether all task ends that the worker reported are durable.
  void BeginRenewal();
  void OnRenewalDone(const RenewalRequest& aOrder,
                     OrderOutcome aOutcome,
                     bool aAreEndsDurable,
                     Time aNow);

  // Records that the reported task ends are durable, so that the next renewal
  // can confirm them to the worker.
  void OnEndsDurable(Time aNow);

  // StopRenewals is for a worker that is no longer known, ResumeRenewals for
  // one that is known again.
  void StopRenewals();
  void ResumeRenewals();

  // Returns whether nothing is queued or in flight and renewals have stopped.
  bool IsFinished() const;

private:
  void EnqueueStop(TaskOrder aStop);
  size_t NextOrderIndex() const;

  std::deque<TaskOrder> mStops;
  std::deque<TaskOrder> mOtherOrders;
  bool mIsOrderInFlight = false;
  bool mIsRenewalInFlight = false;
  bool mAreRenewalsStopped = false;
  // Task ends became durable since the renewal began.
  bool mHaveEndsBecomeDurable = false;
  bool mIsWaitingForDurable = false;
  Time mRenewalDueAt;
  // Number of successive renewals whose reported task ends were not durable.
  int mNotDurableCount = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_WORKER_SEND_QUEUE_H_
