// The order in which an owner under load sends its calls, played on a manual
// clock with a fixed cost a call.
#include "mulberryvalve/app/jobs/worker_send_schedule.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

using Time = WorkerSendQueue::Time;

constexpr Milliseconds kLease{ 5500 };
constexpr Milliseconds kRenewalWait{ 1500 };
constexpr Milliseconds kRoundTrip{ 2 };
constexpr Milliseconds kRunTime{ 800 };
constexpr Microseconds kCallCost{ 125 };
constexpr size_t kWorkers = 1100;
// Twice what the largest known deployment starts on its heaviest day.
constexpr size_t kStartsPerSecond = 4400;
constexpr Milliseconds kMaxStartWait{ 100 };

Time At(Milliseconds aTime)
{
  return Time(aTime);
}

// An owner that makes one call after the other, and workers that answer a
// renewal as soon as a run has ended.
class LoadedOwner
{
public:
  explicit LoadedOwner(size_t aStartsPerSecond)
    : mStartInterval(1'000'000 / aStartsPerSecond)
    , mWorkers(kWorkers)
  {
    for (size_t worker = 0; worker < kWorkers; worker++) {
      Reschedule(worker);
    }
  }

  void AddOrders(OrderKind aKind, size_t aCount)
  {
    for (size_t i = 0; i < aCount; i++) {
      AddOrder(aKind);
    }
  }

  // Plays until aEnd. The longest delays are those since the last call.
  void PlayUntil(Milliseconds aEnd)
  {
    mLongestWait.clear();
    mLongestRenewalGap = Microseconds(0);
    while (mNow < At(aEnd)) {
      while (mNextStartAt <= mNow) {
        mNextStartAt += mStartInterval;
        AddOrder(OrderKind::kStart);
      }
      RunEvents();
      SendNext();
      mNow += kCallCost;
    }
  }

  Microseconds LongestWait(OrderKind aKind) { return mLongestWait[aKind]; }
  Microseconds LongestRenewalGap() const { return mLongestRenewalGap; }

private:
  struct Worker
  {
    WorkerSendQueue mQueue;
    WorkerSendSchedule::Place mPlace;
    size_t mUnreportedEnds = 0;
    bool mHoldsRenewal = false;
    uint64_t mRenewals = 0;
    Time mRenewedAt;
  };

  WorkerId IdOf(size_t aWorker) const
  {
    return WorkerId(std::to_string(aWorker));
  }

  void Reschedule(size_t aWorker)
  {
    Worker& worker = mWorkers[aWorker];
    (void)mSchedule.SetRenewal(
      worker.mPlace, IdOf(aWorker), worker.mQueue.RenewalDueAt());
    (void)mSchedule.SetOrder(
      worker.mPlace, IdOf(aWorker), worker.mQueue.NextPriority());
  }

  void AddOrder(OrderKind aKind)
  {
    const size_t worker = mOrders++ * 7919 % kWorkers;
    TaskOrder order;
    order.mKind = aKind;
    order.mRun = RunNumber(mOrders);
    mDecidedAt[mOrders] = mNow;
    mWorkers[worker].mQueue.Enqueue(std::move(order));
    Reschedule(worker);
  }

  void RunEvents()
  {
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      const std::function<void()> event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
    }
  }

  void SendNext()
  {
    const auto next = mSchedule.Next(mNow);
    if (!next) {
      return;
    }
    const size_t worker = std::stoul(next->mWorker.Text());
    if (next->mKind == WorkerSendSchedule::ItemKind::kOrder) {
      SendOrder(worker);
    } else {
      SendRenewal(worker);
    }
    Reschedule(worker);
  }

  void SendOrder(size_t aWorker)
  {
    const TaskOrder order = mWorkers[aWorker].mQueue.TakeOrder();
    const auto wait = std::chrono::duration_cast<Microseconds>(
      mNow - mDecidedAt[order.mRun.Value()]);
    Microseconds& longest = mLongestWait[order.mKind];
    longest = std::max(longest, wait);
    mEvents.emplace(mNow + kRoundTrip, [this, aWorker] {
      mWorkers[aWorker].mQueue.OnOrderDone();
      Reschedule(aWorker);
    });
    if (order.mKind == OrderKind::kStart) {
      mEvents.emplace(mNow + kRunTime, [this, aWorker] {
        mWorkers[aWorker].mUnreportedEnds++;
        AnswerRenewal(aWorker, mWorkers[aWorker].mRenewals);
      });
    }
  }

  void SendRenewal(size_t aWorker)
  {
    Worker& worker = mWorkers[aWorker];
    worker.mQueue.BeginRenewal();
    if (worker.mRenewals++ > 0) {
      const auto gap =
        std::chrono::duration_cast<Microseconds>(mNow - worker.mRenewedAt);
      mLongestRenewalGap = std::max(mLongestRenewalGap, gap);
    }
    worker.mRenewedAt = mNow;
    worker.mHoldsRenewal = true;
    const bool hasEnds = std::exchange(worker.mUnreportedEnds, 0) > 0;
    const Milliseconds delay = hasEnds ? kRoundTrip : kRenewalWait;
    mEvents.emplace(mNow + delay, [this, aWorker, number = worker.mRenewals] {
      AnswerRenewal(aWorker, number);
    });
  }

  void AnswerRenewal(size_t aWorker, uint64_t aNumber)
  {
    Worker& worker = mWorkers[aWorker];
    if (!worker.mHoldsRenewal || worker.mRenewals != aNumber) {
      return;
    }
    worker.mHoldsRenewal = false;
    worker.mUnreportedEnds = 0;
    RenewalRequest renewal;
    renewal.mWait = kRenewalWait;
    worker.mQueue.OnRenewalDone(renewal, OrderOutcome::kAccepted, true, mNow);
    Reschedule(aWorker);
  }

  const Microseconds mStartInterval;
  Time mNow = At(Milliseconds(10'000));
  Time mNextStartAt = mNow;
  uint64_t mOrders = 0;
  std::vector<Worker> mWorkers;
  std::map<uint64_t, Time> mDecidedAt;
  std::multimap<Time, std::function<void()>> mEvents;
  std::map<OrderKind, Microseconds> mLongestWait;
  Microseconds mLongestRenewalGap{ 0 };
  WorkerSendSchedule mSchedule;
};

constexpr Milliseconds kSettled{ 12'000 };
constexpr Milliseconds kEnd{ 20'000 };

} // namespace

TEST_GROUP(WorkerSendSchedule){};

// Guards against a sender that sleeps on and never asks a worker: whether the
// first renewal is due before all others was left to the order in which the
// compiler evaluates two calls, and was false on x86-64.
TEST(WorkerSendSchedule, TheFirstRenewalWakesTheSender)
{
  const WorkerId worker("w");
  const WorkerId other("x");
  WorkerSendSchedule schedule;
  WorkerSendSchedule::Place place;
  WorkerSendSchedule::Place otherPlace;
  CHECK(schedule.SetRenewal(place, worker, At(Milliseconds(20))));
  CHECK_FALSE(schedule.SetRenewal(otherPlace, other, At(Milliseconds(30))));
  CHECK(schedule.SetRenewal(otherPlace, other, At(Milliseconds(10))));
}

// Guards against an owner that falls behind and stays behind: each renewal that
// was answered was due again at once and went before all starts, which waited
// for seconds while the ends came one a reply.
TEST(WorkerSendSchedule, RenewalsDoNotHoldUpStartsUnderLoad)
{
  LoadedOwner owner(kStartsPerSecond);
  owner.PlayUntil(kSettled);
  owner.PlayUntil(kEnd);
  CHECK(owner.LongestWait(OrderKind::kStart) < kMaxStartWait);
  CHECK(owner.LongestRenewalGap() < kLease * 2 / 3);
}

// A successor has the work of several seconds to start. It asks all workers
// first, and has no backlog after 2 s.
TEST(WorkerSendSchedule, ATakeoverUnderLoadLeavesNoBacklog)
{
  constexpr size_t kBacklog = 4000;
  LoadedOwner owner(kStartsPerSecond);
  owner.AddOrders(OrderKind::kStart, kBacklog);
  owner.PlayUntil(kSettled);
  owner.PlayUntil(kEnd);
  CHECK(owner.LongestWait(OrderKind::kStart) < kMaxStartWait);
}

TEST(WorkerSendSchedule, ABurstOfStopsIsSentInTimeUnderLoad)
{
  constexpr size_t kStops = 3000;
  constexpr Milliseconds kMaxStopWait{ 1000 };
  LoadedOwner owner(kStartsPerSecond);
  owner.PlayUntil(kSettled);
  owner.AddOrders(OrderKind::kStop, kStops);
  owner.PlayUntil(kEnd);
  CHECK(owner.LongestWait(OrderKind::kStop) < kMaxStopWait);
  CHECK(owner.LongestRenewalGap() < kLease * 2 / 3);
}

// More starts than can be sent must not let leases end.
TEST(WorkerSendSchedule, LeasesAreRenewedDuringAnOverloadOfStarts)
{
  constexpr size_t kTooManyStartsPerSecond = 12'000;
  LoadedOwner owner(kTooManyStartsPerSecond);
  owner.PlayUntil(kSettled);
  owner.PlayUntil(kEnd);
  CHECK(owner.LongestRenewalGap() < kLease * 2 / 3);
}

} // namespace mulberryvalve
