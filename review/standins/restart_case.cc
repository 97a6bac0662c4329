// Workers lose power for a moment, one after the other, and start again under
// the same id, while clients hand in jobs.
#include "fleet.h"

#include <atomic>
#include <cstdio>
#include <iostream>
#include <thread>

namespace {

constexpr int64_t kTaskMs = 1500;
constexpr int kClients = 4;
constexpr int64_t kClientPauseMs = 350;
constexpr int kTasksOfJob = 8;
constexpr int64_t kDarkMs = 850;
constexpr int64_t kCalmMs = 4000;
constexpr int kLosses = 16;

std::string JobId(int aNumber)
{
  char id[17];
  std::snprintf(id, sizeof id, "%016x", 0xe0000 + aNumber);
  return id;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  using namespace review;
  if (aArgc != 3) {
    return kCannotRun;
  }
  Record record(aArgv[1]);
  FleetOptions options;
  options.mWorkers = 8;
  options.mTaskMs = kTaskMs;
  Fleet fleet(options, aArgv[2], record);
  if (!fleet.Start()) {
    std::cout << "the fleet did not start\n";
    return kCannotRun;
  }
  const nlohmann::json job{ { "specification", "order" },
                            { "steps",
                              { { { "count", kTasksOfJob },
                                  { "cpu", 600 },
                                  { "mem_mb", 256 },
                                  { "estimated_ms", kTaskMs } } } } };
  std::atomic<bool> over{ false };
  std::atomic<int> number{ 0 };
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; client++) {
    clients.emplace_back([&, client] {
      SleepMs(client * kClientPauseMs / kClients);
      while (!over) {
        const int mine = ++number;
        fleet.Submit(JobId(mine), job.dump());
        SleepMs(kClientPauseMs);
      }
    });
  }
  SleepMs(5000);
  for (int loss = 0; loss < kLosses; loss++) {
    if (HasTrouble()) {
      fleet.WorkerAt(static_cast<size_t>(loss % options.mWorkers))
        .LosePower(kDarkMs);
    } else {
      SleepMs(kDarkMs);
    }
    SleepMs(kCalmMs);
  }
  over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(3000);
  std::cout << number << " jobs accepted\n";
  return Verdict(fleet.Runs().Check(), record);
}
