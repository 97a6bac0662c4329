#include "mulberryvalve/app/requests/slot_dispatcher.h"

#include <algorithm>

namespace mulberryvalve {
namespace {

// Retry interval of the first waiter, as slots freed by peers send no wake-up.
constexpr Milliseconds kRetryInterval{ 5 };

} // namespace

SlotDispatcher::SlotDispatcher(UpstreamTable& aTable,
                               UpstreamSource& aSource,
                               const Clock& aClock)
  : mTable(aTable)
  , mSource(aSource)
  , mClock(aClock)
{
}

SlotGrant SlotDispatcher::Acquire(const std::unordered_set<WorkerId>& aTried,
                                  MonotonicTime aDeadline)
{
  if (mClock.Now() >= aDeadline) {
    return SlotGrant{ std::nullopt, RequestReason::kDeadlinePassed };
  }
  if (!HasUntriedUpstream(aTried)) {
    return SlotGrant{ std::nullopt, RequestReason::kNoUpstream };
  }
  if (IsQueueEmpty()) {
    if (auto worker = TryReserve(aTried)) {
      return SlotGrant{ std::move(worker), RequestReason::kNone };
    }
  }
  return WaitForSlot(aTried, aDeadline);
}

void SlotDispatcher::Release(const AttemptEnd& aEnd)
{
  mTable.Release(aEnd, mClock.Now());
  MutexLock lock(mMutex);
  if (aEnd.mResult == AttemptResult::kSuccess) {
    mQueue.RecordServiceTime(aEnd.mElapsed);
  }
  WakeFirst();
}

std::optional<WorkerSpec> SlotDispatcher::TryReserve(
  const std::unordered_set<WorkerId>& aTried)
{
  const auto snapshot = mSource.Now();
  return mTable.Reserve(
    snapshot->mWorkers, aTried, snapshot->mPeers, mClock.Now());
}

bool SlotDispatcher::HasUntriedUpstream(
  const std::unordered_set<WorkerId>& aTried)
{
  const auto snapshot = mSource.Now();
  return std::any_of(
    snapshot->mWorkers.begin(),
    snapshot->mWorkers.end(),
    [&](const WorkerSpec& aWorker) { return aTried.count(aWorker.mId) == 0; });
}

bool SlotDispatcher::IsQueueEmpty()
{
  MutexLock lock(mMutex);
  return mQueue.Waiting() == 0;
}

SlotGrant SlotDispatcher::WaitForSlot(
  const std::unordered_set<WorkerId>& aTried,
  MonotonicTime aDeadline)
{
  const int64_t limit = mSource.Now()->mLimits.mRequestQueue;
  CondVar wake;
  MutexLock lock(mMutex);
  const QueueTicket ticket = mNextTicket++;
  if (mQueue.TryEnqueue(ticket, aDeadline, limit, mClock.Now()) !=
      AdmissionResult::kQueued) {
    return SlotGrant{ std::nullopt, RequestReason::kOverloaded };
  }
  mWaiters[ticket] = &wake;
  std::optional<SlotGrant> grant;
  while (!(grant = TryGrantToFirst(ticket, aTried, aDeadline))) {
    wake.WaitUntil(mMutex,
                   SteadyDeadline(mClock, NextWakeTime(ticket, aDeadline)));
  }
  mWaiters.erase(ticket);
  mQueue.Remove(ticket, aDeadline, grant->mWorker.has_value(), mClock.Now());
  WakeFirst();
  return *grant;
}

std::optional<SlotGrant> SlotDispatcher::TryGrantToFirst(
  QueueTicket aTicket,
  const std::unordered_set<WorkerId>& aTried,
  MonotonicTime aDeadline)
{
  const MonotonicTime now = mClock.Now();
  if (now >= aDeadline) {
    return SlotGrant{ std::nullopt, RequestReason::kDeadlinePassed };
  }
  if (mQueue.First() != aTicket) {
    return std::nullopt;
  }
  if (!mQueue.CanMeetDeadline(aDeadline, now)) {
    return SlotGrant{ std::nullopt, RequestReason::kOverloaded };
  }
  if (!HasUntriedUpstream(aTried)) {
    return SlotGrant{ std::nullopt, RequestReason::kNoUpstream };
  }
  if (auto worker = TryReserve(aTried)) {
    return SlotGrant{ std::move(worker), RequestReason::kNone };
  }
  return std::nullopt;
}

MonotonicTime SlotDispatcher::NextWakeTime(QueueTicket aTicket,
                                           MonotonicTime aDeadline) const
{
  return mQueue.First() == aTicket
           ? std::min(aDeadline, mClock.Now() + kRetryInterval)
           : aDeadline;
}

void SlotDispatcher::WakeFirst()
{
  if (const auto first = mQueue.First()) {
    mWaiters.at(*first)->NotifyAll();
  }
}

} // namespace mulberryvalve
