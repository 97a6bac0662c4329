// A gang whose tasks are to be on one rack, while one worker of one rack is
// lost for good. Five racks of four idle workers; a member takes most of a
// worker, so the gang fits on each of the four whole racks.
#include "world.h"

int main(int aArgc, char** aArgv)
{
  using namespace review;
  constexpr Ms kFinish{ 14000 };
  constexpr Ms kWatched{ 3000 };
  constexpr Ms kStep{ 100 };
  const CaseArguments arguments = ParseArguments(aArgc, aArgv);
  World world(arguments, WorkersInRacks(20, 4));
  if (!world.Ready()) {
    return kCannotRun;
  }
  const std::string job = "5c0e7a21d94b36f8";
  StepBehaviour behaviour;
  behaviour.mCount = 4;
  behaviour.mGang = true;
  behaviour.mWork = Ms(2000);
  world.Workers().Describe(job + ".0", behaviour);
  if (arguments.mHasTrouble) {
    world.Workers().Lose("i-101");
  }
  // The entry of the lost worker is gone by then, and all is calm again.
  SleepFor(Ms(8000));
  if (!world.Submit(job,
                    { { "count", 4 },
                      { "cpu", 12000 },
                      { "mem_mb", 1024 },
                      { "estimated_ms", 2000 },
                      { "gang", true },
                      { "same_rack", true } })) {
    return kCannotRun;
  }
  SleepFor(kFinish);
  const std::string state = world.Ask(job);
  bool hasRun = false;
  for (Ms watched{ 0 }; watched < kWatched; watched += kStep) {
    hasRun = hasRun || world.RunningOf(job) > 0;
    SleepFor(kStep);
  }
  const bool isLost = state != "completed" && !hasRun;
  return world.Verdict(
    isLost,
    "LOST: 14 s after it was accepted the job is shown as " + state +
      (isLost ? ", and nothing of it runs for 3 s beside idle workers" : ""));
}
