// Workers that are born anew beside an owner that was superseded.
#include "mulberryvalve/core/jobs/takeover_world_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

TEST_GROUP(RestartedWorkerTest){};

// The successor took note of a task's end; then the task's worker is born anew,
// and the former owner, that was not told of its successor yet, takes what ran
// there for lost and starts it again.
TEST(RestartedWorkerTest, SupersededOwnerDoesNotRerunFinishedTask)
{
  for (const int after : { 1000, 2000, 4000 }) {
    TakeoverWorld world(4);
    world->Submit(OneStepJob("j", 1, 9000));
    world->RunFor(Milliseconds(1000));
    const WorkerId used = world.WorkerOf(TaskOf("j", 0));
    const WorkerId other = world.IdOf(used == world.IdOf(0) ? 1 : 0);
    world.SplitOff(other);
    world.EndRunsOf(used);
    world->RunFor(Milliseconds(after));
    world->Reborn(used);
    world->Owner(0).mLinks.clear();
    world->RunFor(Milliseconds(10000));
    STRCMP_EQUAL("", world.AllFindings().c_str());
  }
}

} // namespace mulberryvalve
