// Workers that restart while a superseded owner is still active.
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr uint32_t kTasks = 6;
constexpr size_t kWorkers = 4;
// An owner learns of a worker's new incarnation within this.
constexpr Milliseconds kNoticeLimit{ 500 };
// How long a renewal hangs that was sent to a former incarnation.
constexpr Milliseconds kHangingRenewal{ 1500 };
// Longer than the test.
constexpr Milliseconds kNoRenewal{ 60000 };
// Longer than every lease.
constexpr Milliseconds kSettleTime{ 10000 };

// The starts of a job wait in the owner's send queue to one of its workers,
// which loses power and starts again under its id.
class QueuedStarts
{
public:
  QueuedStarts()
    : mSim(kWorkers)
    , mWorker(mSim.IdOf(0))
  {
    mSim->RunFor(kNoticeLimit);
    Owner().mHeldOrders.insert(mWorker);
    mSim->Submit(OneStepJob("j", kTasks, 7000));
    mSim->RunFor(kNoticeLimit);
    CHECK_FALSE(Owner().mSendQueue.empty());
  }

  SimulatedOwner& Owner() { return mSim->Owner(0); }

  // The renewal that is in flight gets no answer before its timeout.
  void Restart()
  {
    mSim->RestartWorker(mWorker);
    Owner().mNextRenewalAt[mWorker] = mSim->Now() + kHangingRenewal;
  }
  void Deliver() { mSim->DeliverHeldOrders(Owner()); }

  // Passes the answers on, and later orders without delay.
  void Answer()
  {
    mSim->AnswerHeldOrders(Owner());
    Owner().mHeldOrders.clear();
  }

  size_t RunsOnWorker() { return mSim->Worker(0).mRuns.size(); }

  // Checks that every task runs, on one worker.
  void CheckOneRunEach()
  {
    mSim->RunFor(kSettleTime);
    STRCMP_EQUAL("", mSim.AllViolations().c_str());
    CHECK_EQUAL(size_t{ kTasks }, mSim->RunningOf(JobId("j")));
  }

  TakeoverSimulation mSim;

private:
  const WorkerId mWorker;
};

} // namespace

TEST_GROUP(RestartedWorkerTest){};

// The successor records that a task ended, then the task's worker restarts. The
// former owner does not know yet that it was superseded; it must not take the
// run for lost and start the task again.
TEST(RestartedWorkerTest, SupersededOwnerDoesNotRerunFinishedTask)
{
  for (const int after : { 1000, 2000, 4000 }) {
    TakeoverSimulation world(4);
    world->Submit(OneStepJob("j", 1, 9000));
    world->RunFor(Milliseconds(1000));
    const WorkerId used = world.WorkerOf(TaskOf("j", 0));
    const WorkerId other = world.IdOf(used == world.IdOf(0) ? 1 : 0);
    world.PartitionOff(other);
    world.EndRunsOf(used);
    world->RunFor(Milliseconds(after));
    world->RestartWorker(used);
    world->Owner(0).mLinks.clear();
    world->RunFor(Milliseconds(10000));
    STRCMP_EQUAL("", world.AllViolations().c_str());
  }
}

// Guards against tasks being started elsewhere though the worker's new
// incarnation has accepted their starts, which were sent before its restart was
// known (review/4).
TEST(RestartedWorkerTest, StartsThatTheNewIncarnationAcceptedAreNotRepeated)
{
  for (const bool repliesTell : { true, false }) {
    QueuedStarts starts;
    starts.mSim->mOrderRepliesTellIncarnation = repliesTell;
    starts.Restart();
    starts.Deliver();
    CHECK(starts.RunsOnWorker() > 0);
    starts.Answer();
    starts.CheckOneRunEach();
  }
}

// The same, and the new incarnation is known before the answers arrive.
TEST(RestartedWorkerTest, StartsInFlightDuringARestartAreNotRepeated)
{
  for (const bool repliesTell : { true, false }) {
    QueuedStarts starts;
    starts.mSim->mOrderRepliesTellIncarnation = repliesTell;
    starts.Restart();
    starts.Deliver();
    starts.mSim->RunFor(kNoticeLimit);
    starts.Answer();
    starts.CheckOneRunEach();
  }
}

// Starts that were accepted before the restart have ended with it, also if
// their answers arrive late.
TEST(RestartedWorkerTest, StartsThatTheFormerIncarnationAcceptedAreRepeated)
{
  for (const bool repliesTell : { true, false }) {
    QueuedStarts starts;
    starts.mSim->mOrderRepliesTellIncarnation = repliesTell;
    starts.Deliver();
    CHECK(starts.RunsOnWorker() > 0);
    starts.Restart();
    starts.mSim->RunFor(kNoticeLimit);
    starts.Answer();
    starts.CheckOneRunEach();
  }
}

// Guards against another worker that answers at the address being taken for a
// new incarnation of this one.
TEST(RestartedWorkerTest, AnotherWorkerAtTheAddressTellsOfNoRestart)
{
  TakeoverSimulation sim(2);
  sim->Submit(LongRunningJob("lasting", 2, 9000));
  sim->RunFor(kNoticeLimit);
  ShardScheduler& owner = *sim->Owner(0).mShard;
  TaskOrder stop;
  stop.mKind = OrderKind::kStop;
  stop.mWorker = sim.IdOf(0);
  OrderReply reply;
  reply.mOutcome = OrderOutcome::kGone;
  reply.mReading.mWorkerIncarnation = WorkerIncarnation(99);
  owner.OnOrder(stop, reply, sim->Now());
  CHECK(WorkerIncarnation(1) ==
        owner.Workers().Find(stop.mWorker)->mWorkerIncarnation);
  CHECK_EQUAL(1U, owner.Workers().Find(stop.mWorker)->mTasks.size());
}

// A start carries a lease by the clock of the incarnation that it was decided
// for.
TEST(RestartedWorkerTest, StartsForTheFormerIncarnationAreNotSentToAKnownNewOne)
{
  QueuedStarts starts;
  starts.Restart();
  starts.mSim->RunFor(kNoticeLimit);
  starts.Deliver();
  CHECK_EQUAL(0U, starts.RunsOnWorker());
  starts.Answer();
  starts.CheckOneRunEach();
}

// The new incarnation accepted the starts under a lease of the former
// incarnation's clock, which lasts as long as the worker permits, and becomes
// unreachable.
TEST(RestartedWorkerTest, LeaseOfAStartThatTheNewIncarnationAcceptedIsWaitedFor)
{
  QueuedStarts starts;
  starts.mSim->RunFor(Milliseconds(3000));
  starts.Restart();
  starts.Deliver();
  starts.mSim->MakeUnreachable(starts.mSim.IdOf(0));
  starts.Answer();
  starts.CheckOneRunEach();
}

// Guards against a lease that is counted by the clock of the former incarnation
// though the answers to the starts, which tell only a clock, are those of the
// next one: it lasts longer, and the worker is cut off before the owner learns
// of the restart in any other way (issue 49).
TEST(RestartedWorkerTest,
     LeaseOfStartsThatAnUnnoticedIncarnationAcceptedIsWaitedFor)
{
  QueuedStarts starts;
  const WorkerId worker = starts.mSim.IdOf(0);
  starts.mSim->mOrderRepliesTellIncarnation = false;
  starts.mSim->RunFor(Milliseconds(3000));
  SimulatedOwner& owner = starts.Owner();
  owner.mNextRenewalAt[worker] = starts.mSim->Now() + kNoRenewal;
  const auto renewal =
    owner.mShard->NextRenewal(worker, true, starts.mSim->Now());
  starts.mSim->RunFor(Milliseconds(600));
  starts.Restart();
  owner.mNextRenewalAt[worker] = starts.mSim->Now() + kNoRenewal;
  starts.Deliver();
  CHECK(starts.RunsOnWorker() > 0);
  const MonotonicTime cutOffAt = starts.mSim->Now();
  starts.mSim->MakeUnreachable(worker, cutOffAt);
  starts.Answer();
  starts.mSim->RunFor(Milliseconds(900));
  const RenewalReply unanswered;
  const MonotonicTime now = starts.mSim->Now();
  owner.mShard->OnRenewalReply(*renewal, unanswered, now, now);
  starts.CheckOneRunEach();
}

// Guards against tasks being placed by the labels of a worker's former
// incarnation, while its entry in the list is that one's and its answers are
// those of the next one, which has other labels (review/10).
TEST(RestartedWorkerTest, TasksArePlacedByTheLabelsOfThePresentIncarnation)
{
  const WorkerLabel label("kind-a");
  TakeoverSimulation sim(2);
  sim->Worker(0).mInfo.mLabels = { label };
  sim->RunFor(kNoticeLimit);
  SimulatedOwner& owner = sim->Owner(0);
  owner.mReadsWorkerList = false;
  sim->RestartWorker(sim.IdOf(0));
  sim->Worker(0).mInfo.mLabels = { WorkerLabel("kind-b") };
  sim->RunFor(kNoticeLimit);
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mSteps[0].mRequiredLabel = label;
  sim->Submit(job);
  sim->RunFor(kNoticeLimit);
  owner.mReadsWorkerList = true;
  sim->RunFor(kNoticeLimit);
  CHECK_EQUAL(0U, sim->Running());
  sim->RestartWorker(sim.IdOf(0));
  sim->Worker(0).mInfo.mLabels = { label };
  sim->RunFor(kNoticeLimit);
  CHECK_EQUAL(1U, sim->RunningOf(JobId("j")));
}

// Guards against an entry of the worker list that was written before the worker
// restarted elsewhere, and is read after the newer one: another worker answers
// at the address that it names, and what runs on this one is started again.
TEST(RestartedWorkerTest, AnEntryOfAFormerIncarnationDoesNotReplaceANewerOne)
{
  TakeoverSimulation sim(3);
  sim->RunFor(kNoticeLimit);
  const WorkerInfo former = sim->Worker(0).mInfo;
  sim->RestartWorker(former.mId);
  sim->ChangeEndpoint(former.mId, Endpoint{ "elsewhere", 7000 });
  sim->Worker(0).mListed = true;
  sim->RunFor(kNoticeLimit);
  sim->Submit(LongRunningJob("lasting", 3, 5000));
  sim->RunFor(kNoticeLimit);
  CHECK(sim->Worker(0).mRuns.size() > 0);
  ShardScheduler& owner = *sim->Owner(0).mShard;
  const std::vector<WorkerInfo> listed{ former,
                                        sim->Worker(1).mInfo,
                                        sim->Worker(2).mInfo };
  owner.OnWorkerList(listed, sim->Now());
  const auto renewal = owner.NextRenewal(former.mId, true, sim->Now());
  RenewalReply reply;
  reply.mOutcome = renewal->mEndpoint.mAddress == "elsewhere"
                     ? OrderOutcome::kUnknown
                     : OrderOutcome::kGone;
  const MonotonicTime askedAt = sim->Now();
  owner.OnRenewalReply(*renewal, reply, askedAt, askedAt);
  // The next entry is read only then.
  sim->Owner(0).mCanAppend = false;
  sim->RunFor(kNoticeLimit);
  sim->Owner(0).mCanAppend = true;
  STRCMP_EQUAL("", sim.AllViolations().c_str());
  STRCMP_EQUAL("elsewhere", renewal->mEndpoint.mAddress.c_str());
}

} // namespace mulberryvalve
