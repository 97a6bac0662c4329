// Answers of the store to the owner's writing calls are lost, and the calls are
// carried out later, while clients hand in jobs.
#include "fleet.h"

#include <atomic>
#include <cstdio>
#include <iostream>
#include <thread>

namespace {

constexpr int64_t kTaskMs = 700;
constexpr int kClients = 8;
constexpr int64_t kClientPauseMs = 200;
// The longest that the site file has (`platform_lost`, `for_s`).
constexpr int64_t kLossMs = 4500;
constexpr int64_t kLateMs = 3000;
constexpr int64_t kCalmMs = 5500;
constexpr int kLosses = 8;

std::string JobId(int aNumber)
{
  char id[17];
  std::snprintf(id, sizeof id, "%016x", 0xd0000 + aNumber);
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
  options.mEntries = 5;
  options.mWorkers = 8;
  options.mTaskMs = kTaskMs;
  Fleet fleet(options, aArgv[2], record);
  if (!fleet.Start()) {
    std::cout << "the fleet did not start\n";
    return kCannotRun;
  }
  const nlohmann::json job{ { "specification", "order" },
                            { "steps",
                              { { { "count", 3 },
                                  { "cpu", 600 },
                                  { "mem_mb", 256 },
                                  { "estimated_ms", kTaskMs } } } } };
  std::atomic<bool> over{ false };
  std::atomic<int> number{ 0 };
  std::atomic<int> accepted{ 0 };
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; client++) {
    clients.emplace_back([&, client] {
      SleepMs(client * kClientPauseMs / kClients);
      while (!over) {
        const int mine = ++number;
        const size_t entry = static_cast<size_t>(mine % options.mEntries);
        for (int attempt = 0; attempt < 4; attempt++) {
          const size_t at = (entry + static_cast<size_t>(attempt)) %
                            static_cast<size_t>(options.mEntries);
          if (fleet.Call(at, "POST", JobId(mine), job.dump()).mStatus == 200) {
            accepted++;
            break;
          }
        }
        SleepMs(kClientPauseMs);
      }
    });
  }
  SleepMs(6000);
  for (int loss = 0; loss < kLosses; loss++) {
    if (!HasTrouble()) {
      SleepMs(kLossMs + kCalmMs);
      continue;
    }
    const std::string member = fleet.PlatformStore().BeginLateWrites(kLateMs);
    record.Line("the store answers no writing call of " + member);
    SleepMs(kLossMs);
    fleet.PlatformStore().EndLateWrites();
    const Store::WriteCounts counts = fleet.PlatformStore().TakeWriteCounts();
    record.Line("the store answers all calls again; of " +
                std::to_string(counts.mCalls) + " writing calls " +
                std::to_string(counts.mLost) + " got no answer");
    SleepMs(kCalmMs);
  }
  over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(3000);
  std::cout << accepted << " of " << number << " jobs accepted\n";
  return Verdict(fleet.Runs().Check(), record);
}
