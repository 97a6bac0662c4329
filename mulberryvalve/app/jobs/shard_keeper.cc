#include "mulberryvalve/app/jobs/shard_keeper.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// A member that is given a shard anew at the same generation counts on within
// these.
constexpr uint64_t kEpochsPerGeneration = 64;
// One of so many instances that miss a member joins.
constexpr uint64_t kJoinsOneIn = 2;
constexpr Milliseconds kStartSpread{ 600 };
// A look that was found to be out of date is repeated after this.
constexpr Milliseconds kLookAgain{ 250 };

} // namespace

ShardKeeper::ShardKeeper(ShardKeeperOptions aOptions,
                         ShardGroup& aGroup,
                         RandomSource& aRandom,
                         ShardRuntimePorts aPorts)
  : mOptions(std::move(aOptions))
  , mGroup(aGroup)
  , mRandom(aRandom)
  , mPorts(aPorts)
{
}

ShardKeeper::~ShardKeeper()
{
  BeginStop();
  Stop();
}

void ShardKeeper::Start()
{
  mThread = std::thread([this] { Run(); });
}

void ShardKeeper::BeginStop()
{
  MutexLock lock(mMutex);
  mStopping = true;
  for (auto& [shard, runtime] : mOwned) {
    runtime->BeginStop();
  }
  mCond.NotifyAll();
}

void ShardKeeper::Stop()
{
  if (mThread.joinable()) {
    mThread.join();
  }
  std::map<ShardNumber, std::shared_ptr<ShardRuntime>> owned;
  std::vector<std::shared_ptr<ShardRuntime>> ending;
  MutexLock lock(mMutex);
  owned.swap(mOwned);
  ending.swap(mEnding);
}

MonotonicTime ShardKeeper::LastContact() const
{
  MutexLock lock(mMutex);
  return mLastContact;
}

std::optional<Endpoint> ShardKeeper::OwnerOf(ShardNumber aShard) const
{
  MutexLock lock(mMutex);
  const auto found = mOwners.find(aShard);
  if (found == mOwners.end()) {
    return std::nullopt;
  }
  return found->second;
}

void ShardKeeper::Doubt()
{
  MutexLock lock(mMutex);
  mOwnersStale = true;
  mCond.NotifyAll();
}

PeerAnswer ShardKeeper::OnQuestion(const PeerQuestion& aQuestion)
{
  std::shared_ptr<ShardRuntime> runtime;
  {
    MutexLock lock(mMutex);
    const auto found = mOwned.find(aQuestion.mShard);
    if (found != mOwned.end()) {
      runtime = found->second;
    }
  }
  return runtime == nullptr ? PeerAnswer() : runtime->Answer(aQuestion);
}

void ShardKeeper::Run()
{
  bool isMember = false;
  WaitAtStart();
  while (true) {
    bool joins = isMember;
    if (!isMember || IsAbsent()) {
      const std::optional<GroupView> view = Look();
      joins = view && (isMember ? MayStay(*view) : IsMissed(*view));
      isMember = view ? joins : isMember;
    }
    if (joins) {
      JoinOnce();
      RefreshOwners();
      if (IsSurplus()) {
        Withdraw();
        isMember = false;
      }
    }
    if (!PauseUntilNext(isMember)) {
      break;
    }
  }
  if (isMember) {
    Withdraw();
  }
}

// Returns false when it is time to stop.
bool ShardKeeper::PauseUntilNext(bool aIsMember)
{
  const Steady::time_point now = Steady::now();
  const Steady::time_point soon = now + kLookAgain;
  const Steady::time_point next =
    now + (aIsMember ? mOptions.mJoinInterval : mOptions.mLookInterval);
  MutexLock lock(mMutex);
  ReapEnded();
  mPorts.mMetrics.Set(Gauge::kShardsOwned, static_cast<int64_t>(mOwned.size()));
  while (!mStopping && Steady::now() < next) {
    const bool early = !aIsMember && mOwnersStale;
    if (early && Steady::now() >= soon) {
      break;
    }
    mCond.WaitUntil(mMutex, early ? std::min(next, soon) : next);
  }
  return !mStopping;
}

// Instances that start together look at different times, so that the later
// ones see the first as a member.
void ShardKeeper::WaitAtStart()
{
  const auto wait = static_cast<int64_t>(
    mRandom.Below(static_cast<uint64_t>(kStartSpread.count())));
  const Steady::time_point until = Steady::now() + Milliseconds(wait);
  MutexLock lock(mMutex);
  while (!mStopping && Steady::now() < until) {
    mCond.WaitUntil(mMutex, until);
  }
}

bool ShardKeeper::IsComplete(const GroupView& aView) const
{
  return aView.mOwners.size() >= mOptions.mOwner.mShards;
}

// Where a shard has no owner, or a member has several, each instance joins by
// chance, so that not all do at once.
bool ShardKeeper::IsMissed(const GroupView& aView)
{
  const bool few = aView.mMembers < mOptions.mOwner.mShards;
  return (few || !IsComplete(aView)) && mRandom.Below(kJoinsOneIn) == 0;
}

// Tells whether the group may have given this member's shards away.
bool ShardKeeper::IsAbsent() const
{
  MutexLock lock(mMutex);
  return mPorts.mClock.Now() > mJoinedAt + mOptions.mMemberTtl;
}

// A member that was away looks before it joins, and waits while it can't: to
// join a group that has found other owners would move their shards.
bool ShardKeeper::MayStay(const GroupView& aView)
{
  const auto mine = [&](const ShardOwnerRow& aRow) {
    return aRow.mPeer.mAddress == mOptions.mSelf.mAddress &&
           aRow.mPeer.mPort == mOptions.mSelf.mPort;
  };
  const bool owns =
    std::any_of(aView.mOwners.begin(), aView.mOwners.end(), mine);
  if (owns || !IsComplete(aView)) {
    return true;
  }
  mPorts.mEvents.Write(
    EventLevel::kInfo, "group_left", { { "why", "others own all shards" } });
  MutexLock lock(mMutex);
  EndOwned({});
  return false;
}

// A member without a shard, where all have owners, is not needed.
bool ShardKeeper::IsSurplus()
{
  MutexLock lock(mMutex);
  return mReachable && mOwned.empty() && !mOwnersStale &&
         mOwners.size() >= mOptions.mOwner.mShards;
}

void ShardKeeper::Withdraw()
{
  const Result<void> left = mGroup.Leave();
  if (!left) {
    LogFault("leave", left.error());
  }
}

std::optional<GroupView> ShardKeeper::Look()
{
  const MonotonicTime sentAt = mPorts.mClock.Now();
  const Result<GroupView> view = mGroup.View();
  if (!view) {
    OnUnreachable("look", view.error());
    return std::nullopt;
  }
  TakeView(view.value(), sentAt);
  return view.value();
}

void ShardKeeper::TakeView(const GroupView& aView, MonotonicTime aSentAt)
{
  MutexLock lock(mMutex);
  mLastContact = std::max(mLastContact, aSentAt);
  mReachable = true;
  mOwnersStale = false;
  mOwners.clear();
  for (const ShardOwnerRow& row : aView.mOwners) {
    mOwners[row.mShard] = row.mPeer;
  }
}

void ShardKeeper::JoinOnce()
{
  Generation known;
  {
    MutexLock lock(mMutex);
    known = mGeneration;
  }
  const MonotonicTime sentAt = mPorts.mClock.Now();
  const Result<GroupShare> share = mGroup.Join(known);
  if (!share) {
    OnUnreachable("join", share.error());
    return;
  }
  TakeShare(share.value(), sentAt);
}

void ShardKeeper::TakeShare(const GroupShare& aShare, MonotonicTime aSentAt)
{
  MutexLock lock(mMutex);
  if (!mOwned.empty()) {
    mPorts.mMetrics.Record(Timing::kJoinGapUs, aSentAt - mJoinedAt);
  }
  mLastContact = aSentAt;
  mJoinedAt = aSentAt;
  if (!std::exchange(mReachable, true)) {
    mPorts.mEvents.Write(
      EventLevel::kInfo,
      "group_reached",
      { { "generation", std::to_string(aShare.mGeneration.Value()) } });
  }
  mOwnersStale = mOwnersStale || aShare.mGeneration != mGeneration;
  mGeneration = aShare.mGeneration;
  if (mStopping) {
    return;
  }
  EndOwned(aShare.mShards);
  for (auto& [shard, runtime] : mOwned) {
    runtime->OnProof(aSentAt);
  }
  for (const ShardNumber shard : aShare.mShards) {
    if (mOwned.count(shard) == 0) {
      OpenShard(shard, aShare.mGeneration);
    }
  }
}

// Ends the shards that are not among aKept, and those that were given up.
void ShardKeeper::EndOwned(const std::vector<ShardNumber>& aKept)
{
  for (auto row = mOwned.begin(); row != mOwned.end();) {
    const bool held =
      std::find(aKept.begin(), aKept.end(), row->first) != aKept.end();
    if (held && !row->second->IsOver()) {
      ++row;
      continue;
    }
    const uint64_t rival = row->second->Rival().Value();
    if (rival > 0) {
      const Epoch above((rival / kEpochsPerGeneration + 1) *
                        kEpochsPerGeneration);
      mLeastEpoch[row->first] = std::max(mLeastEpoch[row->first], above);
    }
    row->second->BeginStop();
    mEnding.push_back(std::move(row->second));
    row = mOwned.erase(row);
  }
}

void ShardKeeper::OpenShard(ShardNumber aShard, Generation aGeneration)
{
  // One generation gives a shard to one member only, so the numbers of two
  // members' epochs differ.
  const Epoch given(aGeneration.Value() * kEpochsPerGeneration);
  Epoch& least = mLeastEpoch[aShard];
  ShardRuntimeOptions options = mOptions.mOwner;
  options.mShard = aShard;
  options.mEpoch = std::max(given, least);
  least = options.mEpoch.Next();
  auto runtime = std::make_shared<ShardRuntime>(options, mPorts);
  mPorts.mEvents.Write(EventLevel::kInfo,
                       "shard_given",
                       { { "shard", std::to_string(aShard) },
                         { "generation", std::to_string(aGeneration.Value()) },
                         { "epoch", std::to_string(options.mEpoch.Value()) } });
  runtime->Start();
  mOwned.emplace(aShard, std::move(runtime));
}

void ShardKeeper::ReapEnded()
{
  const auto gone =
    std::remove_if(mEnding.begin(), mEnding.end(), [](const auto& aRuntime) {
      return aRuntime->Ended();
    });
  mEnding.erase(gone, mEnding.end());
}

void ShardKeeper::RefreshOwners()
{
  {
    MutexLock lock(mMutex);
    const bool complete = mOwners.size() == mOptions.mOwner.mShards;
    if (!mReachable || (!mOwnersStale && complete)) {
      return;
    }
  }
  (void)Look();
}

// Only the first of several failures in a row is told.
void ShardKeeper::OnUnreachable(const char* aWhat, const Failure& aFailure)
{
  bool lost = false;
  {
    MutexLock lock(mMutex);
    lost = std::exchange(mReachable, false);
  }
  if (lost) {
    LogFault(aWhat, aFailure);
  }
}

void ShardKeeper::LogFault(const char* aWhat, const Failure& aFailure)
{
  mPorts.mMetrics.Add(Counter::kLogFailures, 1);
  mPorts.mEvents.Write(
    EventLevel::kWarn,
    "group_fault",
    { { "what", aWhat },
      { "kind", std::string(kFailureKindNames.Name(aFailure.mKind)) },
      { "field", aFailure.mField },
      { "detail", aFailure.mDetail } });
}

} // namespace mulberryvalve
