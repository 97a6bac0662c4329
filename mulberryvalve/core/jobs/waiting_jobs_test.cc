// Which jobs an owner counts as waiting after a start without an answer.
#include "mulberryvalve/core/jobs/single_worker_shard_fake.h"

namespace mulberryvalve {

TEST_GROUP(WaitingJobsTest)
{
  SingleWorkerShard mOwner;
  TaskOrder mStart;

  void setup() override
  {
    mOwner.ReadWorkerList();
    mOwner.AnswerHold();
    mOwner.PersistAll();
    mOwner.Submit(OneStepJob("j", 1, 1000));
    const OwnershipProof proof{ mOwner.mNow, true, mOwner.mNow };
    for (int decisions = 0; decisions < 2; decisions++) {
      for (const TaskOrder& order :
           mOwner.mShard.Decide(proof, mOwner.mNow, WallTime())) {
        mStart = order;
      }
      mOwner.PersistAll();
    }
    CHECK(kTask == mStart.mTask);
  }

  void Answer(OrderOutcome aOutcome)
  {
    mOwner.mShard.OnOrder(
      mStart, OrderReply{ aOutcome, mOwner.mReply.mReading }, mOwner.mNow);
  }

  void CheckWaiting(size_t aExpected)
  {
    const JobGraph job = OneStepJob("j", 1, 1000);
    CHECK_EQUAL(aExpected, mOwner.mShard.Waiting(job.mQueue));
  }
};

TEST(WaitingJobsTest, AJobWhoseStartWasAcceptedHasBegun)
{
  Answer(OrderOutcome::kAccepted);
  CheckWaiting(0);
}

// Guards against jobs being left out of the count whose only start went to a
// worker that was lost (MIXED, found by the third review).
TEST(WaitingJobsTest, AJobWhoseOnlyStartGotNoAnswerHasNotBegun)
{
  Answer(OrderOutcome::kUnknown);
  CheckWaiting(1);
}

TEST(WaitingJobsTest, AJobHasBegunOnceItsRunIsReported)
{
  Answer(OrderOutcome::kUnknown);
  RunReport row = RunningRowOf(kTask);
  row.mRun = mStart.mRun;
  mOwner.mReply.mRunning = { row };
  mOwner.mNow += Milliseconds(100);
  mOwner.AnswerHold();
  CheckWaiting(0);
}

TEST(WaitingJobsTest, AJobHasBegunOnceTheEndOfItsRunIsReported)
{
  Answer(OrderOutcome::kUnknown);
  RunEndReport row;
  row.mNumber = EndNumber(1);
  row.mTask = kTask;
  row.mRun = mStart.mRun;
  row.mEndKind = EndKind::kFailed;
  mOwner.mReply.mEnded = { row };
  mOwner.mNow += Milliseconds(100);
  mOwner.AnswerHold();
  CheckWaiting(0);
}

} // namespace mulberryvalve
