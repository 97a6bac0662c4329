#include "mulberryvalve/app/jobs/worker_send_queue.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

// Delay before a renewal is sent again to a worker that did not answer.
constexpr Milliseconds kSendRetryDelay{ 300 };
// Interval of renewals that ask the worker to answer at once because there is
// no lease to renew.
constexpr Milliseconds kIdleRenewalInterval{ 100 };
// While reported task ends are not durable, the worker answers at once instead
// of waiting. The next renewal is delayed for about one append at first and
// with exponential backoff after that, since the log may be unavailable.
constexpr Milliseconds kMinDurableWait{ 60 };
constexpr Milliseconds kMaxDurableWait{ 800 };
constexpr int kMaxDelayDoublings = 4;

SendPriority PriorityOf(const TaskOrder& aOrder)
{
  switch (aOrder.mKind) {
    case OrderKind::kStop:
      return SendPriority::kStop;
    case OrderKind::kPace:
      return SendPriority::kPace;
    case OrderKind::kStart:
      return SendPriority::kStart;
  }
  return SendPriority::kStart;
}

} // namespace

void WorkerSendQueue::Enqueue(TaskOrder aOrder)
{
  if (aOrder.mKind == OrderKind::kStop) {
    EnqueueStop(std::move(aOrder));
  } else {
    mOtherOrders.push_back(std::move(aOrder));
  }
}

// A repeated stop is not queued twice. The queued one takes the new endpoint,
// because the worker may have moved.
void WorkerSendQueue::EnqueueStop(TaskOrder aStop)
{
  const auto queued =
    std::find_if(mStops.begin(), mStops.end(), [&](const TaskOrder& aEarlier) {
      return aEarlier.mTask == aStop.mTask && aEarlier.mRun == aStop.mRun;
    });
  if (queued != mStops.end()) {
    queued->mEndpoint = aStop.mEndpoint;
    return;
  }
  mStops.push_back(std::move(aStop));
}

std::optional<SendPriority> WorkerSendQueue::NextPriority() const
{
  if (mIsOrderInFlight) {
    return std::nullopt;
  }
  if (!mStops.empty()) {
    return SendPriority::kStop;
  }
  if (mOtherOrders.empty()) {
    return std::nullopt;
  }
  return PriorityOf(mOtherOrders[NextOrderIndex()]);
}

TaskOrder WorkerSendQueue::TakeOrder()
{
  mIsOrderInFlight = true;
  if (!mStops.empty()) {
    TaskOrder stop = std::move(mStops.front());
    mStops.pop_front();
    return stop;
  }
  const auto next = mOtherOrders.begin() + static_cast<long>(NextOrderIndex());
  TaskOrder order = std::move(*next);
  mOtherOrders.erase(next);
  return order;
}

void WorkerSendQueue::OnOrderDone()
{
  mIsOrderInFlight = false;
}

// Returns the index of the first pace change that has no earlier order for its
// task, or 0 if there is none.
size_t WorkerSendQueue::NextOrderIndex() const
{
  for (auto pace = mOtherOrders.begin(); pace != mOtherOrders.end(); ++pace) {
    const auto sameTask = [&](const TaskOrder& aEarlier) {
      return aEarlier.mTask == pace->mTask;
    };
    if (pace->mKind == OrderKind::kPace &&
        std::none_of(mOtherOrders.begin(), pace, sameTask)) {
      return static_cast<size_t>(pace - mOtherOrders.begin());
    }
  }
  return 0;
}

std::optional<WorkerSendQueue::Time> WorkerSendQueue::RenewalDueAt() const
{
  if (mIsRenewalInFlight || mAreRenewalsStopped) {
    return std::nullopt;
  }
  return mRenewalDueAt;
}

void WorkerSendQueue::BeginRenewal()
{
  mIsRenewalInFlight = true;
  mHaveEndsBecomeDurable = false;
  mIsWaitingForDurable = false;
}

void WorkerSendQueue::OnRenewalDone(const RenewalRequest& aOrder,
                                    OrderOutcome aOutcome,
                                    bool aAreEndsDurable,
                                    Time aNow)
{
  mIsRenewalInFlight = false;
  if (aOutcome != OrderOutcome::kAccepted) {
    mRenewalDueAt = aNow + kSendRetryDelay;
    return;
  }
  if (aAreEndsDurable) {
    mNotDurableCount = 0;
    const bool asked = aOrder.mWait.count() > 0;
    mRenewalDueAt = aNow + (asked ? Milliseconds(0) : kIdleRenewalInterval);
    return;
  }
  const Milliseconds wait =
    std::min(kMinDurableWait * (1 << mNotDurableCount), kMaxDurableWait);
  mNotDurableCount = std::min(mNotDurableCount + 1, kMaxDelayDoublings);
  mIsWaitingForDurable = !mHaveEndsBecomeDurable;
  mRenewalDueAt = mHaveEndsBecomeDurable ? aNow : aNow + wait;
}

void WorkerSendQueue::OnEndsDurable(Time aNow)
{
  mHaveEndsBecomeDurable = true;
  if (std::exchange(mIsWaitingForDurable, false)) {
    mRenewalDueAt = std::min(mRenewalDueAt, aNow);
  }
}

void WorkerSendQueue::StopRenewals()
{
  mIsRenewalInFlight = false;
  mAreRenewalsStopped = true;
}

void WorkerSendQueue::ResumeRenewals()
{
  mAreRenewalsStopped = false;
}

bool WorkerSendQueue::IsFinished() const
{
  return mAreRenewalsStopped && !mIsOrderInFlight && mStops.empty() &&
         mOtherOrders.empty();
}

} // namespace mulberryvalve
