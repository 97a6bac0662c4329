// Limits of client accounts while owners and workers fail, and for tasks other
// than plain ones.
#include "mulberryvalve/core/jobs/fair_share_policy.h"
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

#include <random>

namespace mulberryvalve {
namespace {

const ClientAccountId kAcme("acme");
constexpr int64_t kTaskCpu = 2000;
constexpr size_t kLimitTasks = 4;
constexpr size_t kWorkers = 4;
constexpr Milliseconds kStartupTime{ 400 };
constexpr Milliseconds kTaskDuration{ 1000 };
constexpr Milliseconds kTick{ 100 };

// Returns a configuration whose accounts may send aRate jobs per second.
// Without a limit if aCpu is zero.
ClusterConfig ConfigOf(const std::vector<ClientAccountId>& aIds,
                       int64_t aCpu,
                       double aRate = 100)
{
  AccountDirectory::Accounts accounts;
  for (const ClientAccountId& id : aIds) {
    accounts.emplace(id, ClientAccount{ id, aRate, Resources{ aCpu, 0, 0 } });
  }
  ClusterConfig config;
  config.mVersion = 1;
  config.mAccounts = std::make_shared<const AccountDirectory>(accounts);
  return config;
}

JobGraph JobOf(const std::string& aId, uint32_t aTasks)
{
  JobGraph job = OneStepJob(aId, aTasks, kTaskCpu);
  job.mSteps[0].mEstimate = kTaskDuration;
  job.mAccount = kAcme;
  return job;
}

} // namespace

TEST_GROUP(AccountFaultsTest)
{
  ShardSimulation mWorld{ kWorkers };

  void setup() override
  {
    mWorld.mDurationOf = [](const TaskRef&) { return kTaskDuration; };
    mWorld.AddOwner();
    mWorld.RunFor(kStartupTime);
  }

  void LimitTo(size_t aTasks)
  {
    mWorld.Configure(
      ConfigOf({ kAcme }, static_cast<int64_t>(aTasks) * kTaskCpu));
  }

  // Runs for aLength and returns the most tasks that ran at a time.
  static size_t MostRunning(ShardSimulation & aWorld, Milliseconds aLength)
  {
    size_t most = 0;
    const MonotonicTime end = aWorld.Now() + aLength;
    while (aWorld.Now() < end) {
      aWorld.Step();
      most = std::max(most, aWorld.Running());
    }
    return most;
  }
};

// Guards against a successor that starts tasks beside those that its
// predecessor had recorded or sent when it was killed.
TEST(AccountFaultsTest, AnOwnerThatIsKilledWhileStartingExceedsNoLimit)
{
  const struct
  {
    bool mHoldsOrders;
    Milliseconds mAppendDelay;
    bool mAppendAnswersLost;
    Milliseconds mKilledAfter;
    bool mIsWorkerLost;
  } rows[] = {
    // Killed between the record of a start and its sending.
    { true, Milliseconds(0), false, Milliseconds(100), false },
    { true, Milliseconds(0), false, Milliseconds(300), true },
    { false, Milliseconds(0), true, Milliseconds(300), false },
    { false, Milliseconds(200), false, Milliseconds(100), false },
    { false, Milliseconds(200), false, Milliseconds(200), true },
    { false, Milliseconds(0), false, Milliseconds(100), true },
    { false, Milliseconds(0), false, Milliseconds(1100), true },
  };
  for (const auto& row : rows) {
    ShardSimulation world(kWorkers);
    world.mDurationOf = [](const TaskRef&) { return kTaskDuration; };
    SimulatedOwner& owner = world.AddOwner();
    world.RunFor(kStartupTime);
    world.Configure(ConfigOf({ kAcme }, kLimitTasks * kTaskCpu));
    for (size_t index = 0; row.mHoldsOrders && index < kWorkers; index += 2) {
      owner.mHeldOrders.insert(world.Worker(index).mInfo.mId);
    }
    owner.mAppendDelay = row.mAppendDelay;
    owner.mAppendAnswersLost = row.mAppendAnswersLost;
    world.Submit(JobOf("a", 6));
    world.Submit(JobOf("b", 6));
    size_t most = MostRunning(world, row.mKilledAfter);
    world.Kill(0);
    if (row.mIsWorkerLost) {
      world.MakeUnreachable(world.Worker(0).mInfo.mId);
    }
    world.AddOwner();
    world.Configure(ConfigOf({ kAcme }, kLimitTasks * kTaskCpu));
    most = std::max(most, MostRunning(world, Milliseconds(40000)));
    // Starts that were never sent are charged until that is certain.
    CHECK(most <= kLimitTasks);
    CHECK(world.Owner(1).mShard->Phase(JobId("b")) == JobPhase::kCompleted);
    CHECK(world.Owner(1).mShard->Accounts().All().empty());
    CHECK_EQUAL(0U, world.Violations().size());
  }
}

// Guards against a successor that starts tasks beside runs that it finds and
// stops, because their job is over.
TEST(AccountFaultsTest, RunsThatASuccessorStopsCount)
{
  mWorld.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
  LimitTo(kLimitTasks);
  mWorld.Submit(JobOf("a", kLimitTasks));
  mWorld.RunFor(Milliseconds(500));
  CHECK_EQUAL(kLimitTasks, mWorld.RunningOf(JobId("a")));
  mWorld.Submit(JobOf("b", kLimitTasks));
  mWorld.Cancel(JobId("a"));
  mWorld.Kill(0);
  mWorld.AddOwner();
  const size_t most = MostRunning(mWorld, Milliseconds(10000));
  CHECK_EQUAL(kLimitTasks, most);
  CHECK_EQUAL(kLimitTasks, mWorld.RunningOf(JobId("b")));
}

// Guards against an owner that was just restarted, has read no configuration
// yet and starts tasks of an account beyond its limit.
TEST(AccountFaultsTest, NothingOfAnAccountStartsBeforeItsLimitIsKnown)
{
  mWorld.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
  mWorld.Configure(ClusterConfig());
  mWorld.Submit(JobOf("a", 2 * kLimitTasks));
  JobGraph open = JobOf("open", 2);
  open.mAccount = ClientAccountId();
  mWorld.Submit(open);
  bool isNamed = false;
  for (int tick = 0; tick < 20; tick++) {
    mWorld.RunFor(kTick);
    for (const JobDecision& decision :
         mWorld.Owner(0).mShard->TakeDecisions()) {
      isNamed = isNamed || decision.mWaitCause == WaitCause::kAccountLimit;
    }
  }
  CHECK(isNamed);
  CHECK_EQUAL(0U, mWorld.RunningOf(JobId("a")));
  CHECK_EQUAL(2U, mWorld.RunningOf(JobId("open")));
  LimitTo(kLimitTasks);
  mWorld.RunFor(Milliseconds(500));
  CHECK_EQUAL(kLimitTasks, mWorld.RunningOf(JobId("a")));
}

// Guards against a gang that starts into what is left of a limit.
TEST(AccountFaultsTest, AGangWaitsForRoomForAllMembers)
{
  LimitTo(kLimitTasks);
  mWorld.Submit(JobOf("plain", 2));
  mWorld.RunFor(Milliseconds(300));
  CHECK_EQUAL(2U, mWorld.Running());
  JobGraph gang = JobOf("gang", 3);
  gang.mSteps[0].mGang = true;
  mWorld.Submit(gang);
  mWorld.RunFor(Milliseconds(300));
  CHECK_EQUAL(0U, mWorld.RunningOf(JobId("gang")));
  const size_t most = MostRunning(mWorld, Milliseconds(3000));
  CHECK_EQUAL(3U, most);
  CHECK(mWorld.Owner(0).mShard->Phase(JobId("gang")) == JobPhase::kCompleted);
}

// Guards against a gang that can never fit its account's limit and either
// exceeds it or holds up the account for good.
TEST(AccountFaultsTest, AGangThatNeverFitsHoldsUpNobody)
{
  LimitTo(kLimitTasks);
  JobGraph gang = JobOf("gang", kLimitTasks + 2);
  gang.mSteps[0].mGang = true;
  mWorld.Submit(gang);
  mWorld.RunFor(Milliseconds(500));
  CHECK_EQUAL(0U, mWorld.Running());
  mWorld.Submit(JobOf("plain", 6));
  bool isNamed = false;
  for (int tick = 0; tick < 40; tick++) {
    mWorld.RunFor(kTick);
    for (const JobDecision& decision :
         mWorld.Owner(0).mShard->TakeDecisions()) {
      isNamed = isNamed || (decision.mJob == JobId("gang") &&
                            decision.mWaitCause == WaitCause::kAccountLimit);
    }
  }
  CHECK(isNamed);
  CHECK_EQUAL(0U, mWorld.RunningOf(JobId("gang")));
  CHECK(mWorld.Owner(0).mShard->Phase(JobId("plain")) == JobPhase::kCompleted);
  LimitTo(kLimitTasks + 2);
  mWorld.RunFor(Milliseconds(500));
  CHECK_EQUAL(kLimitTasks + 2, mWorld.RunningOf(JobId("gang")));
}

// Guards against a step that sleeps though its account may start again.
TEST(AccountFaultsTest, AStepWakesWhenItsAccountMayStart)
{
  enum class Event
  {
    kEnd,
    kCancel,
    kWorkerRestart,
    kHigherLimit,
    kAccountRemoved,
    kAccountsRemoved,
  };
  for (const Event event : { Event::kEnd,
                             Event::kCancel,
                             Event::kWorkerRestart,
                             Event::kHigherLimit,
                             Event::kAccountRemoved,
                             Event::kAccountsRemoved }) {
    ShardSimulation world(1);
    world.mDurationOf = [event](const TaskRef&) {
      return event == Event::kEnd ? kTaskDuration : Milliseconds(60000);
    };
    world.AddOwner();
    world.RunFor(kStartupTime);
    world.Configure(ConfigOf({ kAcme }, 2 * kTaskCpu));
    world.Submit(JobOf("a", 2));
    world.RunFor(Milliseconds(200));
    world.Submit(JobOf("b", 2));
    world.RunFor(Milliseconds(400));
    CHECK_EQUAL(2U, world.RunningOf(JobId("a")));
    CHECK_EQUAL(0U, world.RunningOf(JobId("b")));
    switch (event) {
      case Event::kEnd:
        world.RunFor(kTaskDuration - Milliseconds(500));
        break;
      case Event::kCancel:
        world.Cancel(JobId("a"));
        break;
      case Event::kWorkerRestart:
        world.RestartWorker(world.Worker(0).mInfo.mId);
        break;
      case Event::kHigherLimit:
        world.Configure(ConfigOf({ kAcme }, 4 * kTaskCpu));
        break;
      case Event::kAccountRemoved:
        world.Configure(ConfigOf({}, 0));
        break;
      case Event::kAccountsRemoved: {
        ClusterConfig config;
        config.mVersion = 2;
        world.Configure(config);
      } break;
    }
    // What the restart ended starts again first.
    const JobId woken(event == Event::kWorkerRestart ? "a" : "b");
    size_t most = 0;
    for (int tick = 0; tick < 10; tick++) {
      world.RunFor(kTick);
      most = std::max(most, world.RunningOf(woken));
    }
    CHECK_EQUAL(2U, most);
  }
}

// Guards against tasks of some kind that are not charged.
TEST(AccountFaultsTest, TasksOfEveryKindCount)
{
  const struct
  {
    bool mLongRunning;
    bool mBestEffort;
    bool mCheckpointing;
  } rows[] = {
    { true, false, false },
    { false, true, false },
    { false, false, true },
  };
  for (const auto& row : rows) {
    ShardSimulation world(kWorkers);
    world.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
    world.AddOwner();
    world.RunFor(kStartupTime);
    world.Configure(ConfigOf({ kAcme }, kLimitTasks * kTaskCpu));
    JobGraph job = JobOf("a", 2 * kLimitTasks);
    job.mSteps[0].mLongRunning = row.mLongRunning;
    job.mSteps[0].mBestEffort = row.mBestEffort;
    job.mSteps[0].mCheckpointing = row.mCheckpointing;
    world.Submit(job);
    const size_t most = MostRunning(world, Milliseconds(3000));
    CHECK_EQUAL(kLimitTasks, most);
    const AccountUsage& usage = world.Owner(0).mShard->Accounts();
    CHECK_EQUAL(static_cast<int64_t>(kLimitTasks) * kTaskCpu,
                usage.Charged(kAcme).mCpuMillis);
  }
}

// Guards against a report that hides what waits or what is charged.
TEST(AccountFaultsTest, TheReportHasChargeLimitAndWaitingJobs)
{
  mWorld.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
  mWorld.Submit(JobOf("a", kLimitTasks));
  mWorld.RunFor(kStartupTime);
  CHECK(mWorld.Owner(0).mShard->AccountLoads().empty());
  LimitTo(kLimitTasks);
  mWorld.Submit(JobOf("b", 2));
  mWorld.Submit(JobOf("c", 2));
  mWorld.RunFor(kStartupTime);
  const std::vector<AccountLoad> loads = mWorld.Owner(0).mShard->AccountLoads();
  CHECK_EQUAL(1U, loads.size());
  CHECK(loads[0].mAccount == kAcme);
  const int64_t limit = kLimitTasks * kTaskCpu;
  CHECK_EQUAL(limit, loads[0].mCharged.mCpuMillis);
  CHECK_EQUAL(limit, loads[0].mLimit.mCpuMillis);
  CHECK_EQUAL(2, loads[0].mWaitingJobs);
}

// Guards against jobs that are delayed for a rate that was not in force when
// they were accepted.
TEST(AccountFaultsTest, JobsOfBeforeTheAccountsAreWithinTheRate)
{
  const LeastRemainingWorkPolicy leastWork;
  const FairSharePolicy fair(leastWork);
  ShardSimulation world(1, fair);
  // Room for eight tasks; job "0" has it first.
  world.mDurationOf = [](const TaskRef&) { return kTaskDuration; };
  world.AddOwner();
  ClusterConfig config;
  config.mVersion = 1;
  world.Configure(config);
  world.RunFor(kStartupTime);
  const ClientAccountId other("other");
  const auto submit = [&](const std::string& aId, const ClientAccountId& aOf) {
    JobGraph job = JobOf(aId, 8);
    job.mAccount = aOf;
    job.mRules.mSlack = Milliseconds(60000);
    job.mAcceptedAt.mMilliseconds = 1780000000000;
    world.Submit(job);
    world.RunFor(kTick);
  };
  for (int number = 0; number < 3; number++) {
    submit(std::to_string(number), kAcme);
  }
  world.Configure(ConfigOf({ kAcme, other }, 0, 0.001));
  submit("late", other);
  world.RunFor(Milliseconds(1300));
  // Equal work: the first accepted is next, though three jobs at once are
  // beyond this rate.
  CHECK(world.RunningOf(JobId("1")) > 0);
  CHECK_EQUAL(0U, world.RunningOf(JobId("late")));
}

// Load: 400 accounts send a burst. Guards against accounts that wait for ever,
// and against a pass whose searches grow with the number of accounts.
TEST(AccountFaultsTest, ABurstOfManyAccountsIsServed)
{
  constexpr int kAccounts = 400;
  const LeastRemainingWorkPolicy leastWork;
  const FairSharePolicy fair(leastWork);
  size_t evaluations[2] = {};
  for (const bool isInForce : { false, true }) {
    ShardSimulation world(20, fair);
    world.mDurationOf = [](const TaskRef&) { return kTaskDuration; };
    SimulatedOwner& owner = world.AddOwner();
    world.RunFor(kStartupTime);
    std::vector<ClientAccountId> ids;
    for (int number = 0; number < kAccounts; number++) {
      ids.emplace_back("account-" + std::to_string(number));
    }
    if (isInForce) {
      // One task of each account at a time, and one job a second.
      world.Configure(ConfigOf(ids, kTaskCpu, 1));
    }
    for (int number = 0; number < 2 * kAccounts; number++) {
      JobGraph job = JobOf("j" + std::to_string(number), 2);
      job.mAccount = ids[number % kAccounts];
      job.mAcceptedAt.mMilliseconds = 1780000000000;
      world.Submit(job);
    }
    const size_t before = owner.mShard->PlacementEvaluations();
    world.RunFor(Milliseconds(20000));
    evaluations[isInForce ? 1 : 0] =
      owner.mShard->PlacementEvaluations() - before;
    for (int number = 0; number < 2 * kAccounts; number++) {
      CHECK(owner.mShard->Phase(JobId("j" + std::to_string(number))) ==
            JobPhase::kCompleted);
    }
    CHECK_EQUAL(0U, world.Violations().size());
  }
  UT_PRINT(StringFromFormat("evaluations: %zu without accounts, %zu with",
                            evaluations[0],
                            evaluations[1])
             .asCharString());
  CHECK(evaluations[1] < 2 * evaluations[0]);
}

// Guards against a limit that is exceeded in some sequence of faults: owners
// killed, frozen out of the log or cut off, workers restarted or unreachable,
// late orders and cancelled jobs.
TEST(AccountFaultsTest, RandomFaultsExceedNoLimit)
{
  constexpr uint32_t kSeeds = 60;
  constexpr int kRounds = 25;
  for (uint32_t seed = 1; seed <= kSeeds; seed++) {
    std::mt19937 random(seed);
    const auto pick = [&random](uint32_t aBound) { return random() % aBound; };
    ShardSimulation world(kWorkers);
    world.mDurationOf = [](const TaskRef& aTask) {
      return kTaskDuration * (1 + aTask.mIndex % 3);
    };
    world.mDelayOf = [&](const TaskOrder&) -> std::optional<Milliseconds> {
      return pick(20) == 0 ? std::optional(Milliseconds(100 * pick(20)))
                           : std::nullopt;
    };
    world.Configure(ConfigOf({ kAcme }, kLimitTasks * kTaskCpu));
    world.AddOwner();
    size_t owner = 0;
    size_t most = 0;
    std::vector<std::string> jobs;
    const auto run = [&](Milliseconds aLength) {
      for (const MonotonicTime end = world.Now() + aLength;
           world.Now() < end;) {
        world.Step();
        size_t running = 0;
        for (const std::string& job : jobs) {
          // Runs of a job that is over are being stopped; a successor does not
          // charge them.
          const auto phase = world.Owner(owner).mShard->Phase(JobId(job));
          running += phase && IsOver(*phase) ? 0 : world.RunningOf(JobId(job));
        }
        most = std::max(most, running);
      }
    };
    run(kStartupTime);
    for (int round = 0; round < kRounds; round++) {
      const std::string id = "j" + std::to_string(round);
      JobGraph job = JobOf(id, 1 + pick(4));
      job.mSteps[0].mGang = pick(4) == 0;
      job.mSteps[0].mBestEffort = !job.mSteps[0].mGang && pick(4) == 0;
      world.Submit(job);
      jobs.push_back(id);
      const WorkerId worker = world.Worker(pick(kWorkers)).mInfo.mId;
      switch (pick(6)) {
        case 0:
          world.Kill(owner);
          run(Milliseconds(100 * pick(30)));
          world.AddOwner();
          owner++;
          break;
        case 1:
          world.RestartWorker(worker);
          break;
        case 2:
          world.MakeUnreachable(worker);
          break;
        case 3:
          world.MakeReachable(worker);
          break;
        case 4:
          world.Owner(owner).mAppendsFail = !world.Owner(owner).mAppendsFail;
          break;
        default:
          break;
      }
      run(Milliseconds(100 * pick(12)));
    }
    CHECK_EQUAL_TEXT(true, most <= kLimitTasks, std::to_string(seed).c_str());
    CHECK_EQUAL(0U, world.Violations().size());
    world.Owner(owner).mAppendsFail = false;
    for (size_t index = 0; index < kWorkers; index++) {
      world.MakeReachable(world.Worker(index).mInfo.mId);
    }
    run(Milliseconds(60000));
    for (const std::string& job : jobs) {
      CHECK(world.Owner(owner).mShard->Phase(JobId(job)) ==
            JobPhase::kCompleted);
    }
    CHECK(world.Owner(owner).mShard->Accounts().All().empty());
  }
}

} // namespace mulberryvalve
