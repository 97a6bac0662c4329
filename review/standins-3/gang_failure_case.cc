// A gang of 36 tasks on twelve workers, of which one fails all that it runs for
// 6.5 s. The gang's queue allows three attempts.
#include "world.h"

#include <set>

int main(int aArgc, char** aArgv)
{
  using namespace review;
  constexpr size_t kMaxAttempts = 3;
  constexpr Ms kBad{ 6500 };
  const CaseArguments arguments = ParseArguments(aArgc, aArgv);
  World world(arguments, WorkersInRacks(12, 6));
  if (!world.Ready()) {
    return kCannotRun;
  }
  const std::string job = "5c0e7a21d94b36f8";
  StepBehaviour behaviour;
  behaviour.mCount = 36;
  behaviour.mGang = true;
  behaviour.mWork = Ms(2000);
  world.Workers().Describe(job + ".0", behaviour);
  SleepFor(Ms(4000));
  if (arguments.mHasTrouble) {
    world.Workers().Spoil("i-104", true);
  }
  if (!world.Submit(job,
                    { { "count", 36 },
                      { "cpu", 1800 },
                      { "mem_mb", 1024 },
                      { "estimated_ms", 2000 },
                      { "gang", true } })) {
    return kCannotRun;
  }
  SleepFor(kBad);
  if (arguments.mHasTrouble) {
    world.Workers().Spoil("i-104", false);
  }
  SleepFor(Ms(14000));
  const std::string state = world.Ask(job);
  std::set<uint64_t> failedRuns;
  size_t failedEnds = 0;
  for (const RunEvent& event : world.Workers().Events()) {
    if (event.mWhat == "failed") {
      failedRuns.insert(event.mRun);
      failedEnds++;
    }
  }
  const bool isLost = state != "completed" && failedRuns.size() < kMaxAttempts;
  return world.Verdict(
    isLost,
    "LOST: the job is shown as " + state + "; the gang ran " +
      std::to_string(failedRuns.size()) + " times that ended failed, with " +
      std::to_string(failedEnds) + " members failed, of 3 attempts");
}
