// Measures the cost of one placement decision by number of workers, and the
// memory used per worker and per task.
#include "mulberryvalve/core/colocation/colocation_controller.h"
#include "mulberryvalve/core/scheduler/scheduling_round.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <new>
#include <random>
#include <string>
#include <vector>

namespace {

size_t allocated = 0;

constexpr size_t kHeader = alignof(std::max_align_t);

} // namespace

// Counts the bytes allocated and not yet freed. The benchmark is
// single-threaded.
void* operator new(size_t aSize)
{
  void* block = std::malloc(aSize + kHeader);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  *static_cast<size_t*>(block) = aSize;
  allocated += aSize;
  return static_cast<char*>(block) + kHeader;
}

// Not inlined: the compiler would take the header for an access before the
// block.
[[gnu::noinline]] void operator delete(void* aBlock) noexcept
{
  if (aBlock != nullptr) {
    void* block = static_cast<char*>(aBlock) - kHeader;
    allocated -= *static_cast<size_t*>(block);
    std::free(block);
  }
}

void operator delete(void* aBlock, size_t) noexcept
{
  operator delete(aBlock);
}

namespace mulberryvalve::bench {
namespace {

constexpr int kDecisions = 4000;
constexpr size_t kTasksPerWorker = 6;
constexpr uint32_t kWaitingParts = 20000;

double MicrosecondsSince(std::chrono::steady_clock::time_point aFrom)
{
  const auto spent = std::chrono::steady_clock::now() - aFrom;
  return std::chrono::duration<double, std::micro>(spent).count();
}

double Quantile(std::vector<double> aValues, double aShare)
{
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<size_t>(last * aShare)];
}

TaskEntry MakeTask(size_t aNumber)
{
  auto demand = std::make_shared<TaskDemand>();
  demand->mResources = { 500 + int64_t(aNumber % 4) * 500, 2000, 0 };
  demand->mClass = TaskClass("class" + std::to_string(aNumber % 20));
  demand->mTeam = TeamId("team" + std::to_string(aNumber % 570));
  TaskEntry task;
  task.mId = TaskId("job" + std::to_string(aNumber / 4) + "/" +
                    std::to_string(aNumber % 4));
  task.mJob = JobId("job" + std::to_string(aNumber / 4));
  task.mDemand = demand;
  return task;
}

WorkerSpec MakeWorker(size_t aNumber)
{
  WorkerSpec spec;
  spec.mId = WorkerId("w-" + std::to_string(aNumber));
  spec.mEndpoint = { "10.0.0.1", 9000 };
  spec.mDomain = DomainId("d0");
  spec.mRack = RackId("d0-r" + std::to_string(aNumber / 8));
  spec.mCapacity = { 16000, 61440, int64_t(aNumber % 2) };
  spec.mSlots = 8;
  return spec;
}

WorkerPool MakePool(size_t aWorkers, const std::vector<TaskEntry>& aTasks)
{
  WorkerPool pool;
  for (size_t number = 0; number < aWorkers; number++) {
    PooledWorker worker;
    worker.mSpec = MakeWorker(number);
    worker.mReserve = { 2000, 4096, 0 };
    worker.mReachable = true;
    pool.Add(std::move(worker));
  }
  for (size_t number = 0; number < aTasks.size(); number++) {
    pool.ChargeTask(WorkerId("w-" + std::to_string(number % aWorkers)),
                    aTasks[number]);
  }
  return pool;
}

// Reports usage for every worker, so that scores are based on measured usage as
// they are in production.
void FeedUsage(ColocationController& aColocation, const WorkerPool& aPool)
{
  const ShardStateMachine ledger(ShardId("d0/0"));
  for (const PooledWorker& worker : aPool.All()) {
    SyncReply reply;
    reply.mClock = WorkerTime{ 5000 };
    reply.mUsage.mTakenAt = WorkerTime{ 3000 };
    reply.mUsage.mBusySlots = 2;
    reply.mUsage.mRequestP99 = Microseconds(50000);
    aColocation.OnReply(
      worker.mSpec, reply, ledger, MonotonicTime(Milliseconds(1000)));
  }
}

void MeasureChoice(size_t aWorkers)
{
  std::vector<TaskEntry> tasks;
  for (size_t number = 0; number < aWorkers * kTasksPerWorker; number++) {
    tasks.push_back(MakeTask(number));
  }
  size_t before = allocated;
  WorkerPool pool = MakePool(aWorkers, tasks);
  const size_t poolBytes = allocated - before;
  ColocationController colocation{ ColocationOptions() };
  before = allocated;
  FeedUsage(colocation, pool);
  const size_t usageBytes = allocated - before;
  std::vector<double> spent;
  std::deque<TaskEntry> placed;
  for (size_t number = 0; number < kDecisions; number++) {
    const TaskEntry& task = placed.emplace_back(MakeTask(1000000 + number));
    const auto from = std::chrono::steady_clock::now();
    const PlacementChoice choice = colocation.Policy().Choose(task, pool);
    if (choice.mWorker && number % 8 == 0) {
      pool.ChargeTask(*choice.mWorker, task);
    }
    spent.push_back(MicrosecondsSince(from));
  }
  const auto from = std::chrono::steady_clock::now();
  const WorkerPool rebuilt = MakePool(aWorkers, tasks);
  const double rebuild = MicrosecondsSince(from);
  std::printf("| %zu | %.1f | %.1f | %.0f | %zu | %zu |\n",
              aWorkers,
              Quantile(spent, 0.5),
              Quantile(spent, 0.99),
              rebuild,
              poolBytes / aWorkers,
              usageBytes / aWorkers);
}

void Append(ShardStateMachine& aLedger, uint64_t& aSequence, Record aRecord)
{
  StoredRecord stored;
  stored.mOffset = aLedger.Folded().Next();
  stored.mRecord.mHeader = {
    { InstanceId("i"), Incarnation(1) }, ++aSequence, aLedger.Claim().mEpoch, {}
  };
  stored.mRecord.mBody = std::move(aRecord);
  aLedger.Apply(stored);
}

// Measures a scheduling round by the length of a queue none of which can be
// placed.
void MeasureRound(uint32_t aWaiting)
{
  ShardStateMachine ledger(ShardId("d0/0"));
  uint64_t sequence = 0;
  Append(ledger, sequence, ShardClaimed{});
  const size_t before = allocated;
  JobSpec job;
  job.mId = JobId("job");
  job.mParts = aWaiting;
  job.mDemand.mResources = { 15000, 2000, 0 };
  Append(ledger, sequence, JobSubmitted{ job });
  const size_t taskBytes = (allocated - before) / aWaiting;
  ColocationController colocation{ ColocationOptions() };
  std::vector<double> spent;
  for (int round = 0; round < 50; round++) {
    WorkerPool pool = MakePool(2100, {});
    const MonotonicTime now{ Milliseconds(1000 + round * 50) };
    const SchedulingRoundView view{ ledger,
                                    pool,
                                    colocation.Policy(),
                                    ledger.Claim().mEpoch,
                                    false,
                                    {},
                                    [](const TaskId&) { return false; },
                                    SchedulingRoundOptions(),
                                    &colocation,
                                    now };
    const auto from = std::chrono::steady_clock::now();
    PlanSchedulingRound(view);
    spent.push_back(MicrosecondsSince(from));
  }
  std::printf("| %u | %.0f | %.0f | %zu |\n",
              aWaiting,
              Quantile(spent, 0.5),
              Quantile(spent, 0.99),
              taskBytes);
}

} // namespace
} // namespace mulberryvalve::bench

int main()
{
  using namespace mulberryvalve::bench;
  std::printf("| workers | decision median us | p99 us | pool rebuilt us | "
              "pool bytes a worker with 6 tasks | usage bytes a worker |\n"
              "|---|---|---|---|---|---|\n");
  for (const size_t workers : { 50, 500, 2100, 23000 }) {
    MeasureChoice(workers);
  }
  std::printf("\n| tasks waiting without a place | round median us | p99 us | "
              "ledger bytes a task |\n|---|---|---|---|\n");
  for (const uint32_t waiting : { kWaitingParts / 100, kWaitingParts }) {
    MeasureRound(waiting);
  }
  return 0;
}
