// WorkerSendQueue: what waits to be sent to one worker by a shard's owner.
#ifndef MULBERRYVALVE_APP_JOBS_WORKER_LANE_H_
#define MULBERRYVALVE_APP_JOBS_WORKER_LANE_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/worker_orders.h"

#include <chrono>
#include <deque>
#include <optional>

namespace mulberryvalve {

// SendPriority is in which order what waits is sent, the first first.
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

// WorkerSendQueue is not synchronised. At most one order and one renewal of a
// worker are under way at a time. Stops are sent first, then paces, then
// starts; but orders for one task are sent in their order, except that a stop
// goes before a start of its run, which is then not sent any more.
class WorkerSendQueue
{
public:
  using Time = std::chrono::steady_clock::time_point;

  // Enqueue queues an order. A stop of a run for which one waits is queued
  // once.
  void Enqueue(TaskOrder aOrder);

  // NextPriority returns that of the order to send next, or nothing while one
  // is under way or none waits.
  std::optional<SendPriority> NextPriority() const;

  // TakeOrder returns the order to send next, which is under way until
  // OnOrderDone. NextPriority must have returned something.
  TaskOrder TakeOrder();
  void OnOrderDone();

  // RenewalDueAt returns when the next renewal is due, or nothing while one is
  // under way or after the last.
  std::optional<Time> RenewalDueAt() const;

  // BeginRenewal says that a renewal is under way until OnRenewalDone.
  // aAreEndsDurable says whether all ends that the worker listed are durable.
  void BeginRenewal();
  void OnRenewalDone(const HoldOrder& aOrder,
                     OrderOutcome aOutcome,
                     bool aAreEndsDurable,
                     Time aNow);

  // OnEndsDurable says that the ends which the worker listed are durable, so
  // that the next renewal can say so.
  void OnEndsDurable(Time aNow);

  // StopRenewals says that the worker is not known any more; ResumeRenewals,
  // that it is.
  void StopRenewals();
  void ResumeRenewals();

  // IsFinished tells whether nothing waits or is under way and no renewal
  // follows.
  bool IsFinished() const;

private:
  void EnqueueStop(TaskOrder aStop);
  size_t NextOrderIndex() const;

  std::deque<TaskOrder> mStops;
  std::deque<TaskOrder> mOtherOrders;
  bool mIsOrderInFlight = false;
  bool mIsRenewalInFlight = false;
  bool mAreRenewalsStopped = false;
  // Ends became durable since the renewal began.
  bool mHaveEndsBecomeDurable = false;
  bool mIsWaitingForDurable = false;
  Time mRenewalDueAt;
  // How often in a row the ends that were listed were not durable.
  int mNotDurableCount = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_WORKER_LANE_H_
