// Tests handover notes: what an owner records for its successor about workers
// that get no new tasks, and when it may use such a worker again.
#include "mulberryvalve/core/jobs/single_worker_shard_fake.h"

namespace mulberryvalve {

TEST_GROUP(HandoverNotesTest)
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

// Without the run in the note, a successor would start the task while the run
// that is not wanted is still being stopped.
TEST(HandoverNotesTest, NoteIncludesUnwantedRuns)
{
  mOwner.mReply.mRunning = { RunningRowOf(kTask) };
  StartUsingWorker();
  mOwner.MissReply();
  const UsedWorkerRecord record = mOwner.NextRecord();
  CHECK(std::vector<TaskRef>{ kTask } == record.mPossibleTasks.value());
  CHECK(record.mRemainingLease.value() > Milliseconds(0));
}

// Without the task in the note, a successor that can't reach the worker would
// run a finished task again.
TEST(HandoverNotesTest, NoteIncludesTasksWhoseEndIsNotDurable)
{
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mReply.mEnded.push_back(RunEndReport{
    EndNumber(1), kTask, RunNumber(7), EndKind::kDone, CheckpointId() });
  mOwner.ReadWorkerList();
  mOwner.AnswerHold();
  mOwner.MissReply();
  mOwner.CountStarts();
  const ProgressBatch inFlight = mOwner.TakeBatch();
  CHECK(std::vector<TaskRef>{ kTask } ==
        inFlight.mWorkers.at(0).mPossibleTasks);
  CHECK_EQUAL(1U, inFlight.mAckedEnds.size());
  mOwner.mShard.OnDurable(inFlight);
  const UsedWorkerRecord record = mOwner.NextRecord();
  CHECK(record.mPossibleTasks.value().empty());
  CHECK_EQUAL(0, record.mRemainingLease.value().count());
}

// A successor that found the note would start tasks that run on the worker
// since.
TEST(HandoverNotesTest, NothingIsStartedUntilTheNoteIsRevoked)
{
  StartUsingWorker();
  mOwner.mInfo.mState = WorkerState::kLeaving;
  mOwner.ReadWorkerList();
  CHECK_EQUAL(0, mOwner.NextRecord().mRemainingLease.value().count());
  mOwner.mInfo.mState = WorkerState::kLive;
  mOwner.ReadWorkerList();
  mOwner.Submit(OneStepJob("j", 1, 1000));
  CHECK_EQUAL(0U, mOwner.CountStarts());
  const ProgressBatch inFlight = mOwner.TakeBatch();
  CHECK_FALSE(inFlight.mWorkers.at(0).mPossibleTasks.has_value());
  CHECK_EQUAL(0U, mOwner.CountStarts());
  mOwner.mShard.OnDurable(inFlight);
  CHECK_EQUAL(1U, mOwner.CountStarts());
}

// A note that was being appended when the worker became usable again has to be
// revoked as well.
TEST(HandoverNotesTest, NoteThatBecomesDurableLateIsRevoked)
{
  StartUsingWorker();
  mOwner.mInfo.mState = WorkerState::kLeaving;
  mOwner.ReadWorkerList();
  mOwner.CountStarts();
  const ProgressBatch note = mOwner.TakeBatch();
  CHECK(note.mWorkers.at(0).mPossibleTasks.has_value());
  mOwner.mInfo.mState = WorkerState::kLive;
  mOwner.ReadWorkerList();
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mShard.OnDurable(note);
  CHECK_EQUAL(0U, mOwner.CountStarts());
  mOwner.PersistAll();
  CHECK_EQUAL(1U, mOwner.CountStarts());
}

// Guards against tasks that run twice after a takeover. A note that became
// durable after the worker was usable again counted as a plain record, so tasks
// were started there that the note doesn't name.
TEST(HandoverNotesTest, NoteOfTasksThatBecomesDurableLateIsRevoked)
{
  const TaskRef last{ kTask.mStep, 1 };
  mOwner.Submit(OneStepJob("j", 2, 1000));
  mOwner.mReply.mRunning = { RunningRowOf(kTask), RunningRowOf(last) };
  StartUsingWorker();
  mOwner.mInfo.mState = WorkerState::kLeaving;
  mOwner.ReadWorkerList();
  mOwner.CountStarts();
  const ProgressBatch note = mOwner.TakeBatch();
  CHECK_EQUAL(2U, note.mWorkers.at(0).mPossibleTasks.value().size());
  CHECK_FALSE(note.mWorkers.at(0).mRemainingLease.has_value());
  mOwner.mInfo.mState = WorkerState::kLive;
  mOwner.ReadWorkerList();
  mOwner.Submit(OneStepJob("k", 1, 1000));
  mOwner.mShard.OnDurable(note);
  const size_t earlyStarts = mOwner.CountStarts();
  CHECK_EQUAL(0U, earlyStarts);
  mOwner.PersistAll();
  const size_t starts = mOwner.CountStarts();
  CHECK_EQUAL(1U, starts);
}

// Guards against tasks that run twice. A reply from another worker at the
// former address was taken as proof that the worker had ended, though it runs
// on at its new address.
TEST(HandoverNotesTest, ReplyFromFormerAddressEndsNothing)
{
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mReply.mRunning = { RunningRowOf(kTask) };
  StartUsingWorker();
  RenewalRequest former;
  former.mWorker = kWorker;
  former.mEndpoint = mOwner.mInfo.mEndpoint;
  mOwner.mInfo.mEndpoint = Endpoint{ "b", 2 };
  mOwner.ReadWorkerList();
  RenewalReply gone;
  gone.mOutcome = OrderOutcome::kGone;
  mOwner.mShard.OnRenewalReply(former, gone, mOwner.mNow, mOwner.mNow);
  CHECK_EQUAL(1U, mOwner.mShard.Workers().Find(kWorker)->mTasks.size());
}

// Guards against starts on a worker that is known not to answer, which kept the
// window full and blocked all other starts.
TEST(HandoverNotesTest, StartsOnAnUnresponsiveWorkerDoNotBlockOthers)
{
  mOwner.mInfo.mCapacity = Resources{ 256000, 256000, 0 };
  StartUsingWorker();
  mOwner.Submit(OneStepJob("j", 256, 1000));
  const size_t startsOnFirst = mOwner.CountStarts();
  CHECK_EQUAL(256U, startsOnFirst);
  mOwner.MissReply();
  WorkerInfo other = mOwner.mInfo;
  other.mId = WorkerId("other");
  other.mEndpoint = Endpoint{ "c", 3 };
  mOwner.mShard.OnWorkerList({ mOwner.mInfo, other }, mOwner.mNow);
  RenewalRequest hold;
  hold.mWorker = other.mId;
  mOwner.mShard.OnRenewalReply(hold, mOwner.mReply, mOwner.mNow, mOwner.mNow);
  mOwner.PersistAll();
  mOwner.Submit(OneStepJob("k", 1, 1000));
  const size_t startsOnOther = mOwner.CountStarts();
  CHECK_EQUAL(1U, startsOnOther);
}

// The leases of a draining worker are renewed, so its note names the tasks but
// no wait.
TEST(HandoverNotesTest, NoteOfADrainingWorkerNamesItsTasks)
{
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mReply.mRunning = { RunningRowOf(kTask) };
  StartUsingWorker();
  mOwner.mInfo.mState = WorkerState::kLeaving;
  mOwner.ReadWorkerList();
  const UsedWorkerRecord record = mOwner.NextRecord();
  CHECK(std::vector<TaskRef>{ kTask } == record.mPossibleTasks.value());
  CHECK_FALSE(record.mRemainingLease.has_value());
  const auto hold = mOwner.mShard.NextRenewal(kWorker, true, mOwner.mNow);
  CHECK(hold.value().mUntil.has_value());
}

// Otherwise a successor would ask at the former address, where nothing listens,
// and wait for the lease to expire.
TEST(HandoverNotesTest, NothingIsStartedUntilTheNewAddressIsDurable)
{
  StartUsingWorker();
  mOwner.MissReply();
  mOwner.CountStarts();
  mOwner.AnswerHold();
  const ProgressBatch former = mOwner.TakeBatch();
  mOwner.mInfo.mEndpoint = Endpoint{ "b", 2 };
  mOwner.ReadWorkerList();
  mOwner.Submit(OneStepJob("j", 1, 1000));
  mOwner.mShard.OnDurable(former);
  CHECK_EQUAL(0U, mOwner.CountStarts());
  CHECK_FALSE(mOwner.mShard.NextRenewal(kWorker, true, mOwner.mNow)->mUntil);
  mOwner.PersistAll();
  CHECK_EQUAL(1U, mOwner.CountStarts());
}

// A restarted worker knows no fencing token, so a superseded owner could start
// tasks there that its successor runs elsewhere.
TEST(HandoverNotesTest, NothingIsStartedAfterARestartUntilThatIsDurable)
{
  StartUsingWorker();
  mOwner.mReply.mReading.mWorkerIncarnation = WorkerIncarnation(2);
  mOwner.AnswerHold();
  mOwner.Submit(OneStepJob("j", 1, 1000));
  CHECK_EQUAL(0U, mOwner.CountStarts());
  CHECK_FALSE(mOwner.mShard.NextRenewal(kWorker, true, mOwner.mNow)->mUntil);
  mOwner.PersistAll();
  CHECK_EQUAL(1U, mOwner.CountStarts());
}

// Guards against a superseded owner that believes an inherited wait has ended,
// while its successor renews the worker's lease.
TEST(HandoverNotesTest, WaitEndsOnlyWithProofOfOwnership)
{
  const MonotonicTime claimedAt = mOwner.mNow;
  UsedWorkerRecord unreachable;
  unreachable.mId = WorkerId("dark");
  unreachable.mRemainingLease = Milliseconds(1000);
  unreachable.mPossibleTasks = std::vector<TaskRef>{ kTask };
  mOwner.mShard.RestoreWorker(unreachable);
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mRules.mService = kService;
  mOwner.mShard.RestoreJob(job, nullptr);
  StartUsingWorker();
  mOwner.mNow += Milliseconds(2000);
  CHECK_EQUAL(0U, mOwner.CountStarts(claimedAt + Milliseconds(1100)));
  CHECK_EQUAL(1U, mOwner.CountStarts(claimedAt + Milliseconds(1200)));
}

// The log rejects large records.
TEST(HandoverNotesTest, NoteOmitsTasksAboveTheLimit)
{
  for (uint32_t index = 0; index <= kMaxNotedTasks; index++) {
    mOwner.mReply.mRunning.push_back(
      RunningRowOf(TaskRef{ kTask.mStep, index }));
  }
  StartUsingWorker();
  mOwner.MissReply();
  const UsedWorkerRecord record = mOwner.NextRecord();
  CHECK_FALSE(record.mPossibleTasks.has_value());
  CHECK(record.mRemainingLease.value() > Milliseconds(0));
}

// Nothing can run on an unresponsive worker whose last report was empty.
TEST(HandoverNotesTest, UnlistedEmptyWorkerIsRemovedAtOnce)
{
  StartUsingWorker();
  mOwner.MissReply();
  mOwner.mShard.OnWorkerList({}, mOwner.mNow);
  mOwner.CountStarts();
  const ProgressBatch batch = mOwner.TakeBatch();
  CHECK_EQUAL(1U, batch.mRemovedWorkers.size());
  CHECK(mOwner.mShard.Workers().Find(kWorker) == nullptr);
}

// Guards against a removal that is appended after the new record of the same
// worker.
TEST(HandoverNotesTest, RelistedWorkerIsNotRemoved)
{
  StartUsingWorker();
  mOwner.MissReply();
  mOwner.mShard.OnWorkerList({}, mOwner.mNow);
  mOwner.CountStarts();
  mOwner.ReadWorkerList();
  const ProgressBatch batch = mOwner.TakeBatch();
  CHECK_EQUAL(1U, batch.mWorkers.size());
  CHECK(batch.mRemovedWorkers.empty());
}

// Guards against tasks that run twice after a takeover. A note that was being
// appended when its worker was removed counted as the plain record of the
// worker once it was listed again, so a successor would not have waited for it.
TEST(HandoverNotesTest, NoteOfARemovedWorkerDoesNotCountAfterItsReturn)
{
  mOwner.mInfo.mWorkerIncarnation = WorkerIncarnation(1);
  StartUsingWorker();
  mOwner.MissReply();
  mOwner.CountStarts();
  const ProgressBatch note = mOwner.TakeBatch();
  mOwner.mShard.OnWorkerList({}, mOwner.mNow);
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

} // namespace mulberryvalve
