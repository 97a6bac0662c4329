// Four tasks that last and are to be on one rack, of which one worker is lost
// for good. Five racks of four workers; a task takes most of a worker.
#include "world.h"

#include <set>

int main(int aArgc, char** aArgv)
{
  using namespace review;
  constexpr Ms kRestart{ 14000 };
  constexpr Ms kWatched{ 9000 };
  constexpr Ms kStep{ 100 };
  const CaseArguments arguments = ParseArguments(aArgc, aArgv);
  World world(arguments, WorkersInRacks(20, 4));
  if (!world.Ready()) {
    return kCannotRun;
  }
  const std::string job = "5c0e7a21d94b36f8";
  StepBehaviour behaviour;
  behaviour.mCount = 4;
  world.Workers().Describe(job + ".0", behaviour);
  if (!world.Submit(job,
                    { { "count", 4 },
                      { "cpu", 12000 },
                      { "mem_mb", 1024 },
                      { "long_running", true },
                      { "same_rack", true } })) {
    return kCannotRun;
  }
  SleepFor(Ms(10000));
  if (world.RunningOf(job) != 4) {
    world.Log().Line("the tasks have not started");
    return kCannotRun;
  }
  const std::string lost = world.Workers().Running().front().mWorker;
  const std::string task = world.Workers().Running().front().mTask;
  if (arguments.mHasTrouble) {
    world.Workers().Lose(lost);
  }
  SleepFor(kRestart);
  bool hasRun = false;
  for (Ms watched{ 0 }; watched < kWatched; watched += kStep) {
    for (const RunningTask& running : world.Workers().Running()) {
      hasRun = hasRun || running.mTask == task;
    }
    SleepFor(kStep);
  }
  world.Ask(job);
  return world.Verdict(!hasRun,
                       "LOST: task " + task +
                         (hasRun ? " runs"
                                 : " that lasts has no run from 14 s to 23 s "
                                   "after its worker was lost, beside 16 idle "
                                   "workers"));
}
