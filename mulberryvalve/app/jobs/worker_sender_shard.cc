#include "mulberryvalve/app/jobs/worker_sender_shard.h"

#include <chrono>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

} // namespace

WorkerSenderShard::WorkerSenderShard(WorkerSenderDelegate& aDelegate,
                                     TaskWorkerPort& aPort)
  : mDelegate(aDelegate)
  , mPort(aPort)
  , mThread([this] { Run(); })
{
}

WorkerSenderShard::~WorkerSenderShard()
{
  Stop();
}

void WorkerSenderShard::StartRenewals(const WorkerId& aWorker)
{
  MutexLock lock(mMutex);
  const EntryIterator entryIt = mQueues.try_emplace(aWorker).first;
  entryIt->second.mQueue.ResumeRenewals();
  Reschedule(entryIt);
}

void WorkerSenderShard::Enqueue(TaskOrder aOrder)
{
  MutexLock lock(mMutex);
  const EntryIterator entryIt = mQueues.try_emplace(aOrder.mWorker).first;
  entryIt->second.mQueue.Enqueue(std::move(aOrder));
  Reschedule(entryIt);
}

void WorkerSenderShard::OnEndsDurable(const WorkerId& aWorker)
{
  MutexLock lock(mMutex);
  const EntryIterator entryIt = mQueues.find(aWorker);
  if (entryIt != mQueues.end()) {
    entryIt->second.mQueue.OnEndsDurable(Steady::now());
    Reschedule(entryIt);
  }
}

void WorkerSenderShard::BeginStop()
{
  MutexLock lock(mMutex);
  mStopping = true;
  mCond.NotifyAll();
}

void WorkerSenderShard::Stop()
{
  BeginStop();
  if (mThread.joinable()) {
    mThread.join();
  }
  MutexLock lock(mMutex);
  while (mInFlight > 0) {
    mItemDoneCond.Wait(mMutex);
  }
}

void WorkerSenderShard::Run()
{
  while (std::optional<SendItem> item = WaitForItem()) {
    if (item->mOrder) {
      SendOrder(std::move(*item->mOrder));
    } else {
      SendRenewal(item->mWorker);
    }
  }
}

// Returns nothing if the sender is stopping.
std::optional<WorkerSenderShard::SendItem> WorkerSenderShard::WaitForItem()
{
  MutexLock lock(mMutex);
  while (!mStopping) {
    if (std::optional<SendItem> item = TakeItem(Steady::now())) {
      mInFlight++;
      return item;
    }
    if (const std::optional<Time> due = mSchedule.NextRenewalAt()) {
      mCond.WaitUntil(mMutex, *due);
    } else {
      mCond.Wait(mMutex);
    }
  }
  return std::nullopt;
}

std::optional<WorkerSenderShard::SendItem> WorkerSenderShard::TakeItem(
  Time aNow)
{
  const std::optional<WorkerSendSchedule::Item> next = mSchedule.Next(aNow);
  if (!next) {
    return std::nullopt;
  }
  SendItem item;
  item.mWorker = next->mWorker;
  const EntryIterator entryIt = mQueues.find(item.mWorker);
  switch (next->mKind) {
    case WorkerSendSchedule::ItemKind::kOrder:
      item.mOrder = entryIt->second.mQueue.TakeOrder();
      break;
    case WorkerSendSchedule::ItemKind::kRenewal:
      entryIt->second.mQueue.BeginRenewal();
      break;
  }
  Reschedule(entryIt);
  return item;
}

void WorkerSenderShard::SendRenewal(const WorkerId& aWorker)
{
  std::optional<RenewalRequest> order = mDelegate.NextRenewal(aWorker);
  if (!order) {
    StopRenewals(aWorker);
    return;
  }
  const MonotonicTime sentAt = mDelegate.Now();
  {
    MutexLock lock(mMutex);
    mQueues.find(aWorker)->second.mRenewalSentAt = sentAt;
  }
  mPort.Renew(std::move(*order), *this);
}

void WorkerSenderShard::SendOrder(TaskOrder aOrder)
{
  if (mDelegate.MaySend(aOrder)) {
    mPort.Send(std::move(aOrder), *this);
    return;
  }
  OrderReply reply;
  reply.mOutcome = OrderOutcome::kNotSent;
  OnOrderReply(aOrder, reply);
}

void WorkerSenderShard::StopRenewals(const WorkerId& aWorker)
{
  MutexLock lock(mMutex);
  const EntryIterator entryIt = mQueues.find(aWorker);
  entryIt->second.mQueue.StopRenewals();
  OnItemDone(entryIt);
}

void WorkerSenderShard::OnOrderReply(const TaskOrder& aOrder,
                                     const OrderReply& aReply)
{
  mDelegate.OnOrderAnswered(aOrder, aReply);
  MutexLock lock(mMutex);
  const EntryIterator entryIt = mQueues.find(aOrder.mWorker);
  entryIt->second.mQueue.OnOrderDone();
  OnItemDone(entryIt);
}

void WorkerSenderShard::OnRenewalReply(const RenewalRequest& aOrder,
                                       const RenewalReply& aReply)
{
  MonotonicTime sentAt;
  {
    MutexLock lock(mMutex);
    sentAt = mQueues.find(aOrder.mWorker)->second.mRenewalSentAt;
  }
  const bool durable = mDelegate.OnRenewalReply(aOrder, aReply, sentAt);
  MutexLock lock(mMutex);
  const EntryIterator entryIt = mQueues.find(aOrder.mWorker);
  entryIt->second.mQueue.OnRenewalDone(
    aOrder, aReply.mOutcome, durable, Steady::now());
  OnItemDone(entryIt);
}

void WorkerSenderShard::OnItemDone(EntryIterator aEntry)
{
  Reschedule(aEntry);
  if (aEntry->second.mQueue.IsFinished()) {
    mQueues.erase(aEntry);
  }
  mInFlight--;
  mItemDoneCond.NotifyAll();
}

// Updates the schedule after a queue changed.
void WorkerSenderShard::Reschedule(EntryIterator aEntry)
{
  auto& [worker, entry] = *aEntry;
  const bool isRenewalFirst =
    mSchedule.SetRenewal(entry.mPlace, worker, entry.mQueue.RenewalDueAt());
  const bool hasNewOrder =
    mSchedule.SetOrder(entry.mPlace, worker, entry.mQueue.NextPriority());
  if (isRenewalFirst || hasNewOrder) {
    mCond.NotifyOne();
  }
}

} // namespace mulberryvalve
