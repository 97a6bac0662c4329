// Tests that runs end within a bound after their owner's last recorded proof,
// and that a successor waits no longer than that.
#include "mulberryvalve/core/jobs/takeover_simulation_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

constexpr size_t kWorkers = 4;
constexpr Milliseconds kStoreOutage{ 9000 };
// The bound by the slowest clock: 9.5 s of 980 per mille.
constexpr Milliseconds kLongestRuns{ 9693 };
// What a successor waits for after the last proof: the longest runs, 200 ms for
// the owner's clock, the margin of a lease, and until it decides.
constexpr Milliseconds kLongestWait{ 10043 };
constexpr Milliseconds kTick{ 20 };
// Longer than every lease and wait.
constexpr Milliseconds kSettleTime{ 30000 };

// An owner of long-running tasks that loses the store.
class OwnerWithoutStore
{
public:
  explicit OwnerWithoutStore(int64_t aClockRatePerMille = 980)
    : mSim(kWorkers)
  {
    for (size_t index = 0; index < kWorkers; index++) {
      mSim->Worker(index).mClockRatePerMille = aClockRatePerMille;
    }
    mSim->Submit(LongRunningJob("lasting", kWorkers, 5000));
    mSim->RunFor(Milliseconds(3000));
    mLostAt = mSim->Now();
    Former().mCanAppend = false;
  }

  SimulatedOwner& Former() { return mSim->Owner(0); }

  size_t Running() const { return mSim->RunningOf(JobId("lasting")); }

  // Runs until all tasks have lapsed. Returns how long after the loss that is.
  Milliseconds UntilLapsed()
  {
    while (Running() > 0 && mSim->Now() < mLostAt + kSettleTime) {
      mSim->Step();
    }
    return std::chrono::duration_cast<Milliseconds>(mSim->Now() - mLostAt);
  }

  mutable TakeoverSimulation mSim;
  MonotonicTime mLostAt;
};

// An owner that is cut off from the store and, with one worker, from its
// successor.
class OwnerCutOff : public OwnerWithoutStore
{
public:
  OwnerCutOff()
    : mTask(TaskOf("lasting", 0))
    , mWorker(mSim.WorkerOf(mTask))
  {
  }

  // The successor claims and loads aAfter the loss of the store.
  void Replace(Milliseconds aAfter)
  {
    mSim->RunFor(aAfter);
    mSim.PartitionOff(mWorker);
    mNewest = 1;
  }

  // Replaces the successor at once by another that can't reach the worker.
  void ReplaceSuccessor()
  {
    mSim.KillOwner();
    mSim.LoadOwner().mLinks[mWorker] = LinkState::kDisconnected;
    mNewest++;
  }

  ShardScheduler& Newest() { return *mSim->Owner(mNewest).mShard; }

  // Returns how long after aSince the task runs on another worker.
  Milliseconds UntilRestarted(MonotonicTime aSince)
  {
    CHECK(mSim.RunsElsewhereBy(mTask, mWorker, aSince + kSettleTime));
    return std::chrono::duration_cast<Milliseconds>(mSim->Now() - aSince);
  }

  void CheckOneRun()
  {
    mSim->RunFor(kSettleTime);
    STRCMP_EQUAL("", mSim.AllViolations().c_str());
    CHECK_EQUAL(kWorkers, Running());
  }

private:
  const TaskRef mTask;
  const WorkerId mWorker;
  size_t mNewest = 0;
};

} // namespace

TEST_GROUP(BoundedRunsTest){};

// Leases that are renewed until the last proof of ownership expires lasted
// longer than a successor can know.
TEST(BoundedRunsTest, RunsOfAnOwnerWithoutStoreSurviveAnOutageAndThenEnd)
{
  for (const int64_t rate : { 980, 1000, 1020 }) {
    OwnerWithoutStore owner(rate);
    owner.mSim->RunFor(kStoreOutage);
    CHECK_EQUAL(kWorkers, owner.Running());
    const Milliseconds lapsed = owner.UntilLapsed();
    CHECK(lapsed <= kLongestRuns + kTick);
  }
}

// The group proves the ownership all the time, but not until when runs last.
TEST(BoundedRunsTest, ProofsThatAreNotRecordedExtendNoLease)
{
  OwnerWithoutStore owner;
  owner.Former().mCanAppend = true;
  owner.Former().mAppendsFail = true;
  owner.mSim->RunFor(kStoreOutage);
  CHECK_EQUAL(kWorkers, owner.Running());
  CHECK(owner.UntilLapsed() <= kLongestRuns + kTick);
}

TEST(BoundedRunsTest, RunsGoOnAfterAnOutage)
{
  OwnerWithoutStore owner;
  owner.mSim->RunFor(kStoreOutage);
  owner.Former().mCanAppend = true;
  owner.mSim->RunFor(kSettleTime);
  CHECK_EQUAL(kWorkers, owner.Running());
  STRCMP_EQUAL("", owner.mSim.AllViolations().c_str());
}

// A reading of the worker's clock that is seconds old makes no lease longer.
TEST(BoundedRunsTest, OldClockReadingsMakeNoLeaseLonger)
{
  const LeaseTerms terms;
  const MonotonicTime readAt{ std::chrono::seconds(1000) };
  for (const int staleMs : { 0, 2000, 8000 }) {
    WorkerTable workers(terms);
    WorkerEntry& worker = workers.Add(WorkerId("w"));
    worker.mRecorded = true;
    worker.mIsUseRecorded = true;
    worker.mClock = WorkerTime{ 50000 };
    worker.mClockReceivedAt = readAt;
    const MonotonicTime provedAt = readAt + Milliseconds(staleMs);
    workers.OnOwnershipRecorded(provedAt);
    const MonotonicTime now = provedAt + Milliseconds(6000);
    const RenewalRequest renewal =
      workers.NextRenewal(worker, Epoch(1), true, now);
    const int64_t left = renewal.mUntil.value().mMilliseconds - 50000;
    const Milliseconds slowest(left * 1000 / 980);
    CHECK(readAt + slowest <= provedAt + kLongestRuns);
    CHECK(readAt + slowest > provedAt + Milliseconds(9600));
  }
}

TEST(BoundedRunsTest, NoLeaseIsRequestedWithoutARecordedProofOrAfterItsBound)
{
  const MonotonicTime provedAt{ std::chrono::seconds(1000) };
  WorkerTable workers{ LeaseTerms() };
  WorkerEntry& worker = workers.Add(WorkerId("w"));
  worker.mRecorded = true;
  worker.mIsUseRecorded = true;
  worker.mClock = WorkerTime{ 50000 };
  worker.mClockReceivedAt = provedAt;
  const auto leaseAt = [&](int aMs) {
    const MonotonicTime now = provedAt + Milliseconds(aMs);
    return workers.NextRenewal(worker, Epoch(1), true, now).mUntil.has_value();
  };
  CHECK_FALSE(leaseAt(0));
  CHECK_FALSE(workers.MayStart(provedAt));
  CHECK_FALSE(workers.LeaseForStart(worker, provedAt).has_value());
  workers.OnOwnershipRecorded(provedAt);
  CHECK(leaseAt(0));
  CHECK(leaseAt(9400));
  CHECK_FALSE(leaseAt(9600));
  const MonotonicTime late = provedAt + Milliseconds(7200);
  CHECK_FALSE(workers.MayStart(late));
  CHECK_FALSE(workers.LeaseForStart(worker, late).has_value());
  // A restarted worker may grant 6 s from the arrival of a start.
  CHECK_FALSE(workers.MayStart(provedAt + Milliseconds(3300)));
  CHECK(workers.MayStart(provedAt + Milliseconds(3200)));
}

// Guards against a wait that is longer where workers grant longer leases, by
// more than a rule allows tasks to wait: no lease that an owner requests lasts
// longer, and no start reaches an incarnation that would count it anew
// (review/9).
TEST(BoundedRunsTest, RunsEndAsSoonWhereWorkersGrantLongerLeases)
{
  LeaseTerms longer;
  longer.mMaxGranted = Milliseconds(10000);
  WorkerTable workers{ longer };
  const WorkerTable usual{ LeaseTerms() };
  const MonotonicTime provedAt{ std::chrono::seconds(1000) };
  CHECK(usual.EndOfRunsProvedAt(provedAt) ==
        workers.EndOfRunsProvedAt(provedAt));
  workers.OnOwnershipRecorded(provedAt);
  CHECK(workers.MayStart(provedAt + Milliseconds(3200)));
  CHECK_FALSE(workers.MayStart(provedAt + Milliseconds(3300)));
}

// Nothing is known of the former owner but that it recorded nothing after the
// claim.
TEST(BoundedRunsTest, ASuccessorWaitsFromItsClaimAtMost)
{
  OwnerCutOff owner;
  owner.Replace(Milliseconds(5500));
  const MonotonicTime claimedAt = owner.mSim->Now();
  const Milliseconds waited = owner.UntilRestarted(claimedAt);
  CHECK(waited <= kLongestWait + kTick + TakeoverSimulation::kPlacementLimit);
  owner.CheckOneRun();
}

// The wait counts from the last record, not from a claim 5.5 s after it.
TEST(BoundedRunsTest, ASuccessorThatKnowsTheLastProofWaitsFromThere)
{
  OwnerCutOff owner;
  owner.Replace(Milliseconds(5500));
  owner.Newest().OnFormerOwnerProof(
    Epoch(1), owner.mLostAt, RunsEndEvidence::kObserved);
  const std::vector<RunsEnd> ends = owner.Newest().EndsOfFormerRuns();
  CHECK_EQUAL(1U, ends.size());
  CHECK(RunsEndEvidence::kObserved == ends[0].mEvidence);
  CHECK(owner.mLostAt + kLongestWait == ends[0].mBy);
  const Milliseconds waited = owner.UntilRestarted(owner.mLostAt);
  CHECK(waited <= kLongestWait + kTick + TakeoverSimulation::kPlacementLimit);
  owner.CheckOneRun();
}

// The one between them wrote nothing but its claim.
TEST(BoundedRunsTest, ChainsOfOwnersWaitForTheLastProofOfAll)
{
  OwnerCutOff owner;
  owner.Replace(Milliseconds(5500));
  owner.mSim->RunFor(Milliseconds(500));
  owner.ReplaceSuccessor();
  const MonotonicTime claimedAt = owner.mSim->Now();
  owner.Newest().OnFormerOwnerProof(
    Epoch(1), owner.mLostAt, RunsEndEvidence::kObserved);
  const std::vector<RunsEnd> ends = owner.Newest().EndsOfFormerRuns();
  CHECK_EQUAL(2U, ends.size());
  CHECK(RunsEndEvidence::kClaimed == ends[1].mEvidence);
  CHECK(claimedAt + kLongestWait == ends[1].mBy);
  const Milliseconds waited = owner.UntilRestarted(claimedAt);
  CHECK(waited <= kLongestWait + kTick + TakeoverSimulation::kPlacementLimit);
  owner.CheckOneRun();
}

// No proof bounds the leases of an owner whose record does not tell its age.
TEST(BoundedRunsTest, AnOwnerOfAnEarlierVersionIsWaitedForAsLongAsItsLeases)
{
  const WorkerTable workers{ LeaseTerms() };
  const MonotonicTime provedAt{ std::chrono::seconds(1000) };
  FormerOwners owners;
  owners.Add(FormerOwner{ Epoch(1) });
  owners.OnLastProof(Epoch(1), provedAt, RunsEndEvidence::kClaimed);
  CHECK_FALSE(
    owners.RunsEndBy(WorkerId("w"), std::nullopt, workers).has_value());
  owners.OnEnded(Epoch(1), provedAt);
  CHECK(workers.EndOfRunsOrderedBy(provedAt) ==
        owners.RunsEndBy(WorkerId("w"), std::nullopt, workers));
}

TEST(BoundedRunsTest, TheEarlierBoundOfAFormerOwnerCounts)
{
  const WorkerTable workers{ LeaseTerms() };
  const MonotonicTime provedAt{ std::chrono::seconds(1000) };
  FormerOwner former{ Epoch(1) };
  former.mActiveFor = Milliseconds(0);
  FormerOwners owners;
  owners.Add(former);
  owners.OnLastProof(
    Epoch(1), provedAt + Milliseconds(100), RunsEndEvidence::kClaimed);
  owners.OnLastProof(Epoch(1), provedAt, RunsEndEvidence::kObserved);
  owners.OnLastProof(
    Epoch(1), provedAt + Milliseconds(50), RunsEndEvidence::kObserved);
  CHECK(workers.EndOfRunsProvedAt(provedAt) ==
        owners.RunsEndBy(WorkerId("w"), std::nullopt, workers));
  owners.OnEnded(Epoch(1), provedAt + Milliseconds(9000));
  CHECK(RunsEndEvidence::kObserved == owners.EndsOfRuns(workers)[0].mEvidence);
  owners.OnEnded(Epoch(1), provedAt + Milliseconds(1000));
  CHECK(RunsEndEvidence::kEnded == owners.EndsOfRuns(workers)[0].mEvidence);
}

} // namespace mulberryvalve
