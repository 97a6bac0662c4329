#include "mulberryvalve/app/jobs/shard_runtime.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// Interval of decision passes when nothing happens. It bounds the delay of
// timeouts, which no event announces.
constexpr Milliseconds kDecisionInterval{ 100 };
// Upper limit of the pause between two passes while a pass is requested.
constexpr Milliseconds kMaxPassDelay{ 100 };
// If the intake was last read longer ago, the owner does not report a job as
// unknown. Longer than one read with its timeout and a retry.
constexpr Milliseconds kMaxIntakeAge{ 2000 };

ShardNumber HashToShard(const std::string& aText, ShardNumber aShards)
{
  return static_cast<ShardNumber>(XXH64(aText.data(), aText.size(), 0) %
                                  aShards);
}

} // namespace

ShardNumber ShardOfJob(const JobId& aJob, ShardNumber aShards)
{
  return HashToShard(aJob.Text(), aShards);
}

ShardNumber ShardOfWorker(const WorkerId& aWorker, ShardNumber aShards)
{
  return HashToShard(aWorker.Text(), aShards);
}

ShardRuntime::ShardRuntime(ShardRuntimeOptions aOptions,
                           ShardRuntimePorts aPorts)
  : mOptions(std::move(aOptions))
  , mPorts(aPorts)
  , mStamp(OwnershipRecord{ mOptions.mEpoch,
                            mOptions.mInstance,
                            mOptions.mPeer,
                            mOptions.mProcess },
           aPorts.mClock.Now())
  , mDelays(aPorts.mMetrics, aPorts.mClock.Now())
  , mWatchdog(aPorts.mMetrics, aPorts.mClock.Now())
  , mConfig(aPorts.mConfig.Current())
  , mSender(*this, aPorts.mWorkers)
{
}

ShardRuntime::~ShardRuntime()
{
  BeginStop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void ShardRuntime::Start()
{
  mThread = std::thread([this] { Run(); });
}

void ShardRuntime::OnOwnershipProof(MonotonicTime aSentAt)
{
  mLastProof.AdvanceTo(aSentAt);
  const MonotonicTime now = mPorts.mClock.Now();
  mWatchdog.OnGroupReply(now);
  ReportStall();
  if (!mIsOwnershipOver && mWatchdog.IsStuck(now, mOptions.mStallTimeout)) {
    mShouldLeaveGroup = true;
    mIsOwnershipOver = true;
    LogGiveUp("its work does not advance");
  }
}

void ShardRuntime::OnSuperseded()
{
  GiveUp("a peer has claimed the shard");
}

void ShardRuntime::BeginStop()
{
  MutexLock lock(mMutex);
  mStopping = true;
  mIsOwnershipOver = true;
  mSender.BeginStop();
  mStopCond.NotifyAll();
  mWriteCond.NotifyAll();
  mDecideCond.NotifyAll();
}

PeerQueryResult ShardRuntime::Answer(const PeerQuery& aQuestion) const
{
  MutexLock lock(mMutex);
  PeerQueryResult answer;
  const MonotonicTime now = mPorts.mClock.Now();
  answer.mOwner = mStamp.AgeAt(now);
  if (mShard == nullptr || mIsOwnershipOver || !IsProofValidAt(now)) {
    return answer;
  }
  const bool isIntakeRecent = now < mIntakeReadAt + kMaxIntakeAge;
  switch (aQuestion.mKind) {
    case PeerQueryKind::kJobPhase:
      answer.mPhase = mShard->Phase(aQuestion.mJob);
      // A job that is not known may be on the log but not read yet.
      answer.mOwns = answer.mPhase.has_value() || isIntakeRecent;
      break;
    case PeerQueryKind::kWaitingJobs:
      answer.mWaiting = mShard->Waiting(aQuestion.mQueue);
      answer.mOwns = isIntakeRecent;
      break;
    case PeerQueryKind::kOwnershipEnd:
      break; // answered by ShardMembership, which knows former epochs too
    case PeerQueryKind::kAppendIntake:
      answer.mOwns = true;
      break;
    case PeerQueryKind::kRoom:
      break; // answered by GiveRoom
  }
  return answer;
}

void ShardRuntime::Run()
{
  if (Claim() && Load()) {
    std::thread intake([this] { FollowIntake(); });
    std::thread workers([this] { FollowWorkers(); });
    std::thread formerOwners([this] { FollowFormerOwners(); });
    std::thread room([this] { FollowRoom(); });
    std::thread decisions([this] { RunDecisionPasses(); });
    RunProgressWriter();
    intake.join();
    workers.join();
    formerOwners.join();
    room.join();
    decisions.join();
  }
  BeginStop();
  mSender.Stop();
  LogEnd();
  RecordEnd();
  mHasEnded = true;
}

// Precondition: nothing is sent any more.
void ShardRuntime::RecordEnd()
{
  MutexLock lock(mMutex);
  auto end = std::make_shared<OwnershipEnd>();
  end->mEpoch = mOptions.mEpoch;
  end->mEndedAt = mPorts.mClock.Now();
  if (mShard != nullptr) {
    end->mSummary = mShard->Summary();
  }
  mEnd = std::move(end);
}

// Each pass handles everything that happened since the previous one. After a
// pass, mMutex stays free for at least the duration of that pass, up to
// kMaxPassDelay, so that replies and new jobs can be processed.
void ShardRuntime::RunDecisionPasses()
{
  Steady::time_point earliest = Steady::now();
  Steady::time_point decisionDue = earliest + kDecisionInterval;
  while (WaitForDecisionPass(earliest, decisionDue)) {
    PassResult result;
    mWatchdog.Begin(OwnerActivity::kDeciding, mPorts.mClock.Now());
    {
      MutexLock lock(mMutex);
      const Steady::time_point begin = Steady::now();
      result = RunDecisionPass();
      mIsPassRequested = mShard->HasMoreToPlace();
      const Steady::time_point end = Steady::now();
      RecordDelays(std::chrono::duration_cast<Microseconds>(end - begin));
      earliest = end + std::min<Steady::duration>(end - begin, kMaxPassDelay);
      decisionDue = end + kDecisionInterval;
    }
    DispatchDecisions(std::move(result));
    mWatchdog.End(OwnerActivity::kDeciding, mPorts.mClock.Now());
    ReportStall();
  }
  mPorts.mHeldTasks.OnOwnershipOver(mOptions.mShard, mOptions.mEpoch);
  mPorts.mAccounts.OnOwnershipOver(mOptions.mShard, mOptions.mEpoch);
}

// Waits until aEarliest if a pass is requested, otherwise until aDecisionDue.
// Returns false if the owner is stopping.
bool ShardRuntime::WaitForDecisionPass(Steady::time_point aEarliest,
                                       Steady::time_point aDecisionDue)
{
  MutexLock lock(mMutex);
  while (!mStopping) {
    const Steady::time_point next = mIsPassRequested ? aEarliest : aDecisionDue;
    if (Steady::now() >= next) {
      return true;
    }
    mDecideCond.WaitUntil(mMutex, next);
  }
  return false;
}

void ShardRuntime::RequestDecisionPass()
{
  mIsPassRequested = true;
  mDecideCond.NotifyOne();
}

void ShardRuntime::StartRenewals()
{
  if (mStopping) {
    return;
  }
  for (const auto& [id, room] : mShard->Workers().All()) {
    mSender.StartRenewals(id);
  }
}

ShardRuntime::PassResult ShardRuntime::RunDecisionPass()
{
  const std::shared_ptr<const ClusterConfig> config = mPorts.mConfig.Current();
  if (config != mConfig) {
    mConfig = config;
    mShard->OnConfig(*config);
  }
  const MonotonicTime now = mPorts.mClock.Now();
  OwnershipProof proof;
  proof.mProvedAt = mLastProof.ProvedAt();
  proof.mRecordedAt = mLastRecord.ProvedAt();
  proof.mMayStart = IsProofValidAt(now) && !mStopping && config->mVersion > 0;
  PassResult result;
  result.mOrders = mShard->Decide(proof, now, mPorts.mClock.WallNow());
  result.mDecisions = mShard->TakeDecisions();
  if (mShard->IsFenced() && !mIsOwnershipOver) {
    mIsOwnershipOver = true;
    mStopping = true;
    mStopCond.NotifyAll();
    mDecideCond.NotifyAll();
    LogGiveUp("a worker has accepted a newer owner");
  }
  if (mShard->NeedsAppend() || mStopping) {
    mWriteCond.NotifyAll();
  }
  return result;
}

void ShardRuntime::DispatchDecisions(PassResult aResult)
{
  for (TaskOrder& order : aResult.mOrders) {
    mSender.Enqueue(std::move(order));
  }
  LogDecisions(aResult.mDecisions);
}

bool ShardRuntime::IsProofValidAt(MonotonicTime aNow) const
{
  return aNow < mLastProof.ProvedAt() + mOptions.mProofLimit;
}

bool ShardRuntime::SleepUntil(Steady::time_point aUntil)
{
  MutexLock lock(mMutex);
  while (!mStopping && Steady::now() < aUntil) {
    mStopCond.WaitUntil(mMutex, aUntil);
  }
  return !mStopping;
}

void ShardRuntime::GiveUpAndLeaveGroup(const char* aReason)
{
  mShouldLeaveGroup = true;
  GiveUp(aReason);
}

void ShardRuntime::GiveUp(const char* aReason)
{
  LogGiveUp(aReason);
  BeginStop();
}

std::optional<RenewalRequest> ShardRuntime::NextRenewal(const WorkerId& aWorker)
{
  MutexLock lock(mMutex);
  const MonotonicTime now = mPorts.mClock.Now();
  const WorkerEntry* room = mShard->Workers().Find(aWorker);
  const bool renewed =
    room != nullptr && room->mLeasesExpiredAt != MonotonicTime();
  if (renewed && !room->mTasks.empty() && !room->mSilent) {
    mDelays.Observe(OwnerDelay::kRenewalGap,
                    now - (room->mLeasesExpiredAt - mOptions.mLease.mLength -
                           mOptions.mLease.mMargin));
  }
  return mShard->NextRenewal(aWorker, IsProofValidAt(now) && !mStopping, now);
}

bool ShardRuntime::OnRenewalReply(const RenewalRequest& aOrder,
                                  const RenewalReply& aReply,
                                  MonotonicTime aSentAt)
{
  const MonotonicTime receivedAt = mPorts.mClock.Now();
  MutexLock lock(mMutex);
  RecordLockWait(receivedAt);
  mShard->OnRenewalReply(aOrder, aReply, aSentAt, mPorts.mClock.Now());
  RequestDecisionPass();
  const WorkerEntry* room = mShard->Workers().Find(aOrder.mWorker);
  return room == nullptr || room->mLastDurableEnd == room->mLastProcessedEnd;
}

bool ShardRuntime::MaySend(const TaskOrder& aOrder)
{
  MutexLock lock(mMutex);
  const MonotonicTime now = mPorts.mClock.Now();
  mDelays.Observe(OwnerDelay::kOrderWait, now - aOrder.mDecidedAt);
  return !mStopping && IsProofValidAt(now) &&
         mShard->IsStillNeeded(aOrder, now);
}

void ShardRuntime::OnOrderAnswered(const TaskOrder& aOrder,
                                   const OrderReply& aReply)
{
  const MonotonicTime receivedAt = mPorts.mClock.Now();
  MutexLock lock(mMutex);
  RecordLockWait(receivedAt);
  const auto cancelled = mShard->CancelledAt(aOrder.mTask.mStep.mJob);
  if (cancelled && aReply.mOutcome == OrderOutcome::kAccepted) {
    mDelays.Observe(OwnerDelay::kCancelToStop, receivedAt - *cancelled);
  }
  mShard->OnOrder(aOrder, aReply, mPorts.mClock.Now());
  RequestDecisionPass();
}

MonotonicTime ShardRuntime::Now() const
{
  return mPorts.mClock.Now();
}

} // namespace mulberryvalve
