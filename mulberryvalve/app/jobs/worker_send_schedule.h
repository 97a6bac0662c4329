// Decides which of a shard's workers is sent something next, and whether that
// is an order or a lease renewal.
#ifndef MULBERRYVALVE_APP_JOBS_WORKER_SEND_SCHEDULE_H_
#define MULBERRYVALVE_APP_JOBS_WORKER_SEND_SCHEDULE_H_

#include "mulberryvalve/app/jobs/worker_send_queue.h"

#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace mulberryvalve {

// Not synchronised. Orders go before renewals, highest priority first and FIFO
// within a priority: a renewal that is sent a little later loses nothing, as
// its reply then lists more ends at once, and the lease is far from its end. A
// renewal that has been due for kUrgentAfter goes before all orders.
class WorkerSendSchedule
{
public:
  using Time = WorkerSendQueue::Time;

private:
  using RenewalKey = std::pair<Time, WorkerId>;
  // The sequence number keeps orders of equal priority in FIFO order.
  using OrderKey = std::tuple<SendPriority, uint64_t, WorkerId>;

public:
  // A lease lasts for several seconds, and a renewal waits at the worker for
  // part of that. What is left suffices for this delay and one lost reply.
  static constexpr Milliseconds kUrgentAfter{ 1000 };

  enum class ItemKind
  {
    kOrder,
    kRenewal,
  };

  // The worker that is to be sent its next order or a renewal.
  struct Item
  {
    WorkerId mWorker;
    ItemKind mKind = ItemKind::kOrder;
  };

  // A worker's place in the schedule, which the caller keeps for it.
  class Place
  {
  private:
    friend class WorkerSendSchedule;
    std::optional<RenewalKey> mRenewal;
    std::optional<OrderKey> mOrder;
  };

  // Set when the worker's next renewal is due, and the priority of its next
  // order, or that there is none. Return whether the thread that waits for
  // items must look again.
  bool SetRenewal(Place& aPlace,
                  const WorkerId& aWorker,
                  std::optional<Time> aDueAt);
  bool SetOrder(Place& aPlace,
                const WorkerId& aWorker,
                std::optional<SendPriority> aPriority);

  // Returns what to send now, if anything. The caller takes it from the
  // worker's queue and calls both setters.
  std::optional<Item> Next(Time aNow) const;

  // Returns when the next renewal is due.
  std::optional<Time> NextRenewalAt() const;

private:
  std::set<RenewalKey> mRenewals;
  std::set<OrderKey> mOrders;
  uint64_t mNextSequence = 0;
};

inline constexpr EnumTable<WorkerSendSchedule::ItemKind, 2> kSendItemKindNames{
  { {
    { WorkerSendSchedule::ItemKind::kOrder, "order" },
    { WorkerSendSchedule::ItemKind::kRenewal, "renewal" },
  } }
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_APP_JOBS_WORKER_SEND_SCHEDULE_H_
