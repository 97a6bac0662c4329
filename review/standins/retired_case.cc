// The store is partly down while finished jobs are forgotten; later the owner
// of the shard is restarted.
#include "fleet.h"

#include <csignal>
#include <iostream>

namespace {

constexpr int64_t kTaskMs = 300;
constexpr int kJobs = 10;
constexpr int kStatusS = 30;
// How long finished jobs stay known: `status_s` and 30 s more.
constexpr int64_t kKeptMs = kStatusS * 1000 + 30000;
// The longest that the site file has (`platform_down`, `for_s`).
constexpr int64_t kOutageMs = 4200;
constexpr int64_t kBeforeMs = 1500;

} // namespace

int main(int aArgc, char** aArgv)
{
  using namespace review;
  if (aArgc != 3) {
    return kCannotRun;
  }
  Record record(aArgv[1]);
  FleetOptions options;
  options.mTaskMs = kTaskMs;
  options.mStatusS = kStatusS;
  Fleet fleet(options, aArgv[2], record);
  if (!fleet.Start()) {
    std::cout << "the fleet did not start\n";
    return kCannotRun;
  }
  const nlohmann::json job{ { "specification", "renewal" },
                            { "steps",
                              { { { "count", 4 },
                                  { "cpu", 1000 },
                                  { "mem_mb", 512 },
                                  { "estimated_ms", kTaskMs } } } } };
  const auto idOf = [](int aNumber) {
    return "00000000000000c" + std::to_string(aNumber);
  };
  for (int number = 0; number < kJobs; number++) {
    if (!fleet.Submit(idOf(number), job.dump())) {
      return kCannotRun;
    }
  }
  const int64_t submittedAt = NowMs();
  for (int number = 0; number < kJobs; number++) {
    if (fleet.AwaitState(idOf(number), { "completed" }, 10000) != "completed") {
      return kCannotRun;
    }
  }
  SleepMs(submittedAt + kKeptMs - kBeforeMs - NowMs());
  if (HasTrouble()) {
    record.Line("the store refuses calls for keyed.jobs");
    fleet.PlatformStore().SetTopicDown("keyed.jobs");
    SleepMs(kOutageMs);
    fleet.PlatformStore().SetTopicDown("");
    record.Line("the store is back");
  } else {
    SleepMs(kOutageMs);
  }
  SleepMs(5000);
  const std::optional<size_t> owner = fleet.Owner();
  if (!owner) {
    return kCannotRun;
  }
  fleet.Signal(*owner, SIGTERM);
  fleet.Restart(*owner);
  SleepMs(12000);
  for (int number = 0; number < kJobs; number++) {
    fleet.AwaitState(idOf(number), { "completed" }, 300);
  }
  return Verdict(fleet.Runs().Check(), record);
}
