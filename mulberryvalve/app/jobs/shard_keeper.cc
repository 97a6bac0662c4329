#include "mulberryvalve/app/jobs/shard_keeper.h"

#include <algorithm>
#include <utility>

namespace mulberryvalve {
namespace {

using Steady = std::chrono::steady_clock;

// A member that is given a shard anew at the same generation counts on within
// these.
constexpr uint64_t kEpochsPerGeneration = 64;

} // namespace

ShardKeeper::ShardKeeper(ShardKeeperOptions aOptions,
                         ShardGroup& aGroup,
                         ShardRuntimePorts aPorts)
  : mOptions(std::move(aOptions))
  , mGroup(aGroup)
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
  while (true) {
    const Steady::time_point next = Steady::now() + mOptions.mJoinInterval;
    JoinOnce();
    RefreshOwners();
    MutexLock lock(mMutex);
    ReapEnded();
    while (!mStopping && Steady::now() < next) {
      mCond.WaitUntil(mMutex, next);
    }
    if (mStopping) {
      break;
    }
  }
  const Result<void> left = mGroup.Leave();
  if (!left) {
    LogFault("leave", left.error());
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
    mOwnersStale = false;
  }
  const Result<std::vector<ShardOwnerRow>> rows = mGroup.Owners();
  if (!rows) {
    LogFault("owners", rows.error());
    Doubt();
    return;
  }
  MutexLock lock(mMutex);
  mOwners.clear();
  for (const ShardOwnerRow& row : rows.value()) {
    mOwners[row.mShard] = row.mPeer;
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
