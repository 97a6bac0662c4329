// The order between client accounts when there is not room for all.
#include "mulberryvalve/core/jobs/fair_share_policy.h"
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

#include <string>

namespace mulberryvalve {
namespace {

constexpr int64_t kTaskCpu = 2000;
constexpr Milliseconds kTaskDuration{ 1000 };
constexpr Milliseconds kObjective{ 4000 };
constexpr uint32_t kTasks = 5;
constexpr uint32_t kTasksOfFlood = 4;
constexpr int kAccounts = 5;
constexpr int kFlooding = 0;
// The flood of one account: so many times its usual rate, for so long.
constexpr double kFloodFactor = 7.5;
constexpr Milliseconds kFloodFrom{ 4000 };
constexpr Milliseconds kFloodTo{ 10500 };
constexpr Milliseconds kUsualInterval{ 2000 };
constexpr Milliseconds kSubmitUntil{ 20000 };
constexpr Milliseconds kSimulatedTime{ 45000 };

WaitingStep Step(uint64_t aArrival, int64_t aWork, AccountShare aShare)
{
  WaitingStep step;
  step.mStep.mArrivalNumber = aArrival;
  step.mRemainingWork = aWork;
  step.mObjectiveAt = step.mAcceptedAt + kObjective;
  step.mShare = aShare;
  return step;
}

std::string OrderOf(std::vector<WaitingStep> aSteps)
{
  const LeastRemainingWorkPolicy leastWork;
  FairSharePolicy(leastWork).Sort(aSteps, MonotonicTime());
  std::string order;
  for (const WaitingStep& step : aSteps) {
    order += std::to_string(step.mStep.mArrivalNumber) + " ";
  }
  return order;
}

// FloodResult counts the jobs of the accounts that do not flood.
struct FloodResult
{
  int mJobs = 0;
  int mInTime = 0;
};

ClusterConfig FiveAccounts()
{
  AccountDirectory::Accounts accounts;
  for (int number = 0; number < kAccounts; number++) {
    const ClientAccountId id("account-" + std::to_string(number));
    accounts.emplace(id, ClientAccount{ id, 1, {} });
  }
  ClusterConfig config;
  config.mVersion = 1;
  config.mAccounts = std::make_shared<const AccountDirectory>(accounts);
  return config;
}

// One account sends seven and a half times its usual for 6.5 s, if aFloods. Two
// workers run 16 tasks at a time, of which usual traffic needs twelve. The jobs
// of the flood are the smallest, so that least work alone serves them first.
FloodResult SimulateFlood(const QueueingPolicy& aOrder, bool aFloods)
{
  ShardSimulation world(2, aOrder);
  SimulatedOwner& owner = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kTaskDuration; };
  world.Configure(FiveAccounts());
  world.RunFor(Milliseconds(400));
  const MonotonicTime begin = world.Now();
  std::vector<MonotonicTime> nextAt;
  for (int number = 0; number < kAccounts; number++) {
    nextAt.push_back(begin + number * kUsualInterval / kAccounts);
  }
  std::map<std::string, MonotonicTime> acceptedAt;
  std::map<std::string, MonotonicTime> overAt;
  while (world.Now() < begin + kSimulatedTime) {
    const auto passed = world.Now() - begin;
    for (int number = 0; number < kAccounts; number++) {
      if (passed >= kSubmitUntil || world.Now() < nextAt[number]) {
        continue;
      }
      const std::string id =
        "j" + std::to_string(number) + "-" + std::to_string(acceptedAt.size());
      const uint32_t tasks = number == kFlooding ? kTasksOfFlood : kTasks;
      JobGraph job = OneStepJob(id, tasks, kTaskCpu);
      job.mSteps[0].mEstimate = kTaskDuration;
      job.mRules.mSlack = kObjective - kTaskDuration;
      job.mAccount = ClientAccountId("account-" + std::to_string(number));
      job.mAcceptedAt.mMilliseconds =
        1780000000000 +
        std::chrono::duration_cast<Milliseconds>(passed).count();
      world.Submit(job);
      acceptedAt.emplace(id, world.Now());
      const bool floods = aFloods && number == kFlooding &&
                          passed >= kFloodFrom && passed < kFloodTo;
      nextAt[number] +=
        floods ? Milliseconds(static_cast<int64_t>(
                   static_cast<double>(kUsualInterval.count()) / kFloodFactor))
               : kUsualInterval;
    }
    world.Step();
    for (const auto& [id, accepted] : acceptedAt) {
      if (owner.mShard->Phase(JobId(id)) == JobPhase::kCompleted) {
        overAt.try_emplace(id, world.Now());
      }
    }
  }
  FloodResult result;
  for (const auto& [id, accepted] : acceptedAt) {
    if (id.substr(0, 2) == "j" + std::to_string(kFlooding)) {
      continue;
    }
    const auto over = overAt.find(id);
    result.mJobs++;
    result.mInTime +=
      over != overAt.end() && over->second - accepted <= kObjective ? 1 : 0;
  }
  return result;
}

} // namespace

TEST_GROUP(FairSharePolicyTest){};

// Guards against another order in deployments without accounts.
TEST(FairSharePolicyTest, WithoutAccountsTheOrderIsThatOfThePolicy)
{
  STRCMP_EQUAL(
    "2 3 1 ",
    OrderOf({ Step(1, 30, {}), Step(2, 10, {}), Step(3, 20, {}) }).c_str());
}

// Guards against an account far above its share that is served first, and
// against putting it behind less urgent work.
TEST(FairSharePolicyTest, AccountsAboveTheirShareComeLastInTheirPriority)
{
  const AccountShare above{ false, true };
  WaitingStep batch = Step(9, 1, {});
  batch.mPriority = 2;
  STRCMP_EQUAL(
    "3 1 2 9 ",
    OrderOf(
      { Step(1, 10, above), Step(2, 20, above), Step(3, 1000, {}), batch })
      .c_str());
}

// Guards against a flood ahead of what others send within their rate, whatever
// its priority.
TEST(FairSharePolicyTest, JobsBeyondTheRateComeLast)
{
  WaitingStep urgent = Step(1, 1, AccountShare{ true, false });
  WaitingStep batch = Step(2, 1000, {});
  batch.mPriority = 2;
  STRCMP_EQUAL("2 1 ", OrderOf({ urgent, batch }).c_str());
}

// Load: one account sends seven and a half times its usual. Guards against
// others that lose a tenth of their jobs in time; today's order is printed
// beside it.
TEST(FairSharePolicyTest, AFloodOfOneAccountDoesNotHarmTheOthers)
{
  const LeastRemainingWorkPolicy leastWork;
  const FairSharePolicy fair(leastWork);
  const FloodResult quiet = SimulateFlood(fair, false);
  const FloodResult flood = SimulateFlood(fair, true);
  const FloodResult before = SimulateFlood(leastWork, true);
  UT_PRINT(StringFromFormat("in time of %d: quiet %d, flood %d, flood by "
                            "least work alone %d",
                            quiet.mJobs,
                            quiet.mInTime,
                            flood.mInTime,
                            before.mInTime)
             .asCharString());
  CHECK_EQUAL(quiet.mJobs, flood.mJobs);
  CHECK(flood.mInTime * 10 >= quiet.mInTime * 9);
  CHECK(before.mInTime < flood.mInTime);
}

} // namespace mulberryvalve
