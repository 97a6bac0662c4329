// Case: workers restart under their ids as another kind. Rule ROUTE: no start
// on a worker without the label in required_label.
#include "world.h"

using namespace review;

namespace {

constexpr int kWorkersOfAKind = 4;
constexpr int kRestarts = 20;
constexpr int64_t kIntervalMs = 3000;
constexpr int kDownMs = 300;
constexpr int kTaskCpu = 1800;
constexpr int kBacklog = 48;

// Returns the number of starts on a worker of another kind than the task's,
// which its specification names.
int CountMisplaced(World& aWorld)
{
  int misplaced = 0;
  for (const Event& event : aWorld.Events().All()) {
    if (event.mWhat != "start") {
      continue;
    }
    const bool isPlacedRightly =
      event.mDetail.find("needs=a ") == std::string::npos ||
      event.mDetail.find("kind=a ") != std::string::npos;
    if (!isPlacedRightly) {
      misplaced++;
      aWorld.Note("ROUTE: " + event.mTask +
                  " needs label a and was started on " + event.mWho + " at " +
                  std::to_string(event.mAtMs) + ", " + event.mDetail);
    }
  }
  return misplaced;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  World world(aArgc, aArgv);
  Pool pool;
  pool.mService = "licensing";
  pool.mWorkers = kWorkersOfAKind;
  world.AddPool(pool);
  pool.mSettings.mKind = "b";
  world.AddPool(pool);
  world.Configure({ Route{ "/fee/", "licensing" } });
  if (!world.StartEntries(3)) {
    return 2;
  }
  std::atomic<bool> isOver{ false };
  std::atomic<int> accepted{ 0 };
  // Keeps the workers of kind a full, with some tasks that wait.
  std::vector<std::thread> clients;
  for (int client = 0; client < 4; client++) {
    clients.emplace_back([&] {
      while (!isOver) {
        const Answer answer = world.Submit(
          "/fee/",
          World::NewJobId(),
          World::JobBody("ms=1500 needs=a ", kBacklog / 4, kTaskCpu, "a"));
        accepted += answer.mStatus == 200 ? 1 : 0;
        SleepMs(1500);
      }
    });
  }
  SleepMs(3000);
  for (int restart = 0; restart < kRestarts; restart++) {
    Worker& worker = *world.Workers()[restart % world.Workers().size()];
    if (World::HasTrouble()) {
      worker.Restart(kDownMs, worker.Kind() == "a" ? "b" : "a");
    }
    SleepMs(kIntervalMs);
  }
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const bool allRan = world.AllEntriesRun();
  const int misplaced = CountMisplaced(world);
  world.Note("accepted " + std::to_string(accepted) + " jobs, " +
             std::to_string(misplaced) + " starts without the label");
  if (!allRan || accepted < 20) {
    return 2;
  }
  return misplaced > 0 ? 1 : 0;
}
