// A client that gets no answer to a job cancels it. The store's answers to the
// appends of the job are lost, and the appends are carried out seconds later,
// both after the cancellation.
#include "world.h"

int main(int aArgc, char** aArgv)
{
  using namespace review;
  // Finished jobs are kept for status_s and 30 s more; the shard's owner has to
  // be older than that.
  constexpr int kStatusSeconds = 20;
  constexpr Ms kOwnerAge{ 56000 };
  constexpr Ms kCancel{ 3000 };
  constexpr Ms kWatched{ 12000 };
  const CaseArguments arguments = ParseArguments(aArgc, aArgv);
  FleetOptions options;
  options.mStatusSeconds = kStatusSeconds;
  World world(arguments, WorkersInRacks(10, 5), options);
  if (!world.Ready()) {
    return kCannotRun;
  }
  const std::string job = "5c0e7a21d94b36f8";
  StepBehaviour behaviour;
  behaviour.mWork = Ms(8000);
  world.Workers().Describe(job + ".0", behaviour);
  SleepFor(kOwnerAge);
  const size_t writesBefore = world.Platform().Writes();
  if (arguments.mHasTrouble) {
    world.Log().Line("TROUBLE answers of the store are lost");
    world.Platform().LoseAppends(
      "keyed.jobs", "\"steps\"", { Ms(4500), Ms(6000) });
  }
  const int status = world.SubmitOnce(job,
                                      { { "count", 1 },
                                        { "cpu", 1000 },
                                        { "mem_mb", 1024 },
                                        { "estimated_ms", 8000 } });
  world.Platform().KeepAppends();
  const size_t lost = world.Platform().LostAppends();
  const size_t writes = world.Platform().Writes() - writesBefore;
  world.Log().Line("TROUBLE over; " + std::to_string(lost) + " of " +
                   std::to_string(writes) + " writes got no answer");
  if (world.Cancel(job) != 200) {
    return kCannotRun;
  }
  const Steady::time_point cancelledAt = Steady::now();
  SleepFor(kWatched);
  size_t started = 0;
  for (const RunEvent& event : world.Workers().Events()) {
    started += event.mWhat == "start" && event.mAt > cancelledAt + kCancel;
  }
  const std::string state = world.Ask(job);
  return world.Verdict(
    started > 0,
    "UNASKED: the POST was answered with " + std::to_string(status) +
      ", the DELETE with 200; " + std::to_string(started) +
      " tasks were started later than 3 s after that, the job is shown as " +
      state);
}
