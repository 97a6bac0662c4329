// Random troubles of the log that overlap with the loss of owners and workers.
// MULBERRYVALVE_SCHEDULES is the number of seeds, and MULBERRYVALVE_SEED runs a
// single one.
#include "mulberryvalve/core/jobs/outage_cluster_fake.h"
#include "tests/support/setting.h"

#include "CppUTest/TestHarness.h"

#include <functional>
#include <map>

namespace mulberryvalve {
namespace {

constexpr uint32_t kDefaultSeeds = 200;
constexpr int kIncidents = 3;
constexpr Milliseconds kSubmitInterval{ 400 };
// A waiting task runs within this after the last disruption, if there is room:
// the time until workers count as in touch, and the time that the rule for
// lasting tasks allows.
constexpr Milliseconds kWaitLimit{ 4000 + 7000 };
// Once nothing is disrupted, all jobs that end have ended within this.
constexpr Milliseconds kSettleTime{ 20000 };

// OutageSchedule runs the schedule of one seed.
class OutageSchedule
{
public:
  explicit OutageSchedule(uint32_t aSeed)
    : mCluster(aSeed)
  {
  }

  void Run()
  {
    for (int incident = 0; incident < kIncidents; incident++) {
      RunFor(Milliseconds(500 + mCluster.Pick(3500)));
      RunIncident();
      if (incident + 1 < kIncidents) {
        RunFor(Milliseconds(mCluster.Pick(9000)));
        mCluster.BringWorkersBack();
      }
    }
    // Workers that drain leave before the last disruption counts as over.
    RunFor(OutageCluster::kMaxNotice);
    mSubmitsJobs = false;
    RunUntil(mCluster.LastDisruption() + kWaitLimit);
    FindWaiting();
    RunFor(kSettleTime);
    for (const JobId& job : mCluster.UnfinishedJobs()) {
      mOverdue.push_back(job.Text() + " does not run or end");
    }
  }

  const std::vector<std::string>& Violations() const
  {
    return mCluster.World().Violations();
  }

  // Returns what waited for longer than allowed.
  const std::vector<std::string>& Overdue() const { return mOverdue; }

private:
  // Schedules an action of the present incident.
  void At(Milliseconds aDelay, std::function<void()> aAction)
  {
    mActions.emplace(mCluster->Now() + aDelay, std::move(aAction));
  }

  void RunIncident()
  {
    const auto trouble = static_cast<LogTrouble>(mCluster.Pick(kLogTroubles));
    const auto fault = static_cast<OwnerFault>(mCluster.Pick(kOwnerFaults));
    const Milliseconds length(1000 + mCluster.Pick(5000));
    // Most of these start while the log takes no record of it.
    for (uint32_t job = mCluster.Pick(4); job > 0; job--) {
      mCluster.SubmitSlowJob();
    }
    mCluster.BeginTrouble(trouble);
    ScheduleFaults(fault, length);
    RunFor(length);
    const bool isCutOff =
      fault == OwnerFault::kPartitioned && mCluster.Pick(2) == 0;
    mCluster.EndTrouble(trouble, isCutOff);
    if (fault == OwnerFault::kNone) {
      return;
    }
    RunFor(Milliseconds(200 + mCluster.Pick(1800)));
    mCluster.LoadSuccessor();
    if (mCluster.Pick(3) == 0) {
      RunFor(Milliseconds(mCluster.Pick(1000)));
      mCluster.BeginOwnerFault(OwnerFault::kKilled);
      RunFor(Milliseconds(200 + mCluster.Pick(800)));
      mCluster.LoadSuccessor();
    }
  }

  // In half of the incidents the workers are lost at once with the owner.
  void ScheduleFaults(OwnerFault aFault, Milliseconds aLength)
  {
    const Milliseconds ownerFaultAt(mCluster.Pick(aLength.count()));
    const bool isAtOnce = mCluster.Pick(2) == 0;
    const uint32_t lostWorkers = mCluster.Pick(4);
    for (uint32_t number = 0; number < lostWorkers; number++) {
      const Milliseconds at =
        isAtOnce ? ownerFaultAt : Milliseconds(mCluster.Pick(aLength.count()));
      const auto fault = static_cast<WorkerFault>(mCluster.Pick(kWorkerFaults));
      At(at, [this, fault] { mCluster.InjectWorkerFault(fault); });
    }
    At(ownerFaultAt, [this, aFault] { mCluster.BeginOwnerFault(aFault); });
  }

  void RunFor(Milliseconds aLength) { RunUntil(mCluster->Now() + aLength); }

  void RunUntil(MonotonicTime aUntil)
  {
    while (mCluster->Now() < aUntil) {
      RunDueActions();
      if (mSubmitsJobs && mCluster.AcceptsJobs() &&
          mCluster->Now() >= mNextSubmitAt) {
        mNextSubmitAt = mCluster->Now() + kSubmitInterval;
        mCluster.SubmitJob();
      }
      mCluster.Step();
    }
  }

  void RunDueActions()
  {
    while (!mActions.empty() && mActions.begin()->first <= mCluster->Now()) {
      const std::function<void()> action = mActions.begin()->second;
      mActions.erase(mActions.begin());
      action();
    }
  }

  // Records the jobs that wait now, though there is room, and still do after
  // the time that a placement takes.
  void FindWaiting()
  {
    const bool hadRoom = mCluster.HasRoom();
    const std::map<JobId, size_t> before = mCluster.WaitingJobs();
    RunFor(TakeoverSimulation::kPlacementLimit);
    if (!hadRoom || !mCluster.HasRoom()) {
      return;
    }
    for (const auto& [job, runs] : mCluster.WaitingJobs()) {
      if (before.count(job) != 0) {
        mOverdue.push_back(job.Text() + " waits with room, and " +
                           std::to_string(runs) + " run");
      }
    }
  }

  OutageCluster mCluster;
  std::multimap<MonotonicTime, std::function<void()>> mActions;
  MonotonicTime mNextSubmitAt;
  bool mSubmitsJobs = true;
  std::vector<std::string> mOverdue;
};

// Runs all seeds. Returns, for each with findings, their number and the first.
std::string FindingsOfAllSeeds(
  const std::function<std::vector<std::string>(const OutageSchedule&)>&
    aFindingsOf)
{
  const auto one = static_cast<uint32_t>(SettingOr("MULBERRYVALVE_SEED", 0));
  const auto count =
    static_cast<uint32_t>(SettingOr("MULBERRYVALVE_SCHEDULES", kDefaultSeeds));
  const uint32_t first = one == 0 ? 1 : one;
  const uint32_t last = one == 0 ? count : one;
  std::string all;
  for (uint32_t seed = first; seed <= last; seed++) {
    OutageSchedule schedule(seed);
    schedule.Run();
    const std::vector<std::string> findings = aFindingsOf(schedule);
    if (!findings.empty()) {
      all += "seed " + std::to_string(seed) + ": " + findings[0] + ", of " +
             std::to_string(findings.size()) + "\n";
    }
  }
  return all;
}

} // namespace

TEST_GROUP(OutageRandomTest){};

// Guards against a successor that starts what still runs on a worker that it
// can't ask, because it counts on a record that the log did not take in time.
TEST(OutageRandomTest, KeepsInvariantsInOutages)
{
  const std::string violations = FindingsOfAllSeeds(
    [](const OutageSchedule& aRun) { return aRun.Violations(); });
  STRCMP_EQUAL("", violations.c_str());
}

// Guards against dark workers that the tasks of others wait for, and against
// waits that are longer than a former owner's leases can be.
TEST(OutageRandomTest, WaitingTasksRunInTimeAfterOutages)
{
  const std::string overdue = FindingsOfAllSeeds(
    [](const OutageSchedule& aRun) { return aRun.Overdue(); });
  STRCMP_EQUAL("", overdue.c_str());
}

} // namespace mulberryvalve
