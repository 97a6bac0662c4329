// Case: large scheduled jobs come at once. Rules: "memory over the limit
// counts" as a process that ends by itself, and no accepted job gets no answer.
#include "world.h"

#include <nlohmann/json.hpp>

using namespace review;

namespace {

constexpr int kMemoryMb = 260;
// Jobs that come within 4 s, usually and 2.6 times as many.
constexpr int kUsualJobs = 5;
constexpr int kBurstJobs = 13;
constexpr int64_t kBurstMs = 4000;
// Once a minute for 41 days, from an hour on.
constexpr int64_t kTimes = 60000;
constexpr int64_t kIntervalMs = 60000;
constexpr int64_t kFirstAfterMs = 3600000;
constexpr int kPlainJobs = 6;
constexpr int64_t kFinishMs = 14000;
constexpr int64_t kAskMs = 15000;
// RULES.md, Fault: on two machines at least, three times.
constexpr int kMachines = 2;
constexpr int kEnds = 3;

std::string ScheduledJob()
{
  const int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  return nlohmann::json{
    { "specification", "ms=100" },
    { "repeat_count", kTimes },
    { "interval_ms", kIntervalMs },
    { "start_time_ms", now + kFirstAfterMs },
    { "steps",
      { { { "count", 1 },
          { "cpu", 1500 },
          { "mem_mb", 500 },
          { "estimated_ms", 500 } } } }
  }.dump();
}

} // namespace

int main(int aArgc, char** aArgv)
{
  World world(aArgc, aArgv);
  Pool pool;
  pool.mService = "licensing";
  pool.mWorkers = 8;
  world.AddPool(pool);
  world.Configure(
    { Route{ "/renewal/", "licensing", 2 }, Route{ "/fee/", "licensing" } });
  if (!world.StartEntries(3)) {
    return 2;
  }
  world.WatchEntries(kMemoryMb);
  std::vector<std::string> accepted;
  const auto submit = [&](const std::string& aPrefix,
                          const std::string& aBody) {
    const std::string path = aPrefix + World::NewJobId();
    if (world.Submit(path, "", aBody).mStatus == 200) {
      accepted.push_back(path);
    }
  };
  const int jobs = World::HasTrouble() ? kBurstJobs : kUsualJobs;
  for (int job = 0; job < jobs; job++) {
    submit("/renewal/", ScheduledJob());
    SleepMs(kBurstMs / jobs);
  }
  for (int job = 0; job < kPlainJobs; job++) {
    submit("/fee/", World::JobBody("ms=500", 4, 1500));
  }
  world.Note("the traffic has ended, " + std::to_string(accepted.size()) +
             " jobs are accepted");
  SleepMs(kFinishMs);
  std::atomic<int> unanswered{ 0 };
  const int64_t until = NowMs() + kAskMs;
  std::vector<std::thread> clients;
  for (const std::string& path : accepted) {
    clients.emplace_back([&world, &unanswered, path, until] {
      Answer answer;
      do {
        answer = world.Ask(path);
      } while (answer.mStatus != 200 && answer.mStatus != 410 &&
               NowMs() < until);
      unanswered += answer.mStatus == 200 ? 0 : 1;
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int machines = 0;
  int most = 0;
  for (const int ends : world.Ends()) {
    machines += ends >= kEnds ? 1 : 0;
    most = std::max(most, ends);
  }
  const bool isFault = machines >= kMachines;
  world.Note(std::string(isFault ? "FAULT" : "fine") + ": on " +
             std::to_string(machines) +
             " machines the process ended three times or more, at most " +
             std::to_string(most) + " times");
  world.Note(std::string(unanswered > 0 ? "LOST" : "fine") + ": " +
             std::to_string(unanswered) + " of " +
             std::to_string(accepted.size()) +
             " accepted jobs are not known or get no answer");
  if (accepted.empty()) {
    return 2;
  }
  return isFault || unanswered > 0 ? 1 : 0;
}
