#include "mulberryvalve/app/owner/shard_owner.h"

#include <utility>

namespace mulberryvalve {
ShardOwner::ShardOwner(ShardOwnerOptions aOptions,
                       ShardOwnerPorts aPorts,
                       std::unique_ptr<ColocationController> aColocation)
  : mOptions(std::move(aOptions))
  , mDomain(ShardMap::DomainOf(mOptions.mShard))
  , mPorts(aPorts)
  , mColocation(std::move(aColocation))
  , mOwnership(mOptions.mSelf, mOptions.mOwnership)
{
}

ShardOwner::~ShardOwner()
{
  Stop();
}

void ShardOwner::Start()
{
  mThread = std::thread([this] { Run(); });
}

void ShardOwner::Wake()
{
  MutexLock lock(mMutex);
  mWoken = true;
  mCondVar.NotifyAll();
}

void ShardOwner::Stop()
{
  {
    MutexLock lock(mMutex);
    mStopping = true;
    mCondVar.NotifyAll();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool ShardOwner::IsActing() const
{
  MutexLock lock(mMutex);
  return mStep == OwnershipStep::kActAsOwner;
}

void ShardOwner::BeginRelease()
{
  MutexLock lock(mMutex);
  mReleasing = true;
  mWoken = true;
  mCondVar.NotifyAll();
}

bool ShardOwner::Release(MonotonicTime aDeadline)
{
  const auto deadline = SteadyDeadline(mPorts.mClock, aDeadline);
  BeginRelease();
  MutexLock lock(mMutex);
  while (mOwnership.IsOwner() || mClaimUnderWay) {
    if (!mCondVar.WaitUntil(mMutex, deadline)) {
      return !mOwnership.IsOwner();
    }
  }
  return true;
}

void ShardOwner::Run()
{
  while (true) {
    {
      MutexLock lock(mMutex);
      const auto next =
        std::chrono::steady_clock::now() + mOptions.mRoundInterval;
      while (!mWoken && !mStopping && mCondVar.WaitUntil(mMutex, next)) {
      }
      if (mStopping) {
        return;
      }
      mWoken = false;
    }
    RunRound();
  }
}

void ShardOwner::RunRound()
{
  bool claim = false;
  bool release = false;
  Epoch held;
  {
    MutexLock lock(mMutex);
    const MonotonicTime now = mPorts.mClock.Now();
    FollowClaim(now);
    FollowBundle();
    PruneOverlays();
    mStep = Decide(now);
    claim = mStep == OwnershipStep::kClaim && !mClaimUnderWay;
    release = mStep == OwnershipStep::kRelease && !mClaimUnderWay;
    mClaimUnderWay = mClaimUnderWay || claim || release;
    held = mOwnership.HeldEpoch();
    if (mStep == OwnershipStep::kActAsOwner) {
      Act(now);
    } else if (mOwnership.IsOwner() && now >= mOwnership.TakeoverWaitEnds()) {
      SyncDue(now);
    }
    mCondVar.NotifyAll();
  }
  if (claim) {
    SubmitOwnership(ShardClaimed{}, Epoch());
  }
  if (release) {
    SubmitOwnership(ShardReleased{}, held);
  }
}

void ShardOwner::FollowClaim(MonotonicTime aNow)
{
  Offset folded;
  const ShardClaim claim =
    mPorts.mShard.Read([&](const ShardStateMachine& aLedger) {
      mMutex.AssertHeld();
      folded = aLedger.Folded();
      return aLedger.Claim();
    });
  if (mClaimAppendedAt != Offset() && mClaimAppendedAt <= folded) {
    mClaimUnderWay = false;
    mClaimAppendedAt = Offset();
  }
  const ShardClaim& known = mOwnership.Claim();
  if (claim.mEpoch == known.mEpoch && claim.mReleased == known.mReleased) {
    return;
  }
  const bool newEpoch = claim.mEpoch != known.mEpoch;
  mOwnership.OnClaim(claim, aNow);
  if (newEpoch) {
    mLinks.clear();
    mUnknownLeases.clear();
    mRenew.clear();
    mAcknowledge.clear();
    mOverlays.clear();
  }
  mPorts.mLog.Write(EventLevel::kInfo,
                    "shard_claim",
                    { { "shard", mOptions.mShard.Text() },
                      { "owner", claim.mOwner.mInstance.Text() },
                      { "epoch", std::to_string(claim.mEpoch.Value()) },
                      { "released", claim.mReleased ? "true" : "false" } });
}

void ShardOwner::FollowBundle()
{
  std::string document;
  const BundleVersion known = mBundle;
  mBundle = mPorts.mConfig.Read([&](const ConfigFold& aFold) {
    const BundleInForce& inForce = aFold.InForce();
    if (inForce.mVersion != known) {
      document = inForce.mDocument;
    }
    return inForce.mVersion;
  });
  if (mBundle == known) {
    return;
  }
  const CheckedBundle checked = mPorts.mBundles.Read(document);
  if (checked.mFaults.empty()) {
    mColocation->OnBundle(checked.mBundle);
  }
}

void ShardOwner::PruneOverlays()
{
  if (mOverlays.size() < mPruneAbove) {
    return;
  }
  mPorts.mShard.Read([&](const ShardStateMachine& aLedger) {
    mMutex.AssertHeld();
    for (auto row = mOverlays.begin(); row != mOverlays.end();) {
      const TaskEntry* task = aLedger.FindTask(row->first);
      const bool over = task == nullptr || IsTerminal(task->mState);
      const bool idle = !IsBusy(row->first, aLedger.Folded());
      row = over && idle ? mOverlays.erase(row) : std::next(row);
    }
    return true;
  });
  mPruneAbove = std::max(kPruneOverlaysAbove, 2 * mOverlays.size());
}

OwnershipStep ShardOwner::Decide(MonotonicTime aNow)
{
  OwnershipView view;
  view.mNow = aNow;
  view.mHeadValidUntil = HeadsValidUntil();
  view.mOwnerAlive = mPorts.mPeers.IsAlive(mOwnership.Claim().mOwner);
  view.mIsPreferredOwner =
    mPorts.mPeers.Prefers(mOptions.mShard, mDomain, mOptions.mSelf);
  view.mStopping = mReleasing;
  return mOwnership.Decide(view);
}

void ShardOwner::SubmitOwnership(Record aRecord, Epoch aEpoch)
{
  std::vector<Record> records;
  records.push_back(std::move(aRecord));
  mPorts.mWriter.Submit(
    std::move(records), aEpoch, [this](const Result<Offset>& aAt) {
      MutexLock lock(mMutex);
      mClaimAppendedAt = aAt ? aAt.value() : Offset();
      mClaimUnderWay = static_cast<bool>(aAt);
      mWoken = true;
      mCondVar.NotifyAll();
    });
}

Explanation ShardOwner::Explain(const TaskId& aTask) const
{
  MutexLock lock(mMutex);
  return mPorts.mShard.Read([&](const ShardStateMachine& aLedger) {
    mMutex.AssertHeld();
    const TaskEntry* task = aLedger.FindTask(aTask);
    return task == nullptr ? Explanation{ aTask, {} }
                           : mColocation->Explain(*task);
  });
}

bool ShardOwner::IsBusy(const TaskId& aTask, Offset aFolded)
{
  const auto found = mOverlays.find(aTask);
  if (found == mOverlays.end()) {
    return false;
  }
  TaskOverlay& overlay = found->second;
  if (overlay.mProposed && overlay.mProposedAt != Offset() &&
      overlay.mProposedAt <= aFolded) {
    overlay.mProposed = false;
    overlay.mProposedWorker = WorkerId();
  }
  return overlay.mProposed || overlay.mCommandUnderWay;
}

bool ShardOwner::IsCommanded(const TaskEntry& aTask,
                             TaskCommandKind aKind) const
{
  const auto found = mOverlays.find(aTask.mId);
  if (found == mOverlays.end() || found->second.mAttempt != aTask.mAttempt) {
    return false;
  }
  const TaskOverlay& overlay = found->second;
  return overlay.mStopped ||
         (aKind == TaskCommandKind::kStart && overlay.mStartSent);
}

TaskOverlay& ShardOwner::OverlayOf(const TaskId& aTask, Attempt aAttempt)
{
  TaskOverlay& overlay = mOverlays[aTask];
  if (overlay.mAttempt != aAttempt) {
    const TaskOverlay old = overlay;
    overlay = TaskOverlay();
    overlay.mAttempt = aAttempt;
    overlay.mProposed = old.mProposed;
    overlay.mProposedAt = old.mProposedAt;
    overlay.mProposedWorker = old.mProposedWorker;
    overlay.mProposedCharge = old.mProposedCharge;
    overlay.mCommandUnderWay = old.mCommandUnderWay;
  }
  return overlay;
}

WorkerSyncState& ShardOwner::LinkOf(const WorkerId& aWorker)
{
  const MonotonicTime over =
    mOwnership.TakeoverWaitEnds() + mOptions.mRenewalWindow + mOptions.mLease;
  return mLinks.try_emplace(aWorker, mOptions.mLink, over).first->second;
}

bool ShardOwner::DomainIsOut() const
{
  return mPorts.mConfig.Read([&](const ConfigFold& aFold) {
    return aFold.Domain(mDomain).mState == DomainState::kOut;
  });
}

MonotonicTime ShardOwner::HeadsValidUntil() const
{
  const MonotonicTime oldest =
    std::min(mPorts.mShard.ConfirmedAt(), mPorts.mConfig.ConfirmedAt());
  return oldest + mOptions.mOwnership.mHeadStaleness;
}

MonotonicTime ShardOwner::RenewalsAllowedUntil() const
{
  return mPorts.mShard.ConfirmedAt() + mOptions.mRenewalWindow;
}

std::optional<WorkerSpec> ShardOwner::SpecOf(const WorkerId& aWorker) const
{
  const WorkersOfDomain workers = mPorts.mDirectory.InDomain(mDomain);
  for (const WorkerSpec& worker : *workers) {
    if (worker.mId == aWorker) {
      return worker;
    }
  }
  return std::nullopt;
}

} // namespace mulberryvalve
