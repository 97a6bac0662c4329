#include "mulberryvalve/app/jobs/shard_membership.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// A member that is given a shard anew at the same generation counts on within
// these.
constexpr uint64_t kEpochsPerGeneration = 64;
constexpr Milliseconds kStartSpread{ 600 };
// A look that was found to be out of date is repeated after this.
constexpr Milliseconds kLookAgain{ 250 };

} // namespace

ShardMembership::ShardMembership(ShardNumber aShard,
                                 const ShardKeeperOptions& aOptions,
                                 ShardGroup& aGroup,
                                 ShardBids& aBids,
                                 RandomSource& aRandom,
                                 ShardRuntimePorts aPorts)
  : mShard(aShard)
  , mOptions(aOptions)
  , mGroup(aGroup)
  , mBids(aBids)
  , mRandom(aRandom)
  , mPorts(aPorts)
{
}

ShardMembership::~ShardMembership()
{
  BeginStop();
  Stop();
}

void ShardMembership::Start()
{
  mStartedAt = Steady::now();
  mLooks = std::thread([this] { RunLooks(); });
  mJoins = std::thread([this] { RunJoins(); });
}

void ShardMembership::BeginStop()
{
  MutexLock lock(mMutex);
  mIsStopping = true;
  if (mRuntime != nullptr) {
    mRuntime->BeginStop();
  }
  mLookCond.NotifyAll();
  mJoinCond.NotifyAll();
}

void ShardMembership::Stop()
{
  if (mLooks.joinable()) {
    mLooks.join();
  }
  if (mJoins.joinable()) {
    mJoins.join();
  }
  std::vector<std::shared_ptr<ShardRuntime>> ending;
  MutexLock lock(mMutex);
  ending.swap(mEnding);
}

MonotonicTime ShardMembership::LastContact() const
{
  MutexLock lock(mMutex);
  return mLastContact;
}

std::optional<Endpoint> ShardMembership::Owner() const
{
  MutexLock lock(mMutex);
  return mOwner;
}

void ShardMembership::Doubt()
{
  MutexLock lock(mMutex);
  mIsStale = true;
  mLookCond.NotifyAll();
}

PeerAnswer ShardMembership::OnQuestion(const PeerQuestion& aQuestion)
{
  std::shared_ptr<ShardRuntime> runtime;
  {
    MutexLock lock(mMutex);
    runtime = mRuntime;
  }
  return runtime == nullptr ? PeerAnswer() : runtime->Answer(aQuestion);
}

void ShardMembership::RunLooks()
{
  WaitAtStart();
  do {
    Look();
  } while (PauseUntilLook());
}

// Instances that start together look at different times, so that the later
// ones see the first as a member.
void ShardMembership::WaitAtStart()
{
  const auto wait = static_cast<int64_t>(
    mRandom.Below(static_cast<uint64_t>(kStartSpread.count())));
  const Steady::time_point until = Steady::now() + Milliseconds(wait);
  MutexLock lock(mMutex);
  while (!mIsStopping && Steady::now() < until) {
    mLookCond.WaitUntil(mMutex, until);
  }
}

// Returns false when it is time to stop.
bool ShardMembership::PauseUntilLook()
{
  const Steady::time_point now = Steady::now();
  const Steady::time_point next = NextLook(now);
  const Steady::time_point soon = std::min(next, now + kLookAgain);
  MutexLock lock(mMutex);
  ReapEnded();
  while (!mIsStopping) {
    const Steady::time_point until = mIsStale ? soon : next;
    if (!NeedsLook()) {
      mLookCond.Wait(mMutex);
    } else if (Steady::now() >= until) {
      break;
    } else {
      mLookCond.WaitUntil(mMutex, until);
    }
  }
  return !mIsStopping;
}

// Weak instances, which are many, look at one shard after the other.
Steady::time_point ShardMembership::NextLook(Steady::time_point aNow) const
{
  if (!mBids.IsWeak()) {
    return aNow + mOptions.mLookInterval;
  }
  const Steady::duration round =
    mOptions.mWeakLookInterval * mOptions.mOwner.mShards;
  const Steady::duration turn =
    mOptions.mWeakLookInterval * mShard + mBids.Phase(round);
  const Steady::duration past = (aNow - mStartedAt - turn) % round;
  const bool isBeforeTurn = past < Steady::duration::zero();
  return aNow + (isBeforeTurn ? -past : round - past);
}

// A member learns from its joins; it looks only when these leave a question.
bool ShardMembership::NeedsLook() const
{
  return mState == MemberState::kOut || mIsStale;
}

void ShardMembership::Look()
{
  const MonotonicTime sentAt = mPorts.mClock.Now();
  const Result<GroupView> view = mGroup.View(mShard);
  if (!view) {
    OnUnreachable("look", view.error());
    return;
  }
  TakeView(view.value(), sentAt);
}

void ShardMembership::TakeView(const GroupView& aView, MonotonicTime aSentAt)
{
  const MonotonicTime now = mPorts.mClock.Now();
  MutexLock lock(mMutex);
  mLastContact = std::max(mLastContact, aSentAt);
  mIsReachable = true;
  if (mIsStopping || aSentAt < mChangedAt) {
    return;
  }
  mIsStale = false;
  mOwner.reset();
  if (aView.mOwner) {
    mOwner = aView.mOwner->mPeer;
  }
  mBids.OnView(mShard, aView, now);
  mState = StateAfter(aView, aSentAt);
  if (mState != MemberState::kOut) {
    mJoinCond.NotifyAll();
  }
}

// A member that was away looks before it joins, and waits while it can't: to
// join a group that has found another owner would move the shard.
MemberState ShardMembership::StateAfter(const GroupView& aView,
                                        MonotonicTime aSentAt)
{
  const MonotonicTime now = mPorts.mClock.Now();
  if (mState == MemberState::kOut) {
    mBid = mBids.Bid(mShard, now);
    if (mBid == BidKind::kNone) {
      return mState;
    }
    mCheckedAt = aSentAt;
    mPatientUntil = now + mOptions.mBids.mHandOver;
    LogEvent("group_joining",
             { { "why", std::string(kBidKindNames.Name(mBid)) } });
    return MemberState::kMember;
  }
  if (mState != MemberState::kMember) {
    return mState;
  }
  const bool isOthers =
    aView.mOwner && aView.mOwner->mPeer != mOptions.mSelf.mPeer;
  if (mRuntime != nullptr && isOthers) {
    LogEvent("group_left", { { "why", "another owns the shard" } });
    return IsAbsent() ? MemberState::kLost : MemberState::kLeaving;
  }
  if (mRuntime != nullptr && mBids.Yields(mShard, aView)) {
    LogEvent("group_left", { { "why", "another member is the better owner" } });
    return MemberState::kLeaving;
  }
  if (mRuntime == nullptr && !mBids.Relieves(mShard, aView)) {
    LogEvent("group_left", { { "why", "the owner is as good" } });
    return MemberState::kLeaving;
  }
  mCheckedAt = aSentAt;
  return mState;
}

// The interval counts from the sending of the last call, so that one without an
// answer is repeated before the group's patience is over.
void ShardMembership::RunJoins()
{
  Steady::time_point next = Steady::now() + mOptions.mJoinInterval;
  while (PauseUntilJoin(next)) {
    next = Steady::now() + mOptions.mJoinInterval;
    bool isMember = false;
    {
      MutexLock lock(mMutex);
      isMember = mState == MemberState::kMember;
    }
    if (isMember) {
      Join();
    } else {
      Withdraw();
    }
  }
  bool isOut = false;
  {
    MutexLock lock(mMutex);
    isOut = mState == MemberState::kOut;
  }
  if (!isOut) {
    Withdraw();
  }
}

// Waits until the join of aNext or the end of the membership is due; returns
// false when it is time to stop.
bool ShardMembership::PauseUntilJoin(Steady::time_point aNext)
{
  MutexLock lock(mMutex);
  const bool wasOut = mState == MemberState::kOut;
  while (!mIsStopping) {
    if (mState == MemberState::kOut) {
      mJoinCond.Wait(mMutex);
      continue;
    }
    if (mState != MemberState::kMember) {
      break;
    }
    if (wasOut || Steady::now() >= aNext) {
      if (!IsAbsent()) {
        break;
      }
      mIsStale = true;
      mLookCond.NotifyAll();
      mJoinCond.Wait(mMutex);
      continue;
    }
    mJoinCond.WaitUntil(mMutex, aNext);
  }
  return !mIsStopping;
}

// Tells whether the group may have removed this member.
bool ShardMembership::IsAbsent() const
{
  return mPorts.mClock.Now() >
         std::max(mJoinedAt, mCheckedAt) + mOptions.mMemberTtl;
}

void ShardMembership::Join()
{
  Generation known;
  {
    MutexLock lock(mMutex);
    known = mGeneration;
  }
  const MonotonicTime sentAt = mPorts.mClock.Now();
  const Result<GroupShare> share = mGroup.Join(mShard, known);
  if (!share) {
    OnUnreachable("join", share.error());
    return;
  }
  TakeShare(share.value(), sentAt);
}

void ShardMembership::TakeShare(const GroupShare& aShare, MonotonicTime aSentAt)
{
  MutexLock lock(mMutex);
  mLastContact = std::max(mLastContact, aSentAt);
  if (mRuntime != nullptr) {
    mPorts.mMetrics.Record(Timing::kJoinGapUs, aSentAt - mJoinedAt);
  }
  mJoinedAt = aSentAt;
  mChangedAt = aSentAt;
  if (!std::exchange(mIsReachable, true)) {
    LogEvent("group_reached",
             { { "generation", std::to_string(aShare.mGeneration.Value()) } });
  }
  mGeneration = aShare.mGeneration;
  if (mIsStopping || mState != MemberState::kMember) {
    return;
  }
  if (aShare.mHoldsShard) {
    OnShardHeld(aShare.mGeneration, aSentAt);
  } else {
    OnShardNotHeld(aSentAt);
  }
  mIsStale = !aShare.mIsAlone;
  if (mIsStale) {
    mLookCond.NotifyAll();
  }
}

void ShardMembership::OnShardHeld(Generation aGeneration, MonotonicTime aSentAt)
{
  mOwner = mOptions.mSelf.mPeer;
  mBids.OnHeld(mShard, aSentAt);
  CountOwned();
  if (mRuntime != nullptr) {
    mRuntime->OnProof(aSentAt);
  }
  if (mRuntime != nullptr && mRuntime->MustLeave()) {
    HandOver();
    return;
  }
  if (mRuntime != nullptr && mRuntime->Advances()) {
    mBids.OnAdvance(mShard, aSentAt);
  }
  if (mRuntime != nullptr && mRuntime->IsOver()) {
    EndRuntime();
  }
  if (mRuntime == nullptr) {
    OpenRuntime(aGeneration);
  }
}

// Another instance may be able to do what this one can't.
void ShardMembership::HandOver()
{
  LogEvent("group_left", { { "why", "the shard's work can't be done here" } });
  EndRuntime();
  mState = MemberState::kLeaving;
}

void ShardMembership::OnShardNotHeld(MonotonicTime aSentAt)
{
  if (mRuntime != nullptr) {
    // Dealt anew, the shard may come back; a look tells if another owns it.
    EndRuntime();
    mBid = BidKind::kRelieve;
    mPatientUntil = aSentAt + mOptions.mBids.mHandOver;
  }
  const bool waits = mBid == BidKind::kRelieve && aSentAt < mPatientUntil;
  if (!waits) {
    LogEvent("group_left", { { "why", "the shard is not given" } });
    mState = MemberState::kLeaving;
  }
}

void ShardMembership::Withdraw()
{
  bool mustLeave = false;
  {
    MutexLock lock(mMutex);
    EndRuntime();
    mustLeave = mState != MemberState::kLost;
  }
  if (mustLeave) {
    const Result<void> left = mGroup.Leave(mShard);
    if (!left) {
      LogFault("leave", left.error());
    }
  }
  const MonotonicTime now = mPorts.mClock.Now();
  MutexLock lock(mMutex);
  mState = MemberState::kOut;
  mIsStale = true;
  mChangedAt = now;
  mBids.Drop(mShard, now);
  CountOwned();
  mLookCond.NotifyAll();
}

void ShardMembership::OpenRuntime(Generation aGeneration)
{
  // One generation gives a shard to one member only, so the numbers of two
  // members' epochs differ.
  const Epoch given(aGeneration.Value() * kEpochsPerGeneration);
  ShardRuntimeOptions options = mOptions.mOwner;
  options.mShard = mShard;
  options.mEpoch = std::max(given, mLeastEpoch);
  mLeastEpoch = options.mEpoch.Next();
  mRuntime = std::make_shared<ShardRuntime>(options, mPorts);
  LogEvent("shard_given",
           { { "generation", std::to_string(aGeneration.Value()) },
             { "epoch", std::to_string(options.mEpoch.Value()) } });
  mRuntime->Start();
}

void ShardMembership::EndRuntime()
{
  if (mRuntime == nullptr) {
    return;
  }
  const uint64_t rival = mRuntime->Rival().Value();
  if (rival > 0) {
    const Epoch above((rival / kEpochsPerGeneration + 1) *
                      kEpochsPerGeneration);
    mLeastEpoch = std::max(mLeastEpoch, above);
  }
  mRuntime->BeginStop();
  mEnding.push_back(std::move(mRuntime));
  mRuntime = nullptr;
}

void ShardMembership::CountOwned()
{
  mPorts.mMetrics.Set(Gauge::kShardsOwned, static_cast<int64_t>(mBids.Held()));
}

void ShardMembership::ReapEnded()
{
  const auto gone =
    std::remove_if(mEnding.begin(), mEnding.end(), [](const auto& aRuntime) {
      return aRuntime->Ended();
    });
  mEnding.erase(gone, mEnding.end());
}

// Only the first of several failures in a row is told.
void ShardMembership::OnUnreachable(const char* aWhat, const Failure& aFailure)
{
  bool lost = false;
  {
    MutexLock lock(mMutex);
    lost = std::exchange(mIsReachable, false);
  }
  if (lost) {
    LogFault(aWhat, aFailure);
  }
}

void ShardMembership::LogFault(const char* aWhat, const Failure& aFailure)
{
  mPorts.mMetrics.Add(Counter::kLogFailures, 1);
  mPorts.mEvents.Write(
    EventLevel::kWarn,
    "group_fault",
    { { "shard", std::to_string(mShard) },
      { "what", aWhat },
      { "kind", std::string(kFailureKindNames.Name(aFailure.mKind)) },
      { "field", aFailure.mField },
      { "detail", aFailure.mDetail } });
}

void ShardMembership::LogEvent(std::string_view aName,
                               std::vector<EventField> aFields)
{
  aFields.insert(aFields.begin(), { "shard", std::to_string(mShard) });
  mPorts.mEvents.Write(EventLevel::kInfo, aName, aFields);
}

} // namespace mulberryvalve
