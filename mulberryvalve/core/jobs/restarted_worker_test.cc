// Workers that restart while a superseded owner is still active.
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

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

} // namespace mulberryvalve
