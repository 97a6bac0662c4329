// JobShard against workers that keep their contract, under cuts, lost answers
// and changes of owner.
#include "mulberryvalve/core/jobs/job_world_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kLong{ 60000 };

void CheckNoViolations(const JobWorld& aSimulation)
{
  for (const std::string& finding : aSimulation.Findings()) {
    FAIL(finding.c_str());
  }
}

void CheckPhase(FakeOwner& aOwner, const char* aJob, JobPhase aPhase)
{
  const auto phase = aOwner.mShard->Phase(JobId(aJob));
  CHECK(phase.has_value());
  STRCMP_EQUAL(std::string(kJobPhaseNames.Name(aPhase)).c_str(),
               std::string(kJobPhaseNames.Name(*phase)).c_str());
}

} // namespace

TEST_GROUP(ShardSchedulerTest){};

TEST(ShardSchedulerTest, RunsTheStepsOfAJobInTheirOrder)
{
  JobWorld simulation(4);
  FakeOwner& owner = simulation.AddOwner();
  JobGraph job = OneStepJob("j", 6, 1000);
  job.mSteps.push_back(job.mSteps[0]);
  job.mSteps[1].mAfter = { 0 };
  simulation.Submit(job);
  simulation.RunFor(Milliseconds(600));
  CHECK_EQUAL(6U, simulation.Running());
  simulation.RunFor(Milliseconds(3000));
  CheckPhase(owner, "j", JobPhase::kCompleted);
  CheckNoViolations(simulation);
}

TEST(ShardSchedulerTest, FailsAJobOnlyAfterItsAttempts)
{
  JobWorld simulation(4);
  FakeOwner& owner = simulation.AddOwner();
  simulation.mEndOf = [](const TaskRef&, RunNumber) {
    return EndKind::kFailed;
  };
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mRules.mMaxAttempts = 3;
  simulation.Submit(job);
  simulation.RunFor(Milliseconds(1300));
  CheckPhase(owner, "j", JobPhase::kRunning);
  simulation.RunFor(Milliseconds(5000));
  CheckPhase(owner, "j", JobPhase::kFailed);
}

// An owner that was cut off with its log took the leases of silent workers for
// over, while its successor renewed them.
TEST(ShardSchedulerTest, LeaseIsOverOnlyWithProofOfOwnership)
{
  JobWorld simulation(3);
  FakeOwner& former = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 9000));
  simulation.RunFor(Milliseconds(1000));
  CHECK_EQUAL(2U, simulation.Running());
  // The one worker without a task still answers the former owner only, and the
  // successor renews the others.
  FakeOwner& next = simulation.AddOwner();
  size_t idle = 0;
  for (size_t number = 0; number < 3; number++) {
    const WorkerId id = simulation.Worker(number).mFacts.mId;
    if (simulation.Worker(number).mRuns.empty()) {
      next.mLinks[id] = LinkState::kCut;
      idle++;
    } else {
      former.mLinks[id] = LinkState::kCut;
    }
  }
  CHECK_EQUAL(1U, idle);
  simulation.RunFor(Milliseconds(9000));
  CheckNoViolations(simulation);
}

// Runs of a job that was cancelled during a change of owner were stopped, but
// took no room in the successor's eyes.
TEST(ShardSchedulerTest, UnwantedRunsTakeRoomUntilTheyEnd)
{
  JobWorld simulation(1);
  FakeOwner& former = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("a", 1, 16000));
  simulation.RunFor(Milliseconds(1000));
  former.mActs = false;
  former.mReachesLog = false;
  simulation.Cancel(JobId("a"));
  simulation.AddOwner();
  simulation.Submit(OneStepJob("b", 1, 16000));
  simulation.RunFor(Milliseconds(3000));
  CHECK_EQUAL(1U, simulation.Running());
  CheckNoViolations(simulation);
}

// A start without an answer may have begun: it is found on the lists, or
// stopped before the task is started elsewhere.
TEST(ShardSchedulerTest, StartWithoutAnswerRunsOnce)
{
  JobWorld simulation(2);
  FakeOwner& owner = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return Milliseconds(4000); };
  simulation.RunFor(Milliseconds(400));
  const WorkerId mute = simulation.Worker(0).mFacts.mId;
  simulation.Submit(OneStepJob("j", 4, 1000));
  owner.mLinks[mute] = LinkState::kNoAnswers;
  owner.mNextHold[mute] = simulation.Now() + Milliseconds(300);
  simulation.RunFor(Milliseconds(1500));
  CHECK(simulation.Worker(0).mRuns.size() > 0);
  owner.mLinks.clear();
  simulation.RunFor(Milliseconds(9000));
  CheckPhase(owner, "j", JobPhase::kCompleted);
  CheckNoViolations(simulation);
}

// An owner that was superseded still reads what callers hand in, and has a
// worker that its successor does not reach. Whenever the job comes, one of the
// two starts it.
TEST(ShardSchedulerTest, JobOfAfterTheClaimIsStartedByOneOwner)
{
  for (const int after : { 0, 300, 900, 1400, 1600, 2500, 6000 }) {
    JobWorld simulation(2);
    FakeOwner& former = simulation.AddOwner();
    simulation.mDurationOf = [](const TaskRef&) { return kLong; };
    simulation.RunFor(Milliseconds(1000));
    FakeOwner& next = simulation.AddOwner();
    former.mReadsSubmissions = true;
    next.mLinks[simulation.Worker(0).mFacts.mId] = LinkState::kCut;
    former.mLinks[simulation.Worker(1).mFacts.mId] = LinkState::kCut;
    simulation.RunFor(Milliseconds(after));
    simulation.Submit(OneStepJob("j", 1, 1000));
    simulation.RunFor(Milliseconds(30000));
    CHECK_EQUAL(1U, simulation.Running());
    CheckNoViolations(simulation);
  }
}

// A job that comes well after the claim does not wait for silent workers.
TEST(ShardSchedulerTest, LaterJobDoesNotWaitForSilentWorkers)
{
  JobWorld simulation(2);
  simulation.AddOwner();
  simulation.RunFor(Milliseconds(1000));
  FakeOwner& next = simulation.AddOwner();
  next.mLinks[simulation.Worker(0).mFacts.mId] = LinkState::kCut;
  simulation.RunFor(Milliseconds(2000));
  simulation.Submit(OneStepJob("j", 1, 1000));
  simulation.RunFor(Milliseconds(300));
  CHECK_EQUAL(1U, simulation.Running());
}

// A successor waits for workers of its predecessor that it does not reach, and
// that the predecessor goes on renewing.
TEST(ShardSchedulerTest, SuccessorWaitsForSilentWorkers)
{
  JobWorld simulation(2);
  FakeOwner& former = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 8000));
  simulation.RunFor(Milliseconds(1000));
  CHECK_EQUAL(1U, simulation.Worker(0).mRuns.size());
  FakeOwner& next = simulation.AddOwner();
  next.mLinks[simulation.Worker(0).mFacts.mId] = LinkState::kCut;
  former.mLinks[simulation.Worker(1).mFacts.mId] = LinkState::kCut;
  simulation.RunFor(Milliseconds(30000));
  CHECK_EQUAL(2U, simulation.Worker(1).mRuns.size());
  CheckNoViolations(simulation);
}

TEST(ShardSchedulerTest, RebornWorkerRunsNothingOfBefore)
{
  JobWorld simulation(2);
  FakeOwner& owner = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return Milliseconds(2000); };
  simulation.Submit(OneStepJob("j", 4, 4000));
  simulation.RunFor(Milliseconds(500));
  simulation.Reborn(simulation.Worker(0).mFacts.mId);
  simulation.RunFor(Milliseconds(8000));
  CheckPhase(owner, "j", JobPhase::kCompleted);
  CheckNoViolations(simulation);
}

// Owners follow each other while a worker that left does not answer. Each new
// owner waits for what is left of the wait only.
TEST(ShardSchedulerTest, WaitForASilentWorkerIsHandedOn)
{
  JobWorld simulation(2);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 8000));
  simulation.RunFor(Milliseconds(1000));
  const WorkerId left = simulation.Worker(0).mFacts.mId;
  for (size_t number = 0; number < 4; number++) {
    simulation.Owner(number).mActs = false;
    simulation.AddOwner().mLinks[left] = LinkState::kCut;
    simulation.RunFor(Milliseconds(6000));
  }
  CHECK_EQUAL(2U, simulation.Worker(1).mRuns.size());
  CheckNoViolations(simulation);
}

// An owner that reaches a worker for whose silence a wait was noted renews it
// only once that note is taken back: its successor must wait anew.
TEST(ShardSchedulerTest, ReachedWorkerIsWaitedForAnew)
{
  JobWorld simulation(2);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 8000));
  simulation.RunFor(Milliseconds(1000));
  const WorkerId silent = simulation.Worker(0).mFacts.mId;
  simulation.Owner(0).mActs = false;
  FakeOwner& second = simulation.AddOwner();
  second.mLinks[silent] = LinkState::kCut;
  simulation.RunFor(Milliseconds(4100));
  second.mLinks.clear();
  simulation.RunFor(Milliseconds(12000));
  // The second owner is cut off with this worker and goes on renewing it.
  second.mLinks[simulation.Worker(1).mFacts.mId] = LinkState::kCut;
  simulation.AddOwner().mLinks[silent] = LinkState::kCut;
  simulation.RunFor(Milliseconds(30000));
  CheckNoViolations(simulation);
}

// Two runs failed while no end could be made durable. The successor hears of
// the later one first: both count.
TEST(ShardSchedulerTest, EndsThatAreHeardOutOfOrderAllCount)
{
  const MonotonicTime now(std::chrono::seconds(1000));
  const LearnedPlacement placement;
  const LeastWorkOrder order;
  JobShard shard(JobShardOptions(), JobPolicies{ placement, order }, now);
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mRules.mMaxAttempts = 2;
  shard.Inherit(job, nullptr);
  std::vector<WorkerFacts> facts(2);
  facts[0].mId = WorkerId("a");
  facts[1].mId = WorkerId("b");
  shard.OnWorkers(facts, now);
  uint64_t run = 5;
  for (const WorkerFacts& worker : facts) {
    HoldOrder hold;
    hold.mWorker = worker.mId;
    HoldReply reply;
    reply.mOutcome = OrderOutcome::kAccepted;
    reply.mEnded.push_back(EndedRow{ EndNumber(1),
                                     TaskRef{ { JobId("j"), 0, 0 }, 0 },
                                     RunNumber(run),
                                     EndKind::kFailed,
                                     CheckpointId() });
    run -= 2;
    shard.OnHold(hold, reply, now, now);
    // The same list again changes nothing.
    shard.OnHold(hold, reply, now, now);
  }
  shard.OnDurable(shard.TakeProgress(now));
  CHECK(JobPhase::kFailed == shard.Phase(JobId("j")));
}

// Another worker answers at the address of one that crashed during a change of
// owner: what ran there is over, and need not be waited for.
TEST(ShardSchedulerTest, WorkerWhoseAddressWasTakenOverIsGone)
{
  JobWorld simulation(2);
  FakeOwner& former = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 8000));
  simulation.RunFor(Milliseconds(1000));
  former.mActs = false;
  FakeOwner& next = simulation.AddOwner();
  const WorkerId gone = simulation.Worker(0).mFacts.mId;
  next.mLinks[gone] = LinkState::kAddressReused;
  simulation.Reborn(gone);
  simulation.RunFor(Milliseconds(2000));
  CHECK_EQUAL(2U, simulation.Worker(1).mRuns.size());
  CheckNoViolations(simulation);
}

// Batch work of an image that presses on every service is still started, once
// it has waited, while most of the workers are free.
TEST(ShardSchedulerTest, HeavyBatchIsStartedAfterAWhile)
{
  JobWorld simulation(2);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  for (size_t number = 0; number < 2; number++) {
    // Every task that fills doubles the load of those who serve beside it.
    simulation.Worker(number).mTail = [](const FakeWorkerNode& aWorker,
                                         const TaskRef& aTask) -> int64_t {
      const bool pressed = aWorker.mRuns.size() > 1;
      const bool second = aTask.mIndex == 1;
      return pressed && second ? 17 : 8;
    };
  }
  JobGraph watch = OneStepJob("watch", 4, 3000);
  watch.mSteps[0].mLasting = true;
  watch.mSteps[0].mTailTarget = Milliseconds(18);
  watch.mSteps[0].mMaxPerWorker = 2;
  simulation.Submit(watch);
  simulation.RunFor(Milliseconds(2000));
  JobGraph batch = OneStepJob("batch", 1, 9000);
  batch.mSteps[0].mFills = true;
  batch.mSteps[0].mImage = ImageId("heavy");
  simulation.Submit(batch);
  simulation.RunFor(Milliseconds(6000));
  CHECK_EQUAL(5U, simulation.Running());
  CheckNoViolations(simulation);
}

// A lasting task found no worker without tasks that fill, and waited.
TEST(ShardSchedulerTest, LastingTaskGetsRoomFromTasksThatFill)
{
  JobWorld simulation(1);
  simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  JobGraph batch = OneStepJob("batch", 4, 3000);
  batch.mSteps[0].mFills = true;
  batch.mSteps[0].mDemand.mMemoryMb = 16000;
  simulation.Submit(batch);
  simulation.RunFor(Milliseconds(600));
  CHECK_EQUAL(4U, simulation.Running());
  JobGraph watch = OneStepJob("watch", 1, 3000);
  watch.mSteps[0].mLasting = true;
  watch.mSteps[0].mTailTarget = Milliseconds(18);
  watch.mSteps[0].mDemand.mMemoryMb = 8000;
  simulation.Submit(watch);
  simulation.RunFor(Milliseconds(2000));
  const TaskRef task{ { JobId("watch"), 0, 0 }, 0 };
  CHECK_EQUAL(1U, simulation.Worker(0).mRuns.count(task));
  CheckNoViolations(simulation);
}

// Random cuts, lost answers, rebirths and changes of owner: nothing is started
// twice or beyond a worker's capacity, and once all is whole everything ends.
TEST(ShardSchedulerTest, KeepsItsPromisesUnderRandomTrouble)
{
  for (uint32_t seed = 1; seed <= 60; seed++) {
    std::mt19937 random(seed);
    const auto pick = [&random](uint32_t aBelow) {
      return static_cast<uint32_t>(random() % aBelow);
    };
    JobWorld simulation(6);
    simulation.AddOwner();
    simulation.mDurationOf = [](const TaskRef& aTask) {
      return Milliseconds(300 + 200 * (aTask.mIndex % 7));
    };
    size_t owners = 1;
    for (int round = 0; round < 40; round++) {
      JobGraph job = OneStepJob(
        "j" + std::to_string(round), 1 + pick(6), 500 * (1 + pick(12)));
      job.mSteps[0].mFills = pick(3) == 0;
      simulation.Submit(job);
      FakeOwner& owner = simulation.Owner(owners - 1);
      const WorkerId worker = simulation.Worker(pick(6)).mFacts.mId;
      switch (pick(8)) {
        case 0:
          owner.mLinks[worker] = LinkState::kCut;
          break;
        case 1:
          owner.mLinks[worker] = LinkState::kNoAnswers;
          break;
        case 2:
          owner.mLinks.clear();
          break;
        case 3:
          simulation.Reborn(worker);
          break;
        case 4:
          simulation.AddOwner();
          owners++;
          break;
        case 5:
          simulation.Cancel(JobId("j" + std::to_string(pick(40))));
          break;
        default:
          break;
      }
      simulation.RunFor(Milliseconds(100 * (1 + pick(10))));
    }
    for (size_t number = 0; number < owners; number++) {
      simulation.Owner(number).mLinks.clear();
    }
    simulation.RunFor(Milliseconds(40000));
    for (const std::string& finding : simulation.Findings()) {
      FAIL(("seed " + std::to_string(seed) + ": " + finding).c_str());
    }
    CHECK_EQUAL(0U, simulation.Running());
  }
}

TEST(ShardSchedulerTest, AStepThatWaitsSaysWhatMostWorkersLack)
{
  JobWorld simulation(2);
  FakeOwner& owner = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("a", 2, 16000));
  simulation.RunFor(Milliseconds(1000));
  owner.mShard->TakeDecisions();
  simulation.Submit(OneStepJob("b", 1, 1000));
  simulation.RunFor(Milliseconds(3000));
  WaitCause cause = WaitCause::kNone;
  for (const JobDecision& decision : owner.mShard->TakeDecisions()) {
    const bool waits = decision.mKind == DecisionKind::kStepWaits;
    cause = waits ? decision.mWaitCause : cause;
  }
  CHECK(WaitCause::kRoom == cause);
}

// A worker that fails all it starts is as empty as can be, and so was chosen
// for each attempt of a task until its job had failed.
TEST(ShardSchedulerTest, AFailedTaskTriesAnotherWorker)
{
  JobWorld simulation(2);
  FakeOwner& owner = simulation.AddOwner();
  simulation.mFailing = { simulation.Worker(0).mFacts.mId };
  simulation.mDurationOf = [](const TaskRef&) { return Milliseconds(200); };
  simulation.RunFor(Milliseconds(400));
  for (int number = 0; number < 3; number++) {
    const std::string id = "j" + std::to_string(number);
    JobGraph job = OneStepJob(id, 1, 1000);
    job.mRules.mMaxAttempts = 2;
    simulation.Submit(job);
    simulation.RunFor(Milliseconds(1500));
    CheckPhase(owner, id.c_str(), JobPhase::kCompleted);
  }
  CheckNoViolations(simulation);
}

// A worker was gone for good before its owner was killed. The successor waited
// for as long as the owner might have renewed it, though it had not.
TEST(ShardSchedulerTest,
     SuccessorWaitsOnlyForTheLeaseOfAWorkerThatWasSilentBefore)
{
  JobWorld simulation(2);
  FakeOwner& former = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  JobGraph job = OneStepJob("j", 2, 7000);
  job.mSteps[0].mLasting = true;
  simulation.Submit(job);
  simulation.RunFor(Milliseconds(2000));
  CHECK_EQUAL(2U, simulation.Running());
  const size_t used = simulation.Worker(0).mRuns.empty() ? 1 : 0;
  const WorkerId gone = simulation.Worker(used).mFacts.mId;
  former.mLinks[gone] = LinkState::kCut;
  simulation.RunFor(Milliseconds(4000));
  former.mActs = false;
  FakeOwner& next = simulation.AddOwner();
  next.mLinks[gone] = LinkState::kCut;
  simulation.RunFor(Milliseconds(5000));
  CHECK_EQUAL(2U, simulation.Running());
  CheckNoViolations(simulation);
}

// A worker that was noted as not renewed answers again: it is renewed once the
// note is taken back, and keeps what it runs.
TEST(ShardSchedulerTest, AWorkerThatIsBackIsRenewedAgain)
{
  JobWorld simulation(2);
  FakeOwner& owner = simulation.AddOwner();
  simulation.mDurationOf = [](const TaskRef&) { return kLong; };
  simulation.Submit(OneStepJob("j", 2, 9000));
  simulation.RunFor(Milliseconds(2000));
  const WorkerId away = simulation.Worker(0).mFacts.mId;
  owner.mLinks[away] = LinkState::kCut;
  simulation.RunFor(Milliseconds(2500));
  owner.mLinks.clear();
  simulation.RunFor(Milliseconds(15000));
  CHECK_EQUAL(2U, simulation.Running());
  CHECK_EQUAL(1U, simulation.Worker(0).mRuns.size());
  CheckNoViolations(simulation);
}

} // namespace mulberryvalve
