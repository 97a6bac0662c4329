// Case: one worker refuses all that it is told to start while the others are
// full. Rule MIXED: a machine in touch gives as waiting no less than half of
// the jobs without times that were accepted over visible_ms + 2 s before and
// haven't begun.
#include "world.h"

#include <nlohmann/json.hpp>

using namespace review;

namespace {

constexpr int kWorkers = 12;
constexpr int kTaskCpu = 1800;
constexpr int kTasksPerWorker = 8;
constexpr int kWaitingJobs = 8;
constexpr int64_t kUnhealthyMs = 6500;
constexpr int64_t kVisibleMs = 3000 + 2000;

struct Job
{
  std::string mId;
  int64_t mAcceptedAt = 0;
};

// Returns how many of aJobs were accepted by aBefore and have not begun.
int CountNotBegun(World& aWorld, const std::vector<Job>& aJobs, int64_t aBefore)
{
  std::set<std::string> begun;
  for (const Event& event : aWorld.Events().All()) {
    if (event.mWhat == "start") {
      begun.insert(event.mTask.substr(0, event.mTask.find('.')));
    }
  }
  int count = 0;
  for (const Job& job : aJobs) {
    count += job.mAcceptedAt < aBefore && begun.count(job.mId) == 0 ? 1 : 0;
  }
  return count;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  World world(aArgc, aArgv);
  Pool pool;
  pool.mService = "licensing";
  pool.mWorkers = kWorkers;
  world.AddPool(pool);
  world.Configure({ Route{ "/renewal/", "licensing", 2 } });
  if (!world.StartEntries(3)) {
    return 2;
  }
  Worker& grey = *world.Workers().front();
  std::vector<Job> jobs;
  const auto submit = [&](int aTasks) {
    Job job;
    job.mId = World::NewJobId();
    const Answer answer = world.Submit(
      "/renewal/", job.mId, World::JobBody("ms=60000", aTasks, kTaskCpu));
    if (answer.mStatus == 200) {
      job.mAcceptedAt = NowMs();
      jobs.push_back(job);
    }
  };
  // Without the disruption the worker has its share of the work.
  const int used = World::HasTrouble() ? kWorkers - 1 : kWorkers;
  if (World::HasTrouble()) {
    world.Note(grey.Id() + " answers 503");
    grey.SetUnhealthy(true);
  }
  const int64_t greyUntil = NowMs() + kUnhealthyMs;
  for (int index = 0; index < used; index++) {
    submit(kTasksPerWorker);
  }
  for (int index = 0; index < kWaitingJobs; index++) {
    submit(1);
    SleepMs(50);
  }
  if (jobs.size() != static_cast<size_t>(used + kWaitingJobs)) {
    return 2;
  }
  SleepMs(jobs.back().mAcceptedAt + kVisibleMs + 100 - NowMs());
  int broken = 0;
  for (int look = 0; NowMs() < greyUntil - 200; look++) {
    const int64_t askedAt = NowMs();
    const Answer answer = world.Ask("/renewal/", look % world.EntryCount());
    const int notBegun = CountNotBegun(world, jobs, askedAt - kVisibleMs);
    if (answer.mStatus != 200) {
      continue;
    }
    const int shown = nlohmann::json::parse(answer.mBody).at("waiting");
    const bool isBroken = 2 * shown < notBegun;
    broken += isBroken ? 1 : 0;
    world.Note(std::string(isBroken ? "MIXED" : "fine") + ": " +
               std::to_string(shown) + " shown as waiting, " +
               std::to_string(notBegun) + " haven't begun");
    SleepMs(200);
  }
  grey.SetUnhealthy(false);
  if (!world.AllEntriesRun()) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}
