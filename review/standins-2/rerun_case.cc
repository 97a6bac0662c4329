// Case: a worker restarts under its id while the platform's store is slow. Rule
// TWICE: no start of a task after a run of it has ended done, if that end was
// taken note of, that is, once seen_upto has reached it.
#include "world.h"

using namespace review;

namespace {

constexpr int kWorkers = 8;
constexpr int kStoreDelayMs = 4;
constexpr int kSlowFactor = 60;
constexpr int64_t kSlowMs = 4500;
constexpr int64_t kCalmMs = 3000;
constexpr int kRounds = 10;
// One worker at a time, in each slow time of the store.
constexpr int kRestarts = 9;
constexpr int kDownMs = 30;

// Returns the number of starts after a noted end.
int CountReruns(World& aWorld)
{
  std::map<std::string, std::string> noted;
  int reruns = 0;
  for (const Event& event : aWorld.Events().All()) {
    const bool isNoted =
      event.mWhat == "seen" && event.mDetail.compare(0, 4, "done") == 0;
    if (isNoted) {
      noted[event.mTask] = event.mWho + " run " + std::to_string(event.mRun);
    }
    const auto found = noted.find(event.mTask);
    if (event.mWhat == "start" && found != noted.end()) {
      reruns++;
      aWorld.Note("TWICE: " + event.mTask + " was started as run " +
                  std::to_string(event.mRun) + " on " + event.mWho + " at " +
                  std::to_string(event.mAtMs) +
                  " after its end had been noted of " + found->second);
    }
  }
  return reruns;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  World world(aArgc, aArgv);
  Pool pool;
  pool.mService = "licensing";
  pool.mWorkers = kWorkers;
  world.AddPool(pool);
  world.Configure({ Route{ "/fee/", "licensing" } });
  if (!world.StartEntries(3)) {
    return 2;
  }
  std::atomic<bool> isOver{ false };
  std::atomic<int> accepted{ 0 };
  std::vector<std::thread> clients;
  for (int client = 0; client < 6; client++) {
    clients.emplace_back([&] {
      while (!isOver) {
        const Answer answer = world.Submit(
          "/fee/", World::NewJobId(), World::JobBody("ms=100", 16, 1500));
        accepted += answer.mStatus == 200 ? 1 : 0;
        SleepMs(450);
      }
    });
  }
  SleepMs(2000);
  for (int round = 0; round < kRounds; round++) {
    if (World::HasTrouble()) {
      world.Note("the store is slow");
      world.PlatformStore().SetDelay(kStoreDelayMs * kSlowFactor);
    }
    SleepMs(kSlowMs / (kRestarts + 1));
    for (int restart = 0; restart < kRestarts; restart++) {
      if (World::HasTrouble()) {
        world.Workers()[(round * kRestarts + restart) % kWorkers]->Restart(
          kDownMs);
      }
      SleepMs(kSlowMs / (kRestarts + 1) - kDownMs);
    }
    world.PlatformStore().SetDelay(kStoreDelayMs);
    SleepMs(kCalmMs);
  }
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(2000);
  const bool allRan = world.AllEntriesRun();
  const int reruns = CountReruns(world);
  world.Note("accepted " + std::to_string(accepted) + " jobs, " +
             std::to_string(reruns) + " starts after a noted end");
  if (!allRan || accepted < 50) {
    return 2;
  }
  return reruns > 0 ? 1 : 0;
}
