// Case: many users of one service come at once, while another service of the
// same deployment has all its workers free. Rule LOST: once jobs are asked for,
// no job has nothing running for 3 s while a task's turn has come, there is
// capacity for it twice over, and under half of the service's capacity is in
// use.
#include "world.h"

using namespace review;

namespace {

constexpr int kBusyWorkers = 8;
constexpr int kWorkers = 4;
constexpr int64_t kCpu = 16000;
constexpr int kTaskCpu = 3200;
constexpr int kTasks = 6;
// Jobs of the busy service in a burst of 4 s, usually and 2.6 times as many.
constexpr int kUsualJobs = 5;
constexpr int kBurstJobs = 13;
constexpr int kIdleServiceJobs = 2;
constexpr int kIdleServiceTasks = 4;
// The tasks last longer than the play.
const char* const kSpecification = "ms=1000000";
constexpr int64_t kFinishMs = 14000;
constexpr int64_t kLostMs = 3000;
constexpr int64_t kSampleMs = 100;

struct Job
{
  std::string mId;
  int64_t mIdleSince = 0;
  int64_t mLongestIdle = 0;
};

int64_t UsedCpu(World& aWorld, const std::string& aService)
{
  int64_t used = 0;
  for (const auto& worker : aWorld.Workers()) {
    if (worker->Id().find("-" + aService + "-") != std::string::npos) {
      used += static_cast<int64_t>(worker->Running()) * kTaskCpu;
    }
  }
  return used;
}

bool HasRunning(World& aWorld, const std::string& aJob)
{
  for (const auto& worker : aWorld.Workers()) {
    if (worker->RunningOf(aJob) > 0) {
      return true;
    }
  }
  return false;
}

bool IsOver(World& aWorld, const std::string& aJob)
{
  return aWorld.Ask("/idle/" + aJob).mBody.find("completed") !=
         std::string::npos;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  World world(aArgc, aArgv);
  Pool pool;
  pool.mSettings.mCpu = kCpu;
  pool.mWorkers = kBusyWorkers;
  pool.mService = "busy";
  world.AddPool(pool);
  pool.mWorkers = kWorkers;
  pool.mService = "idle";
  world.AddPool(pool);
  world.Configure(
    { Route{ "/busy/", "busy", 0 }, Route{ "/idle/", "idle", 2 } });
  if (!world.StartEntries(3)) {
    return 2;
  }
  const int busyJobs = World::HasTrouble() ? kBurstJobs : kUsualJobs;
  for (int job = 0; job < busyJobs; job++) {
    const Answer answer =
      world.Submit("/busy/",
                   World::NewJobId(),
                   World::JobBody(kSpecification, kTasks, kTaskCpu, "", true));
    if (answer.mStatus != 200) {
      return 2;
    }
    SleepMs(4000 / busyJobs);
  }
  std::vector<Job> jobs;
  for (int index = 0; index < kIdleServiceJobs; index++) {
    Job job;
    job.mId = World::NewJobId();
    const Answer answer = world.Submit(
      "/idle/",
      job.mId,
      World::JobBody(kSpecification, kIdleServiceTasks, kTaskCpu, "", true));
    if (answer.mStatus != 200) {
      return 2;
    }
    jobs.push_back(job);
  }
  world.Note("the traffic has ended");
  SleepMs(kFinishMs);
  const int64_t begin = NowMs();
  for (Job& job : jobs) {
    job.mIdleSince = begin;
  }
  while (NowMs() < begin + 2 * kLostMs) {
    // The rule asks for under half of the capacity in use, and room for the
    // task twice over.
    const bool hasRoom =
      UsedCpu(world, "idle") < kWorkers * kCpu / 2 - 2 * kTaskCpu;
    for (Job& job : jobs) {
      if (!hasRoom || HasRunning(world, job.mId) || IsOver(world, job.mId)) {
        job.mIdleSince = NowMs();
      }
      job.mLongestIdle = std::max(job.mLongestIdle, NowMs() - job.mIdleSince);
    }
    SleepMs(kSampleMs);
  }
  int lost = 0;
  for (const Job& job : jobs) {
    const bool isLost = job.mLongestIdle >= kLostMs;
    lost += isLost ? 1 : 0;
    world.Note((isLost ? "LOST: " : "fine: ") + job.mId +
               " had nothing running for " + std::to_string(job.mLongestIdle) +
               " ms, with cpu in use on its service: " +
               std::to_string(UsedCpu(world, "idle")) + " of " +
               std::to_string(kWorkers * kCpu));
  }
  if (!world.AllEntriesRun()) {
    return 2;
  }
  return lost > 0 ? 1 : 0;
}
