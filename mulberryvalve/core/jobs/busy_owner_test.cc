// Owners that have more to do than they can, and what their successors make of
// it.
#include "mulberryvalve/core/jobs/job_world_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

TEST_GROUP(BusyOwnerTest){};

// Guards against an owner that spends itself on lines: ends that a former owner
// had counted were told, and measured, again by each successor.
TEST(BusyOwnerTest, AnEndThatAFormerOwnerCountedIsNotToldAgain)
{
  JobWorld world(1);
  FakeOwner& former = world.AddOwner();
  world.RunFor(Milliseconds(400));
  const WorkerId worker = world.Worker(0).mFacts.mId;
  world.Submit(OneStepJob("goes-on", 4, 1000));
  world.mDurationOf = [](const TaskRef& aTask) {
    const bool isLong =
      aTask.mIndex == 0 && aTask.mStep.mJob == JobId("goes-on");
    return Milliseconds(isLong ? 5000 : 100);
  };
  world.Submit(OneStepJob("over", 4, 1000));
  world.RunFor(Milliseconds(100));
  // The worker lists its ends, and is not told that they were seen.
  former.mNextHold[worker] = world.Now() + Milliseconds(200);
  world.RunFor(Milliseconds(240));
  former.mActs = false;
  CHECK_EQUAL(7U, world.Worker(0).mEnded.size());
  FakeOwner& next = world.AddOwner();
  world.RunFor(Milliseconds(400));
  for (const JobDecision& decision : next.mShard->TakeDecisions()) {
    CHECK(DecisionKind::kTaskEnded != decision.mKind);
  }
  CHECK(world.Findings().empty());
}

} // namespace mulberryvalve
