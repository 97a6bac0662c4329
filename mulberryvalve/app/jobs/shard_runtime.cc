#include "mulberryvalve/app/jobs/shard_runtime.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// Deadlines that no message announces are looked at this often.
constexpr Milliseconds kTick{ 100 };
// The longest pause between two passes while there is something to decide.
constexpr Milliseconds kMaxPassGap{ 100 };
// Changes that come within this time share an append.
constexpr Milliseconds kAppendGap{ 25 };
constexpr Milliseconds kRetryAppend{ 150 };
// An owner that read the intake this long ago does not say that a job is
// unknown; the wait of a read and a repetition are shorter.
constexpr Milliseconds kIntakeFresh{ 2000 };

ShardNumber ShardOf(const std::string& aText, ShardNumber aShards)
{
  return static_cast<ShardNumber>(XXH64(aText.data(), aText.size(), 0) %
                                  aShards);
}

} // namespace

ShardNumber ShardOfJob(const JobId& aJob, ShardNumber aShards)
{
  return ShardOf(aJob.Text(), aShards);
}

ShardNumber ShardOfWorker(const WorkerId& aWorker, ShardNumber aShards)
{
  return ShardOf(aWorker.Text(), aShards);
}

ShardRuntime::ShardRuntime(ShardRuntimeOptions aOptions,
                           ShardRuntimePorts aPorts)
  : mOptions(std::move(aOptions))
  , mPorts(aPorts)
  , mMeter(aPorts.mMetrics, aPorts.mClock.Now())
  , mWatch(aPorts.mMetrics, aPorts.mClock.Now())
  , mConfig(aPorts.mConfig.Present())
  , mLanes(*this, aPorts.mWorkers)
{
}

ShardRuntime::~ShardRuntime()
{
  BeginStop();
  if (mMain.joinable()) {
    mMain.join();
  }
}

void ShardRuntime::Start()
{
  mMain = std::thread([this] { Run(); });
}

void ShardRuntime::OnProof(MonotonicTime aSentAt)
{
  mProof.Raise(aSentAt);
  const MonotonicTime now = mPorts.mClock.Now();
  mWatch.OnContact(now);
  ReportStall();
  if (!mOver && mWatch.IsStuck(now, mOptions.mStallLimit)) {
    mMustLeave = true;
    mOver = true;
    LogGivenUp("its work does not advance");
  }
}

void ShardRuntime::BeginStop()
{
  MutexLock lock(mMutex);
  mStopping = true;
  mOver = true;
  mLanes.BeginStop();
  mCond.NotifyAll();
  mWriteCond.NotifyAll();
  mDecideCond.NotifyAll();
}

PeerAnswer ShardRuntime::Answer(const PeerQuestion& aQuestion) const
{
  MutexLock lock(mMutex);
  PeerAnswer answer;
  const MonotonicTime now = mPorts.mClock.Now();
  if (mShard == nullptr || mOver || !ProvedAt(now)) {
    return answer;
  }
  const bool fresh = now < mIntakeReadAt + kIntakeFresh;
  switch (aQuestion.mKind) {
    case PeerQuestionKind::kJobPhase:
      answer.mPhase = mShard->Phase(aQuestion.mJob);
      // What is not known may be on the log unread.
      answer.mOwns = answer.mPhase.has_value() || fresh;
      break;
    case PeerQuestionKind::kWaitingJobs:
      answer.mWaiting = mShard->Waiting(aQuestion.mQueue);
      answer.mOwns = fresh;
      break;
  }
  return answer;
}

void ShardRuntime::Run()
{
  if (Claim() && Load()) {
    std::thread intake([this] { FollowIntake(); });
    std::thread workers([this] { FollowWorkers(); });
    std::thread decisions([this] { RunDecisions(); });
    WriteProgress();
    intake.join();
    workers.join();
    decisions.join();
  }
  BeginStop();
  mLanes.Stop();
  LogLast();
  mEnded = true;
}

bool ShardRuntime::Claim()
{
  const OwnerNote note{ mOptions.mEpoch, mOptions.mInstance };
  mWatch.Begin(OwnerActivity::kClaiming, mPorts.mClock.Now());
  while (true) {
    const MonotonicTime sentAt = mPorts.mClock.Now();
    mSequence = 1;
    const Result<void> claimed = AppendOnce({ mPorts.mCodec.Encode(note) });
    if (claimed) {
      mWatch.End(OwnerActivity::kClaiming, mPorts.mClock.Now());
      mProof.Raise(sentAt);
      mSequence++;
      LogEvent(EventLevel::kInfo, "shard_claimed", {});
      return true;
    }
    LogFaultOf(OwnerActivity::kClaiming, claimed.error());
    if (claimed.error().mKind == FailureKind::kNotOwner) {
      FindRival();
      GiveUp("a higher epoch has written");
      return false;
    }
    if (claimed.error().mKind == FailureKind::kConflict) {
      FindRival();
      GiveUp("the epoch has written before");
      return false;
    }
    if (!MendsByRepetition(claimed.error().mKind)) {
      GiveUpToOthers("the claim can't be written");
      return false;
    }
    if (!PauseUntil(Steady::now() + kRetryLoad)) {
      return false;
    }
  }
}

// One pass serves all that happened since the last one. The lock is free for
// as long as a pass took before the next begins, so that what happens meanwhile
// is taken in.
void ShardRuntime::RunDecisions()
{
  Steady::time_point earliest = Steady::now();
  Steady::time_point tick = earliest + kTick;
  while (AwaitDecision(earliest, tick)) {
    Decided decided;
    mWatch.Begin(OwnerActivity::kDeciding, mPorts.mClock.Now());
    {
      MutexLock lock(mMutex);
      const Steady::time_point begin = Steady::now();
      decided = Act();
      mMustDecide = mShard->HasMoreToPlace();
      const Steady::time_point end = Steady::now();
      NoteDelays(std::chrono::duration_cast<Microseconds>(end - begin));
      earliest = end + std::min<Steady::duration>(end - begin, kMaxPassGap);
      tick = end + kTick;
    }
    CarryOut(std::move(decided));
    mWatch.End(OwnerActivity::kDeciding, mPorts.mClock.Now());
    ReportStall();
  }
}

// Waits until aEarliest when something happened, else until aTick. Returns
// false when it is time to stop.
bool ShardRuntime::AwaitDecision(Steady::time_point aEarliest,
                                 Steady::time_point aTick)
{
  MutexLock lock(mMutex);
  while (!mStopping) {
    const Steady::time_point next = mMustDecide ? aEarliest : aTick;
    if (Steady::now() >= next) {
      return true;
    }
    mDecideCond.WaitUntil(mMutex, next);
  }
  return false;
}

void ShardRuntime::DecideSoon()
{
  mMustDecide = true;
  mDecideCond.NotifyOne();
}

void ShardRuntime::WriteProgress()
{
  while (true) {
    const Steady::time_point next = Steady::now() + kTick;
    ProgressBatch batch;
    {
      MutexLock lock(mMutex);
      while (!mStopping && !mShard->NeedsAppend() && Steady::now() < next) {
        mWriteCond.WaitUntil(mMutex, next);
      }
      if (mStopping) {
        return;
      }
      batch = mShard->TakeProgress(mPorts.mClock.Now());
    }
    if (batch.Empty()) {
      // Ends that change no record are settled by what is on the log already.
      if (!batch.mEnds.empty()) {
        TakeDurable(batch);
      }
      continue;
    }
    AppendProgress(batch);
    if (mOver || !PauseUntil(Steady::now() + kAppendGap)) {
      return;
    }
  }
}

void ShardRuntime::AppendProgress(const ProgressBatch& aBatch)
{
  const ProgressParts parts =
    PartsOf(aBatch, mPorts.mCodec, mPorts.mLog.Limits());
  for (const Failure& failure : parts.mTooLarge) {
    LogFault("record_too_large", failure);
  }
  for (const ProgressPart& part : parts.mParts) {
    if (!AppendPart(part)) {
      return;
    }
    TakeDurable(part.mBatch);
  }
  DropFromIntake(aBatch.mRetired);
}

// Returns false when the ownership is over.
bool ShardRuntime::AppendPart(const ProgressPart& aPart)
{
  if (aPart.mEntries.empty()) {
    return true;
  }
  mWatch.Begin(OwnerActivity::kAppending, mPorts.mClock.Now());
  while (true) {
    const MonotonicTime sentAt = mPorts.mClock.Now();
    const Result<void> done = AppendOnce(aPart.mEntries);
    if (done) {
      mWatch.End(OwnerActivity::kAppending, mPorts.mClock.Now());
      mProof.Raise(sentAt);
      break;
    }
    LogFaultOf(OwnerActivity::kAppending, done.error());
    if (done.error().mKind == FailureKind::kNotOwner) {
      GiveUp("a higher epoch has written");
      return false;
    }
    if (done.error().mKind == FailureKind::kConflict) {
      GiveUp("the log expects another sequence");
      return false;
    }
    if (!MendsByRepetition(done.error().mKind)) {
      GiveUpToOthers("the progress can't be written");
      return false;
    }
    // The same sequence again: it takes effect once, whatever became of it.
    if (!PauseUntil(Steady::now() + kRetryAppend)) {
      return false;
    }
  }
  mSequence++;
  return true;
}

void ShardRuntime::TakeDurable(const ProgressBatch& aBatch)
{
  MutexLock lock(mMutex);
  mShard->OnDurable(aBatch);
  for (const ProgressBatch::EndsTaken& ends : aBatch.mEnds) {
    mLanes.OnDurable(ends.mWorker);
  }
  DecideSoon();
}

Result<void> ShardRuntime::AppendOnce(const std::vector<KeyedEntry>& aEntries)
{
  mPorts.mMetrics.Add(Counter::kLogAppends, 1);
  mPorts.mMetrics.Add(Counter::kLogAppendRecords, aEntries.size());
  mWatch.NoteAppend(VolumeOf(aEntries));
  return mPorts.mLog.AppendFenced(
    FencedAppend{ Place(KeyedTopic::kProgress), mOptions.mEpoch, mSequence },
    aEntries);
}

void ShardRuntime::OpenLanes()
{
  if (mStopping) {
    return;
  }
  for (const auto& [id, room] : mShard->Workers().All()) {
    mLanes.Open(id);
  }
}

ShardRuntime::Decided ShardRuntime::Act()
{
  const std::shared_ptr<const ClusterConfig> config = mPorts.mConfig.Present();
  if (config != mConfig) {
    mConfig = config;
    mShard->OnConfig(*config);
  }
  const MonotonicTime now = mPorts.mClock.Now();
  OwnershipProof proof;
  proof.mProvedAt = mProof.ProvedAt();
  proof.mMayStart = ProvedAt(now) && !mStopping && config->mVersion > 0;
  Decided decided;
  decided.mOrders = mShard->Decide(proof, now, mPorts.mClock.WallNow());
  decided.mDecisions = mShard->TakeDecisions();
  if (mShard->IsFenced() && !mOver) {
    mOver = true;
    mStopping = true;
    mCond.NotifyAll();
    mDecideCond.NotifyAll();
    LogGivenUp("a worker obeys a newer owner");
  }
  if (mShard->NeedsAppend() || mStopping) {
    mWriteCond.NotifyAll();
  }
  return decided;
}

void ShardRuntime::CarryOut(Decided aDecided)
{
  for (TaskOrder& order : aDecided.mOrders) {
    mLanes.Post(std::move(order));
  }
  LogDecisions(aDecided.mDecisions);
}

bool ShardRuntime::ProvedAt(MonotonicTime aNow) const
{
  return aNow < mProof.ProvedAt() + mOptions.mProofLimit;
}

bool ShardRuntime::PauseUntil(Steady::time_point aUntil)
{
  MutexLock lock(mMutex);
  while (!mStopping && Steady::now() < aUntil) {
    mCond.WaitUntil(mMutex, aUntil);
  }
  return !mStopping;
}

void ShardRuntime::GiveUpToOthers(const char* aWhy)
{
  mMustLeave = true;
  GiveUp(aWhy);
}

void ShardRuntime::GiveUp(const char* aWhy)
{
  LogGivenUp(aWhy);
  BeginStop();
}

std::optional<HoldOrder> ShardRuntime::NextHold(const WorkerId& aWorker)
{
  MutexLock lock(mMutex);
  const MonotonicTime now = mPorts.mClock.Now();
  const WorkerRoom* room = mShard->Workers().Find(aWorker);
  const bool renewed = room != nullptr && room->mLapsesAt != MonotonicTime();
  if (renewed && !room->mTasks.empty() && !room->mSilent) {
    mMeter.Note(OwnerDelay::kRenewalGap,
                now - (room->mLapsesAt - mOptions.mLease.mLength -
                       mOptions.mLease.mMargin));
  }
  return mShard->NextHold(aWorker, ProvedAt(now) && !mStopping, now);
}

bool ShardRuntime::OnHold(const HoldOrder& aOrder,
                          const HoldReply& aReply,
                          MonotonicTime aSentAt)
{
  const MonotonicTime asked = mPorts.mClock.Now();
  MutexLock lock(mMutex);
  NoteWait(asked);
  mShard->OnHold(aOrder, aReply, aSentAt, mPorts.mClock.Now());
  DecideSoon();
  const WorkerRoom* room = mShard->Workers().Find(aOrder.mWorker);
  return room == nullptr || room->mDurable == room->mTaken;
}

bool ShardRuntime::MaySend(const TaskOrder& aOrder)
{
  MutexLock lock(mMutex);
  const MonotonicTime now = mPorts.mClock.Now();
  mMeter.Note(OwnerDelay::kOrderWait, now - aOrder.mDecidedAt);
  return !mStopping && ProvedAt(now) && mShard->IsWanted(aOrder, now);
}

void ShardRuntime::OnOrder(const TaskOrder& aOrder, const OrderReply& aReply)
{
  const MonotonicTime asked = mPorts.mClock.Now();
  MutexLock lock(mMutex);
  NoteWait(asked);
  const auto cancelled = mShard->CancelledAt(aOrder.mTask.mStep.mJob);
  if (cancelled && aReply.mOutcome == OrderOutcome::kAccepted) {
    mMeter.Note(OwnerDelay::kCancelToStop, asked - *cancelled);
  }
  mShard->OnOrder(aOrder, aReply, mPorts.mClock.Now());
  DecideSoon();
}

MonotonicTime ShardRuntime::Now() const
{
  return mPorts.mClock.Now();
}

} // namespace mulberryvalve
