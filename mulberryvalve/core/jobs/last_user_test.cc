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
  second.mShard->OnFormerOwnerEnded(sim->Owner(0).mEpoch, sim->Now());
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

} // namespace mulberryvalve
