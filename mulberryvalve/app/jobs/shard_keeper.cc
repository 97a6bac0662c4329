#include "mulberryvalve/app/jobs/shard_keeper.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// A member that is given a shard anew at the same generation counts on within
// these.
constexpr uint64_t kEpochsPerGeneration = 64;
constexpr uint64_t kJoinsOneIn = 3;
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
    if (isMember) {
      JoinOnce();
      RefreshOwners();
    } else {
      const std::optional<GroupView> view = Look();
      isMember = view && IsMissed(*view);
    }
    const Milliseconds interval =
      isMember ? mOptions.mJoinInterval : mOptions.mLookInterval;
    const Steady::time_point next = Steady::now() + interval;
    MutexLock lock(mMutex);
    ReapEnded();
    if (isMember && !mIsMember) {
      mIsMember = true;
      continue; // joins at once
    }
    const Steady::time_point soon = Steady::now() + kLookAgain;
    while (!mStopping && Steady::now() < next) {
      const bool early = !isMember && mOwnersStale;
      if (early && Steady::now() >= soon) {
        break;
      }
      mCond.WaitUntil(mMutex, early ? std::min(next, soon) : next);
    }
    if (mStopping) {
      break;
    }
  }
  if (!isMember) {
    return;
  }
  const Result<void> left = mGroup.Leave();
  if (!left) {
    LogFault("leave", left.error());
  }
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

// Where nobody is a member, every instance joins. Where some are missing, each
// joins by chance, so that not all do at once.
bool ShardKeeper::IsMissed(const GroupView& aView)
{
  if (aView.mMembers == 0 || aView.mOwners.size() < mOptions.mOwner.mShards) {
    return true;
  }
  return aView.mMembers < mOptions.mMembers && mRandom.Below(kJoinsOneIn) == 0;
}

std::optional<GroupView> ShardKeeper::Look()
{
  const MonotonicTime sentAt = mPorts.mClock.Now();
  const Result<GroupView> view = mGroup.View();
  if (!view) {
    bool lost = false;
    {
      MutexLock lock(mMutex);
      lost = std::exchange(mReachable, false);
    }
    if (lost) {
      LogFault("look", view.error());
    }
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
    bool lost = false;
    {
      MutexLock lock(mMutex);
      lost = std::exchange(mReachable, false);
    }
    if (lost) {
      LogFault("join", share.error());
    }
    return;
  }
  TakeShare(share.value(), sentAt);
}

void ShardKeeper::TakeShare(const GroupShare& aShare, MonotonicTime aSentAt)
{
  MutexLock lock(mMutex);
  mLastContact = aSentAt;
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
  for (auto row = mOwned.begin(); row != mOwned.end();) {
    const bool held =
      std::find(aShare.mShards.begin(), aShare.mShards.end(), row->first) !=
      aShare.mShards.end();
    if (held && !row->second->IsOver()) {
      row->second->OnProof(aSentAt);
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
  for (const ShardNumber shard : aShare.mShards) {
    if (mOwned.count(shard) == 0) {
      OpenShard(shard, aShare.mGeneration);
    }
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
