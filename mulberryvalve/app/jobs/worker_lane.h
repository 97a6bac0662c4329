// WorkerLane: what waits to be sent to one worker by a shard's owner.
#ifndef MULBERRYVALVE_APP_JOBS_WORKER_LANE_H_
#define MULBERRYVALVE_APP_JOBS_WORKER_LANE_H_

#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/jobs/worker_orders.h"

#include <chrono>
#include <deque>
#include <optional>

namespace mulberryvalve {

// LaneUrgency is in which order what waits is sent, the first first.
enum class LaneUrgency
{
  kStop,
  kPace,
  kStart,
};

inline constexpr EnumTable<LaneUrgency, 3> kLaneUrgencyNames{ { {
  { LaneUrgency::kStop, "stop" },
  { LaneUrgency::kPace, "pace" },
  { LaneUrgency::kStart, "start" },
} } };

// WorkerLane is not synchronised. At most one order and one renewal of a worker
// are under way at a time. Stops are sent first, then paces, then starts; but
// orders for one task are sent in their order, except that a stop goes before
// a start of its run, which is then not sent any more.
class WorkerLane
{
public:
  using Time = std::chrono::steady_clock::time_point;

  // Post queues an order. A stop of a run for which one waits is queued once.
  void Post(TaskOrder aOrder);

  // NextUrgency returns that of the order to send next, or nothing while one is
  // under way or none waits.
  std::optional<LaneUrgency> NextUrgency() const;

  // TakeOrder returns the order to send next, which is under way until
  // OrderDone. NextUrgency must have returned something.
  TaskOrder TakeOrder();
  void OrderDone();

  // HoldDueAt returns when the next renewal is due, or nothing while one is
  // under way or after the last.
  std::optional<Time> HoldDueAt() const;

  // BeginHold says that a renewal is under way until HoldDone. aDurable says
  // whether all ends that the worker listed are durable.
  void BeginHold();
  void HoldDone(const HoldOrder& aOrder,
                OrderOutcome aOutcome,
                bool aDurable,
                Time aNow);

  // OnDurable says that the ends which the worker listed are durable, so that
  // the next renewal can say so.
  void OnDurable(Time aNow);

  // EndHolds says that the worker is not known any more; OpenHolds, that it is.
  void EndHolds();
  void OpenHolds();

  // IsOver tells whether nothing waits or is under way and no renewal follows.
  bool IsOver() const;

private:
  void PostStop(TaskOrder aStop);
  size_t NextInQueue() const;

  std::deque<TaskOrder> mStops;
  std::deque<TaskOrder> mQueue;
  bool mOrderUnderWay = false;
  bool mHoldUnderWay = false;
  bool mHoldsEnded = false;
  // Ends became durable since the renewal began.
  bool mDurable = false;
  bool mWaitsForDurable = false;
  Time mHoldDueAt;
  // How often in a row the ends that were listed were not durable.
  int mNotDurable = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_WORKER_LANE_H_
