// A job of 50 tasks that last, in a cluster of 100 workers and two shards, of
// which one rack of eight workers is lost for good.
#include "world.h"

#include <set>

namespace {

constexpr size_t kWorkers = 100;
constexpr size_t kRackSize = 8;
constexpr size_t kTasks = 50;
// With this, the system divides kWorkers into two shards.
constexpr double kCores = 0.069;

} // namespace

int main(int aArgc, char** aArgv)
{
  using namespace review;
  constexpr Ms kRestart{ 14000 };
  constexpr Ms kWatched{ 9000 };
  constexpr Ms kStep{ 100 };
  const CaseArguments arguments = ParseArguments(aArgc, aArgv);
  FleetOptions options;
  options.mCores = kCores;
  const std::vector<WorkerSpec> workers = WorkersInRacks(kWorkers, kRackSize);
  World world(arguments, workers, options);
  if (!world.Ready()) {
    return kCannotRun;
  }
  const std::string job = "5c0e7a21d94b36f8";
  StepBehaviour behaviour;
  behaviour.mCount = kTasks;
  world.Workers().Describe(job + ".0", behaviour);
  if (!world.Submit(job,
                    { { "count", kTasks },
                      { "cpu", 12000 },
                      { "mem_mb", 1024 },
                      { "long_running", true } })) {
    return kCannotRun;
  }
  SleepFor(Ms(12000));
  if (world.RunningOf(job) != kTasks) {
    world.Log().Line("the tasks have not started");
    return kCannotRun;
  }
  for (size_t number = 0; arguments.mHasTrouble && number < kRackSize;
       number++) {
    world.Workers().Lose(workers[number].mId);
  }
  SleepFor(kRestart);
  std::set<std::string> haveRun;
  for (Ms watched{ 0 }; watched < kWatched; watched += kStep) {
    for (const RunningTask& running : world.Workers().Running()) {
      haveRun.insert(running.mTask);
    }
    SleepFor(kStep);
  }
  const size_t left = kWorkers - (arguments.mHasTrouble ? kRackSize : 0);
  const size_t idle = left - world.RunningOf(job);
  world.Ask(job);
  return world.Verdict(haveRun.size() < kTasks,
                       "LOST: " + std::to_string(kTasks - haveRun.size()) +
                         " of " + std::to_string(kTasks) +
                         " tasks that last have no run from 14 s to 23 s after "
                         "the loss, beside " +
                         std::to_string(idle) + " idle workers of " +
                         std::to_string(left));
}
