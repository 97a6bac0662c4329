// Many short tasks end while the store is down, so that workers hold more ends
// than one answer lists.
#include "fleet.h"

#include <atomic>
#include <cstdio>
#include <iostream>
#include <thread>

namespace {

constexpr int64_t kTaskMs = 500;
// As wide as a step of the site gets (`width`, `max`).
constexpr int kTasks = 36;
constexpr int kJobs = 120;
constexpr int kClients = 8;
// The longest that the site file has (`platform_down`, `for_s`).
constexpr int64_t kOutageMs = 4200;

} // namespace

int main(int aArgc, char** aArgv)
{
  using namespace review;
  if (aArgc != 3) {
    return kCannotRun;
  }
  Record record(aArgv[1]);
  FleetOptions options;
  options.mWorkers = 2;
  options.mTaskMs = kTaskMs;
  Fleet fleet(options, aArgv[2], record);
  if (!fleet.Start()) {
    std::cout << "the fleet did not start\n";
    return kCannotRun;
  }
  const nlohmann::json job{ { "specification", "stock count" },
                            { "steps",
                              { { { "count", kTasks },
                                  { "cpu", 50 },
                                  { "mem_mb", 16 },
                                  { "estimated_ms", kTaskMs } } } } };
  const auto idOf = [](int aNumber) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xa0000 + aNumber);
    return std::string(id);
  };
  std::atomic<int> next{ 0 };
  std::atomic<int> accepted{ 0 };
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; client++) {
    clients.emplace_back([&] {
      for (int number = next++; number < kJobs; number = next++) {
        accepted += fleet.Submit(idOf(number), job.dump()) ? 1 : 0;
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  if (accepted != kJobs) {
    return kCannotRun;
  }
  SleepMs(500);
  if (HasTrouble()) {
    record.Line("the store is down");
    fleet.PlatformStore().SetDown(true);
    SleepMs(kOutageMs);
    fleet.PlatformStore().SetDown(false);
    record.Line("the store is back");
  }
  size_t completed = 0;
  for (int number = 0; number < kJobs; number++) {
    const std::string state =
      fleet.AwaitState(idOf(number), { "completed", "failed" }, 20000);
    completed += state == "completed" ? 1 : 0;
  }
  std::cout << completed << " of " << kJobs << " jobs completed, "
            << fleet.Runs().DoneTasks() << " tasks done\n";
  SleepMs(2000);
  if (!HasTrouble() && completed != kJobs) {
    return kCannotRun;
  }
  return Verdict(fleet.Runs().Check(), record);
}
