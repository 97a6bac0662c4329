// Changes of owner in a row while workers are unreachable: an owner adds to the
// wait for a worker only if it may have used that worker.
#include "mulberryvalve/core/jobs/full_cluster_fake.h"
#include "mulberryvalve/core/jobs/single_worker_shard_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

// An owner that lives this long has asked every worker and written no note.
constexpr Milliseconds kShortLife{ 1500 };
constexpr size_t kMostOwnersInARow = 3;
// 2% of the longest wait, and the margin of a wait.
constexpr Milliseconds kClockDeviation{ 200 + 150 };

// Returns when the runs of an owner have ended whose newest append was sent at
// aAppendedAt.
MonotonicTime EndOfRuns(MonotonicTime aAppendedAt)
{
  return WorkerTable(LeaseTerms()).EndOfRunsProvedAt(aAppendedAt);
}

} // namespace

TEST_GROUP(OwnerChainTest)
{
  FullCluster mCluster;

  void setup() override
  {
    mCluster->mObservesOwners = true;
  }

  // Each of aOwners follows the one before it after its short life.
  void ReplaceOwnerInARow(size_t aOwners)
  {
    for (size_t owner = 0; owner < aOwners; owner++) {
      mCluster.ReplaceOwner(kTakeoverDelay);
      mCluster->RunFor(kShortLife);
    }
  }

  // Returns what to say if the lasting tasks run on other workers later than
  // kPlacementLimit after aUntil, or if something breaks an invariant.
  std::string Findings(MonotonicTime aUntil)
  {
    const MonotonicTime since = aUntil + kPlacementLimit - kLastingTaskLimit;
    const std::string tooLate = mCluster.LastingTasksTooLate(since);
    return tooLate + mCluster.ViolationsUntilSettled();
  }
};

// Guards against a wait that begins anew with each owner, though only the first
// one had used the workers that are waited for (LOST).
TEST(OwnerChainTest, OwnersThatNeverHeardFromAWorkerAddNoWaitForIt)
{
  const MonotonicTime lostAt = mCluster->Now();
  mCluster.LoseUnreachableWorkers();
  ReplaceOwnerInARow(kMostOwnersInARow);
  STRCMP_EQUAL("", Findings(EndOfRuns(lostAt)).c_str());
}

// Guards against a wait that is too short: an owner between the first and the
// last one had heard from the workers and renewed leases there (TWICE).
TEST(OwnerChainTest, AnOwnerThatUsedAWorkerIsWaitedFor)
{
  ReplaceOwnerInARow(1);
  const MonotonicTime lostAt = mCluster->Now();
  mCluster.LoseUnreachableWorkers(kUnheardKinds[0]);
  ReplaceOwnerInARow(2);
  STRCMP_EQUAL("", Findings(EndOfRuns(lostAt)).c_str());
}

// Guards against a process that has just started and has heard of no owner: it
// counts from its own claim, though its predecessor knew more (LOST).
TEST(OwnerChainTest, AFreshProcessKnowsWhatItsPredecessorKnew)
{
  const MonotonicTime lostAt = mCluster->Now();
  mCluster.LoseUnreachableWorkers();
  ReplaceOwnerInARow(1);
  mCluster->mObservesOwners = false;
  ReplaceOwnerInARow(1);
  // What is left counts from the predecessor's newest append, which may have
  // been sent as late as the claim, by a clock that may deviate.
  const MonotonicTime end = EndOfRuns(lostAt) + kTakeoverDelay;
  STRCMP_EQUAL("", Findings(end + kClockDeviation).c_str());
}

// Guards against a lease that the next owner does not know of: it is renewed
// before the log says that this owner uses the worker, though its claim says
// that it records use (TWICE).
TEST(OwnerChainTest, NoLeaseIsRenewedBeforeTheRecordNamesTheOwner)
{
  SingleWorkerShard owner;
  owner.Submit(OneStepJob("first", 1, 1000));
  owner.mShard.OnJobCancelled(JobId("first"), owner.mNow);
  owner.PersistAll();
  CHECK(owner.mShard.RecordsUse());
  UsedWorkerRecord former;
  former.mId = kWorker;
  former.mEndpoint = owner.mInfo.mEndpoint;
  former.mWorkerIncarnation = WorkerIncarnation(1);
  former.mLastUser = Epoch(64);
  owner.mShard.RestoreWorker(former);
  const auto asksForLease = [&owner] {
    owner.CountStarts();
    const auto renewal = owner.mShard.NextRenewal(kWorker, true, owner.mNow);
    return renewal.has_value() && renewal->mUntil.has_value();
  };
  CHECK_FALSE(asksForLease());
  owner.AnswerHold();
  CHECK_FALSE(asksForLease());
  const UsedWorkerRecord record = owner.NextRecord();
  CHECK(ShardSchedulerOptions().mEpoch == record.mLastUser.value());
  CHECK(asksForLease());
}

// Guards against a successor that does not count an owner for a worker that it
// used while the log took nothing after the claim (TWICE).
TEST(OwnerChainTest, AnOwnerRecordsUseOnceAllItsWorkersNameIt)
{
  SingleWorkerShard owner;
  UsedWorkerRecord former;
  former.mId = kWorker;
  former.mEndpoint = owner.mInfo.mEndpoint;
  former.mWorkerIncarnation = WorkerIncarnation(1);
  former.mLastUser = Epoch(64);
  owner.mShard.RestoreWorker(former);
  owner.CountStarts();
  owner.AnswerHold();
  const auto renewal = owner.mShard.NextRenewal(kWorker, true, owner.mNow);
  CHECK(renewal->mUntil.has_value());
  CHECK_FALSE(owner.mShard.RecordsUse());
  owner.PersistAll();
  CHECK(owner.mShard.RecordsUse());
}

// Guards against a note of an unheard worker that names the owner that wrote
// it.
TEST(OwnerChainTest, TheNoteOfAnUnheardWorkerNamesItsLastUser)
{
  SingleWorkerShard owner;
  UsedWorkerRecord former;
  former.mId = kWorker;
  former.mEndpoint = owner.mInfo.mEndpoint;
  former.mLastUser = Epoch(64);
  owner.mShard.RestoreWorker(former);
  owner.mNow += Milliseconds(2500);
  const UsedWorkerRecord note = owner.NextRecord();
  CHECK(note.mRemainingLease.has_value());
  CHECK(Epoch(64) == note.mLastUser.value());
}

// Guards against a wait of an owner of an earlier version that is cut short:
// that one names itself on no worker (TWICE).
TEST(OwnerChainTest, AnOwnerThatDoesNotNameItselfMayHaveUsedEveryWorker)
{
  FormerOwners owners;
  const WorkerTable workers{ LeaseTerms() };
  FormerOwner first{ Epoch(1) };
  first.mActiveFor = Milliseconds(1);
  first.mRecordsUse = true;
  FormerOwner second = first;
  second.mEpoch = Epoch(2);
  second.mRecordsUse = false;
  const MonotonicTime early{ std::chrono::seconds(100) };
  const MonotonicTime late = early + Milliseconds(3000);
  owners.Add(first);
  owners.Add(second);
  owners.OnLastProof(Epoch(1), early, RunsEndEvidence::kObserved);
  owners.OnLastProof(Epoch(2), late, RunsEndEvidence::kObserved);
  CHECK(EndOfRuns(late) == owners.RunsEndBy(kWorker, Epoch(1), workers));
}

// Guards against a worker's record whose owner is not known any more.
TEST(OwnerChainTest, WithoutAKnownLastUserEveryOwnerIsWaitedFor)
{
  FormerOwners owners;
  const WorkerTable workers{ LeaseTerms() };
  FormerOwner former{ Epoch(2) };
  former.mActiveFor = Milliseconds(1);
  former.mRecordsUse = true;
  const MonotonicTime provedAt{ std::chrono::seconds(100) };
  owners.Add(former);
  owners.OnLastProof(Epoch(2), provedAt, RunsEndEvidence::kObserved);
  CHECK(EndOfRuns(provedAt) ==
        owners.RunsEndBy(kWorker, std::nullopt, workers));
  CHECK(EndOfRuns(provedAt) == owners.RunsEndBy(kWorker, Epoch(1), workers));
}

} // namespace mulberryvalve
