// What an owner leaves on the log of a worker that gets nothing new, and when
// it uses that worker again.
#include "mulberryvalve/core/jobs/job_world_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const WorkerId kWorker("w");
const TaskRef kTask{ { JobId("j"), 0, 0 }, 0 };
const ServiceId kService("s");

// SingleWorkerShard is an owner with one worker, whose answers and appends a
// test gives one by one.
class SingleWorkerShard
{
public:
  SingleWorkerShard()
    : mShard(JobShardOptions(), JobPolicies{ mPlacement, mOrder }, mNow)
  {
    mFacts.mId = kWorker;
    mFacts.mEndpoint = Endpoint{ "a", 1 };
    mFacts.mService = kService;
    mFacts.mCapacity = Resources{ 16000, 64000, 0 };
    mReply.mOutcome = OrderOutcome::kAccepted;
    mReply.mReading.mBirth = Birth(1);
    ClusterConfig config;
    config.mVersion = 1;
    mShard.OnConfig(config);
  }

  void Submit(JobGraph aJob)
  {
    aJob.mRules.mService = kService;
    mShard.OnJob(std::move(aJob), mNow, mNow);
  }

  void ReadWorkerList() { mShard.OnWorkers({ mFacts }, mNow); }

  // The worker answers with mReply.
  void AnswerHold()
  {
    mReply.mReading.mClock = WorkerTime{
      std::chrono::duration_cast<Milliseconds>(mNow.time_since_epoch()).count()
    };
    HoldOrder hold;
    hold.mWorker = kWorker;
    mShard.OnHold(hold, mReply, mNow, mNow);
  }

  // The worker does not answer.
  void MissReply()
  {
    HoldOrder hold;
    hold.mWorker = kWorker;
    mShard.OnHold(hold, HoldReply(), mNow, mNow);
  }

  // Returns the starts that are ordered after a little time, with a proof of
  // then or the one given.
  size_t CountStarts(std::optional<MonotonicTime> aProvedAt = std::nullopt)
  {
    mNow += Milliseconds(200);
    size_t starts = 0;
    const OwnershipProof proof{ aProvedAt.value_or(mNow), true };
    for (const TaskOrder& order : mShard.Decide(proof, mNow, WallTime())) {
      starts += order.mKind == OrderKind::kStart ? 1 : 0;
    }
    return starts;
  }

  ProgressBatch TakeBatch() { return mShard.TakeProgress(mNow); }

  // Makes durable what is to be.
  void PersistAll() { mShard.OnDurable(TakeBatch()); }

  // Returns what is to be made durable of the worker next.
  KnownWorker NextRecord()
  {
    CountStarts();
    const ProgressBatch batch = TakeBatch();
    CHECK_EQUAL(1U, batch.mWorkers.size());
    mShard.OnDurable(batch);
    return batch.mWorkers.at(0);
  }

  LearnedPlacement mPlacement;
  LeastWorkOrder mOrder;
  MonotonicTime mNow{ std::chrono::seconds(1000) };
  JobShard mShard;
  WorkerFacts mFacts;
  HoldReply mReply;
};

RunningRow RunningRowOf(const TaskRef& aTask)
{
  RunningRow row;
  row.mTask = aTask;
  row.mRun = RunNumber(7);
  row.mPercent = 100;
  return row;
}

} // namespace

TEST_GROUP(HandoverNotesTest)
{
  SingleWorkerShard mOwner;

  // The worker is listed, answers and is on the log.
  void StartUsingWorker()
  {
    mOwner.ReadWorkerList();
    mOwner.AnswerHold();
    mOwner.PersistAll();
  }
};

// A successor would start the task beside the run that is still to be stopped.
TEST(HandoverNotesTest, ANoteNamesRunsThatAreNotWanted)
{
  mOwner.mReply.mRunning = { RunningRowOf(kTask) };
  StartUsingWorker();
  mOwner.MissReply();
  const KnownWorker record = mOwner.NextRecord();
  CHECK(std::vector<TaskRef>{ kTask } == record.mMayRun.value());
  CHECK(record.mWaitLeft.value() > Milliseconds(0));
}

// A successor that does not ask the worker would start a task that is done.
TEST(HandoverNotesTest, ANoteNamesTasksWhoseEndIsNotDurable)
{
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mReply.mEnded.push_back(EndedRow{
    EndNumber(1), kTask, RunNumber(7), EndKind::kDone, CheckpointId() });
  mOwner.ReadWorkerList();
  mOwner.AnswerHold();
  mOwner.MissReply();
  mOwner.CountStarts();
  const ProgressBatch inFlight = mOwner.TakeBatch();
  CHECK(std::vector<TaskRef>{ kTask } == inFlight.mWorkers.at(0).mMayRun);
  CHECK_EQUAL(1U, inFlight.mEnds.size());
  mOwner.mShard.OnDurable(inFlight);
  const KnownWorker record = mOwner.NextRecord();
  CHECK(record.mMayRun.value().empty());
  CHECK_EQUAL(0, record.mWaitLeft.value().count());
}

// A successor that finds the note would start beside what was started since.
TEST(HandoverNotesTest, NothingIsStartedUntilTheNoteIsTakenBack)
{
  StartUsingWorker();
  mOwner.mFacts.mState = WorkerState::kLeaving;
  mOwner.ReadWorkerList();
  CHECK_EQUAL(0, mOwner.NextRecord().mWaitLeft.value().count());
  mOwner.mFacts.mState = WorkerState::kLive;
  mOwner.ReadWorkerList();
  mOwner.Submit(OneStepJob("j", 1, 1000));
  CHECK_EQUAL(0U, mOwner.CountStarts());
  const ProgressBatch inFlight = mOwner.TakeBatch();
  CHECK_FALSE(inFlight.mWorkers.at(0).mMayRun.has_value());
  CHECK_EQUAL(0U, mOwner.CountStarts());
  mOwner.mShard.OnDurable(inFlight);
  CHECK_EQUAL(1U, mOwner.CountStarts());
}

// A note that was under way when the worker was wanted again is still a note.
TEST(HandoverNotesTest, ANoteThatBecomesDurableLateIsTakenBackToo)
{
  StartUsingWorker();
  mOwner.mFacts.mState = WorkerState::kLeaving;
  mOwner.ReadWorkerList();
  mOwner.CountStarts();
  const ProgressBatch note = mOwner.TakeBatch();
  CHECK(note.mWorkers.at(0).mMayRun.has_value());
  mOwner.mFacts.mState = WorkerState::kLive;
  mOwner.ReadWorkerList();
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mShard.OnDurable(note);
  CHECK_EQUAL(0U, mOwner.CountStarts());
  mOwner.PersistAll();
  CHECK_EQUAL(1U, mOwner.CountStarts());
}

// A note of tasks that became durable after the worker was ready again counted
// as a plain record: a successor started beside what was started since.
TEST(HandoverNotesTest, ANoteOfTasksThatBecomesDurableLateIsTakenBackToo)
{
  const TaskRef last{ kTask.mStep, 1 };
  mOwner.Submit(OneStepJob("j", 2, 1000));
  mOwner.mReply.mRunning = { RunningRowOf(kTask), RunningRowOf(last) };
  StartUsingWorker();
  mOwner.mFacts.mState = WorkerState::kLeaving;
  mOwner.ReadWorkerList();
  mOwner.CountStarts();
  const ProgressBatch note = mOwner.TakeBatch();
  CHECK_EQUAL(2U, note.mWorkers.at(0).mMayRun.value().size());
  CHECK_FALSE(note.mWorkers.at(0).mWaitLeft.has_value());
  mOwner.mFacts.mState = WorkerState::kLive;
  mOwner.ReadWorkerList();
  mOwner.Submit(OneStepJob("k", 1, 1000));
  mOwner.mShard.OnDurable(note);
  const size_t earlyStarts = mOwner.CountStarts();
  CHECK_EQUAL(0U, earlyStarts);
  mOwner.PersistAll();
  const size_t starts = mOwner.CountStarts();
  CHECK_EQUAL(1U, starts);
}

// The answer of whoever has a worker's former address said that the worker is
// over, which runs on at its new one: its task was free to be started again.
TEST(HandoverNotesTest, AnotherWorkerAtAFormerAddressEndsNothing)
{
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mReply.mRunning = { RunningRowOf(kTask) };
  StartUsingWorker();
  HoldOrder former;
  former.mWorker = kWorker;
  former.mEndpoint = mOwner.mFacts.mEndpoint;
  mOwner.mFacts.mEndpoint = Endpoint{ "b", 2 };
  mOwner.ReadWorkerList();
  HoldReply gone;
  gone.mOutcome = OrderOutcome::kGone;
  mOwner.mShard.OnHold(former, gone, mOwner.mNow, mOwner.mNow);
  CHECK_EQUAL(1U, mOwner.mShard.Workers().Find(kWorker)->mTasks.size());
}

// CountStarts that wait for a worker which is known to be silent held back all
// others, though another worker has room.
TEST(HandoverNotesTest, StartsOnASilentWorkerHoldNoOthersBack)
{
  mOwner.mFacts.mCapacity = Resources{ 256000, 256000, 0 };
  StartUsingWorker();
  mOwner.Submit(OneStepJob("j", 256, 1000));
  const size_t toTheFirst = mOwner.CountStarts();
  CHECK_EQUAL(256U, toTheFirst);
  mOwner.MissReply();
  WorkerFacts other = mOwner.mFacts;
  other.mId = WorkerId("other");
  other.mEndpoint = Endpoint{ "c", 3 };
  mOwner.mShard.OnWorkers({ mOwner.mFacts, other }, mOwner.mNow);
  HoldOrder hold;
  hold.mWorker = other.mId;
  mOwner.mShard.OnHold(hold, mOwner.mReply, mOwner.mNow, mOwner.mNow);
  mOwner.PersistAll();
  mOwner.Submit(OneStepJob("k", 1, 1000));
  const size_t toTheOther = mOwner.CountStarts();
  CHECK_EQUAL(1U, toTheOther);
}

// A worker that drains is renewed: only its tasks are noted, not for how long.
TEST(HandoverNotesTest, ADrainingWorkerWithTasksIsNotedWithThem)
{
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mReply.mRunning = { RunningRowOf(kTask) };
  StartUsingWorker();
  mOwner.mFacts.mState = WorkerState::kLeaving;
  mOwner.ReadWorkerList();
  const KnownWorker record = mOwner.NextRecord();
  CHECK(std::vector<TaskRef>{ kTask } == record.mMayRun.value());
  CHECK_FALSE(record.mWaitLeft.has_value());
  const auto hold = mOwner.mShard.NextHold(kWorker, true, mOwner.mNow);
  CHECK(hold.value().mUntil.has_value());
}

// A successor asked the former address, where nothing listens, and waited.
TEST(HandoverNotesTest, NothingIsStartedUntilANewAddressIsDurable)
{
  StartUsingWorker();
  mOwner.MissReply();
  mOwner.CountStarts();
  mOwner.AnswerHold();
  const ProgressBatch former = mOwner.TakeBatch();
  mOwner.mFacts.mEndpoint = Endpoint{ "b", 2 };
  mOwner.ReadWorkerList();
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mShard.OnDurable(former);
  CHECK_EQUAL(0U, mOwner.CountStarts());
  CHECK_FALSE(mOwner.mShard.NextHold(kWorker, true, mOwner.mNow)->mUntil);
  mOwner.PersistAll();
  CHECK_EQUAL(1U, mOwner.CountStarts());
}

// A worker that is born anew knows no fencing token, so an owner that was
// superseded started there what its successor had started elsewhere.
TEST(HandoverNotesTest, NothingIsStartedInANewLifeUntilThatIsDurable)
{
  StartUsingWorker();
  mOwner.mReply.mReading.mBirth = Birth(2);
  mOwner.AnswerHold();
  mOwner.Submit(OneStepJob("j", 1, 1000));
  CHECK_EQUAL(0U, mOwner.CountStarts());
  CHECK_FALSE(mOwner.mShard.NextHold(kWorker, true, mOwner.mNow)->mUntil);
  mOwner.PersistAll();
  CHECK_EQUAL(1U, mOwner.CountStarts());
}

// A superseded owner took a wait that was handed on to it for over, while its
// successor renewed the worker.
TEST(HandoverNotesTest, AWaitIsOverOnlyWithProofOfOwnership)
{
  const MonotonicTime claimedAt = mOwner.mNow;
  KnownWorker unreachable;
  unreachable.mId = WorkerId("dark");
  unreachable.mWaitLeft = Milliseconds(1000);
  unreachable.mMayRun = std::vector<TaskRef>{ kTask };
  mOwner.mShard.InheritWorker(unreachable);
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mRules.mService = kService;
  mOwner.mShard.Inherit(job, nullptr);
  StartUsingWorker();
  mOwner.mNow += Milliseconds(2000);
  CHECK_EQUAL(0U, mOwner.CountStarts(claimedAt + Milliseconds(1100)));
  CHECK_EQUAL(1U, mOwner.CountStarts(claimedAt + Milliseconds(1200)));
}

// The log refuses large records.
TEST(HandoverNotesTest, AWorkerWithVeryManyTasksHasNoNoteOfThem)
{
  for (uint32_t index = 0; index <= kMaxNotedTasks; index++) {
    mOwner.mReply.mRunning.push_back(
      RunningRowOf(TaskRef{ kTask.mStep, index }));
  }
  StartUsingWorker();
  mOwner.MissReply();
  const KnownWorker record = mOwner.NextRecord();
  CHECK_FALSE(record.mMayRun.has_value());
  CHECK(record.mWaitLeft.value() > Milliseconds(0));
}

// Nothing can run on a silent worker whose last list was empty.
TEST(HandoverNotesTest, AnEmptyWorkerThatLeftTheListIsForgottenAtOnce)
{
  StartUsingWorker();
  mOwner.MissReply();
  mOwner.mShard.OnWorkers({}, mOwner.mNow);
  mOwner.CountStarts();
  const ProgressBatch batch = mOwner.TakeBatch();
  CHECK_EQUAL(1U, batch.mForgotten.size());
  CHECK(mOwner.mShard.Workers().Find(kWorker) == nullptr);
}

// A record that was to be dropped went after the one that replaced it.
TEST(HandoverNotesTest, AWorkerThatIsListedAgainIsNotForgotten)
{
  StartUsingWorker();
  mOwner.MissReply();
  mOwner.mShard.OnWorkers({}, mOwner.mNow);
  mOwner.CountStarts();
  mOwner.ReadWorkerList();
  const ProgressBatch batch = mOwner.TakeBatch();
  CHECK_EQUAL(1U, batch.mWorkers.size());
  CHECK(batch.mForgotten.empty());
}

// A note that was under way when its worker was forgotten counted as the record
// of the worker that was listed again: a successor would not wait for it.
TEST(HandoverNotesTest, ANoteOfAForgottenWorkerIsNoRecordOfItsReturn)
{
  mOwner.mFacts.mBirth = Birth(1);
  StartUsingWorker();
  mOwner.MissReply();
  mOwner.CountStarts();
  const ProgressBatch note = mOwner.TakeBatch();
  mOwner.mShard.OnWorkers({}, mOwner.mNow);
  mOwner.CountStarts();
  mOwner.ReadWorkerList();
  mOwner.mShard.OnDurable(note);
  mOwner.AnswerHold();
  mOwner.Submit(OneStepJob("j", 1, 1000));
  const size_t earlyStarts = mOwner.CountStarts();
  CHECK_EQUAL(0U, earlyStarts);
  mOwner.PersistAll();
  const size_t starts = mOwner.CountStarts();
  CHECK_EQUAL(1U, starts);
}

// A gang of which one member may run elsewhere was started beside it; and no
// line said what is held back.
TEST(HandoverNotesTest, OnlyWhatMayRunIsHeldBackAndItIsSaid)
{
  KnownWorker unreachable;
  unreachable.mId = WorkerId("dark");
  unreachable.mEndpoint = Endpoint{ "c", 3 };
  unreachable.mWaitLeft = Milliseconds(3000);
  unreachable.mMayRun = std::vector<TaskRef>{ TaskRef{ kTask.mStep, 1 } };
  mOwner.mShard.InheritWorker(unreachable);
  JobGraph gang = OneStepJob("j", 2, 1000);
  gang.mSteps[0].mGang = true;
  gang.mRules.mService = kService;
  JobGraph other = OneStepJob("k", 1, 1000);
  other.mRules.mService = kService;
  mOwner.mShard.Inherit(gang, nullptr);
  mOwner.mShard.Inherit(other, nullptr);
  StartUsingWorker();
  CHECK_EQUAL(1U, mOwner.CountStarts());
  mOwner.mNow += Milliseconds(2600);
  CHECK_EQUAL(0U, mOwner.CountStarts());
  mOwner.mNow += Milliseconds(200);
  CHECK_EQUAL(2U, mOwner.CountStarts());
  std::vector<JobDecision> held;
  for (const JobDecision& decision : mOwner.mShard.TakeDecisions()) {
    if (decision.mKind == DecisionKind::kTasksHeld) {
      held.push_back(decision);
    }
  }
  CHECK_EQUAL(2U, held.size());
  STRCMP_EQUAL("1 tasks of 1 jobs for 1 workers of the former owner, for "
               "2950 ms at most: dark",
               held[0].mWhy.c_str());
  CHECK_EQUAL(0U, held[1].mHeldTasks);
  CHECK_EQUAL(3400, held[1].mHeldFor.value().count());
}

} // namespace mulberryvalve
