// JobShard against workers that keep their contract, under cuts, lost answers
// and changes of owner.
#include "mulberryvalve/core/jobs/job_world_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr Milliseconds kLong{ 60000 };

void CheckNoFindings(const JobWorld& aWorld)
{
  for (const std::string& finding : aWorld.Findings()) {
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

TEST_GROUP(JobShardTest){};

TEST(JobShardTest, RunsTheStepsOfAJobInTheirOrder)
{
  JobWorld world(4);
  FakeOwner& owner = world.AddOwner();
  JobGraph job = OneStepJob("j", 6, 1000);
  job.mSteps.push_back(job.mSteps[0]);
  job.mSteps[1].mAfter = { 0 };
  world.Submit(job);
  world.RunFor(Milliseconds(600));
  CHECK_EQUAL(6U, world.Running());
  world.RunFor(Milliseconds(3000));
  CheckPhase(owner, "j", JobPhase::kCompleted);
  CheckNoFindings(world);
}

TEST(JobShardTest, FailsAJobOnlyAfterItsAttempts)
{
  JobWorld world(4);
  FakeOwner& owner = world.AddOwner();
  world.mEndOf = [](const TaskRef&, RunNumber) { return EndKind::kFailed; };
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mRules.mMaxAttempts = 3;
  world.Submit(job);
  world.RunFor(Milliseconds(1300));
  CheckPhase(owner, "j", JobPhase::kRunning);
  world.RunFor(Milliseconds(5000));
  CheckPhase(owner, "j", JobPhase::kFailed);
}

// An owner that was cut off with its log took the leases of silent workers for
// over, while its successor renewed them.
TEST(JobShardTest, LeaseIsOverOnlyWithProofOfOwnership)
{
  JobWorld world(3);
  FakeOwner& former = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  world.Submit(OneStepJob("j", 2, 9000));
  world.RunFor(Milliseconds(1000));
  CHECK_EQUAL(2U, world.Running());
  // The one worker without a task still answers the former owner only, and the
  // successor renews the others.
  FakeOwner& next = world.AddOwner();
  size_t idle = 0;
  for (size_t number = 0; number < 3; number++) {
    const WorkerId id = world.Worker(number).mFacts.mId;
    if (world.Worker(number).mRuns.empty()) {
      next.mLinks[id] = LinkState::kCut;
      idle++;
    } else {
      former.mLinks[id] = LinkState::kCut;
    }
  }
  CHECK_EQUAL(1U, idle);
  world.RunFor(Milliseconds(9000));
  CheckNoFindings(world);
}

// Runs of a job that was cancelled during a change of owner were stopped, but
// took no room in the successor's eyes.
TEST(JobShardTest, UnwantedRunsTakeRoomUntilTheyEnd)
{
  JobWorld world(1);
  FakeOwner& former = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  world.Submit(OneStepJob("a", 1, 16000));
  world.RunFor(Milliseconds(1000));
  former.mActs = false;
  former.mReachesLog = false;
  world.Cancel(JobId("a"));
  world.AddOwner();
  world.Submit(OneStepJob("b", 1, 16000));
  world.RunFor(Milliseconds(3000));
  CHECK_EQUAL(1U, world.Running());
  CheckNoFindings(world);
}

// A start without an answer may have begun: it is found on the lists, or
// stopped before the task is started elsewhere.
TEST(JobShardTest, StartWithoutAnswerRunsOnce)
{
  JobWorld world(2);
  FakeOwner& owner = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return Milliseconds(4000); };
  world.RunFor(Milliseconds(400));
  const WorkerId mute = world.Worker(0).mFacts.mId;
  world.Submit(OneStepJob("j", 4, 1000));
  owner.mLinks[mute] = LinkState::kNoAnswers;
  owner.mNextHold[mute] = world.Now() + Milliseconds(300);
  world.RunFor(Milliseconds(1500));
  CHECK(world.Worker(0).mRuns.size() > 0);
  owner.mLinks.clear();
  world.RunFor(Milliseconds(9000));
  CheckPhase(owner, "j", JobPhase::kCompleted);
  CheckNoFindings(world);
}

// An owner that was superseded still reads what callers hand in, and has a
// worker that its successor does not reach. Whenever the job comes, one of the
// two starts it.
TEST(JobShardTest, JobOfAfterTheClaimIsStartedByOneOwner)
{
  for (const int after : { 0, 300, 900, 1400, 1600, 2500, 6000 }) {
    JobWorld world(2);
    FakeOwner& former = world.AddOwner();
    world.mDurationOf = [](const TaskRef&) { return kLong; };
    world.RunFor(Milliseconds(1000));
    FakeOwner& next = world.AddOwner();
    former.mReadsIntake = true;
    next.mLinks[world.Worker(0).mFacts.mId] = LinkState::kCut;
    former.mLinks[world.Worker(1).mFacts.mId] = LinkState::kCut;
    world.RunFor(Milliseconds(after));
    world.Submit(OneStepJob("j", 1, 1000));
    world.RunFor(Milliseconds(30000));
    CHECK_EQUAL(1U, world.Running());
    CheckNoFindings(world);
  }
}

// A job that comes well after the claim does not wait for silent workers.
TEST(JobShardTest, LaterJobDoesNotWaitForSilentWorkers)
{
  JobWorld world(2);
  world.AddOwner();
  world.RunFor(Milliseconds(1000));
  FakeOwner& next = world.AddOwner();
  next.mLinks[world.Worker(0).mFacts.mId] = LinkState::kCut;
  world.RunFor(Milliseconds(2000));
  world.Submit(OneStepJob("j", 1, 1000));
  world.RunFor(Milliseconds(300));
  CHECK_EQUAL(1U, world.Running());
}

// A successor waits for workers of its predecessor that it does not reach, and
// that the predecessor goes on renewing.
TEST(JobShardTest, SuccessorWaitsForSilentWorkers)
{
  JobWorld world(2);
  FakeOwner& former = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  world.Submit(OneStepJob("j", 2, 8000));
  world.RunFor(Milliseconds(1000));
  CHECK_EQUAL(1U, world.Worker(0).mRuns.size());
  FakeOwner& next = world.AddOwner();
  next.mLinks[world.Worker(0).mFacts.mId] = LinkState::kCut;
  former.mLinks[world.Worker(1).mFacts.mId] = LinkState::kCut;
  world.RunFor(Milliseconds(30000));
  CHECK_EQUAL(2U, world.Worker(1).mRuns.size());
  CheckNoFindings(world);
}

TEST(JobShardTest, RebornWorkerRunsNothingOfBefore)
{
  JobWorld world(2);
  FakeOwner& owner = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return Milliseconds(2000); };
  world.Submit(OneStepJob("j", 4, 4000));
  world.RunFor(Milliseconds(500));
  world.Reborn(world.Worker(0).mFacts.mId);
  world.RunFor(Milliseconds(8000));
  CheckPhase(owner, "j", JobPhase::kCompleted);
  CheckNoFindings(world);
}

// Owners follow each other while a worker that left does not answer. Each new
// owner waits for what is left of the wait only.
TEST(JobShardTest, WaitForASilentWorkerIsHandedOn)
{
  JobWorld world(2);
  world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  world.Submit(OneStepJob("j", 2, 8000));
  world.RunFor(Milliseconds(1000));
  const WorkerId left = world.Worker(0).mFacts.mId;
  for (size_t number = 0; number < 4; number++) {
    world.Owner(number).mActs = false;
    world.AddOwner().mLinks[left] = LinkState::kCut;
    world.RunFor(Milliseconds(6000));
  }
  CHECK_EQUAL(2U, world.Worker(1).mRuns.size());
  CheckNoFindings(world);
}

// An owner that reaches a worker for whose silence a wait was noted renews it
// only once that note is taken back: its successor must wait anew.
TEST(JobShardTest, ReachedWorkerIsWaitedForAnew)
{
  JobWorld world(2);
  world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  world.Submit(OneStepJob("j", 2, 8000));
  world.RunFor(Milliseconds(1000));
  const WorkerId silent = world.Worker(0).mFacts.mId;
  world.Owner(0).mActs = false;
  FakeOwner& second = world.AddOwner();
  second.mLinks[silent] = LinkState::kCut;
  world.RunFor(Milliseconds(4100));
  second.mLinks.clear();
  world.RunFor(Milliseconds(12000));
  // The second owner is cut off with this worker and goes on renewing it.
  second.mLinks[world.Worker(1).mFacts.mId] = LinkState::kCut;
  world.AddOwner().mLinks[silent] = LinkState::kCut;
  world.RunFor(Milliseconds(30000));
  CheckNoFindings(world);
}

// Two runs failed while no end could be made durable. The successor hears of
// the later one first: both count.
TEST(JobShardTest, EndsThatAreHeardOutOfOrderAllCount)
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
TEST(JobShardTest, WorkerWhoseAddressWasTakenOverIsGone)
{
  JobWorld world(2);
  FakeOwner& former = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  world.Submit(OneStepJob("j", 2, 8000));
  world.RunFor(Milliseconds(1000));
  former.mActs = false;
  FakeOwner& next = world.AddOwner();
  const WorkerId gone = world.Worker(0).mFacts.mId;
  next.mLinks[gone] = LinkState::kReplaced;
  world.Reborn(gone);
  world.RunFor(Milliseconds(2000));
  CHECK_EQUAL(2U, world.Worker(1).mRuns.size());
  CheckNoFindings(world);
}

// Batch work of an image that presses on every service is still started, once
// it has waited, while most of the workers are free.
TEST(JobShardTest, HeavyBatchIsStartedAfterAWhile)
{
  JobWorld world(2);
  world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  for (size_t number = 0; number < 2; number++) {
    // Every task that fills doubles the load of those who serve beside it.
    world.Worker(number).mTail = [](const FakeWorkerNode& aWorker,
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
  world.Submit(watch);
  world.RunFor(Milliseconds(2000));
  JobGraph batch = OneStepJob("batch", 1, 9000);
  batch.mSteps[0].mFills = true;
  batch.mSteps[0].mImage = ImageId("heavy");
  world.Submit(batch);
  world.RunFor(Milliseconds(6000));
  CHECK_EQUAL(5U, world.Running());
  CheckNoFindings(world);
}

// A lasting task found no worker without tasks that fill, and waited.
TEST(JobShardTest, LastingTaskGetsRoomFromTasksThatFill)
{
  JobWorld world(1);
  world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  JobGraph batch = OneStepJob("batch", 4, 3000);
  batch.mSteps[0].mFills = true;
  batch.mSteps[0].mDemand.mMemoryMb = 16000;
  world.Submit(batch);
  world.RunFor(Milliseconds(600));
  CHECK_EQUAL(4U, world.Running());
  JobGraph watch = OneStepJob("watch", 1, 3000);
  watch.mSteps[0].mLasting = true;
  watch.mSteps[0].mTailTarget = Milliseconds(18);
  watch.mSteps[0].mDemand.mMemoryMb = 8000;
  world.Submit(watch);
  world.RunFor(Milliseconds(2000));
  const TaskRef task{ { JobId("watch"), 0, 0 }, 0 };
  CHECK_EQUAL(1U, world.Worker(0).mRuns.count(task));
  CheckNoFindings(world);
}

// Random cuts, lost answers, rebirths and changes of owner: nothing is started
// twice or beyond a worker's capacity, and once all is whole everything ends.
TEST(JobShardTest, KeepsItsPromisesUnderRandomTrouble)
{
  for (uint32_t seed = 1; seed <= 60; seed++) {
    std::mt19937 random(seed);
    const auto pick = [&random](uint32_t aBelow) {
      return static_cast<uint32_t>(random() % aBelow);
    };
    JobWorld world(6);
    world.AddOwner();
    world.mDurationOf = [](const TaskRef& aTask) {
      return Milliseconds(300 + 200 * (aTask.mIndex % 7));
    };
    size_t owners = 1;
    for (int round = 0; round < 40; round++) {
      JobGraph job = OneStepJob(
        "j" + std::to_string(round), 1 + pick(6), 500 * (1 + pick(12)));
      job.mSteps[0].mFills = pick(3) == 0;
      world.Submit(job);
      FakeOwner& owner = world.Owner(owners - 1);
      const WorkerId worker = world.Worker(pick(6)).mFacts.mId;
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
          world.Reborn(worker);
          break;
        case 4:
          world.AddOwner();
          owners++;
          break;
        case 5:
          world.Cancel(JobId("j" + std::to_string(pick(40))));
          break;
        default:
          break;
      }
      world.RunFor(Milliseconds(100 * (1 + pick(10))));
    }
    for (size_t number = 0; number < owners; number++) {
      world.Owner(number).mLinks.clear();
    }
    world.RunFor(Milliseconds(40000));
    for (const std::string& finding : world.Findings()) {
      FAIL(("seed " + std::to_string(seed) + ": " + finding).c_str());
    }
    CHECK_EQUAL(0U, world.Running());
  }
}

TEST(JobShardTest, AStepThatWaitsSaysWhatMostWorkersLack)
{
  JobWorld world(2);
  FakeOwner& owner = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  world.Submit(OneStepJob("a", 2, 16000));
  world.RunFor(Milliseconds(1000));
  owner.mShard->TakeDecisions();
  world.Submit(OneStepJob("b", 1, 1000));
  world.RunFor(Milliseconds(3000));
  WaitCause cause = WaitCause::kNone;
  for (const JobDecision& decision : owner.mShard->TakeDecisions()) {
    const bool waits = decision.mKind == DecisionKind::kStepWaits;
    cause = waits ? decision.mWaitCause : cause;
  }
  CHECK(WaitCause::kRoom == cause);
}

// A worker that fails all it starts is as empty as can be, and so was chosen
// for each attempt of a task until its job had failed.
TEST(JobShardTest, AFailedTaskTriesAnotherWorker)
{
  JobWorld world(2);
  FakeOwner& owner = world.AddOwner();
  world.mFailing = { world.Worker(0).mFacts.mId };
  world.mDurationOf = [](const TaskRef&) { return Milliseconds(200); };
  world.RunFor(Milliseconds(400));
  for (int number = 0; number < 3; number++) {
    const std::string id = "j" + std::to_string(number);
    JobGraph job = OneStepJob(id, 1, 1000);
    job.mRules.mMaxAttempts = 2;
    world.Submit(job);
    world.RunFor(Milliseconds(1500));
    CheckPhase(owner, id.c_str(), JobPhase::kCompleted);
  }
  CheckNoFindings(world);
}

// A worker was gone for good before its owner was killed. The successor waited
// for as long as the owner might have renewed it, though it had not.
TEST(JobShardTest, SuccessorWaitsOnlyForTheLeaseOfAWorkerThatWasSilentBefore)
{
  JobWorld world(2);
  FakeOwner& former = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  JobGraph job = OneStepJob("j", 2, 7000);
  job.mSteps[0].mLasting = true;
  world.Submit(job);
  world.RunFor(Milliseconds(2000));
  CHECK_EQUAL(2U, world.Running());
  const size_t used = world.Worker(0).mRuns.empty() ? 1 : 0;
  const WorkerId gone = world.Worker(used).mFacts.mId;
  former.mLinks[gone] = LinkState::kCut;
  world.RunFor(Milliseconds(4000));
  former.mActs = false;
  FakeOwner& next = world.AddOwner();
  next.mLinks[gone] = LinkState::kCut;
  world.RunFor(Milliseconds(5000));
  CHECK_EQUAL(2U, world.Running());
  CheckNoFindings(world);
}

// A worker that was noted as not renewed answers again: it is renewed once the
// note is taken back, and keeps what it runs.
TEST(JobShardTest, AWorkerThatIsBackIsRenewedAgain)
{
  JobWorld world(2);
  FakeOwner& owner = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return kLong; };
  world.Submit(OneStepJob("j", 2, 9000));
  world.RunFor(Milliseconds(2000));
  const WorkerId away = world.Worker(0).mFacts.mId;
  owner.mLinks[away] = LinkState::kCut;
  world.RunFor(Milliseconds(2500));
  owner.mLinks.clear();
  world.RunFor(Milliseconds(15000));
  CHECK_EQUAL(2U, world.Running());
  CHECK_EQUAL(1U, world.Worker(0).mRuns.size());
  CheckNoFindings(world);
}

} // namespace mulberryvalve
