// The job services as they are composed in an instance, on a log in memory.
#include "mulberryvalve/app/jobs/decision_meter.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"

#include <atomic>
#include <thread>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

TEST_GROUP(JobsTest){};

TEST(JobsTest, JobIsDurableThenDoneThenShown)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  instance.Start();
  const auto deadline = instance.In(kPatience);
  CHECK(instance.Jobs().Submit(SmallJob("j"), deadline).has_value());
  CHECK(log.Holds(KeyedTopic::kIntake, "j"));
  CHECK(instance.Await("j", JobPhase::kCompleted));
  CHECK(log.Holds(KeyedTopic::kProgress, "job/j"));
  CHECK_EQUAL(1U, workers.Starts(TaskRef{ { JobId("j"), 0, 0 }, 0 }));
}

TEST(JobsTest, UnknownJobIsSaidToBeUnknown)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  instance.Start();
  const auto phase =
    instance.Jobs().Phase(JobId("none"), instance.In(kPatience));
  CHECK(phase.has_value());
  CHECK_FALSE(phase.value().has_value());
}

// A refusal says that nothing was taken; it must be true.
TEST(JobsTest, RefusalOnlyWhenNothingWasTaken)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  log.FailNext({ AppendFault::kRefused });
  const auto refused =
    instance.Jobs().Submit(SmallJob("a"), instance.In(kPatience));
  CHECK(FailureKind::kLogUnavailable == refused.error().mKind);
  CHECK_FALSE(log.Holds(KeyedTopic::kIntake, "a"));
  // The first try may have been taken, so a later refusal does not count.
  log.FailNext({ AppendFault::kAnswerLost,
                 AppendFault::kRefused,
                 AppendFault::kRefused,
                 AppendFault::kRefused,
                 AppendFault::kRefused,
                 AppendFault::kRefused,
                 AppendFault::kRefused });
  const auto unknown =
    instance.Jobs().Submit(SmallJob("b"), instance.In(Milliseconds(400)));
  CHECK(FailureKind::kUnknownOutcome == unknown.error().mKind);
  log.FailNext({ AppendFault::kLost });
  CHECK(
    instance.Jobs().Submit(SmallJob("c"), instance.In(kPatience)).has_value());
}

// Many callers come while the log is slow: it is asked a few times, and none of
// them waits for more than two of its answers.
TEST(JobsTest, BurstOfCallersSharesAppendsToASlowLog)
{
  constexpr size_t kCallers = 40;
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  log.SetAppendTime(Milliseconds(20));
  std::vector<std::thread> callers;
  std::atomic<size_t> taken{ 0 };
  for (size_t number = 0; number < kCallers; number++) {
    callers.emplace_back([&, number] {
      const std::string id = "j" + std::to_string(number);
      const auto done =
        instance.Jobs().Submit(SmallJob(id.c_str()), instance.In(kPatience));
      taken += done.has_value() ? 1 : 0;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK_EQUAL(kCallers, taken.load());
  CHECK(log.Holds(KeyedTopic::kIntake, "j39"));
  CHECK(log.CountAppends(KeyedTopic::kIntake) <= kCallers / 4);
}

// The answers to appends are lost while ends are made durable: each takes
// effect once and the job completes.
TEST(JobsTest, LostAnswersOfTheLogAreSettled)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  instance.Start();
  const auto up = instance.Jobs().Phase(JobId("j"), instance.In(kPatience));
  CHECK(up.has_value());
  log.FailNext({ AppendFault::kAnswerLost, AppendFault::kAnswerLost });
  instance.Complete("j");
  CHECK_EQUAL(1U, workers.Starts(TaskRef{ { JobId("j"), 0, 0 }, 1 }));
}

TEST(JobsTest, ForgottenHistoryLosesNoJob)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  instance.Start();
  instance.Complete("a");
  log.Forget();
  instance.Complete("b");
}

// The next owner knows what the former one has done, and fences it.
TEST(JobsTest, SuccessorTakesOver)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance former(log, workers, 1);
  former.Start();
  former.Complete("a");
  JobsInstance next(log, workers, 2);
  next.Start();
  CHECK(next.Await("a", JobPhase::kCompleted));
  next.Complete("b");
  CHECK_EQUAL(1U, workers.Starts(TaskRef{ { JobId("a"), 0, 0 }, 0 }));
  CHECK_EQUAL(1U, workers.Starts(TaskRef{ { JobId("b"), 0, 0 }, 0 }));
}

// The group counts anew from 1, as after the loss of all its members, while a
// higher epoch stands on the log.
TEST(JobsTest, OwnerOfAnEarlierGenerationGetsAboveTheLog)
{
  MemoryLog log;
  InstantWorker workers;
  {
    JobsInstance former(log, workers, 9);
    former.Start();
    former.Complete("a");
  }
  JobsInstance next(log, workers, 1);
  next.Start();
  CHECK(next.Await("a", JobPhase::kCompleted));
}

// Jobs that are over are kept on the log for as long as the settings say.
TEST(JobsTest, AJobThatIsOverLeavesTheLogInTime)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  instance.Start();
  instance.Complete("a");
  CHECK(log.Holds(KeyedTopic::kIntake, "a"));
  const MonotonicTime until = instance.In(kPatience);
  bool gone = false;
  for (int number = 0; !gone && instance.In(Milliseconds(0)) < until;
       number++) {
    const std::string other = "other" + std::to_string(number);
    instance.Complete(other.c_str());
    gone = !log.Holds(KeyedTopic::kIntake, "a");
  }
  CHECK(gone);
}

// Each change of members moves the shard in this group. Whoever is not needed
// stays out, so a shard whose owner lives is not moved.
TEST(JobsTest, AnInstanceStaysOutWhileTheShardHasAnOwner)
{
  MemoryLog log;
  InstantWorker workers;
  FakeShardGroups group;
  JobsInstance owner(
    log, workers, std::make_unique<FakeShardGroupsMember>(group, 1), 1);
  owner.Start();
  owner.Complete("a");
  JobsInstance other(
    log, workers, std::make_unique<FakeShardGroupsMember>(group, 2), 2);
  other.Start();
  group.AwaitViews(5);
  CHECK_EQUAL(0U, group.Joins(2));
  owner.Complete("b");
}

// Of two shards each of two instances gets one.
TEST(JobsTest, ShardsAreSharedOut)
{
  MemoryLog log;
  InstantWorker workers;
  FakeShardGroups group;
  JobsInstance one(
    log, workers, std::make_unique<FakeShardGroupsMember>(group, 1), 1, 2);
  JobsInstance two(
    log, workers, std::make_unique<FakeShardGroupsMember>(group, 2), 2, 2);
  one.Start();
  two.Start();
  const MonotonicTime until = one.In(kPatience);
  std::set<uint16_t> owners;
  while (owners.size() < 2 && one.In(Milliseconds(0)) < until) {
    group.AwaitJoins(1);
    owners.clear();
    for (const auto& [shard, owner] : group.Owners()) {
      owners.insert(owner);
    }
  }
  CHECK_EQUAL(2U, owners.size());
}

// An owner that was cut off finds that another has taken over, and does not
// take the shard back.
TEST(JobsTest, AFormerOwnerDoesNotTakeTheShardBack)
{
  MemoryLog log;
  InstantWorker workers;
  FakeShardGroups group;
  JobsInstance former(
    log, workers, std::make_unique<FakeShardGroupsMember>(group, 1), 1);
  former.Start();
  former.Complete("a");
  group.Disconnect(1);
  JobsInstance next(
    log, workers, std::make_unique<FakeShardGroupsMember>(group, 2), 2);
  next.Start();
  next.Complete("b");
  const size_t joins = group.Joins(1);
  // The cut may end between a look that failed and the join after it.
  group.RestoreJoins(1);
  group.AwaitFailedViews(4);
  CHECK_EQUAL(joins, group.Joins(1));
  group.Reconnect(1);
  group.AwaitViews(8);
  CHECK_EQUAL(joins, group.Joins(1));
  next.Complete("c");
}

// Guards against the loss of a shard because a long decision holds up the
// renewal of the membership.
TEST(JobsTest, MembershipIsRenewedWhileADecisionIsUnderWay)
{
  class LongDecision : public JobPlacement
  {
  public:
    explicit LongDecision(FakeShardGroups& aGroup)
      : mGroup(aGroup)
    {
    }
    std::optional<int64_t> CostOn(const PlacementQuery& aQuery,
                                  const WorkerRoom& aWorker) const override
    {
      mGroup.AwaitJoins(3);
      return kLearned.CostOn(aQuery, aWorker);
    }

  private:
    FakeShardGroups& mGroup;
  };
  MemoryLog log;
  InstantWorker workers;
  FakeShardGroups group;
  const LongDecision placement(group);
  JobsInstance owner(log,
                     workers,
                     std::make_unique<FakeShardGroupsMember>(group, 1),
                     1,
                     1,
                     placement);
  owner.Start();
  owner.Complete("a");
}

TEST(JobsTest, MetricsTellWaitsByTheirCause)
{
  class Counts : public Metrics
  {
  public:
    void Add(Counter aCounter, uint64_t aCount) override
    {
      mCounts[aCounter] += aCount;
    }
    void Set(Gauge, int64_t) override {}
    void Record(Timing aTiming, Microseconds aElapsed) override
    {
      mTimes[aTiming] += aElapsed.count();
    }
    std::map<Counter, uint64_t> mCounts;
    std::map<Timing, int64_t> mTimes;
  };
  Counts counts;
  const DecisionMetrics meter(counts);
  JobDecision decision;
  decision.mKind = DecisionKind::kStepWaits;
  decision.mWaitCause = WaitCause::kPressure;
  meter.Count(decision);
  decision.mWaitCause = WaitCause::kRoom;
  meter.Count(decision);
  meter.Count(decision);
  decision.mKind = DecisionKind::kTaskPlaced;
  decision.mWaited = Milliseconds(3);
  meter.Count(decision);
  CHECK_EQUAL(1U, counts.mCounts[Counter::kWaitsForPressure]);
  CHECK_EQUAL(2U, counts.mCounts[Counter::kWaitsForRoom]);
  CHECK_EQUAL(0U, counts.mCounts[Counter::kWaitsForWorkers]);
  CHECK_EQUAL(1U, counts.mCounts[Counter::kTasksAssigned]);
  CHECK_EQUAL(3000, counts.mTimes[Timing::kFirstStartUs]);
}

} // namespace mulberryvalve
