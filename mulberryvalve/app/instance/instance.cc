#include "mulberryvalve/app/instance/instance.h"

#include <utility>

namespace mulberryvalve {
namespace {

constexpr size_t kExecutorThreads = 24;
constexpr size_t kExecutorQueue = 20'000;
constexpr Milliseconds kDirectoryRefreshInterval{ 500 };
constexpr Milliseconds kAppendTimeout{ 2000 };
constexpr Milliseconds kLoadBalancerGrace{ 1000 };
constexpr Milliseconds kDrainPoll{ 20 };
constexpr uint64_t kIncarnationRandomRange = 1000;

WriterId MakeSelf(const InstanceSettings& aSettings,
                  const Clock& aClock,
                  RandomSource& aRandom)
{
  const auto wall = static_cast<uint64_t>(aClock.WallNow().mMilliseconds);
  return WriterId{ aSettings.mInstance,
                   Incarnation(wall * kIncarnationRandomRange +
                               aRandom.Below(kIncarnationRandomRange)) };
}

MembershipOptions MakeMembership(const InstanceSettings& aSettings,
                                 const WriterId& aSelf)
{
  MembershipOptions options;
  options.mSelf = aSelf;
  options.mDomain = aSettings.mDomain;
  options.mCallerEndpoint = aSettings.mCallerListen;
  options.mConfiguredPeers = aSettings.mPeers.size();
  options.mSuspectAfter = aSettings.mPeerDead / 2;
  options.mDeadAfter = aSettings.mPeerDead;
  options.mForeignTakeoverAfter =
    std::max(options.mForeignTakeoverAfter, aSettings.mPeerDead);
  return options;
}

ShardOwnerOptions MakeOwnerOptions(const InstanceSettings& aSettings,
                                   const WriterId& aSelf,
                                   const ShardId& aShard)
{
  ShardOwnerOptions options;
  options.mSelf = aSelf;
  options.mShard = aShard;
  options.mOwnership.mHeadStaleness = aSettings.mHeadStaleness;
  options.mOwnership.mClockAllowance = aSettings.mClockAllowance;
  options.mWorkerSync.mSyncInterval = aSettings.mSyncInterval;
  options.mLease = aSettings.mLease;
  options.mRenewalWindow = aSettings.mRenewalWindow;
  return options;
}

ColocationOptions MakeColocationOptions(const ShardMap& aShards)
{
  ColocationOptions options;
  const size_t perDomain = aShards.Shards().size() / aShards.Domains().size();
  options.mShardsInDomain = static_cast<int>(perDomain);
  return options;
}

StreamDeps MakeDeps(const InstanceSettings& aSettings,
                    const WriterId& aSelf,
                    InstancePorts& aPorts)
{
  StreamDeps deps{ aSelf,
                   aPorts.mLog,
                   aPorts.mClock,
                   aPorts.mRandom,
                   aPorts.mMetrics,
                   aPorts.mEvents,
                   FollowerOptions(),
                   WriterOptions(),
                   SnapshotOptions() };
  deps.mWriter.mCommitWindow = aSettings.mCommitWindow;
  return deps;
}

} // namespace

Instance::Instance(const InstanceSettings& aSettings, InstancePorts aPorts)
  : mSettings(aSettings)
  , mPorts(aPorts)
  , mSelf(MakeSelf(aSettings, aPorts.mClock, aPorts.mRandom))
  , mShards(aSettings.mDomains, aSettings.mShardsPerDomain)
  , mDeps(MakeDeps(aSettings, mSelf, mPorts))
  , mConfig(ConfigStream(),
            ConfigStateMachine(),
            mDeps,
            [this] { OnConfigChanged(); })
  , mKeys(KeyStream(0), KeyStateMachine(), mDeps, [] {})
  , mDirectory(aPorts.mInstances, kDirectoryRefreshInterval)
  , mMembership(MakeMembership(aSettings, mSelf))
  , mPeers(mMembership, mConfig.State(), aPorts.mClock)
  , mExecutor(kExecutorThreads, kExecutorQueue)
  , mUpstreamDirectory(mSelf,
                       aSettings.mDomain,
                       UpstreamDirectoryPorts{ mDirectory,
                                               mShards,
                                               mConfig.State(),
                                               mPeers,
                                               aPorts.mBundles,
                                               aPorts.mClock })
  , mUpstreams(mUpstreamPolicy, aPorts.mRandom)
  , mSlots(mUpstreams, mUpstreamDirectory, aPorts.mClock)
  , mKeyStore({ KeyPartition{ &mKeys.State(), &mKeys.Writer() } }, mSelf)
{
  BuildShards();
  BuildServices();
}

Instance::~Instance()
{
  Stop();
}

void Instance::BuildShards()
{
  for (const ShardId& shard : mShards.Shards()) {
    mStreams[shard] = std::make_unique<ShardStreamRuntime>(
      ShardMap::StreamOf(shard),
      ShardStateMachine(shard),
      mDeps,
      [this, shard] { mOwners.at(shard)->Wake(); });
  }
  for (const ShardId& shard : mShards.Shards()) {
    ShardStreamRuntime& stream = *mStreams[shard];
    mOwners[shard] = std::make_unique<ShardOwner>(
      MakeOwnerOptions(mSettings, mSelf, shard),
      ShardOwnerPorts{ stream.State(),
                       mConfig.State(),
                       stream.Writer(),
                       *this,
                       mShards,
                       mDirectory,
                       mPeers,
                       mPorts.mWorkers,
                       mPorts.mBundles,
                       mExecutor,
                       mPorts.mClock,
                       mPorts.mMetrics,
                       mPorts.mEvents },
      std::make_unique<ColocationController>(MakeColocationOptions(mShards)));
  }
}

void Instance::BuildServices()
{
  mRouter =
    std::make_unique<RequestRouter>(RequestRouterOptions{ mSelf },
                                    RequestRouterPorts{ mUpstreamDirectory,
                                                        mSlots,
                                                        mKeyStore,
                                                        mPorts.mUpstreams,
                                                        mPorts.mClock,
                                                        mPorts.mRandom,
                                                        mPorts.mMetrics });
  std::map<ShardId, ShardStream> streams;
  for (const auto& [shard, stream] : mStreams) {
    streams[shard] = ShardStream{ &stream->State(), &stream->Writer() };
  }
  mJobs = std::make_unique<JobService>(
    JobServiceOptions{ mSelf, mSettings.mDomain, kAppendTimeout },
    std::move(streams),
    mShards,
    mPorts.mClock,
    [this](const TaskId& aTask) { return Explain(aTask); });
  mOperators = std::make_unique<OperatorService>(
    OperatorServicePorts{ mConfig.State(),
                          mConfig.Writer(),
                          mPorts.mLog,
                          mShards,
                          mDirectory,
                          mPorts.mBundles,
                          mPorts.mClock,
                          [this] { return Describe(); } },
    kAppendTimeout);
}

void Instance::Start(PeerPort& aPeers)
{
  mDirectory.Start();
  mConfig.Start();
  mKeys.Start();
  for (auto& [shard, stream] : mStreams) {
    stream->Start();
  }
  for (auto& [shard, owner] : mOwners) {
    owner->Start();
  }
  mHeartbeat = std::thread([this, &aPeers] { RunHeartbeat(aPeers); });
}

void Instance::BeginStop()
{
  mStopping = true;
  const MonotonicTime begin = mPorts.mClock.Now();
  const MonotonicTime drainDeadline = begin + mSettings.mDrain;
  for (auto& [shard, owner] : mOwners) {
    owner->Release(std::min(drainDeadline, begin + kAppendTimeout));
  }
  const MonotonicTime balancerGraceEnd =
    std::min(drainDeadline, begin + kLoadBalancerGrace);
  while (mPorts.mClock.Now() < balancerGraceEnd ||
         (mRouter->InFlight() > 0 && mPorts.mClock.Now() < drainDeadline)) {
    mStop.WaitUntil(std::chrono::steady_clock::now() + kDrainPoll);
  }
}

void Instance::Stop()
{
  mStop.Set();
  if (mHeartbeat.joinable()) {
    mHeartbeat.join();
  }
  for (auto& [shard, owner] : mOwners) {
    owner->Stop();
  }
  mExecutor.Stop();
  for (auto& [shard, stream] : mStreams) {
    stream->Stop();
  }
  mKeys.Stop();
  mConfig.Stop();
  mDirectory.Stop();
}

void Instance::AppendTo(const ShardId& aShard,
                        std::vector<Record> aRecords,
                        AppendDone aDone)
{
  const auto found = mStreams.find(aShard);
  if (found == mStreams.end()) {
    aDone(Fail(FailureKind::kNotFound, "shard", aShard.Text()));
    return;
  }
  found->second->Writer().Submit(
    std::move(aRecords), Epoch(), std::move(aDone));
}

void Instance::OnConfigChanged()
{
  WakeOwners();
  const uint64_t fingerprint =
    mConfig.State().Read([](const ConfigStateMachine& aConfigState) {
      uint64_t sum = aConfigState.InForce().mVersion.Value();
      for (const auto& [domain, status] : aConfigState.Domains()) {
        sum += status.mOffset.Value();
      }
      return sum;
    });
  if (mConfigFingerprint.exchange(fingerprint) != fingerprint) {
    mStop.Wake();
  }
}

void Instance::WakeOwners()
{
  for (auto& [shard, owner] : mOwners) {
    owner->Wake();
  }
}

void Instance::RunHeartbeat(PeerPort& aPeers)
{
  uint64_t sequence = 0;
  do {
    SendHeartbeat(aPeers, ++sequence);
  } while (
    !mStop.WaitUntil(std::chrono::steady_clock::now() + mSettings.mHeartbeat));
}

void Instance::SendHeartbeat(PeerPort& aPeers, uint64_t aSequence)
{
  const bool ready = IsReady();
  mPeers.SetSelf(ready, mStopping);
  PeerStatus peerStatus =
    MakePeerStatus(mConfig.State(), mMembership, mPorts.mClock.Now());
  peerStatus.mSequence = aSequence;
  peerStatus.mReady = ready;
  peerStatus.mStopping = mStopping;
  if (!mPeers.HasPeerBehind(peerStatus.mBundle.mVersion)) {
    peerStatus.mBundle.mDocument.clear();
  }
  for (const auto& [shard, owner] : mOwners) {
    if (owner->IsActing()) {
      peerStatus.mOwned.push_back(shard);
    }
  }
  peerStatus.mLoad = mUpstreams.Loads();
  aPeers.Broadcast(peerStatus);
  WriteSnapshots();
  UpdateGauges();
}

void Instance::WriteSnapshots()
{
  mConfig.ReportRestore();
  mKeys.ReportRestore();
  for (auto& [shard, stream] : mStreams) {
    stream->ReportRestore();
    const ShardClaim claim = stream->State().Read(
      [](const ShardStateMachine& aState) { return aState.Claim(); });
    if (claim.mOwner == mSelf && !claim.mReleased) {
      stream->Snapshots().WriteIfDue(claim.mEpoch);
    }
  }
  const ShardId first = mShards.Shards().front();
  if (mPeers.Prefers(first, ShardMap::DomainOf(first), mSelf)) {
    mConfig.Snapshots().WriteIfDue(Epoch());
    mKeys.Snapshots().WriteIfDue(Epoch());
  }
}

bool Instance::IsReady() const
{
  const bool hasBundle =
    mConfig.State().Read([](const ConfigStateMachine& aConfigState) {
      return aConfigState.InForce().mVersion != BundleVersion();
    });
  return hasBundle && !mStopping;
}

Explanation Instance::Explain(const TaskId& aTask) const
{
  for (const auto& [shard, owner] : mOwners) {
    if (owner->IsActing()) {
      Explanation explanation = owner->Explain(aTask);
      if (!explanation.mDecisions.empty()) {
        return explanation;
      }
    }
  }
  return { aTask, {} };
}

InstanceStatus Instance::Describe() const
{
  InstanceStatus status;
  status.mSelf = mSelf;
  status.mDomain = mSettings.mDomain;
  status.mReady = IsReady();
  status.mStopping = mStopping;
  status.mLogReachable = mConfig.State().Reachable();
  status.mBundle =
    mConfig.State().Read([](const ConfigStateMachine& aConfigState) {
      return aConfigState.InForce();
    });
  for (const auto& [shard, stream] : mStreams) {
    ShardStatus row =
      stream->State().Read([&, id = shard](const ShardStateMachine& aState) {
        ShardStatus read{ id, aState.Claim(), aState.Folded() };
        read.mWaiting = aState.Waiting().size();
        for (const auto& [worker, tasks] : aState.TasksByWorker()) {
          read.mHeld += tasks.size();
        }
        return read;
      });
    row.mIsActiveOwner = mOwners.at(shard)->IsActing();
    status.mShards.push_back(std::move(row));
  }
  for (const Member& member : mPeers.Live()) {
    status.mPeersAlive.push_back(member.mId);
  }
  return status;
}

void Instance::UpdateGauges()
{
  const InstanceStatus status = Describe();
  int64_t owned = 0;
  int64_t waiting = 0;
  int64_t held = 0;
  for (const ShardStatus& shard : status.mShards) {
    if (shard.mIsActiveOwner) {
      owned++;
      waiting += static_cast<int64_t>(shard.mWaiting);
      held += static_cast<int64_t>(shard.mHeld);
    }
  }
  Metrics& metrics = mPorts.mMetrics;
  metrics.Set(Gauge::kShardsOwned, owned);
  metrics.Set(Gauge::kTasksWaiting, waiting);
  metrics.Set(Gauge::kTasksRunning, held);
  metrics.Set(Gauge::kRequestsInFlight,
              static_cast<int64_t>(mRouter->InFlight()));
  metrics.Set(Gauge::kBundleVersion,
              static_cast<int64_t>(status.mBundle.mVersion.Value()));
  metrics.Set(Gauge::kPeersLive,
              static_cast<int64_t>(status.mPeersAlive.size()));
  metrics.Set(Gauge::kLogReachable, status.mLogReachable ? 1 : 0);
}

} // namespace mulberryvalve
