// A gang that lasts, whose run ends by itself as done.
#include "world.h"

int main(int aArgc, char** aArgv)
{
  using namespace review;
  constexpr Ms kRestart{ 6000 };
  constexpr Ms kWatched{ 9000 };
  constexpr Ms kStep{ 100 };
  const CaseArguments arguments = ParseArguments(aArgc, aArgv);
  World world(arguments, WorkersInRacks(10, 5));
  if (!world.Ready()) {
    return kCannotRun;
  }
  const std::string job = "5c0e7a21d94b36f8";
  StepBehaviour behaviour;
  behaviour.mCount = 3;
  behaviour.mGang = true;
  world.Workers().Describe(job + ".0", behaviour);
  if (!world.Submit(job,
                    { { "count", 3 },
                      { "cpu", 3200 },
                      { "mem_mb", 1024 },
                      { "gang", true },
                      { "long_running", true } })) {
    return kCannotRun;
  }
  SleepFor(Ms(10000));
  if (world.RunningOf(job) != 3) {
    world.Log().Line("the gang has not started");
    return kCannotRun;
  }
  if (arguments.mHasTrouble) {
    world.Workers().EndAll(job + ".0", "done");
  }
  SleepFor(kRestart);
  bool hasRun = false;
  for (Ms watched{ 0 }; watched < kWatched; watched += kStep) {
    hasRun = hasRun || world.RunningOf(job) > 0;
    SleepFor(kStep);
  }
  const std::string state = world.Ask(job);
  return world.Verdict(!hasRun,
                       "LOST: the job that lasts is shown as " + state +
                         (hasRun ? " and runs"
                                 : " and has nothing running from 6 s to 15 s "
                                   "after its last run"));
}
