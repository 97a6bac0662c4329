// The owner of the shard is killed while a job of many tasks is almost done.
#include "fleet.h"

#include <csignal>
#include <iostream>

namespace {

constexpr int64_t kTaskMs = 300;
constexpr int kTasks = 14000;
// When the owner is killed.
constexpr size_t kDoneAtKill = 13000;

} // namespace

int main(int aArgc, char** aArgv)
{
  using namespace review;
  if (aArgc != 3) {
    return kCannotRun;
  }
  Record record(aArgv[1]);
  FleetOptions options;
  options.mWorkers = 6;
  options.mTaskMs = kTaskMs;
  Fleet fleet(options, aArgv[2], record);
  if (!fleet.Start()) {
    std::cout << "the fleet did not start\n";
    return kCannotRun;
  }
  const nlohmann::json job{ { "specification", "catalogue count" },
                            { "steps",
                              { { { "count", kTasks },
                                  { "cpu", 100 },
                                  { "mem_mb", 32 },
                                  { "estimated_ms", kTaskMs } } } } };
  const std::string id = "00000000000000b1";
  if (!fleet.Submit(id, job.dump())) {
    return kCannotRun;
  }
  if (!Await(45000, [&] { return fleet.Runs().DoneTasks() >= kDoneAtKill; })) {
    std::cout << "only " << fleet.Runs().DoneTasks() << " tasks done\n";
    return kCannotRun;
  }
  if (HasTrouble()) {
    const std::optional<size_t> owner = fleet.Owner();
    if (!owner) {
      return kCannotRun;
    }
    fleet.Signal(*owner, SIGKILL);
    SleepMs(1000);
    fleet.Restart(*owner);
  }
  const std::string state =
    fleet.AwaitState(id, { "completed", "failed" }, 40000);
  std::cout << "state " << state << ", " << fleet.Runs().DoneTasks()
            << " tasks done\n";
  if (!HasTrouble() && state != "completed") {
    return kCannotRun;
  }
  return Verdict(fleet.Runs().Check(), record);
}
