#include "mulberryvalve/app/jobs/shard_membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// Number of epochs per group generation. A member that is assigned a shard
// again in the same generation takes the next one.
constexpr uint64_t kEpochsPerGeneration = 64;
// A member that joins and leaves again raises the generation by this much.
constexpr uint64_t kChangesOfAVisit = 2;
constexpr Milliseconds kMaxFirstPollDelay{ 600 };
// Delay before polling again after the known owner turned out to be outdated.
constexpr Milliseconds kStalePollDelay{ 250 };

} // namespace

ShardMembership::ShardMembership(ShardNumber aShard,
                                 const ShardMembershipOptions& aOptions,
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

void ShardMembership::RunPolls()
{
  DelayFirstPoll();
  do {
    Poll();
  } while (WaitForNextPoll());
}

// Delays the first poll by a random time, so that of the instances that start
// together the later ones see the first as a member.
void ShardMembership::DelayFirstPoll()
{
  const auto wait = static_cast<int64_t>(
    mRandom.Below(static_cast<uint64_t>(kMaxFirstPollDelay.count())));
  const Steady::time_point until = Steady::now() + Milliseconds(wait);
  MutexLock lock(mMutex);
  while (!mIsStopping && Steady::now() < until) {
    mPollCond.WaitUntil(mMutex, until);
  }
}

// Returns false if the membership is stopping.
bool ShardMembership::WaitForNextPoll()
{
  const Steady::time_point now = Steady::now();
  const Steady::time_point next = NextPollAt(now);
  const Steady::time_point stalePollAt = std::min(next, now + kStalePollDelay);
  RemoveEndedRuntimes();
  MutexLock lock(mMutex);
  while (!mIsStopping) {
    const Steady::time_point until = mIsOwnerStale ? stalePollAt : next;
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

// Instances with low capacity are many, so each of them polls one shard after
// the other instead of all at once.
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

// A member learns the state of the group from its joins. It polls only if a
// join leaves the owner unknown.
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
  ObserveOwner();
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
  LogViewIfChanged(aView);
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

// A member that may have expired polls before it joins again, and waits while
// polls fail: joining a group that has found another owner would move the
// shard.
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
  const bool isOwnedByOther =
    aView.mOwner && aView.mOwner->mPeer != mOptions.mSelf.mPeer;
  if (mRuntime != nullptr && isOwnedByOther) {
    LogEvent("group_left", { { "why", "another instance owns the shard" } });
    return MayHaveExpired() ? MemberState::kRemoved : MemberState::kLeaving;
  }
  if (mRuntime != nullptr && mBalancer.ShouldHandOver(mShard, aView)) {
    LogEvent("group_left", { { "why", "another member is a better owner" } });
    return MemberState::kLeaving;
  }
  if (mRuntime == nullptr && !mBalancer.ShouldReplaceOwner(mShard, aView)) {
    LogEvent("group_left", { { "why", "the owner need not be replaced" } });
    return MemberState::kLeaving;
  }
  mLastCheckAt = aSentAt;
  return mState;
}

// The interval starts when the previous join is sent, so that a join without an
// answer is repeated before the group removes the member.
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

// Waits until the join at aNext is due or the membership ends. Returns false if
// the membership is stopping.
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

// Returns whether the group may have removed this member.
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
  const Result<GroupAssignment> share = mGroup.Join(mShard, known);
  if (!share) {
    OnCallFailed("join", share.error());
    return;
  }
  ApplyShare(share.value(), sentAt);
}

void ShardMembership::ApplyShare(const GroupAssignment& aShare,
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
  LogDealIfChanged(aShare);
  mDealtGeneration = aShare.mGeneration;
  if (mIsStopping || mState != MemberState::kMember) {
    return;
  }
  if (aShare.mHoldsShard) {
    mGeneration = aShare.mGeneration;
    OnShardAssigned(aShare.mGeneration, aSentAt);
  } else if (!ShouldKeepShard(aShare.mGeneration, aSentAt)) {
    mGeneration = aShare.mGeneration;
    OnShardNotAssigned(aSentAt);
  }
  mIsOwnerStale = !aShare.mIsOnlyMember;
  if (mIsOwnerStale) {
    mPollCond.NotifyAll();
  }
}

void ShardMembership::OnShardAssigned(Generation aGeneration,
                                      MonotonicTime aSentAt)
{
  mOwner = mOptions.mSelf.mPeer;
  mKept.reset();
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

// Another instance may be able to do the work that fails here.
void ShardMembership::LeaveForAnother()
{
  LogEvent("group_left",
           { { "why", "this instance can't do the shard's work" } });
  StopRuntime();
  mState = MemberState::kLeaving;
}

// Most members that join beside an owner leave at once, or are late joins of a
// former owner, which expire. The owner accepts the new generation only after
// that, and meanwhile nobody else holds the shard. A join that does not list
// the shard proves no ownership, so the runtime acts only as long as its
// appends do.
bool ShardMembership::ShouldKeepShard(Generation aDealt, MonotonicTime aSentAt)
{
  const bool mayKeep = mRuntime != nullptr && !mRuntime->IsOwnershipOver() &&
                       !mBalancer.MayBeReplaced(mShard);
  if (!mayKeep || (mKept && mKept->mHasAccepted)) {
    return false;
  }
  if (!mKept) {
    mKept = KeptShard{ aSentAt + mOptions.mBalancerDelays.mKeepTimeout };
    LogEvent("shard_kept",
             { { "generation", std::to_string(mGeneration.Value()) },
               { "dealt", std::to_string(aDealt.Value()) } });
  }
  const bool hasOtherLeft =
    aDealt.Value() >= mGeneration.Value() + kChangesOfAVisit;
  if (hasOtherLeft || aSentAt >= mKept->mAcceptBy) {
    mGeneration = aDealt;
    mKept->mHasAccepted = true;
  }
  return true;
}

void ShardMembership::OnShardNotAssigned(MonotonicTime aSentAt)
{
  if (mRuntime != nullptr) {
    // The group may assign the shard back to this member. A poll shows whether
    // another member owns it.
    StopRuntime();
    mJoinReason = JoinReason::kReplaceOwner;
    mAssignmentDeadline = aSentAt + mOptions.mBalancerDelays.mHandOverTimeout;
  }
  const bool isWaiting =
    mJoinReason == JoinReason::kReplaceOwner && aSentAt < mAssignmentDeadline;
  if (!isWaiting) {
    LogEvent("group_left", { { "why", "the group did not assign the shard" } });
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
  // One generation assigns a shard to one member only, so epochs of different
  // members never collide.
  const Epoch assignedEpoch(aGeneration.Value() * kEpochsPerGeneration);
  ShardRuntimeOptions options = mOptions.mOwner;
  options.mShard = mShard;
  options.mEpoch = std::max(assignedEpoch, mMinEpoch);
  options.mObservations = Observations();
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
  mKept.reset();
}

// Destroying the state of a large shard takes long, so it is done without the
// lock, which joins and questions need.
void ShardMembership::RemoveEndedRuntimes()
{
  std::vector<std::shared_ptr<ShardRuntime>> ended;
  MutexLock lock(mMutex);
  const auto firstEnded =
    std::stable_partition(mEndingRuntimes.begin(),
                          mEndingRuntimes.end(),
                          [](const std::shared_ptr<ShardRuntime>& aRuntime) {
                            return !aRuntime->HasEnded();
                          });
  std::move(firstEnded, mEndingRuntimes.end(), std::back_inserter(ended));
  for (const std::shared_ptr<ShardRuntime>& runtime : ended) {
    mEndedOwnerships.Add(runtime->End());
  }
  mEndingRuntimes.erase(firstEnded, mEndingRuntimes.end());
}

} // namespace mulberryvalve
