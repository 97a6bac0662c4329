// Tests what a new owner logs and counts of the tasks that it holds back, and
// of the workers that it waits for.
#include "mulberryvalve/core/jobs/single_worker_shard_fake.h"
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

namespace mulberryvalve {

TEST_GROUP(HeldTaskDecisionsTest)
{
  SingleWorkerShard mOwner;

  // Lists the worker, lets it answer and makes its record durable.
  void StartUsingWorker()
  {
    mOwner.ReadWorkerList();
    mOwner.AnswerHold();
    mOwner.PersistAll();
  }
};

// Guards against a gang that is started while one of its members may still run
// elsewhere, and against blocked tasks that are not logged.
TEST(HeldTaskDecisionsTest, OnlyTasksThatMayRunAreBlockedAndLogged)
{
  UsedWorkerRecord unreachable;
  unreachable.mId = WorkerId("dark");
  unreachable.mEndpoint = Endpoint{ "c", 3 };
  unreachable.mRemainingLease = Milliseconds(3000);
  unreachable.mPossibleTasks =
    std::vector<TaskRef>{ TaskRef{ kTask.mStep, 1 } };
  mOwner.mShard.RestoreWorker(unreachable);
  JobGraph gang = OneStepJob("j", 2, 1000);
  gang.mSteps[0].mGang = true;
  gang.mRules.mService = kService;
  JobGraph other = OneStepJob("k", 1, 1000);
  other.mRules.mService = kService;
  mOwner.mShard.RestoreJob(gang, nullptr);
  mOwner.mShard.RestoreJob(other, nullptr);
  StartUsingWorker();
  CHECK_EQUAL(1U, mOwner.CountStarts());
  mOwner.mNow += Milliseconds(2600);
  CHECK_EQUAL(0U, mOwner.CountStarts());
  mOwner.mNow += Milliseconds(200);
  CHECK_EQUAL(2U, mOwner.CountStarts());
  std::vector<JobDecision> blocked;
  for (const JobDecision& decision : mOwner.mShard.TakeDecisions()) {
    if (decision.mKind == DecisionKind::kTasksHeld) {
      blocked.push_back(decision);
    }
  }
  CHECK_EQUAL(2U, blocked.size());
  STRCMP_EQUAL("1 tasks of 1 jobs for 1 workers of the former owner, for "
               "2950 ms at most: dark",
               blocked[0].mReason.c_str());
  CHECK_EQUAL(0U, blocked[1].mHeldTasks);
  CHECK_EQUAL(3400, blocked[1].mHeldFor.value().count());
}

// The owner passes what it learns of inherited workers on to HeldTaskReport.
TEST(HeldTaskDecisionsTest, ReleasesOfInheritedWorkersAreLogged)
{
  UsedWorkerRecord dark;
  dark.mId = WorkerId("dark");
  dark.mEndpoint = Endpoint{ "c", 3 };
  UsedWorkerRecord used;
  used.mId = kWorker;
  used.mEndpoint = mOwner.mInfo.mEndpoint;
  mOwner.mShard.RestoreWorker(dark);
  mOwner.mShard.RestoreWorker(used);
  mOwner.mShard.RestoreFormerOwner(
    FormerOwner{ Epoch(1), Endpoint{ "o", 1 }, Incarnation(1) });
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mRules.mService = kService;
  const JobRecord record = RecordOfTaskOn(WorkerId("dark"));
  mOwner.mShard.RestoreJob(job, &record);
  mOwner.mReply.mEnded.push_back(RunEndReport{
    EndNumber(1), kTask, RunNumber(7), EndKind::kLapsed, CheckpointId() });
  StartUsingWorker();
  CHECK_EQUAL(0U, mOwner.CountStarts());
  CHECK_EQUAL(1U, mOwner.mShard.TakeHeldTaskStats(mOwner.mNow).mTasks);
  mOwner.mShard.OnFormerOwnerEnded(
    FormerOwnerEnd{ Epoch(1), mOwner.mNow, mOwner.mNow });
  mOwner.mNow += Milliseconds(7000);
  CHECK_EQUAL(1U, mOwner.CountStarts());
  CHECK_EQUAL(0U, mOwner.mShard.TakeHeldTaskStats(mOwner.mNow).mTasks);
  std::vector<JobDecision> released;
  std::vector<JobDecision> held;
  for (const JobDecision& decision : mOwner.mShard.TakeDecisions()) {
    if (decision.mKind == DecisionKind::kWorkerReleased) {
      released.push_back(decision);
    } else if (decision.mKind == DecisionKind::kTasksHeld) {
      held.push_back(decision);
    }
  }
  CHECK_EQUAL(2U, released.size());
  CHECK(kWorker == released[0].mWorker);
  STRCMP_EQUAL("answered", released[0].mReason.c_str());
  CHECK(WorkerListing::kListed == released[0].mEndedWait->mReason.mListing);
  CHECK(WorkerId("dark") == released[1].mWorker);
  STRCMP_EQUAL("runs_bounded", released[1].mReason.c_str());
  CHECK(WorkerListing::kUnlisted == released[1].mEndedWait->mReason.mListing);
  CHECK_EQUAL(1U, held.at(0).mHeldCounts.value().mLapsedTasks);
  CHECK_EQUAL(1U, held[0].mHeldCounts->mUnlisted);
}

// Such a worker was started anew by then, and nothing of before runs there.
TEST(HeldTaskDecisionsTest, AnInheritedWorkerThatIsGoneIsLogged)
{
  UsedWorkerRecord used;
  used.mId = kWorker;
  used.mEndpoint = mOwner.mInfo.mEndpoint;
  mOwner.mShard.RestoreWorker(used);
  mOwner.ReadWorkerList();
  RenewalRequest hold;
  hold.mWorker = kWorker;
  hold.mEndpoint = mOwner.mInfo.mEndpoint;
  RenewalReply gone;
  gone.mOutcome = OrderOutcome::kGone;
  mOwner.mShard.OnRenewalReply(hold, gone, mOwner.mNow, mOwner.mNow);
  mOwner.CountStarts();
  std::string released;
  for (const JobDecision& decision : mOwner.mShard.TakeDecisions()) {
    if (decision.mKind == DecisionKind::kWorkerReleased) {
      released += decision.mReason;
    }
  }
  STRCMP_EQUAL("gone", released.c_str());
}

// An answer that omits ends makes the owner wait on.
TEST(HeldTaskDecisionsTest, AnInheritedWorkerThatOmitsEndsIsCounted)
{
  UsedWorkerRecord used;
  used.mId = kWorker;
  used.mEndpoint = mOwner.mInfo.mEndpoint;
  mOwner.mShard.RestoreWorker(used);
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mRules.mService = kService;
  const JobRecord record = RecordOfTaskOn(kWorker);
  mOwner.mShard.RestoreJob(job, &record);
  mOwner.mReply.mMayOmitEnds = true;
  StartUsingWorker();
  CHECK_EQUAL(0U, mOwner.CountStarts());
  for (const JobDecision& decision : mOwner.mShard.TakeDecisions()) {
    if (decision.mKind == DecisionKind::kTasksHeld) {
      const size_t index = static_cast<size_t>(WaitEvidence::kEndsOmitted);
      CHECK_EQUAL(1U, decision.mHeldCounts.value().mByEvidence[index]);
      return;
    }
  }
  FAIL("no held task is logged");
}

TEST_GROUP(UnrecordedStartDecisionTest){};

// Guards against not knowing whether the buckets of a take-over hold anything.
TEST(UnrecordedStartDecisionTest, EachStartWithoutARecordIsTold)
{
  TakeoverSimulation sim(48);
  sim->RunFor(Milliseconds(500));
  SimulatedOwner& owner = sim->Owner(0);
  owner.mAppendsFail = true;
  size_t sent = 0;
  sim->mOnOrder = [&sent](const TaskOrder& aOrder) {
    sent += aOrder.mKind == OrderKind::kStart ? 1 : 0;
  };
  sim->Submit(OneStepJob("batch", 96, 1000));
  sim->RunFor(Milliseconds(980));
  size_t told = 0;
  for (const JobDecision& decision : owner.mShard->TakeDecisions()) {
    told += decision.mKind == DecisionKind::kStartUnrecorded ? 1 : 0;
  }
  CHECK(sent > 0);
  CHECK_EQUAL(sent, told);
}

} // namespace mulberryvalve
