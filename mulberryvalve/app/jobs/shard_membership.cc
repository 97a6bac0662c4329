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
constexpr Milliseconds kStalePollDelay{ 250 };

} // namespace

ShardMembership::ShardMembership(ShardNumber aShard,
                                 const ShardKeeperOptions& aOptions,
                                 ShardGroup& aGroup,
                                 ShardBalancer& aBalancer,
                                 RandomSource& aRandom,
                                 ShardRuntimePorts aPorts)
  : mShard(aShard)
  , mOptions(aOptions)
  , mGroup(aGroup)
  , mBalancer(aBalancer)
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
  mPollThread = std::thread([this] { RunPolls(); });
  mJoinThread = std::thread([this] { RunJoins(); });
}

void ShardMembership::BeginStop()
{
  MutexLock lock(mMutex);
  mIsStopping = true;
  if (mRuntime != nullptr) {
    mRuntime->BeginStop();
  }
  mPollCond.NotifyAll();
  mJoinCond.NotifyAll();
}

void ShardMembership::Stop()
{
  if (mPollThread.joinable()) {
    mPollThread.join();
  }
  if (mJoinThread.joinable()) {
    mJoinThread.join();
  }
  std::vector<std::shared_ptr<ShardRuntime>> ending;
  MutexLock lock(mMutex);
  ending.swap(mEndingRuntimes);
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

void ShardMembership::InvalidateOwner()
{
  MutexLock lock(mMutex);
  mIsOwnerStale = true;
  mPollCond.NotifyAll();
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

void ShardMembership::RunPolls()
{
  DelayFirstPoll();
  do {
    Poll();
  } while (WaitForNextPoll());
}

// Instances that start together look at different times, so that the later
// ones see the first as a member.
void ShardMembership::DelayFirstPoll()
{
  const auto wait = static_cast<int64_t>(
    mRandom.Below(static_cast<uint64_t>(kStartSpread.count())));
  const Steady::time_point until = Steady::now() + Milliseconds(wait);
  MutexLock lock(mMutex);
  while (!mIsStopping && Steady::now() < until) {
    mPollCond.WaitUntil(mMutex, until);
  }
}

// Returns false when it is time to stop.
bool ShardMembership::WaitForNextPoll()
{
  const Steady::time_point now = Steady::now();
  const Steady::time_point next = NextPollAt(now);
  const Steady::time_point soon = std::min(next, now + kStalePollDelay);
  MutexLock lock(mMutex);
  RemoveEndedRuntimes();
  while (!mIsStopping) {
    const Steady::time_point until = mIsOwnerStale ? soon : next;
    if (!NeedsPoll()) {
      mPollCond.Wait(mMutex);
    } else if (Steady::now() >= until) {
      break;
    } else {
      mPollCond.WaitUntil(mMutex, until);
    }
  }
  return !mIsStopping;
}

// Weak instances, which are many, look at one shard after the other.
Steady::time_point ShardMembership::NextPollAt(Steady::time_point aNow) const
{
  if (!mBalancer.HasLowCapacity()) {
    return aNow + mOptions.mPollInterval;
  }
  const Steady::duration round =
    mOptions.mLowCapacityPollInterval * mOptions.mOwner.mShards;
  const Steady::duration turn =
    mOptions.mLowCapacityPollInterval * mShard + mBalancer.PollOffset(round);
  const Steady::duration past = (aNow - mStartedAt - turn) % round;
  const bool isBeforeTurn = past < Steady::duration::zero();
  return aNow + (isBeforeTurn ? -past : round - past);
}

// A member learns from its joins; it looks only when these leave a question.
bool ShardMembership::NeedsPoll() const
{
  return mState == MemberState::kNotMember || mIsOwnerStale;
}

void ShardMembership::Poll()
{
  const MonotonicTime sentAt = mPorts.mClock.Now();
  const Result<GroupView> view = mGroup.View(mShard);
  if (!view) {
    OnCallFailed("look", view.error());
    return;
  }
  ApplyView(view.value(), sentAt);
}

void ShardMembership::ApplyView(const GroupView& aView, MonotonicTime aSentAt)
{
  const MonotonicTime now = mPorts.mClock.Now();
  MutexLock lock(mMutex);
  mLastContact = std::max(mLastContact, aSentAt);
  mIsReachable = true;
  if (mIsStopping || aSentAt < mStateChangedAt) {
    return;
  }
  mIsOwnerStale = false;
  mOwner.reset();
  if (aView.mOwner) {
    mOwner = aView.mOwner->mPeer;
  }
  mBalancer.OnView(mShard, aView, now);
  mState = NextState(aView, aSentAt);
  if (mState != MemberState::kNotMember) {
    mJoinCond.NotifyAll();
  }
}

// A member that was away looks before it joins, and waits while it can't: to
// join a group that has found another owner would move the shard.
MemberState ShardMembership::NextState(const GroupView& aView,
                                       MonotonicTime aSentAt)
{
  const MonotonicTime now = mPorts.mClock.Now();
  if (mState == MemberState::kNotMember) {
    mJoinReason = mBalancer.DecideJoin(mShard, now);
    if (mJoinReason == JoinReason::kNone) {
      return mState;
    }
    mLastCheckAt = aSentAt;
    mAssignmentDeadline = now + mOptions.mBalancerDelays.mHandOverTimeout;
    LogEvent("group_joining",
             { { "why", std::string(kJoinReasonNames.Name(mJoinReason)) } });
    return MemberState::kMember;
  }
  if (mState != MemberState::kMember) {
    return mState;
  }
  const bool isOthers =
    aView.mOwner && aView.mOwner->mPeer != mOptions.mSelf.mPeer;
  if (mRuntime != nullptr && isOthers) {
    LogEvent("group_left", { { "why", "another owns the shard" } });
    return MayHaveExpired() ? MemberState::kRemoved : MemberState::kLeaving;
  }
  if (mRuntime != nullptr && mBalancer.ShouldHandOver(mShard, aView)) {
    LogEvent("group_left", { { "why", "another member is the better owner" } });
    return MemberState::kLeaving;
  }
  if (mRuntime == nullptr && !mBalancer.ShouldReplaceOwner(mShard, aView)) {
    LogEvent("group_left", { { "why", "the owner is as good" } });
    return MemberState::kLeaving;
  }
  mLastCheckAt = aSentAt;
  return mState;
}

// The interval counts from the sending of the last call, so that one without an
// answer is repeated before the group's patience is over.
void ShardMembership::RunJoins()
{
  Steady::time_point next = Steady::now() + mOptions.mJoinInterval;
  while (WaitForNextJoin(next)) {
    next = Steady::now() + mOptions.mJoinInterval;
    bool isMember = false;
    {
      MutexLock lock(mMutex);
      isMember = mState == MemberState::kMember;
    }
    if (isMember) {
      Join();
    } else {
      LeaveGroup();
    }
  }
  bool isNotMember = false;
  {
    MutexLock lock(mMutex);
    isNotMember = mState == MemberState::kNotMember;
  }
  if (!isNotMember) {
    LeaveGroup();
  }
}

// Waits until the join of aNext or the end of the membership is due; returns
// false when it is time to stop.
bool ShardMembership::WaitForNextJoin(Steady::time_point aNext)
{
  MutexLock lock(mMutex);
  const bool wasNotMember = mState == MemberState::kNotMember;
  while (!mIsStopping) {
    if (mState == MemberState::kNotMember) {
      mJoinCond.Wait(mMutex);
      continue;
    }
    if (mState != MemberState::kMember) {
      break;
    }
    if (wasNotMember || Steady::now() >= aNext) {
      if (!MayHaveExpired()) {
        break;
      }
      mIsOwnerStale = true;
      mPollCond.NotifyAll();
      mJoinCond.Wait(mMutex);
      continue;
    }
    mJoinCond.WaitUntil(mMutex, aNext);
  }
  return !mIsStopping;
}

// Tells whether the group may have removed this member.
bool ShardMembership::MayHaveExpired() const
{
  return mPorts.mClock.Now() >
         std::max(mJoinedAt, mLastCheckAt) + mOptions.mMemberTtl;
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
    OnCallFailed("join", share.error());
    return;
  }
  ApplyShare(share.value(), sentAt);
}

void ShardMembership::ApplyShare(const GroupShare& aShare,
                                 MonotonicTime aSentAt)
{
  MutexLock lock(mMutex);
  mLastContact = std::max(mLastContact, aSentAt);
  if (mRuntime != nullptr) {
    mPorts.mMetrics.Record(Timing::kJoinGapUs, aSentAt - mJoinedAt);
  }
  mJoinedAt = aSentAt;
  mStateChangedAt = aSentAt;
  if (!std::exchange(mIsReachable, true)) {
    LogEvent("group_reached",
             { { "generation", std::to_string(aShare.mGeneration.Value()) } });
  }
  mGeneration = aShare.mGeneration;
  if (mIsStopping || mState != MemberState::kMember) {
    return;
  }
  if (aShare.mHoldsShard) {
    OnShardAssigned(aShare.mGeneration, aSentAt);
  } else {
    OnShardNotAssigned(aSentAt);
  }
  mIsOwnerStale = !aShare.mIsAlone;
  if (mIsOwnerStale) {
    mPollCond.NotifyAll();
  }
}

void ShardMembership::OnShardAssigned(Generation aGeneration,
                                      MonotonicTime aSentAt)
{
  mOwner = mOptions.mSelf.mPeer;
  mBalancer.OnAssigned(mShard, aSentAt);
  UpdateOwnedGauge();
  if (mRuntime != nullptr) {
    mRuntime->OnOwnershipProof(aSentAt);
  }
  if (mRuntime != nullptr && mRuntime->ShouldLeaveGroup()) {
    LeaveForAnother();
    return;
  }
  if (mRuntime != nullptr && mRuntime->IsMakingProgress()) {
    mBalancer.OnProgress(mShard, aSentAt);
  }
  if (mRuntime != nullptr && mRuntime->IsOwnershipOver()) {
    StopRuntime();
  }
  if (mRuntime == nullptr) {
    StartRuntime(aGeneration);
  }
}

// Another instance may be able to do what this one can't.
void ShardMembership::LeaveForAnother()
{
  LogEvent("group_left", { { "why", "the shard's work can't be done here" } });
  StopRuntime();
  mState = MemberState::kLeaving;
}

void ShardMembership::OnShardNotAssigned(MonotonicTime aSentAt)
{
  if (mRuntime != nullptr) {
    // Dealt anew, the shard may come back; a look tells if another owns it.
    StopRuntime();
    mJoinReason = JoinReason::kReplaceOwner;
    mAssignmentDeadline = aSentAt + mOptions.mBalancerDelays.mHandOverTimeout;
  }
  const bool waits =
    mJoinReason == JoinReason::kReplaceOwner && aSentAt < mAssignmentDeadline;
  if (!waits) {
    LogEvent("group_left", { { "why", "the shard is not given" } });
    mState = MemberState::kLeaving;
  }
}

void ShardMembership::LeaveGroup()
{
  bool mustLeave = false;
  {
    MutexLock lock(mMutex);
    StopRuntime();
    mustLeave = mState != MemberState::kRemoved;
  }
  if (mustLeave) {
    const Result<void> left = mGroup.Leave(mShard);
    if (!left) {
      LogFailure("leave", left.error());
    }
  }
  const MonotonicTime now = mPorts.mClock.Now();
  MutexLock lock(mMutex);
  mState = MemberState::kNotMember;
  mIsOwnerStale = true;
  mStateChangedAt = now;
  mBalancer.OnLeft(mShard, now);
  UpdateOwnedGauge();
  mPollCond.NotifyAll();
}

void ShardMembership::StartRuntime(Generation aGeneration)
{
  // One generation gives a shard to one member only, so the numbers of two
  // members' epochs differ.
  const Epoch given(aGeneration.Value() * kEpochsPerGeneration);
  ShardRuntimeOptions options = mOptions.mOwner;
  options.mShard = mShard;
  options.mEpoch = std::max(given, mMinEpoch);
  mMinEpoch = options.mEpoch.Next();
  mRuntime = std::make_shared<ShardRuntime>(options, mPorts);
  LogEvent("shard_given",
           { { "generation", std::to_string(aGeneration.Value()) },
             { "epoch", std::to_string(options.mEpoch.Value()) } });
  mRuntime->Start();
}

void ShardMembership::StopRuntime()
{
  if (mRuntime == nullptr) {
    return;
  }
  const uint64_t competingEpoch = mRuntime->CompetingEpoch().Value();
  if (competingEpoch > 0) {
    const Epoch above((competingEpoch / kEpochsPerGeneration + 1) *
                      kEpochsPerGeneration);
    mMinEpoch = std::max(mMinEpoch, above);
  }
  mRuntime->BeginStop();
  mEndingRuntimes.push_back(std::move(mRuntime));
  mRuntime = nullptr;
}

void ShardMembership::UpdateOwnedGauge()
{
  mPorts.mMetrics.Set(Gauge::kShardsOwned,
                      static_cast<int64_t>(mBalancer.CountHeld()));
}

void ShardMembership::RemoveEndedRuntimes()
{
  const auto gone =
    std::remove_if(mEndingRuntimes.begin(),
                   mEndingRuntimes.end(),
                   [](const auto& aRuntime) { return aRuntime->HasEnded(); });
  mEndingRuntimes.erase(gone, mEndingRuntimes.end());
}

// Only the first of several failures in a row is told.
void ShardMembership::OnCallFailed(const char* aCall, const Failure& aFailure)
{
  bool lost = false;
  {
    MutexLock lock(mMutex);
    lost = std::exchange(mIsReachable, false);
  }
  if (lost) {
    LogFailure(aCall, aFailure);
  }
}

void ShardMembership::LogFailure(const char* aCall, const Failure& aFailure)
{
  mPorts.mMetrics.Add(Counter::kLogFailures, 1);
  mPorts.mEvents.Write(
    EventLevel::kWarn,
    "group_fault",
    { { "shard", std::to_string(mShard) },
      { "what", aCall },
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
