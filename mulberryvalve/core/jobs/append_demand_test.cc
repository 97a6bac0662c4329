// Tests that an owner tells whether starts wait for its next append.
#include "mulberryvalve/core/jobs/single_worker_shard_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {

TEST_GROUP(AppendDemandTest)
{
  SingleWorkerShard mOwner;

  // Decides on the start of a job's task, which the log does not name yet.
  void DecideStart()
  {
    mOwner.ReadWorkerList();
    mOwner.AnswerHold();
    mOwner.CountStarts();
    mOwner.PersistAll();
    mOwner.Submit(OneStepJob("j", 1, 1000));
    CHECK_EQUAL(0U, mOwner.Decide(Proof()));
  }

  OwnershipProof Proof() const
  {
    return OwnershipProof{ mOwner.mNow, true, mOwner.mNow };
  }

  AppendDemand Demand() const
  {
    return mOwner.mShard.NeededAppend();
  }
};

// Guards against a start that waits longer than for one append: the owner
// appends at once what starts wait for, and groups the rest (issue 40).
TEST(AppendDemandTest, HeldStartsWaitForTheNextAppend)
{
  DecideStart();
  CHECK(Demand() == AppendDemand::kStarts);
  const ProgressBatch batch = mOwner.mShard.TakeProgress(mOwner.mNow);
  // An append that holds all there is can't be hastened by another.
  CHECK(Demand() == AppendDemand::kNone);
  mOwner.mShard.OnDurable(batch);
  CHECK_EQUAL(1U, mOwner.Decide(Proof()));
}

TEST(AppendDemandTest, ChangesWithoutStartsAreNoMoreThanChanges)
{
  DecideStart();
  mOwner.PersistAll();
  CHECK_EQUAL(1U, mOwner.Decide(Proof()));
  mOwner.mShard.OnJobCancelled(JobId("j"), mOwner.mNow);
  CHECK(Demand() == AppendDemand::kChanges);
}

// A start whose record is durable waits for no append.
TEST(AppendDemandTest, RecordedStartsWaitForNoAppend)
{
  DecideStart();
  mOwner.PersistAll();
  CHECK(Demand() == AppendDemand::kNone);
  JobGraph other = OneStepJob("other", 1, 1000);
  mOwner.Submit(other);
  mOwner.mShard.OnJobCancelled(other.mId, mOwner.mNow);
  CHECK(Demand() == AppendDemand::kChanges);
}

} // namespace mulberryvalve
