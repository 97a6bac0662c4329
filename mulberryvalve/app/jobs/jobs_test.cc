// Tests of the job services as an instance composes them, on an in-memory log.
#include "mulberryvalve/app/jobs/decision_metrics.h"
#include "mulberryvalve/app/jobs/jobs_instance_fake.h"
#include "mulberryvalve/app/jobs/shard_groups_fake.h"

#include <atomic>
#include <thread>

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

TEST_GROUP(JobsTest){};

TEST(JobsTest, ASubmittedJobIsDurableAndCompletes)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  instance.Start();
  const auto deadline = instance.TimeAfter(kTestTimeout);
  CHECK(instance.Jobs().Submit(SmallJob("j"), deadline).has_value());
  CHECK(log.Holds(KeyedTopic::kIntake, "j"));
  CHECK(instance.Await("j", JobPhase::kCompleted));
  CHECK(log.Holds(KeyedTopic::kProgress, "job/j"));
  CHECK_EQUAL(1U, workers.Starts(TaskRef{ { JobId("j"), 0, 0 }, 0 }));
}

TEST(JobsTest, AnUnknownJobHasNoPhase)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  instance.Start();
  const auto phase =
    instance.Jobs().Phase(JobId("none"), instance.TimeAfter(kTestTimeout));
  CHECK(phase.has_value());
  CHECK_FALSE(phase.value().has_value());
}

// A refusal promises the caller that nothing was accepted.
TEST(JobsTest, AJobIsRefusedOnlyIfNothingWasAppended)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  log.FailNext({ AppendFault::kRefused });
  const auto refused =
    instance.Jobs().Submit(SmallJob("a"), instance.TimeAfter(kTestTimeout));
  CHECK(FailureKind::kLogUnavailable == refused.error().mKind);
  CHECK_FALSE(log.Holds(KeyedTopic::kIntake, "a"));
  // The first attempt may have taken effect, so a refusal of a later one is no
  // proof that nothing was accepted.
  log.FailNext({ AppendFault::kAnswerLost,
                 AppendFault::kRefused,
                 AppendFault::kRefused,
                 AppendFault::kRefused,
                 AppendFault::kRefused,
                 AppendFault::kRefused,
                 AppendFault::kRefused });
  const auto unknown = instance.Jobs().Submit(
    SmallJob("b"), instance.TimeAfter(Milliseconds(400)));
  CHECK(FailureKind::kUnknownOutcome == unknown.error().mKind);
  log.FailNext({ AppendFault::kLost });
  CHECK(instance.Jobs()
          .Submit(SmallJob("c"), instance.TimeAfter(kTestTimeout))
          .has_value());
}

// Guards against overloading a slow log: concurrent callers share appends, so
// none of them waits for more than two calls.
TEST(JobsTest, ConcurrentCallersShareAppendsToASlowLog)
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
      const auto done = instance.Jobs().Submit(
        SmallJob(id.c_str()), instance.TimeAfter(kTestTimeout));
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

// The answers to appends of end reports are lost. Each append takes effect once
// and the job completes.
TEST(JobsTest, AppendsWithLostAnswersTakeEffectOnce)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  instance.Start();
  const auto up =
    instance.Jobs().Phase(JobId("j"), instance.TimeAfter(kTestTimeout));
  CHECK(up.has_value());
  log.FailNext({ AppendFault::kAnswerLost, AppendFault::kAnswerLost });
  instance.Complete("j");
  CHECK_EQUAL(1U, workers.Starts(TaskRef{ { JobId("j"), 0, 0 }, 1 }));
}

// Guards against a job that was recorded, though the caller was not told so,
// and runs again when the caller submits it again: while it waits, once it is
// finished, and to the next owner.
TEST(JobsTest, AJobThatIsSubmittedAgainAfterALostAnswerRunsOnce)
{
  const TaskRef task{ { JobId("j"), 0, 0 }, 0 };
  MemoryLog log;
  InstantWorker workers;
  // The finished job is kept for longer than the test takes.
  ShardMembershipOptions options = JobsInstance::OptionsAt(0, 1);
  options.mOwner.mKeepOver = ShardRuntimeOptions().mKeepOver;
  JobsInstance former(log,
                      workers,
                      std::make_unique<SoleMemberGroup>(1),
                      options,
                      std::make_unique<FixedRandom>());
  log.FailNext({ AppendFault::kAnswerLost });
  const auto unknown =
    former.Jobs().Submit(SmallJob("j"), former.TimeAfter(Milliseconds(400)));
  CHECK(FailureKind::kUnknownOutcome == unknown.error().mKind);
  CHECK(log.Holds(KeyedTopic::kIntake, "j"));
  CHECK(former.Jobs()
          .Submit(SmallJob("j"), former.TimeAfter(kTestTimeout))
          .has_value());
  former.Start();
  former.Complete("j");
  former.Complete("j");
  former.Complete("a");
  CHECK_EQUAL(1U, workers.Starts(task));
  JobsInstance next(log,
                    workers,
                    std::make_unique<SoleMemberGroup>(2),
                    options,
                    std::make_unique<FixedRandom>());
  next.Start();
  next.Complete("j");
  next.Complete("b");
  CHECK_EQUAL(1U, workers.Starts(task));
}

TEST(JobsTest, ExpiredRecordsLoseNoJob)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  instance.Start();
  instance.Complete("a");
  log.ExpireRecords();
  instance.Complete("b");
}

// The next owner knows what the previous one has done, and fences it.
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

// The group's generation restarts from 1, as after the loss of all its members,
// while the log holds a higher epoch.
TEST(JobsTest, AnOwnerOfALowerGenerationTakesAHigherEpoch)
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

// Guards against a former owner that acts on beside its successor, and against
// a successor that waits for one that has ended (review/5).
TEST(JobsTest, AFormerOwnerStopsAndTellsItsSuccessorOfItsEnd)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance former(log, workers, 1);
  former.Start();
  former.Complete("a");
  PeerQuery query;
  query.mKind = PeerQueryKind::kOwnershipEnd;
  query.mEpoch = Epoch(64);
  query.mProcess = Incarnation(1);
  CHECK(former.Ask(query).mEndedFor.has_value());
  query.mProcess = Incarnation();
  CHECK_FALSE(former.Ask(query).mEndedFor.has_value());
  const MonotonicTime until = former.TimeAfter(kTestTimeout);
  bool ended = false;
  while (!ended && former.TimeAfter(Milliseconds(0)) < until) {
    std::this_thread::sleep_for(Milliseconds(5));
    ended = former.Ask(query).mEndedFor.has_value();
  }
  CHECK(ended);
}

// Guards against an end that is counted anew from each question, and against a
// former owner that does not tell what it did (LOST).
TEST(JobsTest, AFormerOwnerTellsSinceWhenItHasEndedAndWhatItDid)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance former(log, workers, 1);
  former.Start();
  former.Complete("a");
  PeerQuery query;
  query.mKind = PeerQueryKind::kOwnershipEnd;
  query.mEpoch = Epoch(64);
  query.mWorkers = { WorkerId("w"), WorkerId("never heard of") };
  const PeerQueryResult acting = former.Ask(query);
  CHECK_FALSE(acting.mEndedFor.has_value());
  CHECK_FALSE(acting.mTold.has_value());
  const MonotonicTime until = former.TimeAfter(kTestTimeout);
  PeerQueryResult first;
  while (!first.mEndedFor && former.TimeAfter(Milliseconds(0)) < until) {
    std::this_thread::sleep_for(Milliseconds(5));
    first = former.Ask(query);
  }
  const MonotonicTime answeredAt = former.TimeAfter(Milliseconds(0));
  std::this_thread::sleep_for(Milliseconds(50));
  const MonotonicTime askedAt = former.TimeAfter(Milliseconds(0));
  const PeerQueryResult second = former.Ask(query);
  CHECK(second.mEndedFor.value() + Milliseconds(1) >=
        first.mEndedFor.value() + (askedAt - answeredAt));
  const ToldUse told = second.mTold.value();
  CHECK_EQUAL(1U, told.mWorkers.size());
  CHECK(WorkerId("w") == told.mWorkers[0].mWorker);
  CHECK(told.mWorkers[0].mLeasesLeft.has_value());
  CHECK_EQUAL(0U, told.mUnrecorded.value().size());
  query.mWorkers.clear();
  CHECK_FALSE(former.Ask(query).mTold.has_value());
}

// Finished jobs stay on the log for the configured time.
TEST(JobsTest, AFinishedJobIsRemovedFromTheLog)
{
  MemoryLog log;
  InstantWorker workers;
  JobsInstance instance(log, workers, 1);
  instance.Start();
  instance.Complete("a");
  CHECK(log.Holds(KeyedTopic::kIntake, "a"));
  const MonotonicTime until = instance.TimeAfter(kTestTimeout);
  bool gone = false;
  for (int number = 0; !gone && instance.TimeAfter(Milliseconds(0)) < until;
       number++) {
    const std::string other = "other" + std::to_string(number);
    instance.Complete(other.c_str());
    gone = !log.Holds(KeyedTopic::kIntake, "a");
  }
  CHECK(gone);
}

// Every member change moves the shard in this group. An instance that is not
// needed does not join, so a shard with a live owner is not moved.
TEST(JobsTest, AnInstanceDoesNotJoinWhileTheShardHasAnOwner)
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

// With two shards and two instances, each instance gets one shard.
TEST(JobsTest, ShardsAreSpreadOverInstances)
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
  const MonotonicTime until = one.TimeAfter(kTestTimeout);
  std::set<uint16_t> owners;
  while (owners.size() < 2 && one.TimeAfter(Milliseconds(0)) < until) {
    group.AwaitJoins(1);
    owners.clear();
    for (const auto& [shard, owner] : group.Owners()) {
      owners.insert(owner);
    }
  }
  CHECK_EQUAL(2U, owners.size());
}

// An owner that was disconnected finds that another one has taken over, and
// does not take the shard back.
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
  // The disconnection may end between a failed poll and the join after it.
  group.RestoreJoins(1);
  group.AwaitFailedViews(4);
  CHECK_EQUAL(joins, group.Joins(1));
  group.Reconnect(1);
  group.AwaitViews(8);
  CHECK_EQUAL(joins, group.Joins(1));
  next.Complete("c");
}

// Guards against losing a shard because a long decision delays the join that
// renews the membership.
TEST(JobsTest, MembershipIsRenewedDuringADecision)
{
  class SlowPlacement : public JobPlacementPolicy
  {
  public:
    explicit SlowPlacement(FakeShardGroups& aGroup)
      : mGroup(aGroup)
    {
    }
    std::optional<int64_t> CostOn(const PlacementQuery& aQuery,
                                  const WorkerEntry& aWorker) const override
    {
      mGroup.AwaitJoins(3);
      return kLearned.CostOn(aQuery, aWorker);
    }
    PlacementRefusal RefusalOn(const PlacementQuery& aQuery,
                               const WorkerEntry& aWorker) const override
    {
      return kLearned.RefusalOn(aQuery, aWorker);
    }

  private:
    FakeShardGroups& mGroup;
  };
  MemoryLog log;
  InstantWorker workers;
  FakeShardGroups group;
  const SlowPlacement placement(group);
  JobsInstance owner(log,
                     workers,
                     std::make_unique<FakeShardGroupsMember>(group, 1),
                     1,
                     1,
                     placement);
  owner.Start();
  owner.Complete("a");
}

TEST(JobsTest, WaitsAreCountedByCause)
{
  class RecordingMetrics : public Metrics
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
  RecordingMetrics counts;
  const DecisionMetrics metrics(counts);
  JobDecision decision;
  decision.mKind = DecisionKind::kStepWaits;
  decision.mWaitCause = WaitCause::kPressure;
  metrics.Count(decision);
  decision.mWaitCause = WaitCause::kRoom;
  metrics.Count(decision);
  metrics.Count(decision);
  decision.mKind = DecisionKind::kTaskPlaced;
  decision.mWaited = Milliseconds(3);
  metrics.Count(decision);
  CHECK_EQUAL(1U, counts.mCounts[Counter::kWaitsForPressure]);
  CHECK_EQUAL(2U, counts.mCounts[Counter::kWaitsForRoom]);
  CHECK_EQUAL(0U, counts.mCounts[Counter::kWaitsForWorkers]);
  CHECK_EQUAL(1U, counts.mCounts[Counter::kTasksAssigned]);
  CHECK_EQUAL(3000, counts.mTimes[Timing::kFirstStartUs]);
}

} // namespace mulberryvalve
