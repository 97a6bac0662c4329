#include "mulberryvalve/app/jobs/worker_lane.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// How long a lane waits before it asks a worker again that did not answer.
constexpr Milliseconds kAskSilentAgain{ 300 };
// The same where the worker was not asked to wait, since nothing is renewed.
constexpr Milliseconds kAskIdleAgain{ 100 };
// While ends are not durable the worker answers at once, so the lane waits: at
// first for about one append, then longer, since the log may be away.
constexpr Milliseconds kFirstDurableWait{ 60 };
constexpr Milliseconds kMaxDurableWait{ 800 };
constexpr int kMaxDoublings = 4;

LaneUrgency UrgencyOf(const TaskOrder& aOrder)
{
  switch (aOrder.mKind) {
    case OrderKind::kStop:
      return LaneUrgency::kStop;
    case OrderKind::kPace:
      return LaneUrgency::kPace;
    case OrderKind::kStart:
      return LaneUrgency::kStart;
  }
  return LaneUrgency::kStart;
}

} // namespace

void WorkerLane::Post(TaskOrder aOrder)
{
  if (aOrder.mKind == OrderKind::kStop) {
    PostStop(std::move(aOrder));
  } else {
    mQueue.push_back(std::move(aOrder));
  }
}

// A stop that waits still is not queued again, but goes where the worker is
// now.
void WorkerLane::PostStop(TaskOrder aStop)
{
  const auto waits =
    std::find_if(mStops.begin(), mStops.end(), [&](const TaskOrder& aEarlier) {
      return aEarlier.mTask == aStop.mTask && aEarlier.mRun == aStop.mRun;
    });
  if (waits != mStops.end()) {
    waits->mEndpoint = aStop.mEndpoint;
    return;
  }
  mStops.push_back(std::move(aStop));
}

std::optional<LaneUrgency> WorkerLane::NextUrgency() const
{
  if (mOrderUnderWay) {
    return std::nullopt;
  }
  if (!mStops.empty()) {
    return LaneUrgency::kStop;
  }
  if (mQueue.empty()) {
    return std::nullopt;
  }
  return UrgencyOf(mQueue[NextInQueue()]);
}

TaskOrder WorkerLane::TakeOrder()
{
  mOrderUnderWay = true;
  if (!mStops.empty()) {
    TaskOrder stop = std::move(mStops.front());
    mStops.pop_front();
    return stop;
  }
  const auto next = mQueue.begin() + static_cast<long>(NextInQueue());
  TaskOrder order = std::move(*next);
  mQueue.erase(next);
  return order;
}

void WorkerLane::OrderDone()
{
  mOrderUnderWay = false;
}

// The first pace that follows no start of its task, else the first order.
size_t WorkerLane::NextInQueue() const
{
  for (auto pace = mQueue.begin(); pace != mQueue.end(); ++pace) {
    const auto sameTask = [&](const TaskOrder& aEarlier) {
      return aEarlier.mTask == pace->mTask;
    };
    if (pace->mKind == OrderKind::kPace &&
        std::none_of(mQueue.begin(), pace, sameTask)) {
      return static_cast<size_t>(pace - mQueue.begin());
    }
  }
  return 0;
}

std::optional<WorkerLane::Time> WorkerLane::HoldDueAt() const
{
  if (mHoldUnderWay || mHoldsEnded) {
    return std::nullopt;
  }
  return mHoldDueAt;
}

void WorkerLane::BeginHold()
{
  mHoldUnderWay = true;
  mDurable = false;
  mWaitsForDurable = false;
}

void WorkerLane::HoldDone(const HoldOrder& aOrder,
                          OrderOutcome aOutcome,
                          bool aDurable,
                          Time aNow)
{
  mHoldUnderWay = false;
  if (aOutcome != OrderOutcome::kAccepted) {
    mHoldDueAt = aNow + kAskSilentAgain;
    return;
  }
  if (aDurable) {
    mNotDurable = 0;
    const bool asked = aOrder.mWait.count() > 0;
    mHoldDueAt = aNow + (asked ? Milliseconds(0) : kAskIdleAgain);
    return;
  }
  const Milliseconds wait =
    std::min(kFirstDurableWait * (1 << mNotDurable), kMaxDurableWait);
  mNotDurable = std::min(mNotDurable + 1, kMaxDoublings);
  mWaitsForDurable = !mDurable;
  mHoldDueAt = mDurable ? aNow : aNow + wait;
}

void WorkerLane::OnDurable(Time aNow)
{
  mDurable = true;
  if (std::exchange(mWaitsForDurable, false)) {
    mHoldDueAt = std::min(mHoldDueAt, aNow);
  }
}

void WorkerLane::EndHolds()
{
  mHoldUnderWay = false;
  mHoldsEnded = true;
}

void WorkerLane::OpenHolds()
{
  mHoldsEnded = false;
}

bool WorkerLane::IsOver() const
{
  return mHoldsEnded && !mOrderUnderWay && mStops.empty() && mQueue.empty();
}

} // namespace mulberryvalve
