// Limits of client accounts in the decisions of a shard's owner.
#include "mulberryvalve/core/jobs/fair_share_policy.h"
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const ClientAccountId kAcme("acme");
const ClientAccountId kApex("apex");
constexpr int64_t kTaskCpu = 2000;
constexpr uint32_t kTasks = 12;
constexpr Milliseconds kTaskDuration{ 1000 };
constexpr Milliseconds kTick{ 100 };

ClusterConfig ConfigWithLimit(uint64_t aVersion, int64_t aCpu)
{
  ClusterConfig config;
  config.mVersion = aVersion;
  config.mAccounts =
    std::make_shared<const AccountDirectory>(AccountDirectory::Accounts{
      { kAcme, ClientAccount{ kAcme, 100, Resources{ aCpu, 0, 0 } } },
      { kApex, ClientAccount{ kApex, 100, {} } } });
  return config;
}

JobGraph JobOf(const ClientAccountId& aAccount, const std::string& aId)
{
  JobGraph job = OneStepJob(aId, kTasks, kTaskCpu);
  job.mSteps[0].mEstimate = kTaskDuration;
  job.mAccount = aAccount;
  return job;
}

} // namespace

TEST_GROUP(AccountLimitTest)
{
  // Room for 32 tasks.
  ShardSimulation mWorld{ 4 };

  void setup() override
  {
    mWorld.mDurationOf = [](const TaskRef&) { return kTaskDuration; };
    mWorld.AddOwner();
    mWorld.RunFor(Milliseconds(400));
  }

  // Runs for aLength and returns the most tasks that the account's jobs had
  // running at a time.
  size_t MostRunning(const std::vector<std::string>& aJobs,
                     Milliseconds aLength)
  {
    size_t most = 0;
    for (Milliseconds passed{ 0 }; passed < aLength; passed += kTick) {
      mWorld.RunFor(kTick);
      size_t running = 0;
      for (const std::string& job : aJobs) {
        running += mWorld.RunningOf(JobId(job));
      }
      most = std::max(most, running);
    }
    return most;
  }
};

// Guards against an account that runs more than its limit, and against one at
// its limit that holds up others.
TEST(AccountLimitTest, AnAccountAtItsLimitHoldsUpNobodyElse)
{
  mWorld.Configure(ConfigWithLimit(1, 4 * kTaskCpu));
  mWorld.Submit(JobOf(kAcme, "a1"));
  mWorld.Submit(JobOf(kAcme, "a2"));
  mWorld.Submit(JobOf(kApex, "b"));
  CHECK_EQUAL(4U, MostRunning({ "a1", "a2" }, Milliseconds(900)));
  CHECK_EQUAL(kTasks, mWorld.RunningOf(JobId("b")));
  CHECK_EQUAL(4U, MostRunning({ "a1", "a2" }, Milliseconds(8000)));
  CHECK(mWorld.Owner(0).mShard->Phase(JobId("a2")) == JobPhase::kCompleted);
  CHECK(mWorld.Owner(0).mShard->Accounts().All().empty());
}

// Guards against a task that never runs because it alone exceeds the limit.
TEST(AccountLimitTest, ATaskAboveTheLimitRunsAlone)
{
  mWorld.Configure(ConfigWithLimit(1, kTaskCpu / 2));
  mWorld.Submit(JobOf(kAcme, "a"));
  CHECK_EQUAL(1U, MostRunning({ "a" }, Milliseconds(3000)));
}

// Guards against a limit that ends runs when it is lowered, or that is not
// applied to further starts.
TEST(AccountLimitTest, ALoweredLimitStopsNoRun)
{
  mWorld.Submit(JobOf(kAcme, "a1"));
  mWorld.RunFor(Milliseconds(500));
  CHECK_EQUAL(kTasks, mWorld.RunningOf(JobId("a1")));
  mWorld.Configure(ConfigWithLimit(1, 2 * kTaskCpu));
  mWorld.Submit(JobOf(kAcme, "a2"));
  mWorld.RunFor(Milliseconds(200));
  CHECK_EQUAL(kTasks, mWorld.RunningOf(JobId("a1")));
  CHECK_EQUAL(0U, mWorld.RunningOf(JobId("a2")));
  mWorld.RunFor(Milliseconds(800));
  CHECK_EQUAL(2U, MostRunning({ "a1", "a2" }, Milliseconds(3000)));
}

// Guards against a successor that forgets what may run on workers that do not
// answer it.
TEST(AccountLimitTest, ASuccessorChargesWhatMayRunOnSilentWorkers)
{
  mWorld.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
  mWorld.Configure(ConfigWithLimit(1, 6 * kTaskCpu));
  mWorld.Submit(JobOf(kAcme, "a"));
  mWorld.RunFor(Milliseconds(500));
  CHECK_EQUAL(6U, mWorld.RunningOf(JobId("a")));
  mWorld.Kill(0);
  mWorld.MakeUnreachable(mWorld.Worker(0).mInfo.mId);
  mWorld.MakeUnreachable(mWorld.Worker(1).mInfo.mId);
  mWorld.AddOwner();
  mWorld.Configure(ConfigWithLimit(1, 6 * kTaskCpu));
  CHECK_EQUAL(6U, MostRunning({ "a" }, Milliseconds(30000)));
  CHECK_EQUAL(6U, mWorld.RunningOf(JobId("a")));
}

// Guards against a silent worker whose tasks are no longer charged while they
// may still run.
TEST(AccountLimitTest, TasksOnASilentWorkerStayChargedUntilTheirLeasesEnd)
{
  mWorld.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
  mWorld.Configure(ConfigWithLimit(1, 6 * kTaskCpu));
  mWorld.Submit(JobOf(kAcme, "a"));
  mWorld.RunFor(Milliseconds(500));
  mWorld.MakeUnreachable(mWorld.Worker(0).mInfo.mId);
  CHECK_EQUAL(6U, MostRunning({ "a" }, Milliseconds(20000)));
  CHECK_EQUAL(6U, mWorld.RunningOf(JobId("a")));
}

// Guards against an account that fills all workers and keeps them, as its jobs
// are the smaller ones.
TEST(AccountLimitTest, AnAccountAboveItsShareIsServedAfterOthers)
{
  const LeastRemainingWorkPolicy leastWork;
  const FairSharePolicy fair(leastWork);
  ShardSimulation world(4, fair);
  // Tasks end one by one, so that there is always one to compare with.
  world.mDurationOf = [](const TaskRef& aTask) {
    return kTaskDuration + aTask.mIndex * kTick;
  };
  world.AddOwner();
  ClusterConfig config = ConfigWithLimit(1, 0);
  AccountDirectory::Accounts accounts = config.mAccounts->All();
  for (int number = 0; number < 6; number++) {
    const ClientAccountId id("other-" + std::to_string(number));
    accounts.emplace(id, ClientAccount{ id, 100, {} });
  }
  config.mAccounts = std::make_shared<const AccountDirectory>(accounts);
  world.Configure(config);
  world.RunFor(Milliseconds(400));
  for (int number = 0; number < 9; number++) {
    world.Submit(JobOf(kAcme, "a" + std::to_string(number)));
  }
  world.RunFor(Milliseconds(300));
  for (int number = 0; number < 6; number++) {
    JobGraph job = JobOf(ClientAccountId("other-" + std::to_string(number)),
                         "b" + std::to_string(number));
    job.mSteps[0].mCount = 2 * kTasks;
    world.Submit(job);
  }
  world.RunFor(Milliseconds(1500));
  size_t others = 0;
  for (int number = 0; number < 6; number++) {
    others += world.RunningOf(JobId("b" + std::to_string(number)));
  }
  // More than half of the tasks that have ended made room for the others.
  CHECK(others >= 12);
}

// Guards against limits where the configuration has no accounts.
TEST(AccountLimitTest, WithoutAccountsThereIsNoLimit)
{
  mWorld.Submit(JobOf(kAcme, "a"));
  mWorld.RunFor(Milliseconds(500));
  CHECK_EQUAL(kTasks, mWorld.RunningOf(JobId("a")));
}

// Guards against a wait that operators can't explain.
TEST(AccountLimitTest, TheCauseOfTheWaitIsNamed)
{
  mWorld.Configure(ConfigWithLimit(3, 4 * kTaskCpu));
  mWorld.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
  mWorld.Submit(JobOf(kAcme, "a"));
  bool isNamed = false;
  bool isLimited = false;
  for (int tick = 0; tick < 30; tick++) {
    mWorld.RunFor(kTick);
    for (const JobDecision& decision :
         mWorld.Owner(0).mShard->TakeDecisions()) {
      isNamed = isNamed || decision.mWaitCause == WaitCause::kAccountLimit;
      isLimited = isLimited || decision.mKind == DecisionKind::kAccountLimited;
      if (decision.mKind == DecisionKind::kAccountLimited) {
        STRCMP_CONTAINS("account acme", decision.mReason.c_str());
        STRCMP_CONTAINS("limit cpu 8000", decision.mReason.c_str());
        STRCMP_CONTAINS("version 3", decision.mReason.c_str());
      }
    }
  }
  CHECK(isNamed);
  CHECK(isLimited);
}

} // namespace mulberryvalve
