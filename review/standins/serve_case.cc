// Clients hand in jobs; the owner of the shard is killed while they run;
// clients hand in more. All jobs run to their end, and no task runs twice.
#include "fleet.h"

#include <csignal>
#include <iostream>

namespace {

constexpr int64_t kTaskMs = 600;
constexpr int kJobsBefore = 8;
constexpr int kJobsAfter = 4;
constexpr size_t kTasksOfJob = 10;
// Some of the first jobs' tasks have ended then, and others run or wait.
constexpr size_t kDoneBeforeKill = 24;
constexpr int64_t kRunWaitMs = 30000;
constexpr int64_t kTakeoverWaitMs = 30000;
constexpr int64_t kEndWaitMs = 40000;

std::string JobId(int aNumber)
{
  char id[17];
  std::snprintf(id, sizeof id, "%016x", 0xf0000 + aNumber);
  return id;
}

// A job with a step that waits for another.
nlohmann::json Job()
{
  const auto step = [](int aCount) {
    return nlohmann::json{ { "count", aCount },
                           { "cpu", 2000 },
                           { "mem_mb", 256 },
                           { "estimated_ms", kTaskMs } };
  };
  nlohmann::json first = step(4);
  nlohmann::json second = step(6);
  second["after"] = { 0 };
  return { { "specification", "order" }, { "steps", { first, second } } };
}

// Returns what went wrong, or "".
std::string Play(review::Fleet& aFleet)
{
  using namespace review;
  const std::string job = Job().dump();
  int number = 0;
  while (number < kJobsBefore) {
    if (!aFleet.Submit(JobId(number++), job)) {
      return "a job was not accepted";
    }
  }
  if (!Await(kRunWaitMs, [&aFleet] {
        return aFleet.Runs().DoneTasks() >= kDoneBeforeKill;
      })) {
    return "accepted jobs did not run";
  }
  const std::optional<size_t> former = aFleet.Owner();
  if (!former) {
    return "nobody owned the shard";
  }
  aFleet.Signal(*former, SIGKILL);
  if (!Await(kTakeoverWaitMs, [&aFleet, &former] {
        const std::optional<size_t> owner = aFleet.Owner();
        return owner && owner != former;
      })) {
    return "nobody took the shard over";
  }
  while (number < kJobsBefore + kJobsAfter) {
    if (!aFleet.Submit(JobId(number++), job)) {
      return "a job was not accepted after the take-over";
    }
  }
  for (int ended = 0; ended < number; ended++) {
    const std::string state =
      aFleet.AwaitState(JobId(ended), { "completed" }, kEndWaitMs);
    if (state != "completed") {
      return "job " + JobId(ended) + " is " + state + " and not completed";
    }
  }
  if (!aFleet.AreEntriesAlive()) {
    return "an entry ended by itself";
  }
  if (aFleet.Runs().DoneTasks() != static_cast<size_t>(number) * kTasksOfJob) {
    return "a completed job has tasks that did not end done";
  }
  return "";
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
  options.mTaskMs = kTaskMs;
  Fleet fleet(options, aArgv[2], record);
  if (!fleet.Start()) {
    std::cout << "the fleet did not start\n";
    return kCannotRun;
  }
  const std::string fault = Play(fleet);
  record.Line(fault.empty() ? "all jobs were completed" : fault);
  std::cout << (fault.empty() ? "all jobs were completed" : fault) << "\n";
  const int rule = Verdict(fleet.Runs().Check(), record);
  return fault.empty() ? rule : kBroken;
}
