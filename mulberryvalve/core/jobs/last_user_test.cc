// What a successor knows of the last user of a worker, at the limits: replies
// that omit ends, notes, claims that nobody observed, and a log that goes away.
#include "mulberryvalve/core/jobs/full_cluster_fake.h"
#include "mulberryvalve/core/jobs/single_worker_shard_fake.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const Epoch kFormer(64);
// More than an owner hears of in its time before the pause.
constexpr uint32_t kEndsToList = 40;

// Returns the record of the worker by a former owner that renewed leases there.
UsedWorkerRecord PlainRecord(const SingleWorkerShard& aOwner)
{
  UsedWorkerRecord record;
  record.mId = kWorker;
  record.mEndpoint = aOwner.mInfo.mEndpoint;
  record.mService = kService;
  record.mWorkerIncarnation = WorkerIncarnation(1);
  record.mLastUser = kFormer;
  return record;
}

// Returns an owner that names itself before it uses a worker.
FormerOwner RecordingOwner(Epoch aEpoch)
{
  FormerOwner owner{ aEpoch, Endpoint{ "peer", 1 }, Incarnation(1) };
  owner.mActiveFor = Milliseconds(1000);
  owner.mRecordsUse = true;
  return owner;
}

bool RenewsLease(SingleWorkerShard& aOwner)
{
  const auto renewal = aOwner.mShard.NextRenewal(kWorker, true, aOwner.mNow);
  return renewal.has_value() && renewal->mUntil.has_value();
}

} // namespace

TEST_GROUP(LastUserTest){};

// Guards against a lease that outlasts the wait of the next owner: while a
// worker's report omits ends, its owner renews the leases there, and the record
// on the log must not limit the wait (TWICE).
TEST(LastUserTest, ARecordThatLimitsTheWaitAllowsNoRenewal)
{
  SingleWorkerShard owner;
  owner.mShard.RestoreWorker(PlainRecord(owner));
  owner.ReadWorkerList();
  owner.mReply.mMayOmitEnds = true;
  owner.mReply.mRunning = { RunningRowOf(kTask) };
  owner.AnswerHold();
  const UsedWorkerRecord record = owner.NextRecord();
  CHECK(!record.mRemainingLease || !RenewsLease(owner));
}

// The same between owners: the second one is told the worker's ends in parts,
// is paused, and renews a lease whose answer is lost. The third one can't reach
// the worker.
TEST(LastUserTest, ALeaseRenewedWhileEndsAreOmittedIsWaitedFor)
{
  TakeoverSimulation sim(2);
  sim->mMaxListedEnds = 1;
  const WorkerId worker = sim.IdOf(0);
  sim->Worker(1).mListed = false;
  sim->Submit(LongRunningJob("lasting", 1, 9000));
  sim->Submit(OneStepJob("batch", kEndsToList, 100));
  sim->RunFor(Milliseconds(2000));
  sim->Worker(1).mListed = true;
  sim.KillOwner();
  for (auto& [task, run] : sim->Worker(0).mRuns) {
    if (task.mStep.mJob == JobId("batch")) {
      run.mEndsAt = sim->Now();
    }
  }
  sim->RunFor(Milliseconds(100));
  SimulatedOwner& second = sim.LoadOwner();
  second.mShard->OnFormerOwnerEnded(
    FormerOwnerEnd{ sim->Owner(0).mEpoch, sim->Now(), sim->Now() });
  second.mLinks[worker] = LinkState::kDisconnected;
  sim->RunFor(Milliseconds(100));
  second.mLinks.clear();
  sim->RunFor(Milliseconds(300));
  second.mIsActive = false; // paused
  sim->RunFor(Milliseconds(4000));
  CHECK(!sim->Worker(0).mEnded.empty());
  second.mLinks[worker] = LinkState::kRepliesLost;
  second.mIsActive = true;
  sim->RunFor(Milliseconds(600));
  sim.KillOwner();
  sim.LoadOwner().mLinks[worker] = LinkState::kDisconnected;
  sim->RunFor(kSettleTime);
  STRCMP_EQUAL("", sim.AllViolations().c_str());
}

// Guards against a wait that is counted anew by each owner in a row: a note is
// counted from the claim of its reader, so what former owners can tell may end
// it earlier.
TEST(LastUserTest, FormerOwnersAreAskedWhileANoteLimitsAWait)
{
  SingleWorkerShard owner;
  UsedWorkerRecord note = PlainRecord(owner);
  note.mRemainingLease = Milliseconds(6000);
  note.mPossibleTasks.emplace({ kTask });
  owner.mShard.RestoreWorker(note);
  owner.mShard.RestoreFormerOwner(RecordingOwner(kFormer));
  owner.CountStarts();
  CHECK_EQUAL(1U, owner.mShard.FormerOwnersToAsk().size());
}

// Guards against a wait for an owner that only read that the worker exists.
TEST(LastUserTest, AnOwnerThatNeverHeardFromANewWorkerIsNotItsLastUser)
{
  SingleWorkerShard owner;
  owner.ReadWorkerList();
  const UsedWorkerRecord record = owner.NextRecord();
  const bool namesOwner = record.mLastUser == ShardSchedulerOptions().mEpoch;
  CHECK(!namesOwner || record.mRemainingLease == Milliseconds(0));
}

// Guards against a wait that starts anew with each claim: the first owner could
// append nothing any more when the second one appended.
TEST(LastUserTest, AnOwnerAppendsNothingAfterItsSuccessorDid)
{
  FormerOwners owners;
  const WorkerTable workers{ LeaseTerms() };
  const MonotonicTime secondAppended{ std::chrono::seconds(100) };
  const MonotonicTime claimed = secondAppended + Milliseconds(5000);
  owners.Add(RecordingOwner(Epoch(1)));
  owners.Add(RecordingOwner(Epoch(2)));
  owners.OnLastProof(Epoch(1), claimed, RunsEndEvidence::kClaimed);
  owners.OnLastProof(Epoch(2), claimed, RunsEndEvidence::kClaimed);
  owners.OnLastProof(Epoch(2), secondAppended, RunsEndEvidence::kObserved);
  const auto end = owners.RunsEndBy(kWorker, Epoch(1), workers);
  CHECK(end.has_value());
  CHECK(*end <= workers.EndOfRunsProvedAt(secondAppended));
}

// Guards against waits that begin anew during an upgrade: an owner that names
// itself hands on a note of a worker that it has not heard from, and whose
// record names no user.
TEST(LastUserTest, TheNoteOfAnUnheardWorkerRulesItsWriterOut)
{
  SingleWorkerShard owner;
  UsedWorkerRecord former = PlainRecord(owner);
  former.mLastUser.reset();
  owner.mShard.RestoreWorker(former);
  owner.mShard.RestoreFormerOwner(RecordingOwner(kFormer));
  owner.mNow += Milliseconds(2500);
  const UsedWorkerRecord note = owner.NextRecord();
  CHECK(note.mLastUser.has_value());
}

// Guards against a start on a new incarnation of its worker, which may last for
// the longest lease from its arrival, that outlasts the wait for an owner that
// has ended (TWICE).
TEST(LastUserTest, TheWaitForAnEndedOwnerCoversAStartOnARestartedWorker)
{
  FormerOwners owners;
  const LeaseTerms terms;
  const WorkerTable workers{ terms };
  const MonotonicTime endedBy{ std::chrono::seconds(100) };
  owners.Add(RecordingOwner(kFormer));
  owners.OnEnded(kFormer, endedBy);
  const Milliseconds longest(terms.mMaxGranted.count() * 1000 /
                             (1000 - terms.mClockDriftPerMille));
  const auto end = owners.RunsEndBy(kWorker, kFormer, workers);
  CHECK(end.has_value());
  CHECK(endedBy + longest <= *end);
}

// The same between owners. The log is away, so the first owner does not read
// that the worker has restarted, and starts plain tasks there.
TEST(LastUserTest, AStartOnARestartedWorkerEndsBeforeTheWaitForAnEndedOwner)
{
  TakeoverSimulation sim(2);
  JobGraph job = OneStepJob("j", 1, 1000);
  job.mSteps.push_back(job.mSteps[0]);
  job.mSteps[1].mCount = 64;
  job.mSteps[1].mDemand = Resources{ 100, 100, 0 };
  job.mSteps[1].mDependsOn = { 0 };
  sim->Submit(job);
  sim->RunFor(Milliseconds(3000));
  const WorkerId first = sim.WorkerOf(TaskOf("j", 0));
  const WorkerId restarted = sim.IdOf(first == sim.IdOf(0) ? 1 : 0);
  SimulatedWorker& worker = sim->Worker(sim.IndexOf(restarted));
  SimulatedOwner& owner = sim->Owner(0);
  owner.mCanAppend = false;
  sim->RunFor(Milliseconds(1000));
  sim->RestartWorker(restarted);
  owner.mNextRenewalAt[restarted] = sim->Now() + Milliseconds(1500);
  sim.EndRunsOf(first);
  const MonotonicTime renewalAt = owner.mNextRenewalAt[restarted];
  while (worker.mRuns.empty() && sim->Now() < renewalAt) {
    sim->Step();
  }
  CHECK(!worker.mRuns.empty());
  sim.KillOwner();
  SimulatedOwner& next = sim.LoadOwner();
  next.mShard->OnFormerOwnerEnded(
    FormerOwnerEnd{ owner.mEpoch, sim->Now(), sim->Now() });
  next.mLinks[restarted] = LinkState::kDisconnected;
  sim->RunFor(kSettleTime);
  STRCMP_EQUAL("", sim.AllViolations().c_str());
}

// Guards against a take-over that ends every run: the log goes away once it has
// taken the claim, for less long than the proof allows leases to last.
TEST(LastUserTest, LeasesAreRenewedIfTheLogGoesAwayRightAfterTheClaim)
{
  FullCluster cluster;
  const size_t before = cluster->RunningOf(JobId("lasting"));
  cluster.ReplaceOwner(kTakeoverDelay);
  cluster->Owner(1).mAppendsFail = true;
  cluster->RunFor(Milliseconds(7000));
  CHECK_EQUAL(before, cluster->RunningOf(JobId("lasting")));
}

} // namespace mulberryvalve
