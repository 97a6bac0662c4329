// Tests of the workers that owners of shards give to each other.
#include "mulberryvalve/core/jobs/room_moves_fake.h"
#include "tests/support/setting.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr ShardNumber kShards = 2;
constexpr size_t kWorkers = 12;
constexpr Milliseconds kWarmUp{ 4000 };
// From the loss of workers until the last task of theirs runs again.
constexpr Milliseconds kRunsAgainWithin{ 12000 };
constexpr int64_t kMostOfAWorker = 12000;

JobGraph LastingJob(const std::string& aId, uint32_t aTasks)
{
  JobGraph job = OneStepJob(aId, aTasks, kMostOfAWorker);
  job.mSteps[0].mLongRunning = true;
  return job;
}

JobGraph LastingGang(const std::string& aId, uint32_t aTasks)
{
  JobGraph job = LastingJob(aId, aTasks);
  job.mSteps[0].mGang = true;
  return job;
}

RoomRequest RequestOf(ShardNumber aFrom, uint64_t aEpoch)
{
  RoomRequest request;
  request.mFrom = aFrom;
  request.mEpoch = Epoch(aEpoch);
  RoomDemand demand;
  demand.mService = ServiceId("service");
  demand.mDemand = Resources{ kMostOfAWorker, 1000, 0 };
  demand.mCount = 1;
  request.mDemands.push_back(demand);
  return request;
}

void CheckNoViolations(const RoomMoves& aCluster,
                       const std::string& aWhere = "")
{
  for (const std::string& violation : aCluster.Violations()) {
    FAIL((aWhere + violation).c_str());
  }
}

} // namespace

TEST_GROUP(RoomExchangeTest)
{
  RoomMoves mCluster{ 1, kShards, kWorkers };

  // Has shard 0 run a lasting task on each of its six workers.
  void FillFirstShard()
  {
    mCluster.Submit(0, LastingJob("full", kWorkers / kShards));
    mCluster.Play(kWarmUp);
    CHECK_EQUAL(kWorkers / kShards, mCluster.RunningOf("full"));
  }

  // Plays until shard 1 has given a worker away.
  void AwaitMove()
  {
    const MonotonicTime until = mCluster.Now() + kRunsAgainWithin;
    while (mCluster.MovesAwayFrom(1) == 0 && mCluster.Now() < until) {
      mCluster.Play(RoomMoves::kTick);
    }
    CHECK_EQUAL(1U, mCluster.MovesAwayFrom(1));
  }
};

// Guards against lasting tasks that have no run beside idle workers of another
// shard (LOST, found by the third review).
TEST(RoomExchangeTest, TasksRunOnIdleWorkersOfAnotherShard)
{
  FillFirstShard();
  mCluster.Lose(0);
  mCluster.Lose(2);
  mCluster.Play(kRunsAgainWithin);
  CHECK_EQUAL(kWorkers / kShards, mCluster.RunningOf("full"));
  CHECK_EQUAL(2U, mCluster.MovesAwayFrom(1));
  CheckNoViolations(mCluster);
}

TEST(RoomExchangeTest, TasksWithALabelRunOnWorkersOfAnotherShard)
{
  const WorkerLabel label("special");
  // One such worker in each shard.
  mCluster.Info(0).mLabels = { label };
  mCluster.Info(7).mLabels = { label };
  JobGraph job = LastingJob("labelled", 1);
  job.mSteps[0].mRequiredLabel = label;
  mCluster.Submit(0, job);
  mCluster.Play(kWarmUp);
  CHECK_EQUAL(1U, mCluster.RunningOf("labelled"));
  mCluster.Lose(0);
  mCluster.Play(kRunsAgainWithin);
  CHECK_EQUAL(1U, mCluster.RunningOf("labelled"));
  CHECK_EQUAL(1U, mCluster.MovesAwayFrom(1));
  CheckNoViolations(mCluster);
}

TEST(RoomExchangeTest, AGangRunsThatNoShardCanHold)
{
  mCluster.Submit(0, LastingGang("gang", 8));
  mCluster.Play(kRunsAgainWithin);
  CHECK_EQUAL(8U, mCluster.RunningOf("gang"));
  CheckNoViolations(mCluster);
}

// Two gangs of which each shard can hold a part: one of them runs, and the
// shards don't swap workers for ever.
TEST(RoomExchangeTest, OneOfTwoGangsThatLackRoomRuns)
{
  mCluster.Submit(0, LastingGang("first", 8));
  mCluster.Submit(1, LastingGang("second", 8));
  mCluster.Play(Milliseconds(20000));
  CHECK_EQUAL(8U, mCluster.RunningOf("first") + mCluster.RunningOf("second"));
  const size_t moves = mCluster.MovesAwayFrom(0) + mCluster.MovesAwayFrom(1);
  mCluster.Play(Milliseconds(20000));
  CHECK_EQUAL(moves, mCluster.MovesAwayFrom(0) + mCluster.MovesAwayFrom(1));
  CheckNoViolations(mCluster);
}

TEST(RoomExchangeTest, NothingIsAskedWhereThereIsOneShardOrRoom)
{
  RoomMoves single(1, 1, kWorkers);
  single.Submit(0, LastingJob("too many", kWorkers + 1));
  single.Play(kRunsAgainWithin);
  CHECK_EQUAL(0U, single.Requests());
  FillFirstShard();
  mCluster.Play(kRunsAgainWithin);
  CHECK_EQUAL(0U, mCluster.Requests());
  CHECK_EQUAL(0U, mCluster.MovesAwayFrom(1));
}

// Without the operator's word nothing is asked, and guests go home.
TEST(RoomExchangeTest, MovingCanBeTurnedOff)
{
  mCluster.Submit(0, LastingGang("gang", 8));
  mCluster.Play(kRunsAgainWithin);
  CHECK_EQUAL(8U, mCluster.RunningOf("gang"));
  mCluster.mMovesWorkers = false;
  mCluster.ReplaceOwner(0);
  mCluster.ReplaceOwner(1);
  const size_t requests = mCluster.Requests();
  mCluster.OwnerOf(0).OnJobCancelled(JobId("gang"), mCluster.Now());
  mCluster.Submit(1, LastingJob("too many", kWorkers));
  mCluster.Play(Milliseconds(90000));
  CHECK_EQUAL(requests, mCluster.Requests());
  CHECK_EQUAL(kWorkers / kShards, mCluster.RunningOf("too many"));
  CheckNoViolations(mCluster);
}

// Workers that are in use are not given, and asking becomes rare.
TEST(RoomExchangeTest, BusyWorkersStayWhereTheyAre)
{
  mCluster.Submit(1, LastingJob("other", kWorkers / kShards));
  FillFirstShard();
  mCluster.Lose(0);
  mCluster.Play(kRunsAgainWithin);
  CHECK_EQUAL(0U, mCluster.MovesAwayFrom(1));
  const size_t requests = mCluster.Requests();
  mCluster.Play(Milliseconds(20000));
  CHECK(mCluster.Requests() <= requests + 5);
  CHECK_EQUAL(kWorkers / kShards, mCluster.RunningOf("other"));
}

// Guards against a backlog that keeps the workers of another shard, which then
// lacks them itself.
TEST(RoomExchangeTest, AShardGetsItsWorkersBackFromABusyOne)
{
  mCluster.Submit(0, OneStepJob("backlog", 2000, kMostOfAWorker));
  mCluster.Play(kRunsAgainWithin);
  CHECK(mCluster.OwnerOf(0).Workers().All().size() > kWorkers / kShards);
  mCluster.Submit(1, LastingJob("lasting", kWorkers / kShards));
  mCluster.Play(kRunsAgainWithin);
  CHECK_EQUAL(kWorkers / kShards, mCluster.RunningOf("lasting"));
  CHECK(JobPhase::kRunning == mCluster.OwnerOf(0).Phase(JobId("backlog")));
  CheckNoViolations(mCluster);
}

// What a shard gives for a backlog leaves it room for work of its own.
TEST(RoomExchangeTest, HalfOfTheIdleWorkersStay)
{
  mCluster.Play(kWarmUp);
  RoomRequest request = RequestOf(0, 9);
  request.mDemands[0].mCount = 100;
  const RoomAnswer answer =
    mCluster.OwnerOf(1).Room().Give(request, mCluster.Now());
  CHECK_EQUAL(kWorkers / kShards / 2, answer.mWorkers);
  CHECK_EQUAL(1U, answer.mTasks.size());
  CHECK_EQUAL(kWorkers / kShards / 2, answer.mTasks[0]);
}

// An answer that is lost costs no more than time.
TEST(RoomExchangeTest, ALostAnswerMovesWorkersAllTheSame)
{
  FillFirstShard();
  mCluster.mLosesRoomAnswers = true;
  mCluster.Lose(0);
  mCluster.Play(kRunsAgainWithin);
  CHECK_EQUAL(kWorkers / kShards, mCluster.RunningOf("full"));
  CheckNoViolations(mCluster);
}

// The giver ends before its append reaches the log: nothing has moved.
TEST(RoomExchangeTest, AMoveThatIsNotOnTheLogDidNotHappen)
{
  FillFirstShard();
  mCluster.mHoldsAppends = true;
  mCluster.Lose(0);
  mCluster.Play(Milliseconds(7000));
  mCluster.mHoldsAppends = false;
  mCluster.ReplaceOwner(1);
  mCluster.Play(Milliseconds(500));
  CHECK_EQUAL(0U, mCluster.MovesAwayFrom(1));
  CHECK_EQUAL(kWorkers / kShards, mCluster.OwnerOf(1).Workers().All().size());
  // The successor gives the worker once no run of its predecessor can be left.
  mCluster.Play(Milliseconds(20000));
  CHECK_EQUAL(kWorkers / kShards, mCluster.RunningOf("full"));
  CheckNoViolations(mCluster);
}

// The giver ends after its append and before it has told the other shard: its
// successor does.
TEST(RoomExchangeTest, TheSuccessorOfAGiverPassesItsMovesOn)
{
  FillFirstShard();
  mCluster.mHoldsMoves = true;
  mCluster.Lose(0);
  AwaitMove();
  mCluster.KillOwner(1);
  mCluster.mHoldsMoves = false;
  mCluster.ReplaceOwner(1);
  mCluster.Play(Milliseconds(3000));
  CHECK_EQUAL(kWorkers / kShards, mCluster.RunningOf("full"));
  CheckNoViolations(mCluster);
}

// The taker ends before it has used the worker: its successor does.
TEST(RoomExchangeTest, TheSuccessorOfATakerUsesTheWorker)
{
  FillFirstShard();
  mCluster.Lose(0);
  AwaitMove();
  mCluster.ReplaceOwner(0);
  mCluster.Play(Milliseconds(20000));
  CHECK_EQUAL(kWorkers / kShards, mCluster.RunningOf("full"));
  CheckNoViolations(mCluster);
}

// Owners of later epochs of the shard that gave a worker away never call it,
// and so fence nobody out.
TEST(RoomExchangeTest, LaterOwnersOfBothShardsGetAlongAtAMovedWorker)
{
  FillFirstShard();
  mCluster.Lose(0);
  mCluster.Play(kRunsAgainWithin);
  for (int round = 0; round < 5; round++) {
    mCluster.ReplaceOwner(1);
    mCluster.Play(Milliseconds(3000));
    mCluster.ReplaceOwner(0);
    mCluster.Play(Milliseconds(3000));
  }
  mCluster.Play(kRunsAgainWithin);
  CHECK_EQUAL(kWorkers / kShards, mCluster.RunningOf("full"));
  CheckNoViolations(mCluster);
}

// Tasks that come while the move of a worker is being appended run elsewhere.
TEST(RoomExchangeTest, AWorkerOnItsWayGetsNoStart)
{
  mCluster.Play(kWarmUp);
  mCluster.mAppendTime = Milliseconds(2000);
  const RoomAnswer answer =
    mCluster.OwnerOf(1).Room().Give(RequestOf(0, 1000), mCluster.Now());
  CHECK_EQUAL(1U, answer.mWorkers);
  mCluster.Play(Milliseconds(500));
  CHECK_FALSE(mCluster.OwnerOf(1).Room().HasMoves());
  CHECK_EQUAL(0U, mCluster.MovesAwayFrom(1));
  // More than the others can take.
  mCluster.Submit(1, OneStepJob("short", 40, 4000));
  mCluster.Play(Milliseconds(3000));
  mCluster.mAppendTime = Milliseconds(0);
  mCluster.Play(Milliseconds(20000));
  CHECK_EQUAL(1U, mCluster.MovesAwayFrom(1));
  CHECK(JobPhase::kCompleted == mCluster.OwnerOf(1).Phase(JobId("short")));
  CheckNoViolations(mCluster);
}

// Guards against a worker that is given away while a former owner's order may
// still begin a run there (TWICE).
TEST(RoomExchangeTest, NothingIsGivenWhileAFormerOwnersRunsMayBeLeft)
{
  mCluster.Play(kWarmUp);
  mCluster.ReplaceOwner(1);
  mCluster.Play(Milliseconds(2000));
  const RoomAnswer early =
    mCluster.OwnerOf(1).Room().Give(RequestOf(0, 1000), mCluster.Now());
  CHECK(RoomOutcome::kUnsettled == early.mOutcome);
  CHECK_EQUAL(0U, early.mWorkers);
  CHECK_FALSE(mCluster.OwnerOf(1).Room().HasMoves());
  mCluster.Play(Milliseconds(20000));
  const RoomAnswer late =
    mCluster.OwnerOf(1).Room().Give(RequestOf(0, 1000), mCluster.Now());
  CHECK(RoomOutcome::kGiven == late.mOutcome);
}

// A call that was sent before a worker was moved, and that the worker refuses
// as it follows the other shard's owner, tells nothing of this shard.
TEST(RoomExchangeTest, ALateRefusalOfAMovedWorkerEndsNoOwner)
{
  FillFirstShard();
  mCluster.Lose(0);
  AwaitMove();
  ShardScheduler& giver = mCluster.OwnerOf(1);
  TaskOrder order;
  for (size_t index = 0; index < kWorkers; index++) {
    if (giver.Room().Workers().HasLeft(mCluster.Info(index).mId)) {
      order.mWorker = mCluster.Info(index).mId;
    }
  }
  OrderReply refused;
  refused.mOutcome = OrderOutcome::kFenced;
  giver.OnOrder(order, refused, mCluster.Now());
  CHECK_FALSE(giver.IsFenced());
  // The taker's own calls name a token of its own stay.
  ShardScheduler& taker = mCluster.OwnerOf(0);
  mCluster.Play(kWarmUp);
  taker.OnOrder(order, refused, mCluster.Now());
  CHECK_FALSE(taker.IsFenced());
  RenewalRequest renewal =
    *taker.NextRenewal(order.mWorker, true, mCluster.Now());
  order.mEpoch = renewal.mEpoch;
  taker.OnOrder(order, refused, mCluster.Now());
  CHECK(taker.IsFenced());
}

TEST(RoomExchangeTest, AGuestThatIsIdleForLongGoesHome)
{
  mCluster.Submit(0, LastingGang("gang", 8));
  mCluster.Play(kRunsAgainWithin);
  mCluster.OwnerOf(0).OnJobCancelled(JobId("gang"), mCluster.Now());
  mCluster.Play(Milliseconds(50000));
  CHECK_EQUAL(0U, mCluster.MovesAwayFrom(0));
  mCluster.Play(Milliseconds(20000));
  CHECK_EQUAL(mCluster.MovesAwayFrom(1), mCluster.MovesAwayFrom(0));
  CHECK_EQUAL(kWorkers / kShards, mCluster.OwnerOf(0).Workers().All().size());
  CHECK_EQUAL(kWorkers / kShards, mCluster.OwnerOf(1).Workers().All().size());
  CheckNoViolations(mCluster);
}

// Bad input gets a typed refusal and changes nothing.
TEST(RoomExchangeTest, RequestsThatMakeNoSenseAreRefused)
{
  mCluster.Play(kWarmUp);
  RoomExchange& room = mCluster.OwnerOf(1).Room();
  const MonotonicTime now = mCluster.Now();
  CHECK(RoomOutcome::kUnknownShard ==
        room.Give(RequestOf(kShards, 9), now).mOutcome);
  CHECK(RoomOutcome::kUnknownShard == room.Give(RequestOf(1, 9), now).mOutcome);
  RoomRequest request = RequestOf(0, 9);
  request.mDemands.clear();
  CHECK(RoomOutcome::kInvalid == room.Give(request, now).mOutcome);
  request = RequestOf(0, 9);
  request.mDemands.resize(kMaxRoomDemands + 1, request.mDemands[0]);
  CHECK(RoomOutcome::kInvalid == room.Give(request, now).mOutcome);
  CHECK_FALSE(room.HasMoves());
  CHECK(RoomOutcome::kGiven == room.Give(RequestOf(0, 9), now).mOutcome);
  CHECK(room.HasMoves());
  CHECK(RoomOutcome::kOldEpoch == room.Give(RequestOf(0, 8), now).mOutcome);
  RoomRequest other = RequestOf(0, 10);
  other.mDemands[0].mService = ServiceId("another");
  CHECK(RoomOutcome::kNoneIdle == room.Give(other, now).mOutcome);
}

TEST(RoomExchangeTest, MovesThatMakeNoSenseAreRefused)
{
  ShardWorkers workers(0, kShards);
  const WorkerId id("w");
  CHECK(MoveOutcome::kUnknownShard ==
        workers.OnMove(WorkerMove{ id, 1, kShards, 1, 1, 5 }));
  CHECK(MoveOutcome::kMisdirected ==
        workers.OnMove(WorkerMove{ id, 1, 1, 1, 1, 5 }));
  CHECK(MoveOutcome::kMisdirected ==
        workers.OnMove(WorkerMove{ id, 0, 0, 0, 1, 5 }));
  CHECK_FALSE(workers.Owns(id, 1));
  CHECK(MoveOutcome::kApplied ==
        workers.OnMove(WorkerMove{ id, 1, 0, 1, 3, 5 }));
  CHECK(workers.Owns(id, 1));
  // A copy of an older move comes late.
  CHECK(MoveOutcome::kKnown == workers.OnMove(WorkerMove{ id, 0, 1, 1, 2, 4 }));
  CHECK(workers.Owns(id, 1));
  const WorkerMove next = workers.MoveTo(id, 1, Epoch(7));
  CHECK_EQUAL(4U, next.mNumber);
  CHECK_EQUAL(1U, next.mHome);
  // The tokens used here are 5 and 7 in sum at most.
  CHECK(next.mTokenBase > 5 + 7);
}

// Several shards with gangs, racks, lasting and short tasks, whose workers are
// lost and restart, whose messages are late or lost and whose owners stand
// still and are replaced, among them while workers move.
TEST(RoomExchangeTest, RandomSchedules)
{
  const uint64_t schedules = SettingOr("MULBERRYVALVE_SCHEDULES", 20);
  const uint64_t first = SettingOr("MULBERRYVALVE_FIRST_SCHEDULE", 1);
  size_t moves = 0;
  for (uint64_t seed = first; seed < first + schedules; seed++) {
    const ShardNumber shards = 2 + static_cast<ShardNumber>(seed % 2);
    RoomMoves cluster(seed, shards, kWorkers);
    std::mt19937_64 random(seed);
    uint32_t lasting = 0;
    const auto submit = [&](JobGraph aJob) {
      aJob.mSteps[0].mSameRack = random() % 3 == 0;
      lasting += aJob.mSteps[0].mCount;
      cluster.Submit(static_cast<ShardNumber>(random() % shards), aJob);
    };
    submit(LastingJob("plain", 2 + static_cast<uint32_t>(random() % 3)));
    submit(LastingJob("more", 1 + static_cast<uint32_t>(random() % 2)));
    submit(LastingGang("gang", 2 + static_cast<uint32_t>(random() % 2)));
    cluster.mHasFaults = true;
    for (int part = 0; part < 30; part++) {
      cluster.Submit(static_cast<ShardNumber>(random() % shards),
                     OneStepJob("short" + std::to_string(part), 3, 4000));
      cluster.Play(Milliseconds(1000));
      if (part == 10 || part == 20) {
        cluster.Lose(random() % kWorkers);
      }
    }
    cluster.mHasFaults = false;
    cluster.Play(Milliseconds(60000));
    const std::string where = "seed " + std::to_string(seed) + ": ";
    CheckNoViolations(cluster, where);
    const size_t running = cluster.RunningOf("plain") +
                           cluster.RunningOf("more") +
                           cluster.RunningOf("gang");
    CHECK_EQUAL_TEXT(static_cast<size_t>(lasting), running, where.c_str());
    for (ShardNumber shard = 0; shard < shards; shard++) {
      moves += cluster.MovesAwayFrom(shard);
    }
  }
  CHECK(moves > schedules / 2);
}

} // namespace mulberryvalve
