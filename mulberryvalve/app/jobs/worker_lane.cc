#include "mulberryvalve/app/jobs/worker_lane.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// How long a lane waits before it asks a worker again that did not answer.
constexpr Milliseconds kAskSilentAgain{ 300 };
// The same where the worker was not asked to wait, since nothing is renewed.
constexpr Milliseconds kAskIdleAgain{ 100 };
// While ends are not durable the worker answers at once, so the lane waits: at
// first for about one append, then longer, since the log may be away.
constexpr Milliseconds kFirstDurableWait{ 60 };
constexpr Milliseconds kMaxDurableWait{ 800 };

} // namespace

WorkerLane::WorkerLane(WorkerId aWorker, LaneHost& aHost, TaskWorkerPort& aPort)
  : mWorker(std::move(aWorker))
  , mHost(aHost)
  , mPort(aPort)
{
  mHolds = std::thread([this] { RunHolds(); });
  mOrders = std::thread([this] { RunOrders(); });
}

WorkerLane::~WorkerLane()
{
  BeginStop();
  mHolds.join();
  mOrders.join();
}

void WorkerLane::Post(TaskOrder aOrder)
{
  MutexLock lock(mMutex);
  // A start that is queued behind the stop of its run is not sent any more.
  const bool urgent = aOrder.mKind == OrderKind::kStop;
  (urgent ? mStops : mQueue).push_back(std::move(aOrder));
  mOrderCond.NotifyOne();
}

void WorkerLane::OnDurable()
{
  MutexLock lock(mMutex);
  mDurable = true;
  mHoldCond.NotifyOne();
}

void WorkerLane::BeginStop()
{
  MutexLock lock(mMutex);
  mStopping = true;
  mHoldCond.NotifyAll();
  mOrderCond.NotifyAll();
}

void WorkerLane::RunHolds()
{
  Milliseconds durableWait = kFirstDurableWait;
  while (Pause(Milliseconds(0), false)) {
    const std::optional<HoldOrder> order = mHost.NextHold(mWorker);
    if (!order) {
      break;
    }
    const MonotonicTime sentAt = mHost.Now();
    const HoldReply reply = mPort.Hold(*order);
    const bool durable = mHost.OnHold(*order, reply, sentAt);
    if (reply.mOutcome != OrderOutcome::kAccepted) {
      Pause(kAskSilentAgain, false);
    } else if (durable) {
      durableWait = kFirstDurableWait;
      if (order->mWait.count() == 0) {
        Pause(kAskIdleAgain, false);
      }
    } else {
      Pause(durableWait, true);
      durableWait = std::min(2 * durableWait, kMaxDurableWait);
    }
  }
  mEnded = true;
}

void WorkerLane::RunOrders()
{
  while (true) {
    TaskOrder order;
    {
      MutexLock lock(mMutex);
      while (mStops.empty() && mQueue.empty() && !mStopping) {
        mOrderCond.Wait(mMutex);
      }
      if (mStopping) {
        return;
      }
      std::deque<TaskOrder>& next = mStops.empty() ? mQueue : mStops;
      order = std::move(next.front());
      next.pop_front();
    }
    OrderReply reply;
    reply.mOutcome = OrderOutcome::kNotSent;
    if (mHost.MaySend(order)) {
      reply = mPort.Send(order);
    }
    mHost.OnOrder(order, reply);
  }
}

// Returns whether the lane goes on.
bool WorkerLane::Pause(Milliseconds aLength, bool aUntilDurable)
{
  const Steady::time_point until = Steady::now() + aLength;
  MutexLock lock(mMutex);
  while (!mStopping && !(aUntilDurable && mDurable) && Steady::now() < until) {
    mHoldCond.WaitUntil(mMutex, until);
  }
  mDurable = false;
  return !mStopping;
}

} // namespace mulberryvalve
