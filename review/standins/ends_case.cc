// Many short tasks end while the store is down, so that workers hold more ends
// than one answer lists.
#include "fleet.h"

#include <iostream>

namespace {

constexpr int64_t kTaskMs = 500;
constexpr int kTasks = 4000;
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
  const std::string id = "00000000000000a1";
  if (!fleet.Submit(id, job.dump())) {
    return kCannotRun;
  }
  SleepMs(1000);
  if (HasTrouble()) {
    record.Line("the store is down");
    fleet.PlatformStore().SetDown(true);
    SleepMs(kOutageMs);
    fleet.PlatformStore().SetDown(false);
    record.Line("the store is back");
  }
  const std::string state =
    fleet.AwaitState(id, { "completed", "failed" }, 60000);
  std::cout << "state " << state << ", " << fleet.Runs().DoneTasks()
            << " tasks done\n";
  SleepMs(2000);
  if (!HasTrouble() && state != "completed") {
    return kCannotRun;
  }
  return Verdict(fleet.Runs().Check(), record);
}
