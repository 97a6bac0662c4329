// Overloaded owners, and what the next owner makes of the state they leave
// behind.
#include "mulberryvalve/core/jobs/shard_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

TEST_GROUP(OverloadedOwnerTest){};

// Guards against owners busy with log lines: each successor logged and measured
// run ends again that a former owner had counted.
TEST(OverloadedOwnerTest, SuccessorDoesNotRepeatCountedRunEnds)
{
  ShardSimulation world(1);
  SimulatedOwner& former = world.AddOwner();
  world.RunFor(Milliseconds(400));
  const WorkerId worker = world.Worker(0).mInfo.mId;
  world.Submit(OneStepJob("goes-on", 4, 1000));
  world.mDurationOf = [](const TaskRef& aTask) {
    const bool isLong =
      aTask.mIndex == 0 && aTask.mStep.mJob == JobId("goes-on");
    return Milliseconds(isLong ? 5000 : 100);
  };
  world.Submit(OneStepJob("over", 4, 1000));
  world.RunFor(Milliseconds(100));
  // The worker reports the ends, and they are not acknowledged.
  former.mNextRenewalAt[worker] = world.Now() + Milliseconds(200);
  world.RunFor(Milliseconds(240));
  former.mIsActive = false;
  CHECK_EQUAL(7U, world.Worker(0).mEnded.size());
  SimulatedOwner& next = world.AddOwner();
  world.RunFor(Milliseconds(400));
  for (const JobDecision& decision : next.mShard->TakeDecisions()) {
    CHECK(DecisionKind::kTaskEnded != decision.mKind);
  }
  CHECK(world.Violations().empty());
}

// Guards against cancelled tasks that keep running after a takeover (finding
// UNASKED): jobs are cancelled while the shard has no owner, and new jobs wait
// for their capacity.
TEST(OverloadedOwnerTest, SuccessorFirstStopsJobsCancelledWhileUnowned)
{
  ShardSimulation world(4);
  SimulatedOwner& former = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
  world.Submit(OneStepJob("gone", 4, 16000));
  world.RunFor(Milliseconds(1000));
  CHECK_EQUAL(4U, world.Running());
  former.mIsActive = false;
  world.Cancel(JobId("gone"));
  world.Submit(OneStepJob("new", 40, 1600));
  world.RunFor(Milliseconds(2000));
  world.AddOwner();
  // Time to query each worker and for the worker to stop the runs.
  world.RunFor(Milliseconds(400));
  for (size_t number = 0; number < 4; number++) {
    const TaskRef task{ { JobId("gone"), 0, 0 },
                        static_cast<uint32_t>(number) };
    for (size_t worker = 0; worker < 4; worker++) {
      CHECK_EQUAL(0U, world.Worker(worker).mRuns.count(task));
    }
  }
  world.RunFor(Milliseconds(1000));
  CHECK_EQUAL(40U, world.Running());
  CHECK(world.Violations().empty());
}

// Guards against cancelled tasks that keep running because each of several
// owners loses the shard before its stops are answered (finding UNASKED).
TEST(OverloadedOwnerTest, EverySuccessorStopsCancelledJobs)
{
  ShardSimulation world(2);
  world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
  world.Submit(OneStepJob("gone", 2, 16000));
  world.RunFor(Milliseconds(1000));
  world.Owner(0).mIsActive = false;
  world.Cancel(JobId("gone"));
  // The first successor renews leases and receives the run lists, but its
  // orders are lost.
  SimulatedOwner& second = world.AddOwner();
  for (size_t worker = 0; worker < 2; worker++) {
    second.mLostOrders.insert(world.Worker(worker).mInfo.mId);
  }
  world.RunFor(Milliseconds(300));
  CHECK_EQUAL(2U, world.Running());
  second.mIsActive = false;
  world.AddOwner();
  world.RunFor(Milliseconds(400));
  CHECK_EQUAL(0U, world.Running());
}

// Guards against a second run of a task (finding TWICE): while the former
// owner's lease lasts, a silent worker answers the successor once and falls
// silent again before the successor has renewed its lease.
TEST(OverloadedOwnerTest, FormerOwnersLeaseIsRespectedAfterFirstAnswer)
{
  ShardSimulation world(2);
  SimulatedOwner& former = world.AddOwner();
  world.mDurationOf = [](const TaskRef&) { return Milliseconds(60000); };
  world.RunFor(Milliseconds(400));
  world.Submit(OneStepJob("a", 2, 6000));
  world.RunFor(Milliseconds(4000));
  const WorkerId worker = world.Worker(0).mInfo.mId;
  CHECK_EQUAL(1U, world.Worker(0).mRuns.size());
  former.mLinks[worker] = LinkState::kDisconnected;
  world.RunFor(Milliseconds(2500));
  former.mIsActive = false;
  SimulatedOwner& next = world.AddOwner();
  next.mLinks[worker] = LinkState::kDisconnected;
  world.RunFor(Milliseconds(40));
  // When the worker answers, the record that lets the successor renew its lease
  // is not on the log yet.
  next.mCanAppend = false;
  next.mLinks[worker] = LinkState::kConnected;
  world.RunFor(Milliseconds(100));
  CHECK(next.mShard->Workers().Find(worker)->mHasReportedRuns);
  next.mLinks[worker] = LinkState::kDisconnected;
  world.RunFor(Milliseconds(2000));
  CHECK(world.Violations().empty());
}

} // namespace mulberryvalve
