#include "tests/schedules/fake_instance.h"
#include "tests/schedules/placement_fixture.h"

#include <algorithm>

namespace schedules {

using namespace mulberryvalve;

namespace {

constexpr int64_t kCommitWindow = 33 * kMs;
constexpr int64_t kPeerDeathDetection = 800 * kMs;
constexpr int kMaxNesting = 3;
constexpr Milliseconds kLease{ 3000 };
constexpr Milliseconds kRenewalWindow{ 6000 };

// A stream whose head is always confirmed, so that it never counts as stale.
template<typename F>
class AlwaysConfirmed : public StreamReplica<F>
{
public:
  AlwaysConfirmed(F aFold, const FakeInstance& aInstance)
    : StreamReplica<F>(std::move(aFold), aInstance)
    , mInstance(aInstance)
  {
  }
  MonotonicTime ConfirmedAt() const override { return mInstance.LocalTime(); }

private:
  const FakeInstance& mInstance;
};

template<typename F>
std::unique_ptr<StreamReplica<F>> MakeStream(F aFold,
                                             const FakeInstance& aInstance)
{
  if (aInstance.mWorld.mDisabled == DisabledMechanism::kNoStaleness) {
    return std::make_unique<AlwaysConfirmed<F>>(std::move(aFold), aInstance);
  }
  return std::make_unique<StreamReplica<F>>(std::move(aFold), aInstance);
}

ShardOwnerOptions OptionsOf(const FakeInstance& aInstance,
                            const ShardId& aShard)
{
  ShardOwnerOptions options;
  options.mSelf = aInstance.mSelf;
  options.mShard = aShard;
  options.mLease = kLease;
  options.mRenewalWindow = kRenewalWindow;
  const DisabledMechanism disabled = aInstance.mWorld.mDisabled;
  if (disabled == DisabledMechanism::kNoTakeoverWait) {
    options.mOwnership.mClockAllowance = -options.mOwnership.mHeadStaleness;
  }
  return options;
}

} // namespace

FakeAppender::FakeAppender(FakeInstance& aInstance,
                           std::string aStream,
                           StreamState& aState)
  : mInstance(aInstance)
  , mStream(std::move(aStream))
  , mState(aState)
{
}

void FakeAppender::Submit(std::vector<mulberryvalve::Record> aRecords,
                          Epoch aEpoch,
                          AppendDone aDone)
{
  Pending pending;
  for (mulberryvalve::Record& body : aRecords) {
    pending.mRecords.push_back(
      LogRecord{ RecordHeader{ mInstance.mSelf, 0, aEpoch, WallTime() },
                 std::move(body) });
  }
  pending.mDone = std::move(aDone);
  mQueue.push_back(std::move(pending));
  if (!mBusy) {
    mBusy = true;
    ScheduleBatch();
  }
}

void FakeAppender::ScheduleBatch()
{
  const int64_t now = mInstance.mWorld.mNow;
  mInstance.RunLater(std::max<int64_t>(0, mNextAt - now),
                     [this] { StartBatch(); });
}

void FakeAppender::StartBatch()
{
  mNextAt = mInstance.mWorld.mNow + kCommitWindow;
  mBatch.swap(mQueue);
  mRecords.clear();
  for (Pending& pending : mBatch) {
    for (LogRecord& record : pending.mRecords) {
      record.mHeader.mSequence = mNextSequence++;
      mRecords.push_back(record);
    }
  }
  TryAppend();
}

void FakeAppender::TryAppend()
{
  World& world = mInstance.mWorld;
  const bool reaches = mInstance.ReachesPlatform();
  const int64_t slow =
    world.mNow < world.mSlowUntil ? world.Uniform(200, 2000) * kMs : 0;
  const int64_t delay = slow + world.Uniform(2, 15) * kMs;
  const bool lostAfter =
    reaches ? world.FaultOccurs(6) : world.Random(100) < 30;
  const bool lateEffect =
    reaches ? world.FaultOccurs(4) : world.Random(100) < 10;
  if (reaches && !lostAfter && !lateEffect && !world.FaultOccurs(3)) {
    world.ScheduleAt(world.mNow + delay / 2, [this, delay] {
      const Offset first = mInstance.mWorld.Append(mStream, mRecords);
      mInstance.RunLater(delay / 2, [this, first] {
        if (mOutcomeUnknown) {
          ReadBack(mInstance.LocalTime());
        } else {
          Finish(first);
        }
      });
    });
    return;
  }
  if (lostAfter || lateEffect) {
    const int64_t effect =
      lateEffect ? world.Uniform(100, 5000) * kMs : delay / 2;
    world.ScheduleAt(world.mNow + effect, [this, records = mRecords] {
      mInstance.mWorld.Append(mStream, records);
    });
  }
  mInstance.RunLater(delay + world.Uniform(50, 1000) * kMs, [this] {
    mOutcomeUnknown = true;
    if (mInstance.mWorld.mDisabled == DisabledMechanism::kNoReadBack) {
      for (LogRecord& record : mRecords) {
        record.mHeader.mSequence = mNextSequence++;
      }
      mOutcomeUnknown = false;
      TryAppend();
      return;
    }
    ReadBack(mInstance.LocalTime());
  });
}

void FakeAppender::ReadBack(MonotonicTime aFailedAt)
{
  if (mInstance.ConfirmedAt(mState) < aFailedAt) {
    mInstance.RunLater(50 * kMs, [this, aFailedAt] { ReadBack(aFailedAt); });
    return;
  }
  const WriterPosition newest = mState.Newest(mInstance.mSelf);
  if (newest.mSequence >= mRecords.back().mHeader.mSequence) {
    Finish(Offset(newest.mOffset.Value() - (mRecords.size() - 1)));
    return;
  }
  TryAppend();
}

void FakeAppender::Finish(Offset aFirst)
{
  const std::deque<Pending> batch = std::move(mBatch);
  mOutcomeUnknown = false;
  mBatch.clear();
  uint64_t before = 0;
  for (const Pending& pending : batch) {
    pending.mDone(Offset(aFirst.Value() + before));
    before += pending.mRecords.size();
  }
  mBusy = !mQueue.empty();
  if (mBusy) {
    ScheduleBatch();
  }
}

CheckedBundle FakeInstance::Read(const std::string&) const
{
  return { BundleWithoutRequestReserve(), {} };
}

FakeInstance::FakeInstance(World& aWorld,
                           Fleet& aFleet,
                           WriterId aSelf,
                           DomainId aDomain)
  : mWorld(aWorld)
  , mFleet(aFleet)
  , mSelf(std::move(aSelf))
  , mDomain(std::move(aDomain))
  , mOffset(aWorld.Uniform(1000, 1'000'000) * kMs)
  , mRatePpm(aWorld.Uniform(-100, 100))
{
  mConfig = MakeStream(ConfigStateMachine(), *this);
  mConfigWriter =
    std::make_unique<FakeAppender>(*this, ConfigStream().Text(), *mConfig);
  for (const ShardId& shard : mFleet.mShards.Shards()) {
    mLedgers[shard] = MakeStream(ShardStateMachine(shard), *this);
    mWriters[shard] = std::make_unique<FakeAppender>(
      *this, ShardMap::StreamOf(shard).Text(), *mLedgers[shard]);
    const ShardOwnerOptions options = OptionsOf(*this, shard);
    mOwners[shard] =
      std::make_unique<ShardOwner>(options,
                                   ShardOwnerPorts{ *mLedgers[shard],
                                                    *mConfig,
                                                    *mWriters[shard],
                                                    *this,
                                                    mFleet.mShards,
                                                    *this,
                                                    *this,
                                                    *this,
                                                    *this,
                                                    *this,
                                                    *this,
                                                    *this,
                                                    *this },
                                   MakeColocation());
  }
}

FakeInstance::~FakeInstance() = default;

void FakeInstance::Begin()
{
  Poll(ConfigStream().Text(), *mConfig);
  for (auto& [shard, ledger] : mLedgers) {
    Poll(ShardMap::StreamOf(shard).Text(), *ledger);
    Round(*mOwners[shard]);
  }
}

void FakeInstance::RunLater(int64_t aDelay,
                            std::function<void()> aEvent,
                            EventThread aThread)
{
  mWorld.ScheduleAt(
    mWorld.mNow + aDelay, [this, aThread, event = std::move(aEvent)] {
      if (!mAlive) {
        return;
      }
      if (mWorld.mNow < mFrozenUntil) {
        const int64_t delay = mWorld.Random(5 * kMs);
        RunLater(mFrozenUntil - mWorld.mNow + delay, event, aThread);
      } else if (mDeciding && aThread == EventThread::kOther) {
        RunLater(10 * kMs, event, aThread);
      } else {
        event();
      }
    });
}

void FakeInstance::Kill()
{
  mAlive = false;
  mDiedAt = mWorld.mNow;
}

bool FakeInstance::ReachesPlatform() const
{
  return mWorld.mNow >= mPlatformCutUntil && mWorld.mNow >= mWorld.mOutageUntil;
}

MonotonicTime FakeInstance::LocalTime() const
{
  return MonotonicTime(
    Microseconds(mOffset + mWorld.mNow + mWorld.mNow * mRatePpm / 1'000'000));
}

// Simulates a pause of the reading thread, or of the whole process, right
// before or after the clock is read, while the rest of the system continues.
MonotonicTime FakeInstance::Now() const
{
  const MonotonicTime before = LocalTime();
  if (!mAlive || !mWorld.mFaultsEnabled || mWorld.mNestingDepth > kMaxNesting ||
      mWorld.Random(500) != 0) {
    return before;
  }
  auto* self = const_cast<FakeInstance*>(this);
  const bool decided = std::exchange(self->mDeciding, true);
  const int64_t until = mWorld.After(mWorld.Uniform(50, 4000) * kMs);
  if (mWorld.Random(2) == 0) {
    mFrozenUntil = std::max(mFrozenUntil, until);
  }
  mWorld.RunUntil(until);
  self->mDeciding = decided;
  return mWorld.Random(2) == 0 ? before : LocalTime();
}

void FakeInstance::Round(ShardOwner& aOwner)
{
  mDeciding = true;
  aOwner.RunRound();
  mDeciding = false;
  RunLater(mWorld.Uniform(40, 160) * kMs, [this, &aOwner] { Round(aOwner); });
}

void FakeInstance::Poll(const std::string& aStream, StreamState& aState)
{
  const MonotonicTime askedAt = LocalTime();
  const auto again = [this, aStream, &aState] { Poll(aStream, aState); };
  if (!ReachesPlatform()) {
    aState.OnReadFailed(Fail(FailureKind::kLogUnavailable));
    RunLater(mWorld.Uniform(100, 400) * kMs, again, EventThread::kFollower);
    return;
  }
  const bool slow = mWorld.mNow < mWorld.mSlowUntil;
  const int64_t travel = mWorld.Uniform(1, slow ? 1500 : 10) * kMs;
  mWorld.ScheduleAt(
    mWorld.mNow + travel, [this, aStream, &aState, askedAt, travel] {
      ArrivedPage arrived{ &aState,
                           mWorld.Page(aStream, aState.NextOffset()),
                           askedAt };
      const auto take = [this, arrived = std::move(arrived)] { Fold(arrived); };
      RunLater(travel, take, EventThread::kFollower);
    });
  RunLater(
    2 * travel + mWorld.Uniform(20, 150) * kMs, again, EventThread::kFollower);
}

void FakeInstance::Fold(ArrivedPage aArrived)
{
  const bool unfenced = mWorld.mDisabled == DisabledMechanism::kNoEpochFence;
  for (auto& [shard, ledger] : mLedgers) {
    if (!unfenced || ledger.get() != aArrived.mState) {
      continue;
    }
    for (StoredRecord& stored : aArrived.mPage.mRecords) {
      const bool claim =
        std::holds_alternative<ShardClaimed>(stored.mRecord.mBody);
      const ShardClaim held = ledger->Read(
        [](const ShardStateMachine& aLedger) { return aLedger.Claim(); });
      if (!claim && held.mEpoch != Epoch()) {
        stored.mRecord.mHeader.mWriter = held.mOwner;
        stored.mRecord.mHeader.mEpoch = held.mEpoch;
      }
      stored.mRecord.mHeader.mSequence = stored.mOffset.Value();
      ledger->OnPage(LogPage{ Offset(1), Offset(UINT64_MAX), { stored } },
                     aArrived.mAskedAt);
    }
  }
  aArrived.mState->OnPage(aArrived.mPage, aArrived.mAskedAt);
  if (aArrived.mState->NextOffset() >= aArrived.mPage.mNext) {
    mConfirmed[aArrived.mState] = aArrived.mAskedAt;
  }
}

MonotonicTime FakeInstance::ConfirmedAt(const StreamState& aState) const
{
  const auto found = mConfirmed.find(&aState);
  return found == mConfirmed.end() ? MonotonicTime() : found->second;
}

bool FakeInstance::Post(std::function<void()> aJob)
{
  if (mWorld.FaultOccurs(1)) {
    return false;
  }
  RunLater(mWorld.Uniform(0, 30) * kMs, std::move(aJob));
  return true;
}

void FakeInstance::BlockFor(int64_t aTime)
{
  if (mWorld.mNestingDepth <= kMaxNesting) {
    mWorld.RunUntil(mWorld.mNow + aTime);
    if (mAlive && mWorld.mNow < mFrozenUntil) {
      mWorld.RunUntil(mFrozenUntil);
    }
  }
}

template<typename T>
Result<T> FakeInstance::Call(
  const WorkerSpec& aWorker,
  const std::function<Result<T>(FakeWorker&)>& aEffect)
{
  FakeWorker& worker = *mFleet.mWorkers.at(aWorker.mId);
  BlockFor(mWorld.Uniform(1, 20) * kMs);
  if (!mAlive || worker.mDead || mWorld.mNow < worker.mCutUntil ||
      mWorld.FaultOccurs(3)) {
    return Fail(FailureKind::kWorkerUnreachable);
  }
  if (mWorld.mNow < worker.mFrozenUntil || mWorld.FaultOccurs(4)) {
    const int64_t delay = mWorld.Uniform(20, 6000) * kMs;
    const int64_t late = std::max(worker.mFrozenUntil - mWorld.mNow, delay);
    mWorld.ScheduleAt(mWorld.mNow + late, [&worker, aEffect] {
      if (!worker.mDead) {
        (void)aEffect(worker);
      }
    });
    BlockFor(mWorld.Uniform(100, 500) * kMs);
    return Fail(FailureKind::kWorkerAnswerLost);
  }
  Result<T> result = aEffect(worker);
  BlockFor(mWorld.Uniform(1, mWorld.FaultOccurs(5) ? 4000 : 20) * kMs);
  if (!mAlive || mWorld.FaultOccurs(5)) {
    return Fail(FailureKind::kWorkerAnswerLost);
  }
  return result;
}

int64_t FakeInstance::LeaseExcess() const
{
  constexpr int64_t kExcessMs = 20'000;
  return mWorld.mDisabled == DisabledMechanism::kNoLeaseEnd ? kExcessMs : 0;
}

Result<SyncReply> FakeInstance::Sync(const WorkerSpec& aWorker,
                                     const SyncRequest& aRequest)
{
  Result<SyncReply> reply =
    Call<SyncReply>(aWorker, [aRequest](FakeWorker& aTarget) {
      return aTarget.Sync(aRequest);
    });
  if (reply && mWorld.mDisabled == DisabledMechanism::kNoInventory) {
    reply.value().mRunning.clear();
  }
  return reply;
}

Result<void> FakeInstance::Start(const WorkerSpec& aWorker,
                                 const StartCommand& aCommand)
{
  StartCommand command = aCommand;
  command.mExpiresAt.mMilliseconds += LeaseExcess();
  return Call<void>(
    aWorker, [command](FakeWorker& aTarget) { return aTarget.Start(command); });
}

Result<void> FakeInstance::Stop(const WorkerSpec& aWorker,
                                const CommandFence& aFence,
                                const LeaseId& aLease)
{
  return Call<void>(aWorker, [aFence, aLease](FakeWorker& aTarget) {
    return aTarget.Stop(aFence, aLease);
  });
}

Result<CheckpointId> FakeInstance::Checkpoint(const WorkerSpec& aWorker,
                                              const CommandFence& aFence,
                                              const LeaseId& aLease)
{
  return Call<CheckpointId>(aWorker, [aFence, aLease](FakeWorker& aTarget) {
    return aTarget.Checkpoint(aFence, aLease);
  });
}

bool FakeInstance::IsAlive(const WriterId& aWriter) const
{
  if (aWriter == mSelf) {
    return true;
  }
  if (mWorld.mNow < mPeersCutUntil || mWorld.FaultOccurs(2)) {
    return false;
  }
  for (const auto& life : mFleet.mInstances) {
    if (life->mSelf == aWriter) {
      const int64_t gone = life->mAlive ? mWorld.mNow : life->mDiedAt;
      return mWorld.mNow < gone + kPeerDeathDetection &&
             mWorld.mNow >= life->mFrozenUntil;
    }
  }
  return false;
}

bool FakeInstance::Prefers(const ShardId&,
                           const DomainId& aDomain,
                           const WriterId& aSelf) const
{
  if (mWorld.FaultOccurs(10)) {
    return mWorld.Random(2) == 0;
  }
  for (const auto& life : mFleet.mInstances) {
    if (life->mDomain == aDomain && life->mAlive && !life->mLeaving &&
        (life->mSelf == aSelf || IsAlive(life->mSelf))) {
      return life->mSelf == aSelf;
    }
  }
  return false;
}

WorkersOfDomain FakeInstance::InDomain(const DomainId& aDomain) const
{
  return mFleet.mWorkerLists.at(aDomain);
}

void FakeInstance::AppendTo(const ShardId& aShard,
                            std::vector<mulberryvalve::Record> aRecords,
                            AppendDone aDone)
{
  mWriters.at(aShard)->Submit(std::move(aRecords), Epoch(), std::move(aDone));
}

} // namespace schedules
