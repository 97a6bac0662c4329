// Measures how soon lasting tasks run again on idle workers of any shard after
// a part of the workers was lost, what is sent for it, and what it costs.
#include "mulberryvalve/core/jobs/room_moves_fake.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <string>

namespace mulberryvalve {
namespace {

constexpr Milliseconds kWarmUp{ 30000 };
constexpr Milliseconds kWatched{ 60000 };
// One of twelve workers is lost, one after the other, and so their leases end
// one after the other.
constexpr size_t kLostOneIn = 12;
constexpr int64_t kMostOfAWorker = 12000;
constexpr int kCalls = 2000;

struct Row
{
  size_t mWorkers = 0;
  ShardNumber mShards = 1;
  bool mMovesWorkers = true;
};

size_t MovesOf(const RoomMoves& aCluster, const Row& aRow)
{
  size_t moves = 0;
  for (ShardNumber shard = 0; shard < aRow.mShards; shard++) {
    moves += aCluster.MovesAwayFrom(shard);
  }
  return moves;
}

// Returns the microseconds of processor time of one call.
template<typename Call>
double CostOf(const Call& aCall)
{
  const std::clock_t begin = std::clock();
  for (int call = 0; call < kCalls; call++) {
    aCall();
  }
  const double seconds =
    static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  return 1e6 * seconds / kCalls;
}

// Returns what it costs an owner to refuse a request for want of room, which
// looks at all of its workers.
double RequestCost(RoomMoves& aCluster, ShardNumber aAsked)
{
  RoomRequest request;
  request.mFrom = aAsked == 0 ? 1 : 0;
  request.mEpoch = Epoch(1U << 30);
  RoomDemand demand;
  demand.mService = ServiceId("another");
  demand.mDemand = Resources{ kMostOfAWorker, 1000, 0 };
  demand.mCount = 1;
  request.mDemands.push_back(demand);
  return CostOf(
    [&] { aCluster.OwnerOf(aAsked).Room().Give(request, aCluster.Now()); });
}

// Returns what it costs an owner to look which workers are idle, five times a
// second.
double UpdateCost(RoomMoves& aCluster)
{
  MonotonicTime now = aCluster.Now();
  return CostOf([&] {
    now += Milliseconds(200);
    aCluster.OwnerOf(0).Room().Update(now);
  });
}

void Measure(const Row& aRow)
{
  RoomMoves cluster(1, aRow.mShards, aRow.mWorkers);
  if (!aRow.mMovesWorkers) {
    cluster.mMovesWorkers = false;
    for (ShardNumber shard = 0; shard < aRow.mShards; shard++) {
      cluster.ReplaceOwner(shard);
    }
  }
  const auto tasks = static_cast<uint32_t>(aRow.mWorkers / 2);
  JobGraph job = OneStepJob("lasting", tasks, kMostOfAWorker);
  job.mSteps[0].mLongRunning = true;
  cluster.Submit(0, job);
  cluster.Play(kWarmUp);
  const size_t before = cluster.RunningOf("lasting");
  const size_t requests = cluster.Requests();
  const size_t moves = MovesOf(cluster, aRow);
  for (size_t worker = 0; worker < aRow.mWorkers / kLostOneIn; worker++) {
    cluster.Lose(worker);
    cluster.Play(RoomMoves::kTick);
  }
  const size_t left = cluster.RunningOf("lasting");
  const MonotonicTime lostAt = cluster.Now();
  MonotonicTime lastMissing = lostAt;
  while (cluster.Now() < lostAt + kWatched) {
    cluster.Play(RoomMoves::kTick);
    if (cluster.RunningOf("lasting") < tasks) {
      lastMissing = cluster.Now();
    }
  }
  const std::chrono::duration<double> missing = lastMissing - lostAt;
  std::printf("%7zu %6u %5s %5u %6zu %5zu %5zu %8.2f %8zu %5zu",
              aRow.mWorkers,
              aRow.mShards,
              aRow.mMovesWorkers ? "yes" : "no",
              tasks,
              before,
              left,
              cluster.RunningOf("lasting"),
              missing.count(),
              cluster.Requests() - requests,
              MovesOf(cluster, aRow) - moves);
  if (aRow.mShards > 1) {
    const double request = RequestCost(cluster, aRow.mShards - 1);
    const double look = UpdateCost(cluster);
    std::printf(" %9.1f %9.1f", request, look);
  }
  std::printf("\n");
}

} // namespace
} // namespace mulberryvalve

// Prints one line for each size: the tasks that run before the loss, right
// after it and a minute later, the seconds until all ran, the requests and
// moves since the loss, and microseconds for a request that gets nothing and
// for a look at the idle workers. A minute means that not all ran again.
int main()
{
  using mulberryvalve::Row;
  constexpr std::array<Row, 9> kRows{ {
    { 30, 1, true },
    { 30, 2, true },
    { 30, 2, false },
    { 100, 1, true },
    { 100, 2, true },
    { 100, 2, false },
    { 300, 1, true },
    { 300, 4, true },
    { 300, 4, false },
  } };
  std::printf("workers shards moves tasks before after again  seconds requests "
              "moves  request_us look_us\n");
  for (const Row& row : kRows) {
    mulberryvalve::Measure(row);
  }
  return 0;
}
