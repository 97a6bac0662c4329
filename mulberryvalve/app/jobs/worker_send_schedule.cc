#include "mulberryvalve/app/jobs/worker_send_schedule.h"

namespace mulberryvalve {

bool WorkerSendSchedule::SetRenewal(Place& aPlace,
                                    const WorkerId& aWorker,
                                    std::optional<Time> aDueAt)
{
  std::optional<RenewalKey>& key = aPlace.mRenewal;
  if (key && aDueAt && key->first == *aDueAt) {
    return false;
  }
  if (key) {
    mRenewals.erase(*key);
    key.reset();
  }
  if (!aDueAt) {
    return false;
  }
  key.emplace(*aDueAt, aWorker);
  const auto renewal = mRenewals.insert(*key).first;
  return renewal == mRenewals.begin();
}

bool WorkerSendSchedule::SetOrder(Place& aPlace,
                                  const WorkerId& aWorker,
                                  std::optional<SendPriority> aPriority)
{
  std::optional<OrderKey>& key = aPlace.mOrder;
  if (key && aPriority && std::get<SendPriority>(*key) == *aPriority) {
    return false;
  }
  if (key) {
    mOrders.erase(*key);
    key.reset();
  }
  if (!aPriority) {
    return false;
  }
  key.emplace(*aPriority, mNextSequence++, aWorker);
  mOrders.insert(*key);
  return true;
}

std::optional<WorkerSendSchedule::Item> WorkerSendSchedule::Next(
  Time aNow) const
{
  const bool isRenewalDue =
    !mRenewals.empty() && mRenewals.begin()->first <= aNow;
  const bool isRenewalUrgent =
    isRenewalDue && mRenewals.begin()->first + kUrgentAfter <= aNow;
  if (!mOrders.empty() && !isRenewalUrgent) {
    return Item{ std::get<WorkerId>(*mOrders.begin()), ItemKind::kOrder };
  }
  if (isRenewalDue) {
    return Item{ mRenewals.begin()->second, ItemKind::kRenewal };
  }
  return std::nullopt;
}

std::optional<WorkerSendSchedule::Time> WorkerSendSchedule::NextRenewalAt()
  const
{
  if (mRenewals.empty()) {
    return std::nullopt;
  }
  return mRenewals.begin()->first;
}

} // namespace mulberryvalve
