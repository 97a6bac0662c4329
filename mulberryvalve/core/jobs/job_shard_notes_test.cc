// What an owner leaves on the log of a worker that gets nothing new, and when
// it uses that worker again.
#include "mulberryvalve/core/jobs/job_world_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const WorkerId kWorker("w");
const TaskRef kTask{ { JobId("j"), 0, 0 }, 0 };
const ServiceId kService("s");

// OneWorker is an owner with one worker, whose answers and appends a test gives
// one by one.
class OneWorker
{
public:
  OneWorker()
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

  void ReadList() { mShard.OnWorkers({ mFacts }, mNow); }

  // The worker answers with mReply.
  void Answer()
  {
    mReply.mReading.mClock = WorkerTime{
      std::chrono::duration_cast<Milliseconds>(mNow.time_since_epoch()).count()
    };
    HoldOrder hold;
    hold.mWorker = kWorker;
    mShard.OnHold(hold, mReply, mNow, mNow);
  }

  // The worker does not answer.
  void Miss()
  {
    HoldOrder hold;
    hold.mWorker = kWorker;
    mShard.OnHold(hold, HoldReply(), mNow, mNow);
  }

  // Returns the starts that are ordered after a little time, with a proof of
  // then or the one given.
  size_t Starts(std::optional<MonotonicTime> aProvedAt = std::nullopt)
  {
    mNow += Milliseconds(200);
    size_t starts = 0;
    const OwnershipProof proof{ aProvedAt.value_or(mNow), true };
    for (const TaskOrder& order : mShard.Decide(proof, mNow, WallTime())) {
      starts += order.mKind == OrderKind::kStart ? 1 : 0;
    }
    return starts;
  }

  ProgressBatch Take() { return mShard.TakeProgress(mNow); }

  // Makes durable what is to be.
  void Append() { mShard.OnDurable(Take()); }

  // Returns what is to be made durable of the worker next.
  KnownWorker NextRecord()
  {
    Starts();
    const ProgressBatch batch = Take();
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

RunningRow RunOf(const TaskRef& aTask)
{
  RunningRow row;
  row.mTask = aTask;
  row.mRun = RunNumber(7);
  row.mPercent = 100;
  return row;
}

} // namespace

TEST_GROUP(JobShardNotesTest)
{
  OneWorker mOne;

  // The worker is listed, answers and is on the log.
  void BeginToUse()
  {
    mOne.ReadList();
    mOne.Answer();
    mOne.Append();
  }
};

// A successor would start the task beside the run that is still to be stopped.
TEST(JobShardNotesTest, ANoteNamesRunsThatAreNotWanted)
{
  mOne.mReply.mRunning = { RunOf(kTask) };
  BeginToUse();
  mOne.Miss();
  const KnownWorker record = mOne.NextRecord();
  CHECK(std::vector<TaskRef>{ kTask } == record.mMayRun.value());
  CHECK(record.mWaitLeft.value() > Milliseconds(0));
}

// A successor that does not ask the worker would start a task that is done.
TEST(JobShardNotesTest, ANoteNamesTasksWhoseEndIsNotDurable)
{
  mOne.Submit(OneStepJob("j", 1, 1000));
  mOne.mReply.mEnded.push_back(EndedRow{
    EndNumber(1), kTask, RunNumber(7), EndKind::kDone, CheckpointId() });
  mOne.ReadList();
  mOne.Answer();
  mOne.Miss();
  mOne.Starts();
  const ProgressBatch underWay = mOne.Take();
  CHECK(std::vector<TaskRef>{ kTask } == underWay.mWorkers.at(0).mMayRun);
  CHECK_EQUAL(1U, underWay.mEnds.size());
  mOne.mShard.OnDurable(underWay);
  const KnownWorker record = mOne.NextRecord();
  CHECK(record.mMayRun.value().empty());
  CHECK_EQUAL(0, record.mWaitLeft.value().count());
}

// A successor that finds the note would start beside what was started since.
TEST(JobShardNotesTest, NothingIsStartedUntilTheNoteIsTakenBack)
{
  BeginToUse();
  mOne.mFacts.mState = WorkerState::kLeaving;
  mOne.ReadList();
  CHECK_EQUAL(0, mOne.NextRecord().mWaitLeft.value().count());
  mOne.mFacts.mState = WorkerState::kLive;
  mOne.ReadList();
  mOne.Submit(OneStepJob("j", 1, 1000));
  CHECK_EQUAL(0U, mOne.Starts());
  const ProgressBatch underWay = mOne.Take();
  CHECK_FALSE(underWay.mWorkers.at(0).mMayRun.has_value());
  CHECK_EQUAL(0U, mOne.Starts());
  mOne.mShard.OnDurable(underWay);
  CHECK_EQUAL(1U, mOne.Starts());
}

// A note that was under way when the worker was wanted again is still a note.
TEST(JobShardNotesTest, ANoteThatBecomesDurableLateIsTakenBackToo)
{
  BeginToUse();
  mOne.mFacts.mState = WorkerState::kLeaving;
  mOne.ReadList();
  mOne.Starts();
  const ProgressBatch note = mOne.Take();
  CHECK(note.mWorkers.at(0).mMayRun.has_value());
  mOne.mFacts.mState = WorkerState::kLive;
  mOne.ReadList();
  mOne.Submit(OneStepJob("j", 1, 1000));
  mOne.mShard.OnDurable(note);
  CHECK_EQUAL(0U, mOne.Starts());
  mOne.Append();
  CHECK_EQUAL(1U, mOne.Starts());
}

// A note of tasks that became durable after the worker was ready again counted
// as a plain record: a successor started beside what was started since.
TEST(JobShardNotesTest, ANoteOfTasksThatBecomesDurableLateIsTakenBackToo)
{
  const TaskRef last{ kTask.mStep, 1 };
  mOne.Submit(OneStepJob("j", 2, 1000));
  mOne.mReply.mRunning = { RunOf(kTask), RunOf(last) };
  BeginToUse();
  mOne.mFacts.mState = WorkerState::kLeaving;
  mOne.ReadList();
  mOne.Starts();
  const ProgressBatch note = mOne.Take();
  CHECK_EQUAL(2U, note.mWorkers.at(0).mMayRun.value().size());
  CHECK_FALSE(note.mWorkers.at(0).mWaitLeft.has_value());
  mOne.mFacts.mState = WorkerState::kLive;
  mOne.ReadList();
  mOne.Submit(OneStepJob("k", 1, 1000));
  mOne.mShard.OnDurable(note);
  const size_t tooEarly = mOne.Starts();
  CHECK_EQUAL(0U, tooEarly);
  mOne.Append();
  const size_t starts = mOne.Starts();
  CHECK_EQUAL(1U, starts);
}

// The answer of whoever has a worker's former address said that the worker is
// over, which runs on at its new one: its task was free to be started again.
TEST(JobShardNotesTest, AnotherWorkerAtAFormerAddressEndsNothing)
{
  mOne.Submit(OneStepJob("j", 1, 1000));
  mOne.mReply.mRunning = { RunOf(kTask) };
  BeginToUse();
  HoldOrder former;
  former.mWorker = kWorker;
  former.mEndpoint = mOne.mFacts.mEndpoint;
  mOne.mFacts.mEndpoint = Endpoint{ "b", 2 };
  mOne.ReadList();
  HoldReply gone;
  gone.mOutcome = OrderOutcome::kGone;
  mOne.mShard.OnHold(former, gone, mOne.mNow, mOne.mNow);
  CHECK_EQUAL(1U, mOne.mShard.Workers().Find(kWorker)->mTasks.size());
}

// Starts that wait for a worker which is known to be silent held back all
// others, though another worker has room.
TEST(JobShardNotesTest, StartsOnASilentWorkerHoldNoOthersBack)
{
  mOne.mFacts.mCapacity = Resources{ 256000, 256000, 0 };
  BeginToUse();
  mOne.Submit(OneStepJob("j", 256, 1000));
  const size_t toTheFirst = mOne.Starts();
  CHECK_EQUAL(256U, toTheFirst);
  mOne.Miss();
  WorkerFacts other = mOne.mFacts;
  other.mId = WorkerId("other");
  other.mEndpoint = Endpoint{ "c", 3 };
  mOne.mShard.OnWorkers({ mOne.mFacts, other }, mOne.mNow);
  HoldOrder hold;
  hold.mWorker = other.mId;
  mOne.mShard.OnHold(hold, mOne.mReply, mOne.mNow, mOne.mNow);
  mOne.Append();
  mOne.Submit(OneStepJob("k", 1, 1000));
  const size_t toTheOther = mOne.Starts();
  CHECK_EQUAL(1U, toTheOther);
}

// A worker that drains is renewed: only its tasks are noted, not for how long.
TEST(JobShardNotesTest, ADrainingWorkerWithTasksIsNotedWithThem)
{
  mOne.Submit(OneStepJob("j", 1, 1000));
  mOne.mReply.mRunning = { RunOf(kTask) };
  BeginToUse();
  mOne.mFacts.mState = WorkerState::kLeaving;
  mOne.ReadList();
  const KnownWorker record = mOne.NextRecord();
  CHECK(std::vector<TaskRef>{ kTask } == record.mMayRun.value());
  CHECK_FALSE(record.mWaitLeft.has_value());
  const auto hold = mOne.mShard.NextHold(kWorker, true, mOne.mNow);
  CHECK(hold.value().mUntil.has_value());
}

// A successor asked the former address, where nothing listens, and waited.
TEST(JobShardNotesTest, NothingIsStartedUntilANewAddressIsDurable)
{
  BeginToUse();
  mOne.Miss();
  mOne.Starts();
  mOne.Answer();
  const ProgressBatch former = mOne.Take();
  mOne.mFacts.mEndpoint = Endpoint{ "b", 2 };
  mOne.ReadList();
  mOne.Submit(OneStepJob("j", 1, 1000));
  mOne.mShard.OnDurable(former);
  CHECK_EQUAL(0U, mOne.Starts());
  CHECK_FALSE(mOne.mShard.NextHold(kWorker, true, mOne.mNow)->mUntil);
  mOne.Append();
  CHECK_EQUAL(1U, mOne.Starts());
}

// A worker that is born anew knows no fencing token, so an owner that was
// superseded started there what its successor had started elsewhere.
TEST(JobShardNotesTest, NothingIsStartedInANewLifeUntilThatIsDurable)
{
  BeginToUse();
  mOne.mReply.mReading.mBirth = Birth(2);
  mOne.Answer();
  mOne.Submit(OneStepJob("j", 1, 1000));
  CHECK_EQUAL(0U, mOne.Starts());
  CHECK_FALSE(mOne.mShard.NextHold(kWorker, true, mOne.mNow)->mUntil);
  mOne.Append();
  CHECK_EQUAL(1U, mOne.Starts());
}

// A superseded owner took a wait that was handed on to it for over, while its
// successor renewed the worker.
TEST(JobShardNotesTest, AWaitIsOverOnlyWithProofOfOwnership)
{
  const MonotonicTime claimedAt = mOne.mNow;
  KnownWorker dark;
  dark.mId = WorkerId("dark");
  dark.mWaitLeft = Milliseconds(1000);
  dark.mMayRun = std::vector<TaskRef>{ kTask };
  mOne.mShard.InheritWorker(dark);
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mRules.mService = kService;
  mOne.mShard.Inherit(job, nullptr);
  BeginToUse();
  mOne.mNow += Milliseconds(2000);
  CHECK_EQUAL(0U, mOne.Starts(claimedAt + Milliseconds(1100)));
  CHECK_EQUAL(1U, mOne.Starts(claimedAt + Milliseconds(1200)));
}

// The log refuses large records.
TEST(JobShardNotesTest, AWorkerWithVeryManyTasksHasNoNoteOfThem)
{
  for (uint32_t index = 0; index <= kMaxNotedTasks; index++) {
    mOne.mReply.mRunning.push_back(RunOf(TaskRef{ kTask.mStep, index }));
  }
  BeginToUse();
  mOne.Miss();
  const KnownWorker record = mOne.NextRecord();
  CHECK_FALSE(record.mMayRun.has_value());
  CHECK(record.mWaitLeft.value() > Milliseconds(0));
}

// Nothing can run on a silent worker whose last list was empty.
TEST(JobShardNotesTest, AnEmptyWorkerThatLeftTheListIsForgottenAtOnce)
{
  BeginToUse();
  mOne.Miss();
  mOne.mShard.OnWorkers({}, mOne.mNow);
  mOne.Starts();
  const ProgressBatch batch = mOne.Take();
  CHECK_EQUAL(1U, batch.mForgotten.size());
  CHECK(mOne.mShard.Workers().Find(kWorker) == nullptr);
}

// A record that was to be dropped went after the one that replaced it.
TEST(JobShardNotesTest, AWorkerThatIsListedAgainIsNotForgotten)
{
  BeginToUse();
  mOne.Miss();
  mOne.mShard.OnWorkers({}, mOne.mNow);
  mOne.Starts();
  mOne.ReadList();
  const ProgressBatch batch = mOne.Take();
  CHECK_EQUAL(1U, batch.mWorkers.size());
  CHECK(batch.mForgotten.empty());
}

// A note that was under way when its worker was forgotten counted as the record
// of the worker that was listed again: a successor would not wait for it.
TEST(JobShardNotesTest, ANoteOfAForgottenWorkerIsNoRecordOfItsReturn)
{
  mOne.mFacts.mBirth = Birth(1);
  BeginToUse();
  mOne.Miss();
  mOne.Starts();
  const ProgressBatch note = mOne.Take();
  mOne.mShard.OnWorkers({}, mOne.mNow);
  mOne.Starts();
  mOne.ReadList();
  mOne.mShard.OnDurable(note);
  mOne.Answer();
  mOne.Submit(OneStepJob("j", 1, 1000));
  const size_t tooEarly = mOne.Starts();
  CHECK_EQUAL(0U, tooEarly);
  mOne.Append();
  const size_t starts = mOne.Starts();
  CHECK_EQUAL(1U, starts);
}

// A gang of which one member may run elsewhere was started beside it; and no
// line said what is held back.
TEST(JobShardNotesTest, OnlyWhatMayRunIsHeldBackAndItIsSaid)
{
  KnownWorker dark;
  dark.mId = WorkerId("dark");
  dark.mEndpoint = Endpoint{ "c", 3 };
  dark.mWaitLeft = Milliseconds(3000);
  dark.mMayRun = std::vector<TaskRef>{ TaskRef{ kTask.mStep, 1 } };
  mOne.mShard.InheritWorker(dark);
  JobGraph gang = OneStepJob("j", 2, 1000);
  gang.mSteps[0].mGang = true;
  gang.mRules.mService = kService;
  JobGraph other = OneStepJob("k", 1, 1000);
  other.mRules.mService = kService;
  mOne.mShard.Inherit(gang, nullptr);
  mOne.mShard.Inherit(other, nullptr);
  BeginToUse();
  CHECK_EQUAL(1U, mOne.Starts());
  mOne.mNow += Milliseconds(2600);
  CHECK_EQUAL(0U, mOne.Starts());
  mOne.mNow += Milliseconds(200);
  CHECK_EQUAL(2U, mOne.Starts());
  std::vector<JobDecision> held;
  for (const JobDecision& decision : mOne.mShard.TakeDecisions()) {
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
